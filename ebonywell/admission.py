"""Admission control: grants requests slots on targets within deadlines."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio

from .answers import RefusedError, refuse
from .fairqueue import FairQueue, QueuedCall
from .logs import Logger
from .messages import Call
from .targets import Target
from .targetselector import TargetSelector
from .types import ServiceClass

GRANT_INTERVAL_S = 0.05
RELOAD_WAIT_S = 5.0
ANSWER_MARGIN_S = 0.05
SPEED_SMOOTHING = 0.05
MIN_HELD_S = 0.001
MAX_RETRY_AFTER_S = 60.0
_RETRY_AFTER_S = 1.0
_STATUS_BUSY = 429
_STATUS_UNAVAILABLE = 503


@dataclass(slots=True, eq=False)
class WaitingCall(QueuedCall):
    """A request in the queue, with the event that announces its slot.

    Attributes
    ----------
    call : Call
    avoided : frozenset of str
        Targets that are used only if there are no others.
    is_alone : bool
        Whether the request is suspected of crashing targets and needs a
        target that runs no other suspect.
    granted : anyio.Event
        Set when the request has a slot.
    target : Target or None
        The target of the granted slot.
    """

    call: Call
    avoided: frozenset[str]
    is_alone: bool
    granted: anyio.Event = field(default_factory=anyio.Event)
    target: Target | None = None


class Admission:
    """Queues the requests of this process and grants them slots.

    Attributes
    ----------
    selector : TargetSelector
    weight_of : callable
        Returns a workspace's weight in fair queueing.
    busy_targets : callable
        Returns the targets that are running a suspect request.
    queue : FairQueue
    speeds : dict of str to float
        Smoothed tokens per second of one slot, by entry.
    """

    def __init__(
        self,
        selector: TargetSelector,
        weight_of: Callable[[str], float],
        busy_targets: Callable[[], frozenset[str]],
        clock: Callable[[], float],
        log: Logger,
    ) -> None:
        self.selector = selector
        self.weight_of = weight_of
        self.busy_targets = busy_targets
        self.clock = clock
        self.log = log
        self.queue: FairQueue[WaitingCall] = FairQueue()
        self.speeds: dict[str, float] = {}

    async def run(self, ready: Callable[[], None]) -> None:
        """Grant slots at regular intervals until cancelled.

        Slots also become free when reports of targets change, without an
        event in this process.
        """
        ready()
        while True:
            await anyio.sleep(GRANT_INTERVAL_S)
            self.selector.forget_removed()
            self.grant_slots()

    async def stop(self) -> None:
        """Do nothing; `Calls.stop` waits until the requests have ended."""

    @asynccontextmanager
    async def slot(
        self,
        call: Call,
        avoided: frozenset[str],
        *,
        is_alone: bool = False,
    ) -> AsyncIterator[Target]:
        """Wait for a slot on a target and hold it until the context ends.

        Parameters
        ----------
        call : Call
        avoided : frozenset of str
            Targets of earlier attempts, used only if there are no others.
        is_alone : bool
            Whether to wait for a target that runs no suspect request.

        Yields
        ------
        Target

        Raises
        ------
        RefusedError
            If no target serves the entry, the queue is full, or the deadline
            cannot be met.
        """
        waiting = self._make_waiting(call, avoided, is_alone=is_alone)
        await self._wait_for_target(waiting)
        if not self._enqueue(waiting):
            await self._wait(waiting)
        target = waiting.target
        if target is None:
            raise self._deadline_refusal(waiting)
        started_at = self.clock()
        try:
            yield target
        finally:
            self._release(waiting, target, started_at)

    def grant_slots(self) -> None:
        """Grant slots to waiting requests while targets have capacity."""
        blocked: set[str] = set()

        def place(waiting: WaitingCall) -> bool:
            return self._place(waiting, blocked)

        placed = self.queue.pop(place)
        while placed is not None:
            placed = self.queue.pop(place)

    def estimate_wait_s(self, waiting: WaitingCall) -> float:
        """Return the expected queueing delay, 0 if it is unknown."""
        speed = self.speeds.get(waiting.entry)
        ahead = self.queue.work_ahead(waiting)
        if speed is None or not ahead:
            return 0
        slots = max(1, self.selector.capacity(waiting.call))
        return ahead / (speed * slots)

    def _make_waiting(
        self,
        call: Call,
        avoided: frozenset[str],
        *,
        is_alone: bool,
    ) -> WaitingCall:
        return WaitingCall(
            call.workspace,
            self.weight_of(call.workspace),
            call.entry.name,
            call.entry.service_class == ServiceClass.batch,
            max(call.tokens, 1),
            call,
            avoided,
            is_alone,
        )

    def _enqueue(self, waiting: WaitingCall) -> bool:
        wait_s = self.estimate_wait_s(waiting)
        left_s = waiting.call.deadline - self.clock()
        if wait_s > left_s:
            raise self._deadline_refusal(waiting)
        if not self.queue.push(waiting):
            raise refuse(
                'queue_full',
                _STATUS_BUSY,
                'Too many calls wait already.',
                _bounded_retry_after_s(wait_s),
            )
        self.grant_slots()
        return waiting.granted.is_set()

    async def _wait(self, waiting: WaitingCall) -> None:
        late_at = waiting.call.deadline - ANSWER_MARGIN_S
        try:
            with anyio.move_on_after(max(0, late_at - self.clock())):
                await waiting.granted.wait()
        except BaseException:
            if waiting.target is not None:
                waiting.target.in_flight -= 1
                self.grant_slots()
            raise
        finally:
            if not waiting.granted.is_set():
                self.queue.drop(waiting)

    def _place(self, waiting: WaitingCall, blocked: set[str]) -> bool:
        if waiting.entry in blocked:
            return False
        busy = self.busy_targets() if waiting.is_alone else frozenset()
        target = self.selector.select(waiting.call, waiting.avoided, busy)
        if target is None:
            if not waiting.avoided and not busy:
                blocked.add(waiting.entry)
            return False
        waiting.target = target
        waiting.granted.set()
        return True

    def _release(
        self,
        waiting: WaitingCall,
        target: Target,
        started_at: float,
    ) -> None:
        target.in_flight -= 1
        held_s = max(self.clock() - started_at, MIN_HELD_S)
        speed = waiting.cost / held_s
        average = self.speeds.get(waiting.entry, speed)
        self.speeds[waiting.entry] = average + SPEED_SMOOTHING * (
            speed - average
        )
        self.grant_slots()

    async def _wait_for_target(self, waiting: WaitingCall) -> None:
        late_at = waiting.call.deadline - ANSWER_MARGIN_S
        if waiting.avoided:
            # An earlier attempt failed on its target. Another target may be
            # loading the model, so the request waits for it for a while.
            late_at = min(late_at, self.clock() + RELOAD_WAIT_S)
        else:
            late_at = self.clock()
        while not self.selector.usable_targets(waiting.call, frozenset()):
            if self.clock() >= late_at:
                raise refuse(
                    'no_target',
                    _STATUS_UNAVAILABLE,
                    f'No target serves {waiting.entry} now.',
                    _RETRY_AFTER_S,
                )
            await anyio.sleep(GRANT_INTERVAL_S)

    def _deadline_refusal(self, waiting: WaitingCall) -> RefusedError:
        wait_s = self.estimate_wait_s(waiting)
        self.log('call_late', entry=waiting.entry, wait_s=wait_s)
        return refuse(
            'overloaded',
            _STATUS_UNAVAILABLE,
            'The call cannot be run before its deadline.',
            _bounded_retry_after_s(wait_s),
        )


def _bounded_retry_after_s(wait_s: float) -> float:
    return min(MAX_RETRY_AFTER_S, max(_RETRY_AFTER_S, wait_s))
