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
from .platform_world import BOUNDS, KEY, Host, World, configuration, route

MS_PER_S = 1000
SECOND_KEY = 'second-key'
RATE = 4000
SLOTS = 32
# Of the routes; long streams have the other one.
TIMEOUT_S = 4.0
LONG_TIMEOUT_S = 15.0
LONG_KIND = 'plan'
GRACE_S = float(BOUNDS['graceS'])
CONFIG_S = float(BOUNDS['configMs']) / MS_PER_S
# What is cut so long after the end of a span still counts to it.
AFTER_S = 1.0
# After a fault a host needs that long before it counts as undisturbed.
CONTACT_S = 3.0
RESTART_S = 0.2
POLL_S = 0.02


def day_configuration(version: int, keys: tuple[str, ...]) -> dict[str, Any]:
    """Return a configuration with a route of long streams."""
    content = configuration(version, keys, RATE)
    timeout_ms = LONG_TIMEOUT_S * MS_PER_S
    long = route(LONG_KIND, 'streaming', 'pool', timeoutMs=timeout_ms)
    content['routes'].append(long)
    content['services'][1]['engine']['slots'] = SLOTS
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
    calls : int
    noted : list of str
        What was done to the deployment, with the time that logs bear.
    """

    world: World
    history: DayHistory
    rng: random.Random
    ends_at: float
    group: TaskGroup
    version: int = 1
    keys: tuple[str, ...] = (KEY, SECOND_KEY)
    calls: int = 0
    noted: list[str] = field(default_factory=list)

    @property
    def is_over(self) -> bool:
        """Whether callers send no more."""
        return time.monotonic() >= self.ends_at

    def note(self, what: str) -> None:
        """Note what is done to the deployment, for those who read logs."""
        self.noted.append(f'{time.time():.3f} {what}')

    def configure(self) -> None:
        """Put the next configuration into the store."""
        self.version += 1
        begin = time.monotonic()
        content = day_configuration(self.version, self.keys)
        self.world.store.put('keyed.op', 'config', content)
        end = time.monotonic() + CONFIG_S + AFTER_S
        self.history.changes.append(Window('configuration', begin, end))
        self.note(f'configuration {self.version}')

    @contextmanager
    def fault(self, what: str, how: str) -> Iterator[None]:
        """Note a fault while it lasts, and what it takes to get over it."""
        begin = time.monotonic()
        self.note(f'{what} {how}')
        try:
            yield
        finally:
            self._note_fault(Window(what, begin, time.monotonic()))

    def pick_host(self) -> Host:
        """Return one of the hosts as they run now."""
        return self.rng.choice(list(self.world.hosts.values()))

    def _note_fault(self, fault: Window) -> None:
        until = replace(fault, end=fault.end + CONTACT_S)
        self.history.faults.append(until)
        self.note(f'{fault.what} is over it')


async def keep_host(day: Day, name: str) -> None:
    """Note each end of a host's process, and start it again."""
    while True:
        host = day.world.hosts[name]
        seen_at = host.began_at
        while host.process.poll() is None:
            seen_at = time.monotonic()
            await anyio.sleep(POLL_S)
        day.history.ends.append(
            ProcessEnd(
                name,
                host.began_at,
                time.monotonic(),
                host.process.returncode,
                seen_at,
                host.stop_at,
                host.kill_at,
            ),
        )
        day.note(f'{name} ended with {host.process.returncode}')
        await anyio.sleep(RESTART_S)
        day.world.launch(name)
