"""Tests routes, admission, target choice, health, retries and events."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.events import EventSplitter
from ebonywell.exceptions import EventOrderError
from ebonywell.health import HALF_LIFE_S, HealthTracker, TargetHealth
from ebonywell.inbound import RejectionError
from ebonywell.intake import PROOF_MARGIN_S, Intake, ReceivedRequest
from ebonywell.inventory import (
    MAX_ANNOUNCEMENT_AGE_S,
    STORE_RECOVERY_GRACE_S,
    Announcement,
    Inventory,
    Resident,
    TargetState,
)
from ebonywell.loadboard import LoadBoard, Run, TargetLoad
from ebonywell.retries import RetryBudgets, WindowBudget
from ebonywell.routetable import (
    CallerLimits,
    Configuration,
    RequestKind,
    Route,
    Service,
    WeightedService,
    WorkspaceLimit,
    digest_key,
)
from ebonywell.selection import Candidate, choose, estimate_first_byte_ms
from ebonywell.urgency import RANKS, assign_ranks

LIMITS = CallerLimits(1000, 5000, 3, 6, 15)


def route(prefix, name='r', *, is_open=False, services=('pool',)):
    return Route(
        name,
        'host.example',
        prefix,
        RequestKind.once,
        tuple(WeightedService(one, 1) for one in services),
        4,
        0.5,
        1,
        1,
        is_open,
        False,
    )


def configuration(version=1, keys=('secret',), routes=(route('/a/'),)):
    return Configuration(
        version,
        {'host.example': {one.path_prefix: one for one in routes}},
        {'pool': Service('pool', 10)},
        {'team': WorkspaceLimit('team', 10, 10, 1, True, None)},
        {digest_key(key): 'team' for key in keys},
        LIMITS,
    )


def arrival(path=b'/a/x', key='secret', body=b'', headers=100):
    return ReceivedRequest(
        'id-1', 'POST', 'Host.example:80', path, key, (), headers, body,
        2.0, None, 50.0,
    )  # fmt: skip


def intake(monkeypatch, now=100.0, proven_at=100.0):
    monkeypatch.setattr('ebonywell.intake.boot_time', lambda: now)
    made = Intake(random.Random(1), 5)
    made.adopt(configuration())
    made.proven_at = proven_at
    return made


def status_of(made, one):
    with pytest.raises(RejectionError) as raised:
        made.admit(one)
    return raised.value.status


# Routes


def test_the_longest_prefix_matches():
    found = configuration(
        routes=(route('/', 'root'), route('/a/', 'a'), route('/a/b/', 'ab')),
    )
    for path, name in (('/a/b/c', 'ab'), ('/a/b', 'a'), ('/ab', 'root')):
        assert found.find_route('HOST.example:8080', path).name == name
    assert found.find_route('other.example', '/a/') is None


@given(st.text(max_size=40), st.text(max_size=40))
def test_any_host_and_path_can_be_looked_up(host, path):
    configuration().find_route(host, path)


def test_a_split_route_uses_its_services_by_weight():
    split = Route(
        'r', 'h', '/', RequestKind.once,
        (WeightedService('a', 90), WeightedService('b', 10)),
        1, 1, 1, 1, True, False,
    )  # fmt: skip
    rng = random.Random(5)
    picked = [split.pick_service(rng) for _ in range(2000)]
    assert 0.06 < picked.count('b') / 2000 < 0.14


# Admission


def test_a_request_with_a_key_is_admitted(monkeypatch):
    call = intake(monkeypatch).admit(arrival())
    assert call.workspace.name == 'team'
    assert call.deadline == 52


def test_requests_before_the_first_configuration_are_unavailable():
    made = Intake(random.Random(1), 5)
    assert status_of(made, arrival()) == 503


def test_requests_that_the_configuration_does_not_allow_are_rejected(
    monkeypatch,
):
    made = intake(monkeypatch)
    assert status_of(made, arrival(b'/b/x')) == 404
    assert status_of(made, arrival(key='wrong')) == 401
    assert status_of(made, arrival(key=None)) == 401
    assert status_of(made, arrival(body=b'x' * 5001)) == 413
    assert status_of(made, arrival(headers=1001)) == 431


def test_keys_are_rejected_only_once_the_freshness_proof_is_stale(monkeypatch):
    late = 100 + 5 - PROOF_MARGIN_S
    assert intake(monkeypatch, late - 0.01).admit(arrival())
    made = intake(monkeypatch, late + 0.01)
    # With a stale configuration, neither a known nor an unknown key can be
    # judged.
    assert status_of(made, arrival()) == 503
    assert status_of(made, arrival(key='wrong')) == 503


def test_an_open_route_needs_no_freshness_proof(monkeypatch):
    made = intake(monkeypatch, 500)
    made.adopt(configuration(2, routes=(route('/a/', is_open=True),)))
    assert made.admit(arrival(key=None)).workspace is None


def test_an_older_configuration_is_not_applied():
    made = Intake(random.Random(1), 5)
    assert made.adopt(configuration(7))
    assert not made.adopt(configuration(3))
    assert not made.adopt(configuration(7))
    assert made.version == 7


# Targets


def announcement(name='t', born=1, state=TargetState.ready, models=('m',)):
    return Announcement(
        name, born, 'pool', '10.0.0.1:80', 'z', state, 4,
        {model: Resident(model) for model in models},
    )  # fmt: skip


def test_a_leaving_target_takes_no_new_requests():
    known = Inventory()
    known.announce(announcement(), 0)
    known.announce(announcement(state=TargetState.draining), 1)
    assert known.of_service('pool') == []


def test_a_target_is_removed_with_its_directory_entry():
    known = Inventory()
    known.announce(announcement(), 0)
    known.withdraw('t', 100)
    assert not known.targets


def test_targets_are_kept_for_a_grace_period_after_a_store_outage():
    known = Inventory(store_recovered_at=100)
    known.announce(announcement(), 0)
    known.withdraw('t', 100.1)
    assert known.of_service('pool')
    known.expire(100 + STORE_RECOVERY_GRACE_S)
    assert not known.targets


def test_a_stale_announcement_does_not_override_a_confirmation():
    known = Inventory()
    target = known.announce(announcement(), 0)
    target.confirm(3, {'new': Resident('new')}, 10)
    known.announce(announcement(), 11)
    assert target.holds('new')
    known.announce(announcement(), 10.01 + MAX_ANNOUNCEMENT_AGE_S)
    assert target.holds('m')


def test_a_restarted_target_has_no_earlier_state():
    known = Inventory()
    first = known.announce(announcement(), 0)
    first.confirm(9, {'other': Resident('other')}, 0)
    second = known.announce(announcement(born=2), 0.1)
    assert second is not first
    assert second.order_count == 0
    assert second.holds('m')


def test_a_missing_adapter_does_not_hide_its_model():
    known = Inventory()
    target = known.announce(announcement(), 0)
    target.add('m', 'a1')
    target.drop('m', 'a1')
    assert target.holds('m')
    assert not target.holds('m', 'a1')
    target.drop('m', '')
    assert not target.holds('m')


# The choice


def candidate(name, waiting_tokens=0, running=0, failing=0.0, slow=1.0, **more):
    load = TargetLoad({0: waiting_tokens}, 0, running, 0)
    health = TargetHealth(failing, slow)
    return Candidate(name, load, health, 64, 150_000, 2000, 2100, **more)


def chosen(*candidates):
    return choose(candidates, random.Random(1)).name


def test_the_target_with_the_earliest_expected_answer_is_chosen():
    assert chosen(candidate('a', 20_000), candidate('b', 4_000)) == 'b'
    assert chosen(candidate('a', slow=5), candidate('b', 4_000)) == 'b'
    assert chosen(candidate('a', failing=0.5), candidate('b', 9_000)) == 'b'


def test_a_cached_prompt_outweighs_a_short_queue():
    cached = Candidate(
        'kept', TargetLoad({0: 800}), TargetHealth(), 64, 150_000, 500, 2100
    )
    assert chosen(candidate('a'), cached) == 'kept'


def test_less_urgent_requests_hardly_add_to_the_expected_wait():
    behind = candidate('a', 20_000, rank=1)
    ahead = candidate('a', 20_000, rank=0)
    usual = TargetLoad({1: 20_000})
    first = Candidate('b', usual, TargetHealth(), 64, 150_000, 2000, 2100)
    assert estimate_first_byte_ms(ahead) == estimate_first_byte_ms(behind)
    assert estimate_first_byte_ms(first) < estimate_first_byte_ms(ahead) / 2


def test_requests_are_ranked_by_priority_then_route_then_goal():
    keys = [(1, 1, 1.5), (1, 0, 0.5), (0, 2, 0.9), (1, 1, 0.6), (1, 1, 1.5)]
    ranks = assign_ranks(keys)
    assert sorted(ranks, key=ranks.get) == sorted(set(keys))
    assert len(set(ranks.values())) == 4


@given(st.sets(st.tuples(st.integers(), st.integers(), st.floats(0, 9))))
def test_ranks_follow_the_order_of_keys_within_bounds(keys):
    ranks = assign_ranks(keys)
    ordered = [ranks[key] for key in sorted(keys)]
    assert ordered == sorted(ordered)
    assert all(0 <= one < RANKS for one in ordered)


def test_a_workspace_s_priority_overrides_the_route_s():
    first = replace(route('/a/'), priority=0, goal_s=1)
    second = replace(route('/b/'), priority=1, goal_s=1)
    made = configuration(routes=(first, second))
    made.workspaces['team'] = replace(made.workspaces['team'], priority=0)
    made = replace(made)
    team = made.workspaces['team']
    assert made.rank_of(first, team) < made.rank_of(second, team)
    assert made.rank_of(second, team) < made.rank_of(second, None)


def test_a_full_cache_is_avoided():
    full = Candidate(
        'full',
        TargetLoad({}, 0, 60, 149_000),
        TargetHealth(),
        64,
        150_000,
        2000,
        2100,
    )
    assert estimate_first_byte_ms(full) > estimate_first_byte_ms(candidate('a'))


def test_there_is_no_choice_without_candidates():
    assert choose((), random.Random(1)) is None


def test_failure_share_decays_over_time():
    book = HealthTracker()
    for _ in range(20):
        book.record_result('t', 0, is_good=False)
    assert book.get('t', 0).failure_share > 0.9
    assert book.get('t', 3 * HALF_LIFE_S).failure_share < 0.15


def test_loads_of_peers_expire():
    board = LoadBoard()
    board.note_peer_loads('p', {'t': TargetLoad({0: 500}, 1, 2, 900)}, 10)
    run = Run('t', 100, 120, 1)
    with board.running(run):
        assert board.total('t').waiting_tokens == {0: 500, 1: 100}
        board.note_first_token(run)
        assert board.total('t').running == 3
        assert board.total('t').waiting_tokens == {0: 500}
        board.expire(11, 1.5)
        assert board.total('t').held_tokens == 1020
        board.expire(20, 1.5)
        assert board.total('t').held_tokens == 120
    assert board.own == {}


def test_totals_are_sums_of_the_last_loads_of_each_peer():
    rng = random.Random(4)
    board = LoadBoard()
    last_loads = {}
    for now in range(300):
        peer = rng.choice('abcde')
        loads = {
            target: TargetLoad(
                {rng.randrange(3): rng.randrange(1, 900)},
                rng.randrange(3),
                rng.randrange(3),
                rng.randrange(5000),
            )
            for target in rng.sample('tuvw', rng.randrange(4))
        }
        if rng.random() < 0.2:
            board.drop_peer(peer)
            last_loads.pop(peer, None)
        else:
            board.note_peer_loads(peer, loads, now)
            last_loads[peer] = loads
        for target in 'tuvw':
            sums = TargetLoad()
            for parts in last_loads.values():
                sums.add(parts.get(target, TargetLoad()))
            assert board.total(target) == sums


# Retries


def test_retries_stay_within_their_ratio_in_any_window():
    budget = WindowBudget(10, 0.2, 2)
    for number in range(50):
        budget.count_request(number * 0.1)
    assert sum(budget.spend(5) for _ in range(100)) == 12
    # The requests have left the window, and the slack is available again.
    assert sum(budget.spend(30) for _ in range(100)) == 2


def test_the_slack_is_divided_among_the_hosts():
    budgets = RetryBudgets(10, 0.2, 56, lambda: 8)
    each = sum(budgets.for_service('s').spend(0) for _ in range(100))
    assert 8 * each <= 56
    assert each >= 4


# Events


@given(st.lists(st.integers(1, 30), max_size=12), st.integers(0, 10**6))
def test_whole_events_are_returned_for_any_chunking(sizes, seed):
    rng = random.Random(seed)
    stream = b''.join(
        b'id: %d\ndata: %s\n\n' % (number, b'x' * size)
        for number, size in enumerate(sizes, 1)
    )
    splitter = EventSplitter()
    out = b''
    position = 0
    while position < len(stream):
        step = rng.randint(1, 20)
        out += splitter.feed(stream[position : position + step])
        position += step
    assert out == stream
    assert splitter.partial_event == b''
    last = b'%d' % len(sizes)
    assert splitter.last_id in {last, b''}
    assert bool(splitter.last_id) == bool(sizes)


def test_a_truncated_event_is_dropped_and_sent_again_by_the_next_target():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == (
        b'id: 1\ndata: a\n\n'
    )
    splitter.resume()
    assert splitter.last_id == b'1'
    assert splitter.feed(b'id: 2\ndata: b\n\n') == b'id: 2\ndata: b\n\n'


@pytest.mark.parametrize(
    ('continuation', 'is_fit'),
    [
        (b'id: 2\ndata: b\n\n', True),
        (b'weight-versions: 2\nid: 2\ndata: b\n\n', True),
        (b': ping\n\nid: 5\ndata: b\n\n', True),
        (b'id: 1\ndata: a\n\n', False),
        (b'data: error\n\n', False),
        (b'data: error\n\nid: 2\ndata: b\n\n', False),
    ],
)
def test_a_resumed_stream_goes_on_after_its_last_event_only(
    continuation, is_fit
):
    splitter = EventSplitter()
    splitter.feed(b'id: 1\ndata: a\n\n')
    splitter.resume()
    if is_fit:
        assert splitter.feed(continuation) == continuation
        return
    with pytest.raises(EventOrderError):
        splitter.feed(continuation)
