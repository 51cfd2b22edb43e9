"""The turns of the engine's stand-in: some requests run, the rest wait."""

import heapq
import itertools
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio


class BusyError(Exception):
    """Too many requests wait already."""


@dataclass(slots=True, order=True)
class WaitingRequest:
    """A request that waits for its turn; lower priorities go first."""

    priority: int
    number: int
    granted: anyio.Event = field(compare=False, default_factory=anyio.Event)


@dataclass(slots=True)
class RequestSlots:
    """Lets so many requests run at once, in order of priority.

    Attributes
    ----------
    max_running : int
    max_waiting : int
    running : int
    queue : list of WaitingRequest
        A heap.
    """

    max_running: int
    max_waiting: int
    running: int = 0
    queue: list[WaitingRequest] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    @asynccontextmanager
    async def acquire(self, priority: int) -> AsyncIterator[None]:
        """Run the body when it is the request's turn.

        Raises
        ------
        BusyError
            If too many requests wait already.
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
        # A turn that ends goes to the next request, so that none overtakes it.
        if self.queue:
            heapq.heappop(self.queue).granted.set()
        else:
            self.running -= 1
