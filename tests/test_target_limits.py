"""Limits that targets state, kept by all hosts together; simulated."""

import math

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.modelswaps import LIMITED_LOAD, limited_load
from ebonywell.platform.exchange import read_statement
from ebonywell.sendschedule import (
    MAX_RATE,
    MIN_RATE,
    SendSchedule,
    effective_rate,
    pick_scheduler,
)
from ebonywell.statements import NOTHING_STATED, Statement, Statements
from ebonywell.upstream import AnswerHead

from .sendworld import CONTACT_S, allowed, make_known, simulate

ONE = ('t', 1)


def state_after(seconds, rate):
    """Return a scenario in which the target states a limit."""

    async def scenario(world):
        await anyio.sleep(2)
        world.rate = rate
        world.stated_at = anyio.current_time()
        await anyio.sleep(seconds)

    return scenario


# Statements


def test_an_older_answer_does_not_withdraw_a_limit():
    known = Statements()
    assert known.note_answer(ONE, Statement(2), 10, 11)
    assert not known.note_answer(ONE, NOTHING_STATED, 10.5, 12)
    assert known.get(ONE) == Statement(2)
    assert known.note_answer(ONE, NOTHING_STATED, 11.5, 13)
    assert known.get(ONE) == NOTHING_STATED


def test_the_newest_of_several_limits_applies():
    known = Statements()
    assert known.merge(ONE, Statement(2), 10)
    assert not known.merge(ONE, Statement(5), 9)
    assert known.get(ONE) == Statement(2)
    assert known.merge(ONE, Statement(5), 11)
    assert not known.merge(ONE, Statement(5), 12)


def test_a_withdrawn_limit_is_not_restored_by_older_word():
    known = Statements()
    known.note_answer(ONE, Statement(2), 10, 11)
    known.note_answer(ONE, NOTHING_STATED, 12, 13)
    assert not known.merge(ONE, Statement(2), 11)
    assert known.get(ONE) == NOTHING_STATED


def test_a_new_incarnation_has_stated_nothing():
    known = Statements()
    known.merge(ONE, Statement(2), 10)
    assert known.get(('t', 2)) == NOTHING_STATED
    known.retain([('t', 2)])
    assert not known.known


def head_with(*values):
    pairs = [(b'server-limit', value.encode()) for value in values]
    return AnswerHead(200, [(b'request-id', b'x'), *pairs])


@pytest.mark.parametrize(
    ('values', 'rate'),
    [
        ((), None),
        (('0',), 0),
        (('0.2',), 0.2),
        (('1e9',), 1e9),
        (('2', '1'), 1),
    ],
)
def test_limits_are_read_from_answers(values, rate):
    assert read_statement(head_with(*values)).rate_limit == rate


@pytest.mark.parametrize('value', ['-1', 'nan', 'inf', '', 'x', '1,2'])
def test_unreadable_limits_are_rejected(value):
    with pytest.raises(ValueError):
        read_statement(head_with(value))


@given(st.text(st.characters(max_codepoint=255), max_size=20))
def test_any_limit_is_read_or_rejected(value):
    head = AnswerHead(200, [(b'server-limit', value.encode('latin-1'))])
    try:
        rate = read_statement(head).rate_limit
    except ValueError:
        return
    assert math.isfinite(rate)
    assert rate >= 0


def test_rates_are_bounded():
    assert effective_rate(None) is None
    assert effective_rate(MAX_RATE) is None
    assert effective_rate(0) == MIN_RATE
    assert effective_rate(5) == 5


# Schedule


@given(
    st.lists(st.tuples(st.floats(0, 3), st.floats(0, 1)), max_size=40),
    st.floats(0.2, 20),
)
def test_scheduled_requests_are_spaced_by_the_rate(asks, rate):
    schedule = SendSchedule(-10)
    now = 0
    sent = []
    for pause_s, max_wait_s in asks:
        now += pause_s
        is_granted, due_s = schedule.reserve(rate, max_wait_s, now)
        if is_granted:
            assert due_s <= max_wait_s
            sent.append(now + due_s)
    for before, after in zip(sent, sent[1:], strict=False):
        assert after - before >= 1 / rate - 1e-9


def test_a_raised_limit_applies_at_once():
    schedule = SendSchedule(-10)
    assert schedule.reserve(0.2, 0, 0) == (True, 0)
    assert schedule.reserve(0.2, 0.5, 1)[0] is False
    is_granted, due_s = schedule.reserve(10, 0.5, 1)
    assert is_granted
    assert due_s == 0


def test_few_targets_change_their_scheduler_with_a_host():
    names = [f'host-{number}' for number in range(20)]
    targets = [(f't{number}', 1) for number in range(200)]
    before = [pick_scheduler(names, one) for one in targets]
    after = [pick_scheduler(names[1:], one) for one in targets]
    changed = sum(
        one != other for one, other in zip(before, after, strict=True)
    )
    assert changed == before.count('host-0')


def test_a_limited_engine_counts_as_loaded():
    assert limited_load(None) == 0
    assert limited_load(100) == 0
    assert limited_load(0) == LIMITED_LOAD
    assert 0 < limited_load(4) < LIMITED_LOAD


# Fleets


@pytest.mark.parametrize('loss', [0, 0.2])
@pytest.mark.parametrize('rate', [0, 0.2, 1, 5])
@pytest.mark.parametrize('seed', range(3))
def test_all_hosts_together_keep_a_limit(monkeypatch, rate, loss, seed):
    world = simulate(monkeypatch, state_after(15, rate), seed=seed, loss=loss)
    assert world.busiest_window() <= allowed(rate)
    since = world.stated_at + CONTACT_S
    assert world.busiest_window(since, is_told=False) <= allowed(rate)


@pytest.mark.parametrize(('hosts', 'rate'), [(72, 1), (72, 0.2), (300, 2)])
def test_a_limit_below_one_request_per_host_is_used_and_kept(
    monkeypatch, hosts, rate
):
    # Fewer repeated statements than in digests, to save time.
    world = simulate(
        monkeypatch,
        state_after(13, rate),
        hosts=hosts,
        asks_per_s=200,
        digest_period_s=1,
    )
    since = world.stated_at + CONTACT_S
    assert world.busiest_window(since, is_told=False) <= allowed(rate)
    used = world.sent_between(since, since + 10)
    assert used >= rate * 10 * 0.7 - 1


def test_the_limit_is_used_and_kept_when_schedulers_die(monkeypatch):
    async def scenario(world):
        await state_after(4, 2)(world)
        for _ in range(3):
            name = pick_scheduler(world.hosts, world.known.incarnation)
            world.hosts.pop(name)
            world.died_at = anyio.current_time()
            await anyio.sleep(5)

    world = simulate(monkeypatch, scenario)
    assert world.busiest_window() <= allowed(2)
    assert world.sent_between(world.died_at + 2, world.died_at + 5) >= 4


def test_the_limit_is_kept_when_hosts_start_again(monkeypatch):
    async def scenario(world):
        await state_after(5, 1)(world)
        for name in tuple(world.hosts):
            world.start_host(name)
            await anyio.sleep(1)
        for name in tuple(world.hosts):
            world.start_host(name)
        await anyio.sleep(8)

    world = simulate(monkeypatch, scenario)
    assert world.busiest_window() <= allowed(1)


def test_hosts_that_are_cut_off_keep_their_part(monkeypatch):
    async def scenario(world):
        await state_after(4, 2)(world)
        for name in tuple(world.hosts)[:3]:
            world.hosts[name].is_cut = True
        world.cut_at = anyio.current_time()
        await anyio.sleep(8)

    world = simulate(monkeypatch, scenario)
    assert world.busiest_window(world.cut_at, is_told=False) <= allowed(2)


def test_hosts_agree_on_a_limit_that_changes_each_second(monkeypatch):
    async def scenario(world):
        await state_after(3, 1)(world)
        for rate in (4, 1, 6, 0.5, 3, 1) * 2:
            world.rate = rate
            await anyio.sleep(1)
        await anyio.sleep(3)
        rates = {
            one.limits.rate_of(world.known) for one in world.hosts.values()
        }
        assert rates == {1}

    world = simulate(monkeypatch, scenario)
    assert world.busiest_window(world.stated_at + CONTACT_S) <= allowed(6)


def test_a_limit_ends_for_all_hosts_when_answers_no_longer_state_it(
    monkeypatch,
):
    async def scenario(world):
        await state_after(5, 0)(world)
        world.rate = None
        world.ended_at = anyio.current_time()
        await anyio.sleep(10)
        for host in world.hosts.values():
            assert not host.limits.is_limited(world.known)

    simulate(monkeypatch, scenario)


def test_a_limit_ends_with_its_incarnation(monkeypatch):
    async def scenario(world):
        await state_after(5, 1)(world)
        world.rate = None
        world.known = make_known(born=2)
        before = len(world.arrivals)
        await anyio.sleep(1)
        assert len(world.arrivals) - before > 20

    simulate(monkeypatch, scenario)


def test_a_target_without_a_limit_costs_no_message(monkeypatch):
    world = simulate(monkeypatch, state_after(5, None))
    assert not sum(host.datagrams for host in world.hosts.values())


def test_a_request_with_another_choice_leaves_scarce_sends_to_others(
    monkeypatch,
):
    async def scenario(world):
        await state_after(4, 1)(world)
        granted = 0
        for host in tuple(world.hosts.values()) * 6:
            granted += await host.ask(max_wait_s=0)
            await anyio.sleep(0.2)
        assert granted <= 1

    simulate(monkeypatch, scenario)
