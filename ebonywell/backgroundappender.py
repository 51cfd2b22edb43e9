"""Appends records in the background, with retries until the log has them."""

import collections
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from .exceptions import LogOutageError
from .records import Body

RETRY_DELAY_S = 1.0
STOP_POLL_S = 0.05
STOP_TIMEOUT_S = 4.0

Append = Callable[[Body], Awaitable[Any]]


@dataclass(slots=True, eq=False)
class _QueuedRecord:
    record: Body
    done: anyio.Event = field(default_factory=anyio.Event)


class BackgroundAppender:
    """Appends records that must reach the log, however long that takes.

    A record may be appended more than once, so this is only for records of
    which a second copy has no effect.

    Attributes
    ----------
    append : callable
        Appends a record and waits until it is read back; raises
        LogOutageError if it is not.
    waiting : deque
        Records whose first append has not started.
    running : int
        Number of records that are being appended.
    """

    def __init__(self, append: Append) -> None:
        self.append = append
        self.waiting: collections.deque[_QueuedRecord] = collections.deque()
        self.running = 0
        self.enqueued = anyio.Event()

    def enqueue(self, record: Body) -> anyio.Event:
        """Queue a record; it is appended even if the caller is cancelled.

        Returns
        -------
        anyio.Event
            Set once the record has been read back.
        """
        queued = _QueuedRecord(record)
        self.waiting.append(queued)
        self.enqueued.set()
        return queued.done

    async def run(self, ready: Callable[[], None]) -> None:
        """Append queued records until cancelled."""
        ready()
        async with anyio.create_task_group() as group:
            while True:
                while self.waiting:
                    self.running += 1
                    group.start_soon(self._append, self.waiting.popleft())
                self.enqueued = anyio.Event()
                await self.enqueued.wait()

    async def stop(self) -> None:
        """Wait until all records are in the log, up to `STOP_TIMEOUT_S`."""
        with anyio.move_on_after(STOP_TIMEOUT_S):
            while self.waiting or self.running:
                await anyio.sleep(STOP_POLL_S)

    async def _append(self, queued: _QueuedRecord) -> None:
        while True:
            try:
                await self.append(queued.record)
            except LogOutageError:
                await anyio.sleep(RETRY_DELAY_S)
            else:
                break
        self.running -= 1
        queued.done.set()
