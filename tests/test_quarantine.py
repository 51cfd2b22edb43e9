"""Tests of requests that crash targets, and of those in flight with them."""

import anyio
import pytest

from ebonywell.suspects import (
    SUSPECT_TTL_S,
    TRIAL_TTL_S,
    RequestCleared,
    RequestStatus,
    RequestSuspected,
    Suspects,
    TrialStarted,
    apply,
    expire,
    request_status,
)

from .crashworld import simulate

FINAL = (422, 'unknown', None)


async def _gather(*calls):
    results = {}

    async def note(number, call):
        results[number] = await call

    async with anyio.create_task_group() as group:
        for number, call in enumerate(calls):
            group.start_soon(note, number, call)
    return [results[number] for number in range(len(calls))]


def test_a_crashing_request_crashes_two_targets_and_others_succeed():
    async def scenario(fleet):
        first, second = fleet.hosts
        # Earlier requests fill the retry budget for the retries below.
        await _gather(*[first.ask(b'w%d' % n) for n in range(50)])
        await _gather(*[second.ask(b'v%d' % n) for n in range(50)])
        others = [
            fleet.hosts[number % 2].ask(b'i%d' % number) for number in range(20)
        ]
        results = await _gather(first.ask(b'killer'), *others)
        assert results[0] == FINAL
        assert {one[0] for one in results[1:]} == {200}
        assert fleet.crashes == 2
        # Repeats by the caller are rejected at once on either host.
        again = await _gather(first.ask(b'killer'), second.ask(b'killer'))
        assert set(again) == {(422, 'not_run', None)}
        await anyio.sleep(1)
        table = first.replica.state.suspects
        assert list(table.by_digest) == [b'killer'.hex()]
        assert fleet.crashes == 2

    simulate(scenario)


def test_repeats_during_the_trial_do_not_run_concurrently():
    async def scenario(fleet):
        first, second = fleet.hosts
        for _ in range(5):
            await _gather(first.ask(b'killer'), second.ask(b'x'))
        await second.ask(b'killer')

    assert simulate(scenario).crashes == 2


def test_a_host_that_dies_in_a_trial_blocks_no_other_host():
    async def scenario(fleet):
        first, second = fleet.hosts
        digest = b'slow'.hex()
        await first.replica.append(RequestSuspected(digest, 't0', '9'))
        await first.replica.append(TrialStarted(digest, 't1', 'gone/1', 'x'))
        fleet.dead.add('gone/1')
        assert await second.ask(b'slow') == (200, 'ran', None)

    simulate(scenario)


def test_in_a_log_outage_a_crash_is_not_retried():
    async def scenario(fleet):
        first, _ = fleet.hosts
        await _gather(*[first.ask(b'w%d' % n) for n in range(20)])
        fleet.log.is_down = True
        for _ in range(3):
            status, run_state, retry_after_s = await first.ask(b'killer')
            assert (status, run_state) == (503, 'unknown')
            assert retry_after_s
        assert fleet.crashes == 1

    simulate(scenario)


def test_a_cut_stream_ends_at_once_and_still_becomes_a_suspect():
    async def scenario(fleet):
        first, second = fleet.hosts
        fleet.log.is_down = True
        before = anyio.current_time()
        status, run_state, _ = await first.ask(b'killer', is_started=True)
        assert (status, run_state) == (502, 'unknown')
        assert anyio.current_time() - before < 1
        fleet.log.is_down = False
        await anyio.sleep(10)
        await second.ask(b'x')
        assert (
            request_status(second.replica.state.suspects, b'killer'.hex())
            == RequestStatus.suspect
        )

    simulate(scenario)


@pytest.fixture
def table():
    return Suspects()


def test_one_crash_counts_once_and_a_cleared_suspect_starts_over(table):
    for _ in range(2):
        apply(table, RequestSuspected('d', 't1', 'a'))
    assert request_status(table, 'd') == RequestStatus.suspect
    apply(table, RequestCleared('d'))
    assert request_status(table, 'd') == RequestStatus.clear
    apply(table, RequestSuspected('d', 't1', 'b'))
    apply(table, RequestSuspected('d', 't2', 'a', is_trial=True))
    assert request_status(table, 'd') == RequestStatus.quarantined
    assert not apply(table, RequestCleared('d'))


def test_a_target_runs_one_trial_at_a_time(table):
    for digest in ('d', 'e'):
        apply(table, RequestSuspected(digest, 't1', 'a'))
    assert apply(table, TrialStarted('d', 't2', 'h', '1'))
    assert not apply(table, TrialStarted('e', 't2', 'h', '2'))
    assert apply(table, TrialStarted('e', 't3', 'h', '3'))


def test_suspects_and_trials_expire(table):
    apply(table, RequestSuspected('d', 't1', 'a'))
    apply(table, TrialStarted('d', 't2', 'h', '1'))
    expire(table, TRIAL_TTL_S + 1)
    assert not table.trials
    expire(table, SUSPECT_TTL_S + 1)
    assert request_status(table, 'd') == RequestStatus.clear


def test_targets_that_fail_together_quarantine_no_popular_request(table):
    for target in 't1', 't2':
        apply(table, RequestSuspected('popular', target, 'a'))
    assert request_status(table, 'popular') == RequestStatus.suspect
