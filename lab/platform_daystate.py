"""What a day is played on: its deployment, its operator and its history."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from anyio.abc import TaskGroup

from .platform_history import DayHistory, ProcessEnd, Window
from .platform_world import API_KEY, BOUNDS, Host, World, configuration, route

MS_PER_S = 1000
SECOND_KEY = 'second-key'
TOKENS_PER_S = 4000
ENGINE_SLOTS = 32
# Of the routes; long streams have the other one.
ROUTE_TIMEOUT_S = 4.0
LONG_ROUTE_TIMEOUT_S = 15.0
LONG_ROUTE = 'plan'
GRACE_S = float(BOUNDS['graceS'])
CONFIG_APPLY_S = float(BOUNDS['configMs']) / MS_PER_S
# What is cut so long after the end of a span still counts to it.
CUT_MARGIN_S = 1.0
# After a fault a host needs that long before it counts as undisturbed.
RECOVERY_S = 3.0
RESTART_DELAY_S = 0.2
POLL_INTERVAL_S = 0.02


def day_configuration(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    """Return a configuration with a route of long streams."""
    content = configuration(version, keys, TOKENS_PER_S)
    timeout_ms = LONG_ROUTE_TIMEOUT_S * MS_PER_S
    long = route(LONG_ROUTE, 'streaming', 'pool', timeoutMs=timeout_ms)
    content['routes'].append(long)
    content['services'][1]['engine']['slots'] = ENGINE_SLOTS
    return content


@dataclass(slots=True, eq=False)
class Day:
    """A day that is being played.

    Attributes
    ----------
    world : World
    history : DayHistory
    rng : random.Random
        Of faults.
    ends_at : float
        When callers stop.
    group : TaskGroup
    version : int
        Of the configuration.
    keys : tuple of str
    call_count : int
    event_lines : list of str
        What was done to the deployment, with the time that logs bear.
    """

    world: World
    history: DayHistory
    rng: random.Random
    ends_at: float
    group: TaskGroup
    version: int = 1
    keys: tuple[str, ...] = (API_KEY, SECOND_KEY)
    call_count: int = 0
    event_lines: list[str] = field(default_factory=list)

    @property
    def is_over(self) -> bool:
        """Whether callers send no more."""
        return time.monotonic() >= self.ends_at

    def log_event(self, what: str) -> None:
        """Note what is done to the deployment, for those who read logs."""
        self.event_lines.append(f'{time.time():.3f} {what}')

    def put_configuration(self) -> None:
        """Put the next configuration into the store."""
        self.version += 1
        begin = time.monotonic()
        content = day_configuration(self.version, self.keys)
        self.world.store.put('keyed.op', 'config', content)
        end = time.monotonic() + CONFIG_APPLY_S + CUT_MARGIN_S
        self.history.changes.append(Window('configuration', begin, end))
        self.log_event(f'configuration {self.version}')

    @contextmanager
    def record_fault(self, subject: str, description: str) -> Iterator[None]:
        """Note a fault while it lasts, and what it takes to get over it."""
        begin = time.monotonic()
        self.log_event(f'{subject} {description}')
        try:
            yield
        finally:
            self._add_fault(Window(subject, begin, time.monotonic()))

    def pick_host(self) -> Host:
        """Return one of the hosts as they run now."""
        return self.rng.choice(list(self.world.hosts.values()))

    def _add_fault(self, fault: Window) -> None:
        until = replace(fault, end=fault.end + RECOVERY_S)
        self.history.faults.append(until)
        self.log_event(f'{fault.subject} is over it')


async def restart_on_exit(day: Day, name: str) -> None:
    """Note each end of a host's process, and start it again."""
    while True:
        host = day.world.hosts[name]
        seen_at = host.started_at
        while host.process.poll() is None:
            seen_at = time.monotonic()
            await anyio.sleep(POLL_INTERVAL_S)
        day.history.ends.append(
            ProcessEnd(
                name,
                host.started_at,
                time.monotonic(),
                host.process.returncode,
                seen_at,
                host.stop_requested_at,
                host.killed_at,
            ),
        )
        day.log_event(f'{name} ended with {host.process.returncode}')
        await anyio.sleep(RESTART_DELAY_S)
        day.world.launch(name)
