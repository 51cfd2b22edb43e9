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
class Waiting:
    """A request that waits for its turn; lower priorities go first."""

    priority: int
    number: int
    turn: anyio.Event = field(compare=False, default_factory=anyio.Event)


@dataclass(slots=True)
class Turns:
    """Lets so many requests run at once, in order of priority.

    Attributes
    ----------
    max_running : int
    max_waiting : int
    running : int
    queue : list of Waiting
        A heap.
    """

    max_running: int
    max_waiting: int
    running: int = 0
    queue: list[Waiting] = field(default_factory=list)
    numbers: Iterator[int] = field(default_factory=itertools.count)

    @asynccontextmanager
    async def take(self, priority: int) -> AsyncIterator[None]:
        """Run the body when it is the request's turn.

        Raises
        ------
        BusyError
            If too many requests wait already.
        """
        await self._wait(priority)
        try:
            yield
        finally:
            self._end()

    async def _wait(self, priority: int) -> None:
        if self.running < self.max_running:
            self.running += 1
            return
        if len(self.queue) >= self.max_waiting:
            raise BusyError
        waiting = Waiting(priority, next(self.numbers))
        heapq.heappush(self.queue, waiting)
        try:
            await waiting.turn.wait()
        except BaseException:
            self._give_up(waiting)
            raise

    def _give_up(self, waiting: Waiting) -> None:
        if waiting.turn.is_set():
            self._end()
        else:
            self.queue.remove(waiting)
            heapq.heapify(self.queue)

    def _end(self) -> None:
        # A turn that ends goes to the next request, so that none overtakes it.
        if self.queue:
            heapq.heappop(self.queue).turn.set()
        else:
            self.running -= 1
