"""Tests of deployments under injected faults, and of the history checks."""

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
    """Return an observation; by default of a complete answer of its own."""
    observation = Observation(
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
        setattr(observation, name, value)
    return observation


def receive(marker, target='stock-1', received_at=10.5, **headers):
    """Return a line of a target's journal."""
    headers = {'x-request-id': f'id-{marker}', **headers}
    return Received(target, f'/{marker}', headers, marker, received_at)


@pytest.fixture
def history():
    """Return a history without violations."""
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


def run_order_twice(history):
    history.received.append(receive('m2', 'orders-2'))


def run_call_reported_not_run(history):
    history.received.append(receive('m3'))


def forward_key(history):
    history.received[0].headers['cookie'] = 'k=secret-key'


def log_key(history):
    history.logs['entry-1'] = 'event=call key=secret-key'


def swap_answers(history):
    history.observations[0].is_own = False


def admit_withdrawn_key(history):
    history.observations[2].outcome = Outcome.answered
    history.observations[2].is_own = True


def keep_withdrawn_stream(history):
    history.observations[3].ended_at = 28


def exit_with_error(history):
    history.stops[0].exit_code = 1


def cut_call_by_stop(history):
    history.observations[0].outcome = Outcome.lost


def use_draining_target(history):
    history.received.append(receive('m9', received_at=17))


def accept_two_changes(history):
    history.races[0].accepted.append(6.0)


def revert_change(history):
    history.races[0].final[1] = 1.0


@pytest.mark.parametrize(
    ('violate', 'check'),
    [
        (run_order_twice, 'at_most_once'),
        (run_call_reported_not_run, 'not_run'),
        (forward_key, 'key_hidden'),
        (log_key, 'key_hidden'),
        (swap_answers, 'own_answers'),
        (admit_withdrawn_key, 'withdrawn'),
        (keep_withdrawn_stream, 'withdrawn'),
        (exit_with_error, 'planned_stops'),
        (cut_call_by_stop, 'planned_stops'),
        (use_draining_target, 'leaving'),
        (accept_two_changes, 'races'),
        (revert_change, 'races'),
    ],
)
def test_a_check_finds_its_violation(history, violate, check):
    assert find_violations(history) == []
    violate(history)
    assert {found.partition(':')[0] for found in find_violations(history)} == {
        check,
    }


def test_invariants_hold_under_injected_faults():
    history = anyio.run(faults.run_faults, 1)
    assert find_violations(history) == []
    kinds = {
        observation.kind
        for observation in history.observations
        if observation.is_own
    }
    assert kinds == set(CallKind), faults.describe(history)
    assert history.withdrawals and history.leavings and history.races


def test_replacing_all_entry_processes_under_load_cuts_no_call():
    history = anyio.run(faults.run_replacement, 1)
    assert find_violations(history) == []
    assert len(history.stops) == 3


def test_calls_succeed_after_a_host_is_lost_while_an_expelled_one_returns():
    history = anyio.run(faults.run_double_loss, 1)
    assert find_violations(history) == []
    recovered = history.steps[-1].began_at
    codes = {
        observation.code
        for observation in history.observations
        if observation.started_at > recovered
    }
    assert codes == {''}, faults.describe(history)


async def add_host_list_line(**fields):
    """Add a line to the host list; return log and exit code of a host."""
    async with Deployment(Shape(entries=1)) as deployment:
        member = deployment.entries['entry-1']
        line = {'name': 'odd', 'address': '127.0.0.1:80', **fields}
        url = f'{deployment.platform["hosts"].url}/hosts/odd'
        await deployment.client.ask('PUT', url, body=line)

        async def is_logged():
            is_stopped = not member.is_running()
            return is_stopped or 'host_line_unusable' in member.read_log()

        await wait_until(is_logged, 'unusable line logged')
        # Covers two rounds of polls of the host list and of links to peers.
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
def test_an_unusable_line_of_the_host_list_stops_no_host(fields):
    log, code = anyio.run(functools.partial(add_host_list_line, **fields))
    assert code is None, log
    assert log.count('host_line_unusable') == 1
