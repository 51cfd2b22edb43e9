"""Measures replicas of the log: propagation of changes, and start-up time."""

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from tempfile import TemporaryDirectory

import anyio
import cyclopts
import msgspec
from anyio.abc import TaskStatus

from ebonywell import changes, logs, records
from ebonywell.checkpoint import split_state
from ebonywell.logclient import LogClient, StoredRecord
from ebonywell.recovery import Recovery, add_record
from ebonywell.replica import Replica
from ebonywell.state import State, apply_record, encode_state
from ebonywell.types import HostId, new_id

from .processes import start, stop

app = cyclopts.App()
CHANGE_COUNT = 60
HOST_COUNTS = (2, 8, 24)
RECORD_COUNTS = (1_000, 10_000, 100_000)
WORKSPACE_COUNT = 1_000


@dataclass(slots=True)
class StateRow:
    """One measurement.

    Attributes
    ----------
    what : str
    size : int
        Number of hosts or of records.
    value : float
    unit : str
    """

    what: str
    size: int
    value: float
    unit: str


def make_workspace_change(number: int) -> changes.WorkspaceSet:
    """Return a record that sets one of a thousand workspaces."""
    name = f'w{number % WORKSPACE_COUNT}'
    replaces = 0 if number < WORKSPACE_COUNT else number - WORKSPACE_COUNT + 1
    return changes.WorkspaceSet(changes.Workspace(name, 1, 1), replaces)


def measure_startup() -> list[StateRow]:
    """Measure how long a new host takes to replay records or a checkpoint."""
    rows = []
    for count in RECORD_COUNTS:
        stored = [
            StoredRecord(
                offset,
                records.to_json(
                    records.make_record(make_workspace_change(offset), 'h', 0)
                ),
            )
            for offset in range(count)
        ]
        rows.append(_row('start by replay', count, partial(_replay, stored)))
        built = _replay(stored)
        parts = split_state(new_id(), built.applied, encode_state(built))
        tail = [
            StoredRecord(
                count + index,
                records.to_json(records.make_record(part, 'h', 0)),
            )
            for index, part in enumerate(parts)
        ]
        rows.append(
            _row('start by checkpoint', count, partial(_recover, count, tail)),
        )
        size = sum(len(msgspec.json.encode(one.record)) for one in tail)
        rows.append(StateRow('checkpoint size', count, size, 'bytes'))
    return rows


def _row(what: str, size: int, job: Callable[[], object]) -> StateRow:
    started_at = time.perf_counter()
    job()
    return StateRow(what, size, (time.perf_counter() - started_at) * 1000, 'ms')


def _replay(stored: list[StoredRecord]) -> State:
    built = State()
    for one in stored:
        record = msgspec.convert(one.record, records.Record)
        apply_record(built, one.offset, record)
    return built


def _recover(first_offset: int, tail: list[StoredRecord]) -> State:
    search = Recovery(first_offset)
    for one in tail:
        found = add_record(search, one)
        if found is not None:
            return found
    raise LookupError('no complete checkpoint in the records')


async def measure_propagation() -> list[StateRow]:
    """Measure how long a change takes to be applied on all hosts."""
    rows = []
    with TemporaryDirectory() as logs_folder:
        for hosts in HOST_COUNTS:
            log = await start(
                'log',
                ['lab.standin_log'],
                Path(logs_folder),
                {},
            )
            try:
                rows.extend(await _measure_hosts(log.url, hosts))
            finally:
                await stop([log])
    return rows


async def _measure_hosts(url: str, hosts: int) -> list[StateRow]:
    replicas = [
        Replica(
            LogClient(url),
            HostId(f'h{number}', 'x'),
            logs.discard_event,
        )
        for number in range(hosts)
    ]
    fleet_size = partial(int, hosts)
    async with anyio.create_task_group() as group:
        for replica in replicas:
            replica.appender.fleet_size = fleet_size
            await group.start(_run, replica)
        rows = await _time_changes(replicas)
        group.cancel_scope.cancel()
    return rows


async def _time_changes(replicas: list[Replica]) -> list[StateRow]:
    waits = []
    for number in range(CHANGE_COUNT):
        started_at = time.perf_counter()
        writer = replicas[number % len(replicas)]
        ticket = await writer.append(make_workspace_change(number))
        for replica in replicas:
            await replica.wait_applied(ticket.offset or 0)
        waits.append((time.perf_counter() - started_at) * 1000)
    hosts = len(replicas)
    return [
        StateRow('in force, median', hosts, statistics.median(waits), 'ms'),
        StateRow('in force, worst', hosts, max(waits), 'ms'),
    ]


async def _run(replica: Replica, *, task_status: TaskStatus[None]) -> None:
    await replica.run(task_status.started)


def measure(seed: int = 1) -> list[StateRow]:
    """Return all rows; they do not depend on the seed."""
    return [*measure_startup(), *anyio.run(measure_propagation)]


@app.default
def main() -> None:
    """Print all measurements as a table."""
    for row in measure():
        print(f'{row.what:24} {row.size:8} {row.value:12.2f} {row.unit}')


if __name__ == '__main__':
    app()
