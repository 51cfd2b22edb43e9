"""Separate processes under faults, and the checks of what they did."""

import functools

import anyio
import pytest

from lab import faults
from lab.arrivals import CallKind
from lab.callers import Observation, Outcome
from lab.deployment import Deployment, wait_until
from lab.history import (
    History,
    PlannedStop,
    Race,
    Received,
    TargetDrain,
    Withdrawal,
    find_violations,
)
from lab.shape import Shape

ADDRESS = '10.0.0.1:80'


def observe(marker, kind=CallKind.stock, **fields):
    """Make what a caller saw; a whole answer of its own unless told."""
    seen = Observation(
        marker,
        'counter',
        kind,
        ADDRESS,
        key_id='k1',
        started_at=10,
        ended_at=11,
        outcome=Outcome.answered,
        status=200,
        request_id=f'id-{marker}',
        is_own=True,
    )
    for name, value in fields.items():
        setattr(seen, name, value)
    return seen


def receive(marker, target='stock-1', received_at=10.5, **headers):
    """Make a line of a target's journal."""
    headers = {'x-request-id': f'id-{marker}', **headers}
    return Received(target, f'/{marker}', headers, marker, received_at)


@pytest.fixture
def history():
    """Make a history in which everything holds."""
    return History(
        observations=[
            observe('m1'),
            observe('m2', CallKind.order),
            observe(
                'm3',
                outcome=Outcome.refused,
                run_state='not_run',
                is_own=False,
                key_id='k0',
                started_at=30,
                ended_at=30.1,
            ),
            observe('m4', CallKind.stream, key_id='k0', ended_at=19),
        ],
        received=[receive('m1'), receive('m2', 'orders-1')],
        withdrawals=[Withdrawal('k0', 18)],
        leavings=[TargetDrain('stock-1', 12, 40)],
        stops=[PlannedStop('entry-1', ADDRESS, 9, 20, 0)],
        races=[Race([5.0], [5.0, 5.0])],
        keys=['secret-key'],
        logs={'entry-1': 'event=ready'},
    )


def run_twice(history):
    history.received.append(receive('m2', 'orders-2'))


def run_though_not_run(history):
    history.received.append(receive('m3'))


def pass_key_on(history):
    history.received[0].headers['cookie'] = 'k=secret-key'


def log_key(history):
    history.logs['entry-1'] = 'event=call key=secret-key'


def cross_answers(history):
    history.observations[0].is_own = False


def admit_withdrawn(history):
    history.observations[2].outcome = Outcome.answered
    history.observations[2].is_own = True


def keep_withdrawn_stream(history):
    history.observations[3].ended_at = 28


def fail_to_stop(history):
    history.stops[0].exit_code = 1


def cut_by_stop(history):
    history.observations[0].outcome = Outcome.lost


def use_leaving_target(history):
    history.received.append(receive('m9', received_at=17))


def accept_two(history):
    history.races[0].accepted.append(6.0)


def revert_change(history):
    history.races[0].final[1] = 1.0


@pytest.mark.parametrize(
    ('fault', 'check'),
    [
        (run_twice, 'at_most_once'),
        (run_though_not_run, 'not_run'),
        (pass_key_on, 'key_hidden'),
        (log_key, 'key_hidden'),
        (cross_answers, 'own_answers'),
        (admit_withdrawn, 'withdrawn'),
        (keep_withdrawn_stream, 'withdrawn'),
        (fail_to_stop, 'planned_stops'),
        (cut_by_stop, 'planned_stops'),
        (use_leaving_target, 'leaving'),
        (accept_two, 'races'),
        (revert_change, 'races'),
    ],
)
def test_a_check_catches_its_fault(history, fault, check):
    assert find_violations(history) == []
    fault(history)
    assert {found.partition(':')[0] for found in find_violations(history)} == {
        check,
    }


def test_what_must_hold_through_faults():
    history = anyio.run(faults.run_faults, 1)
    assert find_violations(history) == []
    kinds = {seen.kind for seen in history.observations if seen.is_own}
    assert kinds == set(CallKind), faults.describe(history)
    assert history.withdrawals and history.leavings and history.races


def test_all_entry_processes_replaced_under_load():
    history = anyio.run(faults.run_replacement, 1)
    assert find_violations(history) == []
    assert len(history.stops) == 3


def test_a_host_is_lost_as_an_expelled_one_comes_back():
    history = anyio.run(faults.run_double_loss, 1)
    assert find_violations(history) == []
    recovered = history.steps[-1].began_at
    codes = {
        seen.code
        for seen in history.observations
        if seen.started_at > recovered
    }
    assert codes == {''}, faults.describe(history)


async def list_line(**fields):
    """Put a line into the host list; return the log and exit code of a host."""
    async with Deployment(Shape(entries=1)) as deployment:
        member = deployment.entries['entry-1']
        line = {'name': 'odd', 'address': '127.0.0.1:80', **fields}
        url = f'{deployment.platform["hosts"].url}/hosts/odd'
        await deployment.client.ask('PUT', url, body=line)

        async def is_noted():
            is_over = not member.is_running()
            return is_over or 'host_line_unusable' in member.read_log()

        await wait_until(is_noted, 'line noted')
        # Two rounds of polls, of the list and of the links to peers.
        await anyio.sleep(2)
        return member.read_log(), member.process.returncode


@pytest.mark.parametrize(
    'fields',
    [
        {'role': 'engine', 'address': '127.0.0.1:http'},
        {'role': 'engine', 'address': '::1:80'},
        {'role': 'entry', 'peer_address': '127.0.0.1:99999'},
    ],
)
def test_an_unusable_line_of_the_host_list_ends_no_host(fields):
    log, code = anyio.run(functools.partial(list_line, **fields))
    assert code is None, log
    assert log.count('host_line_unusable') == 1
