"""Tells crashes of targets from other broken connections.

A target that has crashed has closed all its connections and refuses new ones.
An answer that was cut short leaves other connections open, and behind a cut
network path a new connection is not refused but gets no answer.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from .blame import Crash, CrashId
from .clock import boot_time
from .inventory import KnownTarget, TargetState
from .logs import Logger
from .upstream import CONNECT_TIMEOUT_S

# Time for the other connections to a crashed target to be noticed as closed.
CLOSE_NOTICE_S = 0.02
# A breakage is settled within this time unless its detector has failed.
SETTLE_TIMEOUT_S = 2 * (CLOSE_NOTICE_S + CONNECT_TIMEOUT_S)


@dataclass(slots=True)
class Breakage:
    """Exchanges with one incarnation of a target that broke together.

    Attributes
    ----------
    target : KnownTarget
    crash : Crash
        Evidence, if it was a crash.
    settled : anyio.Event
        Set once it is known whether it was a crash.
    """

    target: KnownTarget
    crash: Crash
    settled: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class CrashDetector:
    """Collects broken exchanges and reports crashes.

    Attributes
    ----------
    count_open : callable
        Returns how many connections to an address are open.
    is_refused : callable
        Returns whether an address refuses connections.
    report : callable
        Called with each crash.
    breakages : dict of CrashId to Breakage
        Those that are not settled. The oldest comes first.
    unstarted : list of CrashId
        Those of `breakages` that no task is settling.
    """

    count_open: Callable[[str], int]
    is_refused: Callable[[str], Awaitable[bool]]
    report: Callable[[CrashId, Crash], None]
    log: Logger
    breakages: dict[CrashId, Breakage] = field(default_factory=dict)
    unstarted: list[CrashId] = field(default_factory=list)
    noticed: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Settle breakages until cancelled."""
        # A run that failed has left those that it was settling.
        self.unstarted = list(self.breakages)
        async with anyio.create_task_group() as group:
            while True:
                while self.unstarted:
                    group.start_soon(self._settle, self.unstarted.pop())
                await self.noticed.wait()
                self.noticed = anyio.Event()

    def note_broken(self, target: KnownTarget, evidence: Crash) -> Breakage:
        """Record a broken exchange, as evidence if it was a crash."""
        breakage = self.breakages.get(target.incarnation)
        if breakage is None:
            breakage = Breakage(target, Crash(boot_time()))
            self.breakages[target.incarnation] = breakage
            self.unstarted.append(target.incarnation)
            self.noticed.set()
        breakage.crash.merge(evidence)
        return breakage

    def oldest_age_s(self, now: float) -> float:
        """Return for how long a breakage has been open, 0 if none is."""
        noted_at = (one.crash.noted_at for one in self.breakages.values())
        return now - next(noted_at, now)

    async def _settle(self, crash_id: CrashId) -> None:
        breakage = self.breakages[crash_id]
        try:
            is_crash = await self._judge(breakage.target)
        except Exception:
            # After an unexpected error, the requests must not wait for more.
            self._close(crash_id)
            raise
        self._close(crash_id)
        self.log(
            'breakage_settled',
            target=crash_id[0],
            born=crash_id[1],
            is_crash=is_crash,
            traits=len(breakage.crash.traits),
            after_s=boot_time() - breakage.crash.noted_at,
        )
        if is_crash:
            self.report(crash_id, breakage.crash)

    def _close(self, crash_id: CrashId) -> None:
        self.breakages.pop(crash_id).settled.set()

    async def _judge(self, target: KnownTarget) -> bool:
        await anyio.sleep(CLOSE_NOTICE_S)
        return await self._is_crash(target)

    async def _is_crash(self, target: KnownTarget) -> bool:
        address = target.announcement.address
        if target.announcement.state is TargetState.draining:
            # It ends by itself, whatever it is running.
            return False
        if self.count_open(address):
            return False
        return await self.is_refused(address)
