"""Runs a short day with faults on the stand-ins, and checks the rules.

Real host processes serve callers in front of stand-ins of the platform, while
hosts are killed, suspended, reloaded and stopped, the store is down, silent or
slow, replicas send corrupt answers, and configurations change. A seed
determines all requests, faults and changes.
"""

import random
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

import anyio
import cyclopts

from .platform_checks import count_outcomes, find_violations
from .platform_daystate import (
    CONFIG_APPLY_S,
    ENGINE_SLOTS,
    GRACE_S,
    SECOND_KEY,
    TOKENS_PER_S,
    Day,
    day_configuration,
    restart_on_exit,
)
from .platform_faults import start_disturbances
from .platform_history import DayBounds, DayHistory, ReplicaRun
from .platform_replicafaults import SETTLE_S
from .platform_traffic import STREAM_ROUTES, start_callers
from .platform_world import API_KEY, World
from .standin_replica import Replica

app = cyclopts.App(help=__doc__)
HOSTS = ('host-1', 'host-2', 'host-3')
ENGINES = (('pool-1', 'm1 m2'), ('pool-2', 'm1 m3'))
EVENTS_FILE = 'day.txt'
VIOLATIONS_FILE = 'broken.txt'
CALLS_FILE = 'calls.txt'
MAX_PRINTED_VIOLATIONS = 12


async def run_day(seed: int, seconds: float, folder: str) -> DayHistory:
    """Run a day and return what was observed."""
    bounds = DayBounds(
        'team',
        TOKENS_PER_S,
        TOKENS_PER_S,
        0,
        grace_s=GRACE_S,
        config_s=CONFIG_APPLY_S,
    )
    services = {'look': 'desk', 'book': 'desk', 'open': 'desk'}
    services |= dict.fromkeys(STREAM_ROUTES, 'pool')
    history = DayHistory(bounds, services=services)
    async with anyio.create_task_group() as outer:
        world = World(folder, outer)
        await _start_deployment(world)
        try:
            await world.wait_ready()
            day = await _run_disturbances(world, history, seed, seconds)
        finally:
            world.stop_hosts()
            outer.cancel_scope.cancel()
    for replica in world.replicas.values():
        _record_replica(history, replica)
    Path(folder, EVENTS_FILE).write_text(
        '\n'.join(day.event_lines), encoding='utf-8'
    )
    return history


async def _start_deployment(world: World) -> None:
    """Start the stand-ins and the hosts in front of them."""
    await world.start_store()
    content = day_configuration(1, (API_KEY, SECOND_KEY))
    world.store.put('keyed.op', 'config', content)
    for name in ('desk-1', 'desk-2'):
        await world.add_replica(name, 'desk')
    for name, models in ENGINES:
        engine = await world.add_replica(name, 'pool', models.split())
        engine.slots = ENGINE_SLOTS
        world.store.put('keyed.servers', name, engine.entry())
    for name in HOSTS:
        world.launch(name)


async def _run_disturbances(
    world: World,
    history: DayHistory,
    seed: int,
    seconds: float,
) -> Day:
    """Run callers, faults and planned work until all of them have ended."""
    async with anyio.create_task_group() as host_group:
        async with anyio.create_task_group() as group:
            ends_at = time.monotonic() + seconds
            rng = random.Random(seed)
            day = Day(world, history, rng, ends_at, group)
            for name in HOSTS:
                host_group.start_soon(restart_on_exit, day, name)
            start_callers(day, seed)
            group.start_soon(start_disturbances, day)
        await anyio.sleep(SETTLE_S)
        host_group.cancel_scope.cancel()
    return day


def _record_replica(history: DayHistory, replica: Replica) -> None:
    for index, (started_at, request) in enumerate(replica.runs):
        headers = request.headers
        run = ReplicaRun(
            headers['request-id'],
            replica.name,
            replica.service,
            started_at,
            request.path,
            headers.get('tenant', ''),
            'authorization' in headers,
        )
        ended_at = replica.ends.get(index, run.ended_at)
        history.runs.append(replace(run, ended_at=ended_at))
    history.broken_by_replicas |= replica.broken_off_ids
    if replica.overfull:
        history.overfull_engines.append(replica.name)
    history.accepted_fences[replica.name] = [
        (order['fence'], order['holder']) for order in replica.orders
    ]


def run_seed(seed: int, seconds: float, logs: Path | None) -> list[str]:
    """Run a day, print a summary and the violations; return the violations.

    With `logs`, the violations and the ends of calls are also written to files
    in that folder.
    """
    with tempfile.TemporaryDirectory() as folder:
        log_folder = folder
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
            log_folder = str(logs)
        history = anyio.run(run_day, seed, seconds, log_folder)
    ended = sorted(count_outcomes(history).items())
    outcomes = ' '.join(f'{status}:{count}' for status, count in ended)
    violations = find_violations(history)
    if logs is not None:
        Path(logs, VIOLATIONS_FILE).write_text(
            '\n'.join(violations), encoding='utf-8'
        )
        lines = '\n'.join(_format_calls(history))
        Path(logs, CALLS_FILE).write_text(lines, encoding='utf-8')
    sys.stdout.write(
        f'seed {seed}: {len(violations)} broken, {len(history.stops)} stops, '
        f'{len(history.reloads)} reloads, {len(history.calls)} calls, '
        f'{outcomes}\n',
    )
    for violation in violations[:MAX_PRINTED_VIOLATIONS]:
        sys.stdout.write(f'BROKEN {violation}\n')
    if len(violations) > MAX_PRINTED_VIOLATIONS:
        sys.stdout.write(
            f'... and {len(violations) - MAX_PRINTED_VIOLATIONS} more\n'
        )
    sys.stdout.flush()
    return violations


def _format_calls(history: DayHistory) -> Iterator[str]:
    """Yield a line for each call, with times by the clock of the logs."""
    shift_s = time.time() - time.monotonic()
    for call in history.calls:
        yield (
            f'{call.sent_at + shift_s:.3f} {call.ended_at + shift_s:.3f} '
            f'{call.request_id} {call.path.split("/")[1]} {call.host} '
            f'{call.status} events {len(call.events)}/{call.event_count} '
            f'whole {call.is_whole} left {call.left_at is not None} '
            f'kept {call.reuses_connection} reset {call.is_reset}'
        )


@app.default
def main(
    *,
    seed: int = 1,
    last: int | None = None,
    seconds: float = 12,
    logs: Path | None = None,
) -> None:
    """Run a day; print how calls ended and which rules were violated.

    Parameters
    ----------
    seed
        Seed for callers and faults. It does not fix the machine's timing.
    last
        Run one day for each seed up to this one.
    seconds
        How long callers send requests.
    logs
        Folder for the hosts' settings and logs, and for a record of what was
        done to the deployment. With `last`, it gets a subfolder for each seed.
    """
    has_violations = False
    for number in range(seed, (last or seed) + 1):
        log_folder = logs
        if logs is not None and last is not None:
            log_folder = logs / f'seed-{number}'
        if run_seed(number, seconds, log_folder):
            has_violations = True
    sys.exit(1 if has_violations else 0)


if __name__ == '__main__':
    app()
