"""Cold targets: who is cold for how long, and what all hosts send there."""

import json
import math
import random

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.evacuation.cold import (
    ANNOUNCEMENT_AGE_S,
    CONTACT_S,
    MAX_COLD_S,
    NOT_COLD,
    SCHEDULERS,
    SENT_LATE_S,
    ColdBounds,
    ColdChange,
    ColdReport,
    ColdSpec,
    ColdTargets,
    Contact,
    read_cold_left,
)
from ebonywell.hostfeeds import HostFeeds
from ebonywell.intake import Intake
from ebonywell.inventory import Announcement, Inventory, TargetState
from ebonywell.platform.catalog import decode_configuration
from ebonywell.platform.settings import parse_settings
from ebonywell.platform.targets import decode_announcement
from ebonywell.sendschedule import SendSchedule, pick_scheduler
from ebonywell.sharedstore import KeyedRecord
from ebonywell.translators import Translators

from .sendworld import simulate

SPEC = ColdSpec(3, 10)
BOUNDS = ColdBounds(1.5, 5)
ALLOWED = 20
TARGET = ('t', 1)


def make_cold(spec=SPEC):
    return ColdTargets(lambda service: spec, BOUNDS)


def note(cold, left_s, now, *, is_new=False):
    report = ColdReport('pool', left_s)
    cold.note_announcement(TARGET, report, now, is_new=is_new)


# Announcements


def test_a_target_is_cold_for_as_long_as_it_says_and_the_announcements_age():
    cold = make_cold()
    note(cold, 2, 100)
    left_s = cold.left_s(TARGET, 100)
    assert left_s == pytest.approx(2 + ANNOUNCEMENT_AGE_S)
    assert cold.rate_of(TARGET, 104.1)
    assert cold.rate_of(TARGET, 104.3) is None


def test_a_new_incarnation_is_cold_for_its_service_s_time():
    cold = make_cold()
    note(cold, 0, 100, is_new=True)
    note(cold, 0, 101)
    assert cold.left_s(TARGET, 101) == 2
    assert cold.rate_of(TARGET, 103) is None


def test_a_target_that_is_known_for_long_is_warm():
    cold = make_cold()
    note(cold, 0, 100)
    assert cold.rate_of(TARGET, 100) is None
    assert not cold.ends


def test_a_target_is_warm_once_it_says_so():
    cold = make_cold()
    note(cold, 30, 100)
    note(cold, 0, 101)
    assert cold.rate_of(TARGET, 101) is None


def test_a_service_without_such_a_limit_has_no_cold_targets():
    cold = make_cold(None)
    note(cold, 30, 100, is_new=True)
    assert cold.rate_of(TARGET, 100) is None
    assert cold.update(100) == []


def test_a_configuration_that_comes_after_the_targets_counts():
    # A host that starts may read the targets first.
    specs = {}
    cold = ColdTargets(specs.get, BOUNDS)
    note(cold, 9, 100)
    specs['pool'] = SPEC
    cold.update(101)
    assert cold.rate_of(TARGET, 101)


def test_changes_are_told_once():
    cold = make_cold()
    note(cold, 2, 100)
    assert cold.update(100) == [ColdChange('t', pytest.approx(4.2))]
    assert cold.update(101) == []
    assert cold.update(105) == [ColdChange('t', 0)]
    assert cold.update(106) == []


def test_a_target_that_is_gone_is_forgotten():
    cold = make_cold()
    note(cold, 9, 100)
    assert cold.note_odd(TARGET)
    cold.retain(())
    assert not cold.known
    assert not cold.ends
    assert cold.note_odd(TARGET)


# What other hosts tell


def test_a_host_without_the_store_is_told():
    cold = make_cold()
    note(cold, 0, 100)
    cold.note_told(TARGET, ColdReport('pool', 5, 0.1), 110)
    assert cold.left_s(TARGET, 110) == 5


def test_what_is_older_than_the_own_knowledge_has_no_effect():
    cold = make_cold()
    note(cold, 0, 110)
    cold.note_told(TARGET, ColdReport('pool', 5, 1), 110.5)
    assert cold.rate_of(TARGET, 110.5) is None


@pytest.mark.parametrize('odd', [math.nan, math.inf, -1, 0])
def test_a_malformed_time_from_another_host_is_ignored(odd):
    cold = make_cold()
    cold.note_told(TARGET, ColdReport('pool', odd, 0), 100)
    assert not cold.ends


def test_a_huge_time_from_another_host_is_bounded():
    cold = make_cold()
    cold.note_told(TARGET, ColdReport('pool', 1e12, 0), 100)
    left_s = cold.left_s(TARGET, 100)
    assert left_s == pytest.approx(MAX_COLD_S + ANNOUNCEMENT_AGE_S)


def test_hosts_that_tell_each_other_do_not_put_off_the_end():
    # Each message takes time, which would add up if it were passed on.
    one, other = make_cold(), make_cold()
    note(one, 3, 100)
    note(other, 3, 100.1)
    now = 100.2
    while now < 106:
        other.note_told(TARGET, one.tell(TARGET, now), now + 0.05)
        one.note_told(TARGET, other.tell(TARGET, now), now + 0.05)
        now += 0.1
    assert not one.update(106)
    assert not other.update(106)


def test_a_host_passes_on_only_what_it_has_read():
    cold = make_cold()
    cold.note_told(TARGET, ColdReport('pool', 5, 0), 100)
    assert cold.tell(TARGET, 100) == NOT_COLD
    assert cold.list_own(100) == []
    note(cold, 5, 101)
    assert cold.list_own(101) == [TARGET]


# Formats


@pytest.mark.parametrize(
    ('stated', 'expected'),
    [
        (0, (0, True)),
        (2500, (2.5, True)),
        (-1, (0, False)),
        (1e9, (60, False)),
        (10**400, (60, False)),
        (math.nan, (0, False)),
        ('3', (0, False)),
        (None, (0, False)),
        (True, (0, False)),
        ([], (0, False)),
    ],
)
def test_the_stated_time_is_bounded_or_ignored(stated, expected):
    assert read_cold_left(stated) == expected


def announce_body(cold_left):
    return (
        b'{"service":"pool","address":"10.0.0.1:80","state":"ready",'
        b'"coldLeftMs":%s}' % cold_left
    )


@pytest.mark.parametrize('stated', [b'-5', b'1e400', b'"x"', b'{}', b'9e99'])
def test_an_odd_time_does_not_hide_the_target(stated):
    found = decode_announcement('t', announce_body(stated))
    assert found.cold_left_s in {0, 60}
    assert not found.is_cold_sound


def test_an_odd_time_is_logged_once():
    lines = []
    rng = random.Random(1)
    feeds = HostFeeds(
        None,
        Translators(
            'op', 'config', None, 'servers', decode_announcement, 'own', None,
            None, None,
        ),
        Intake(rng, 5),
        Inventory(cold=make_cold()),
        lambda event, **fields: lines.append(event),
        rng,
    )  # fmt: skip
    for _ in range(3):
        feeds.apply_targets([KeyedRecord('t', announce_body(b'9e9'), 1)])
        feeds.refresh(100)
    assert lines.count('cold_left_odd') == 1
    assert lines.count('target_cold') == 1


def test_a_heartbeat_with_another_time_is_passed_on():
    before, after = (
        decode_announcement('t', announce_body(one)) for one in (b'0', b'900')
    )
    assert before != after


def test_the_configuration_says_how_targets_start():
    body = {
        'version': 1,
        'services': [
            {'name': 'a', 'coldStartS': 3, 'coldPerS': 10},
            {'name': 'b'},
            {'name': 'c', 'coldStartS': 1e9, 'coldPerS': 0.5},
            {'name': 'd', 'coldStartS': 3, 'coldPerS': 0},
        ],
    }
    services = decode_configuration(json.dumps(body).encode()).services
    assert services['a'].cold == SPEC
    assert services['b'].cold is None
    assert services['c'].cold == ColdSpec(MAX_COLD_S, 0.5)
    assert services['d'].cold is None


def test_settings_give_the_bounds():
    text = (
        'node: n\nip: i\nzone: z\nlisten: {front: a, ready: b, directory: c}\n'
        'platform: {address: "x:1"}\nbounds: {coldOvershoot: 2}\n'
    )
    assert parse_settings(text, 'f').bounds.cold == ColdBounds(2, 5)


def test_only_a_target_announced_after_the_start_is_new():
    # A host that starts would otherwise take all targets for cold.
    inventory = Inventory(cold=make_cold())
    first, second = (
        Announcement(name, 1, 'pool', 'ip:1', 'z', TargetState.ready, 8)
        for name in 'ab'
    )
    inventory.replace_all([first], 100)
    inventory.announce(second, 101)
    assert set(inventory.cold.ends) == {('b', 1)}


# Permits


@given(
    st.floats(0.5, 50),
    st.floats(1, 3),
    st.floats(2, 20),
    st.lists(st.floats(0, SENT_LATE_S), min_size=400, max_size=400),
)
def test_two_schedulers_keep_the_bound_with_permits_used_late(
    per_s, overshoot, slack, late
):
    bounds = ColdBounds(overshoot, slack)
    rate = bounds.permit_rate(ColdSpec(3, per_s))
    late_s = iter(late)
    sent = []
    for scheduler in range(SCHEDULERS):
        schedule = SendSchedule(0)
        for _ in range(100):
            _, due_s = schedule.reserve(rate, math.inf, scheduler / 7)
            sent.append(scheduler / 7 + due_s + next(late_s))
    most = max(sum(at <= one < at + 1 for one in sent) for at in sent)
    assert most <= per_s * overshoot + slack


def test_a_host_grants_permits_once_the_others_have_heard_of_it():
    contact = Contact()
    assert not contact.lasts(100)
    contact.update(is_sound=True, now=100)
    contact.update(is_sound=True, now=101)
    assert not contact.lasts(100 + CONTACT_S - 0.1)
    assert contact.lasts(100 + CONTACT_S)
    contact.update(is_sound=False, now=102)
    contact.update(is_sound=True, now=103)
    assert not contact.lasts(104)


# Fleets


def find_spec(service):
    return SPEC


def turn_cold(world, left_s=MAX_COLD_S, hosts=None):
    """Announce to some hosts, by default to all, that the target is cold."""
    now = anyio.current_time()
    for host in hosts or world.hosts.values():
        host.limits.cold.spec_of = find_spec
        host.limits.cold.bounds = BOUNDS
        host.limits.cold.note_announcement(
            world.known.incarnation,
            ColdReport('pool', left_s),
            now,
            is_new=False,
        )
    world.cold_at = now


def most_in_a_second(world, since):
    times = [at for at, _, _ in world.arrivals if at >= since]
    return max(
        (sum(one - 1 < at <= one for at in times) for one in times), default=0
    )


def settled(world):
    """Return from when the requests that were on their way have arrived."""
    return world.cold_at + 1


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(('loss', 'used_share'), [(0, 0.9), (0.2, 0.4)])
def test_all_hosts_together_spare_a_cold_target(
    monkeypatch, loss, used_share, seed
):
    async def scenario(world):
        await anyio.sleep(3)
        turn_cold(world)
        await anyio.sleep(10)

    world = simulate(
        monkeypatch, scenario, seed=seed, loss=loss, hosts=20, asks_per_s=200
    )
    assert most_in_a_second(world, settled(world)) <= ALLOWED
    used = world.sent_between(world.cold_at + 1, world.cold_at + 9)
    assert used >= 8 * BOUNDS.permit_rate(SPEC) * used_share


def test_requests_flow_again_when_it_is_warm(monkeypatch):
    async def scenario(world):
        await anyio.sleep(3)
        turn_cold(world, 3)
        await anyio.sleep(9)

    world = simulate(monkeypatch, scenario, hosts=8, asks_per_s=100)
    warm_at = world.cold_at + 3 + ANNOUNCEMENT_AGE_S
    assert world.sent_between(warm_at + 0.5, warm_at + 2.5) > 100


def test_the_bound_holds_when_schedulers_die_and_start_again(monkeypatch):
    async def scenario(world):
        await anyio.sleep(3)
        turn_cold(world)
        for step in range(4):
            name = pick_scheduler(world.hosts, world.known.incarnation)
            world.hosts.pop(name)
            await anyio.sleep(2.5)
            world.start_host(f'new-{step}')
            turn_cold(world, hosts=[world.hosts[f'new-{step}']])
            await anyio.sleep(2.5)

    world = simulate(monkeypatch, scenario, hosts=20, asks_per_s=200)
    assert most_in_a_second(world, 5) <= ALLOWED


def test_the_bound_holds_when_all_hosts_start_again(monkeypatch):
    async def scenario(world):
        await anyio.sleep(3)
        for name in tuple(world.hosts):
            world.start_host(name)
        turn_cold(world)
        await anyio.sleep(6)

    world = simulate(monkeypatch, scenario, hosts=20, asks_per_s=200)
    assert most_in_a_second(world, settled(world)) <= ALLOWED
    assert world.sent_between(world.cold_at + 4, world.cold_at + 6) > 5


@pytest.mark.parametrize('cut', [3, 10, 17])
def test_the_bound_holds_when_hosts_are_cut_off(monkeypatch, cut):
    async def scenario(world):
        await anyio.sleep(3)
        turn_cold(world)
        for name in tuple(world.hosts)[:cut]:
            world.hosts[name].is_cut = True
        await anyio.sleep(10)

    world = simulate(monkeypatch, scenario, hosts=20, asks_per_s=200)
    assert most_in_a_second(world, settled(world)) <= ALLOWED


def test_hosts_out_of_touch_with_the_store_are_told_by_the_others(monkeypatch):
    async def scenario(world):
        await anyio.sleep(3)
        for host in world.hosts.values():
            host.limits.cold.spec_of = find_spec
            host.limits.cold.bounds = BOUNDS
        turn_cold(world, hosts=tuple(world.hosts.values())[:15])
        await anyio.sleep(6)

    world = simulate(monkeypatch, scenario, hosts=20, asks_per_s=200)
    assert most_in_a_second(world, world.cold_at + 2) <= ALLOWED


def test_a_host_that_was_frozen_does_not_use_an_old_permit(monkeypatch):
    async def scenario(world):
        await anyio.sleep(3)
        turn_cold(world)
        await anyio.sleep(1)
        host = next(iter(world.hosts.values()))
        frozen_s = 0

        async def grant(limits, incarnation, rate, max_wait_s):
            return True, 0.2

        async def freeze():
            nonlocal frozen_s
            await anyio.sleep(0.1)
            frozen_s = 3

        monkeypatch.setattr(type(host.limits), '_ask', grant)
        monkeypatch.setattr(
            'ebonywell.targetlimits.boot_time',
            lambda: anyio.current_time() + frozen_s,
        )
        world.group.start_soon(freeze)
        assert not await host.limits.claim(world.known, 0.5)

    simulate(monkeypatch, scenario, hosts=3, asks_per_s=1)
