"""Limits the concurrent requests of the engine stand-in; the rest wait."""

import heapq
import itertools
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio


class BusyError(Exception):
    """The queue of waiting requests is full."""


@dataclass(slots=True, order=True)
class WaitingRequest:
    """Request that waits for a slot; lower priority values go first.

    Attributes
    ----------
    priority : int
    number : int
        Orders requests of the same priority by their start of waiting.
    granted : Event
        Set when the request gets a slot.
    """

    priority: int
    number: int
    granted: anyio.Event = field(compare=False, default_factory=anyio.Event)


@dataclass(slots=True)
class RequestSlots:
    """Slots for running requests, granted in order of priority.

    Attributes
    ----------
    max_running : int
        The number of slots.
    max_waiting : int
        The maximum length of the queue.
    running : int
        The number of slots in use.
    queue : list of WaitingRequest
        The waiting requests, as a heap.
    """

    max_running: int
    max_waiting: int
    running: int = 0
    queue: list[WaitingRequest] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    @asynccontextmanager
    async def acquire(self, priority: int) -> AsyncIterator[None]:
        """Run the body of the context while holding a slot.

        Raises
        ------
        BusyError
            If the queue of waiting requests is full.
        """
        await self._wait_for_slot(priority)
        try:
            yield
        finally:
            self._release()

    async def _wait_for_slot(self, priority: int) -> None:
        if self.running < self.max_running:
            self.running += 1
            return
        if len(self.queue) >= self.max_waiting:
            raise BusyError
        waiting = WaitingRequest(priority, next(self.numbers))
        heapq.heappush(self.queue, waiting)
        try:
            await waiting.granted.wait()
        except BaseException:
            self._cancel_wait(waiting)
            raise

    def _cancel_wait(self, waiting: WaitingRequest) -> None:
        if waiting.granted.is_set():
            self._release()
        else:
            self.queue.remove(waiting)
            heapq.heapify(self.queue)

    def _release(self) -> None:
        # The slot goes directly to the next waiting request, so that no new
        # request can overtake it.
        if self.queue:
            heapq.heappop(self.queue).granted.set()
        else:
            self.running -= 1
