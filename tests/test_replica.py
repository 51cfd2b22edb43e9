"""Tests of a replica during log outages, gaps and lost replies."""

from contextlib import asynccontextmanager

import anyio
import pytest
from trio.testing import MockClock

from ebonywell import changes, logs, state
from ebonywell.checkpoint import split_state
from ebonywell.checkpointer import Checkpointer
from ebonywell.exceptions import LogOutageError
from ebonywell.replica import Replica
from ebonywell.types import HostId

from .fakelog import FakeLog, FakeLogClient

RETENTION_S = 100


def simulate(scenario):
    """Run a scenario under a virtual clock that skips waiting."""
    options = {'clock': MockClock(autojump_threshold=0)}
    anyio.run(scenario, backend='trio', backend_options=options)


@asynccontextmanager
async def run_replica(log, name='h1', writes_checkpoints=False):
    """Run a replica of a log, and optionally its checkpointer."""
    replica = Replica(
        FakeLogClient(log),
        HostId(name, name),
        logs.discard_event,
        anyio.current_time,
        anyio.current_time,
    )
    async with anyio.create_task_group() as group:
        await group.start(run_service, replica)
        if writes_checkpoints:
            writer = Checkpointer(
                replica,
                RETENTION_S,
                int,
                logs.discard_event,
            )
            await group.start(run_service, writer)
        yield replica
        group.cancel_scope.cancel()


async def run_service(service, *, task_status):
    """Run a service as the kernel does."""
    await service.run(task_status.started)


def workspace(number):
    """Return a change of a workspace that is named by the number."""
    return changes.WorkspaceSet(changes.Workspace(f'w{number}', 1, 1))


def test_an_append_is_applied_on_every_host():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as first, run_replica(log, 'h2') as second:
            ticket = await first.append(workspace(1))
            assert ticket.took_effect
            await second.wait_applied(ticket.offset)
            assert 'w1' in second.state.catalogue.workspaces

    simulate(scenario)


def test_an_append_whose_reply_was_lost_is_confirmed_and_not_repeated():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as replica:
            log.lost_replies = 1
            ticket = await replica.append(workspace(1))
            assert ticket.took_effect
            assert len(log.records) == 1

    simulate(scenario)


def test_a_refused_append_is_retried():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as replica:
            log.refusals = 3
            assert (await replica.append(workspace(1))).took_effect
            assert len(log.records) == 1

    simulate(scenario)


def test_an_append_given_up_in_an_outage_is_not_sent_later():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as replica:
            log.is_down = True
            with pytest.raises(LogOutageError):
                await replica.append(workspace(1))
            log.is_down = False
            await anyio.sleep(30)
            assert not log.records

    simulate(scenario)


def test_in_an_outage_an_append_fails_at_once():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as replica:
            log.is_down = True
            await anyio.sleep(5)
            began = anyio.current_time()
            with pytest.raises(LogOutageError) as caught:
                await replica.append(workspace(1))
            assert not caught.value.is_sent
            assert anyio.current_time() == began
            log.is_down = False
            await anyio.sleep(2)
            assert (await replica.append(workspace(1))).took_effect

    simulate(scenario)


def test_only_one_of_two_concurrent_changes_takes_effect():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as first, run_replica(log, 'h2') as second:
            effects = []

            async def change(replica):
                ticket = await replica.append(workspace(1))
                effects.append(ticket.took_effect)

            async with anyio.create_task_group() as group:
                group.start_soon(change, first)
                group.start_soon(change, second)
            assert sorted(effects) == [False, True]

    simulate(scenario)


def test_a_new_host_starts_from_a_checkpoint_and_the_tail():
    async def scenario():
        log = FakeLog()
        async with run_replica(log, writes_checkpoints=True) as old:
            for number in range(5):
                await old.append(workspace(number))
            await anyio.sleep(RETENTION_S / 2)
            await old.append(workspace(5))
            log.expire(before=5)
            async with run_replica(log, 'h2') as new:
                await new.wait_applied(old.state.applied)
                assert new.state == old.state
                assert len(new.state.catalogue.workspaces) == 6

    simulate(scenario)


def test_an_outage_longer_than_the_retention_loses_no_state():
    async def scenario():
        log = FakeLog()
        async with run_replica(log, writes_checkpoints=True) as old:
            for number in range(5):
                await old.append(workspace(number))
            log.is_down = True
            await anyio.sleep(RETENTION_S * 2)
            log.expire(before=log.end_offset)
            log.is_down = False
            await anyio.sleep(10)
            async with run_replica(log, 'h2') as new:
                assert len(new.state.catalogue.workspaces) == 5

    simulate(scenario)


def test_incomplete_and_outdated_checkpoints_are_harmless():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as old:
            await old.append(workspace(0))
            before = state.encode_state(old.state)
            first = split_state('frozen', old.state.applied, before)
            await old.append(workspace(1))
            whole = state.encode_state(old.state)
            for part in split_state('whole', old.state.applied, whole):
                await old.append(part)
            torn = split_state('torn', old.state.applied, b'x' * 100_000)
            await old.append(torn[0])
            await old.append(workspace(2))
            # A writer that was frozen resumes with its outdated checkpoint.
            for part in first:
                await old.append(part)
            log.expire(before=2)
            async with run_replica(log, 'h2') as new:
                await new.wait_applied(old.state.applied)
                assert new.state == old.state

    simulate(scenario)


def test_applied_offsets_never_decrease():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as replica:
            early = state.decode_state(state.encode_state(replica.state))
            await replica.append(workspace(0))
            assert not replica.replace_state(early)
            replica.apply(0, {'late': 'and unreadable'})
            assert 'w0' in replica.state.catalogue.workspaces

    simulate(scenario)


def test_unreadable_records_are_counted_and_skipped():
    async def scenario():
        log = FakeLog()
        async with run_replica(log) as replica:
            log.keep([{'kind': 'of the future'}, 17])
            await replica.append(workspace(0))
            assert replica.unreadable == 2

    simulate(scenario)


@pytest.mark.parametrize('hosts', [1, 8])
def test_the_fleet_stays_below_its_append_rate(hosts):
    async def scenario():
        log = FakeLog()
        async with anyio.create_task_group() as group:
            for number in range(hosts):
                group.start_soon(append_for_ten_seconds, log, number, hosts)
        assert log.appends <= 200 * 10 + hosts

    simulate(scenario)


async def append_for_ten_seconds(log, number, hosts):
    """Append without pause, at the rate that the appender allows one host."""
    async with run_replica(log, f'h{number}') as replica:
        replica.appender.fleet_size = lambda: hosts
        with anyio.move_on_after(10):
            while True:
                await replica.append(workspace(number))
