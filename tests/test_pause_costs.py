"""Tests the pauses that are predicted, and their cost in a choice."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.headroom.pauses import (
    CHUNK_TOKENS,
    expected_excess_ms,
    pause_cost_ms,
    predicted_pause_ms,
)
from ebonywell.headroom.terms import Terms, make_terms
from ebonywell.health import TargetHealth
from ebonywell.inbound import AdmittedRequest, Generation
from ebonywell.loadboard import TargetLoad
from ebonywell.routetable import (
    CallerLimits,
    Configuration,
    EngineSpec,
    RequestKind,
    Route,
    Service,
    WeightedService,
    WorkspaceLimit,
)
from ebonywell.selection import Candidate, choose

TERMS = Terms(400, 4, 10**6)


def candidate(name, waiting=0, running=0, rank=0, waiting_rank=0):
    load = TargetLoad({waiting_rank: waiting} if waiting else {}, 0, running)
    return Candidate(
        name, load, TargetHealth(), 64, 120_000, 2400, 2500, rank
    )  # fmt: skip


def chosen(*candidates, terms=TERMS):
    return choose(candidates, random.Random(1), terms).name


def test_a_pause_is_the_time_to_read_all_prompts_and_an_event_s_steps():
    assert predicted_pause_ms(6600, 2200, 22, 9, 4) == 400 + 36


def test_an_event_waits_for_at_most_one_chunk_per_token():
    """A long queue must not look worse than the engine's chunks allow."""
    longest = predicted_pause_ms(10**6, 2000, 20, 10, 2)
    assert longest == 2 * CHUNK_TOKENS / 20 + 2 * 10


@given(*(st.floats(0, 10**5) for _ in range(3)))
def test_more_prompt_work_never_shortens_a_pause(waiting, added, new):
    before = predicted_pause_ms(waiting, new, 22, 9, 4)
    assert predicted_pause_ms(waiting + added, new, 22, 9, 4) >= before


def test_a_pause_costs_by_its_excess_and_by_the_streams():
    assert expected_excess_ms(500, 400, 10) == 110
    assert expected_excess_ms(5000, 400, 10) == 400
    assert pause_cost_ms(110, 30) == 3 * pause_cost_ms(110, 10)
    assert pause_cost_ms(110, 0) == 0


@given(st.floats(0, 3000), st.floats(0, 3000), st.floats(1, 900))
def test_a_longer_pause_never_costs_less(pause_ms, more_ms, unseen_ms):
    excess_ms = expected_excess_ms(pause_ms, 400, unseen_ms)
    assert 0 <= excess_ms <= 400
    assert expected_excess_ms(pause_ms + more_ms, 400, unseen_ms) >= excess_ms


def test_below_the_goal_a_slow_target_costs_more_than_a_fast_one():
    """What other hosts send there meanwhile takes longer to be read."""
    assert expected_excess_ms(100, 400, 150) > 10 * expected_excess_ms(
        100, 400, 50
    )


def test_an_urgent_prompt_spares_the_streams_behind_less_urgent_prompts():
    """Its own wait is short there, so that only the pauses tell them apart."""
    crowded = candidate('crowded', 9000, 30, waiting_rank=2)
    quiet = candidate('quiet', 2400, 30)
    assert chosen(crowded, quiet, terms=None) == 'crowded'
    assert chosen(crowded, quiet) == 'quiet'


def test_of_two_targets_with_long_pauses_the_one_with_fewer_streams_is_taken():
    busy = candidate('busy', 9000, 40)
    idle = candidate('idle', 9600, 2)
    assert chosen(busy, idle, terms=None) == 'busy'
    assert chosen(busy, idle) == 'idle'


def test_far_below_the_goal_pauses_change_no_choice():
    pair = candidate('a', 100, 40), candidate('b', 600)
    assert chosen(*pair) == chosen(*pair, terms=None) == 'a'


# Which requests have terms


def make_configuration(*routes, workspaces=()):
    return Configuration(
        1,
        {'h': {one.path_prefix: one for one in routes}},
        {'s': Service('s', 9, EngineSpec(64, 10**5, 0, 0, 1, {}, 3))},
        {one.name: one for one in workspaces},
        {},
        CallerLimits(1, 1, 1, 1, 1),
    )


def make_route(name, priority=0, pause_goal_s=0.0, service='s'):
    return Route(
        name, 'h', f'/{name}/', RequestKind.stream,
        (WeightedService(service, 1),), 4, 1, priority, 1, False, False,
        pause_goal_s,
    )  # fmt: skip


def test_a_service_gets_the_shortest_pause_goal_and_the_ranks_of_its_routes():
    found = make_configuration(
        make_route('a', 0, 0.4),
        make_route('b', 1, 0.3),
        make_route('c', 2),
        make_route('d', 3, 0.1, service='other'),
    ).engines['s']
    assert (found.pause_goal_s, found.ranks) == (0.3, (0, 1, 2))
    assert found.tokens_per_event == 3


def test_priorities_of_workspaces_make_ranks_of_their_own():
    team = WorkspaceLimit('team', 0, 0, 1, False, None)
    hasty = replace(team, name='hasty', priority=0)
    route = make_route('a', 5)
    alone = make_configuration(route, workspaces=[team]).engines['s']
    assert alone.ranks == (0,)
    both = make_configuration(route, workspaces=[team, hasty]).engines['s']
    assert len(both.ranks) == 2


@pytest.mark.parametrize(
    ('routes', 'pause_goal_ms'),
    [
        ([make_route('a')], None),
        ([make_route('a', 0, 0.3)], None),
        ([make_route('a', 0, 0.3), make_route('b', 1, 0.3)], None),
        (
            [make_route(str(level), level, 0.3) for level in range(3)],
            300,
        ),
        ([make_route(str(level), level) for level in range(3)], 0),
    ],
)
def test_terms_need_three_levels_of_priority(routes, pause_goal_ms):
    """Requests to other services must be judged as before."""
    engine = make_configuration(*routes).engines['s']
    request = AdmittedRequest(
        'id', 'POST', b'/', (), b'', routes[0], 's', None, Generation('m'),
        0, 4,
    )  # fmt: skip
    terms = make_terms(request, engine, 0)
    assert (terms and terms.pause_goal_ms) == pause_goal_ms
    assert make_terms(replace(request, generation=None), engine, 0) is None
    assert make_terms(request, None, 0) is None
