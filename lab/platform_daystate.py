"""State of a running day: its deployment, configuration and history."""

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
# Time-out of all routes but LONG_ROUTE.
ROUTE_TIMEOUT_S = 4.0
LONG_ROUTE_TIMEOUT_S = 15.0
# The route of long streams.
LONG_ROUTE = 'plan'
GRACE_S = float(BOUNDS['graceS'])
CONFIG_APPLY_S = float(BOUNDS['configMs']) / MS_PER_S
# A request that is cut within this time after a stop or a change should have
# ended still counts as cut by it.
CUT_MARGIN_S = 1.0
# Time after a fault during which a host still counts as disturbed.
RECOVERY_S = 3.0
RESTART_DELAY_S = 0.2
POLL_INTERVAL_S = 0.02


def day_configuration(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    """Return a day's configuration, which has a route for long streams."""
    content = configuration(version, keys, TOKENS_PER_S)
    timeout_ms = LONG_ROUTE_TIMEOUT_S * MS_PER_S
    long = route(LONG_ROUTE, 'streaming', 'pool', timeoutMs=timeout_ms)
    content['routes'].append(long)
    content['services'][1]['engine']['slots'] = ENGINE_SLOTS
    return content


@dataclass(slots=True, eq=False)
class Day:
    """State of a running day.

    Attributes
    ----------
    world : World
    history : DayHistory
    rng : random.Random
        Random numbers for faults and planned work.
    ends_at : float
        When callers stop sending requests.
    group : TaskGroup
        Runs callers, faults and planned work.
    version : int
        Version of the configuration.
    keys : tuple of str
        API keys that the configuration accepts.
    call_count : int
        Requests that were drawn so far.
    event_lines : list of str
        What was done to the deployment, with times by the clock of the logs.
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
        """Whether callers have stopped sending requests."""
        return time.monotonic() >= self.ends_at

    def log_event(self, event: str) -> None:
        """Record what is done to the deployment, for readers of the logs."""
        self.event_lines.append(f'{time.time():.3f} {event}')

    def put_configuration(self) -> None:
        """Write the next configuration into the store."""
        self.version += 1
        begin = time.monotonic()
        content = day_configuration(self.version, self.keys)
        self.world.store.put('keyed.op', 'config', content)
        end = time.monotonic() + CONFIG_APPLY_S + CUT_MARGIN_S
        self.history.changes.append(Window('configuration', begin, end))
        self.log_event(f'configuration {self.version}')

    @contextmanager
    def record_fault(self, subject: str, description: str) -> Iterator[None]:
        """Record a fault that lasts as long as the context, plus recovery."""
        begin = time.monotonic()
        self.log_event(f'{subject} {description}')
        try:
            yield
        finally:
            self._add_fault(Window(subject, begin, time.monotonic()))

    def pick_host(self) -> Host:
        """Return the current process of a random host."""
        return self.rng.choice(list(self.world.hosts.values()))

    def _add_fault(self, fault: Window) -> None:
        window = replace(fault, end=fault.end + RECOVERY_S)
        self.history.faults.append(window)
        self.log_event(f'{fault.subject} has recovered')


async def restart_on_exit(day: Day, name: str) -> None:
    """Record each end of a host's process, and restart the host."""
    while True:
        host = day.world.hosts[name]
        last_seen_at = host.started_at
        while host.process.poll() is None:
            last_seen_at = time.monotonic()
            await anyio.sleep(POLL_INTERVAL_S)
        day.history.ends.append(
            ProcessEnd(
                name,
                host.started_at,
                time.monotonic(),
                host.process.returncode,
                last_seen_at,
                host.stop_requested_at,
                host.killed_at,
            ),
        )
        day.log_event(f'{name} ended with {host.process.returncode}')
        await anyio.sleep(RESTART_DELAY_S)
        day.world.launch(name)
