"""Follows the log, keeps the state that it makes, and appends to it."""

import math
import time
from collections.abc import Callable

import anyio

from . import records, state
from .exceptions import LogGapError, LogOutageError, RecordError
from .logclient import LONG_POLL_S, LogClient, Page
from .logs import Logger
from .types import HostId

APPEND_GAP_S = 0.02
RETRY_PAUSE_S = 0.2
CONFIRM_TIMEOUT_S = 4.0
QUEUED_RECORDS = 10000
BATCH_RECORDS = 200

Watcher = Callable[[int, records.Record, bool], None]


class Ticket:
    """A record on its way into the log.

    Attributes
    ----------
    record : Record
    done : anyio.Event
        Set once the record has been read back, or was given up.
    offset : int or None
    counted : bool
        Whether the record counted: whether it won, where records race.
    sent : bool
        Whether the log may have seen it.
    """

    def __init__(self, record: records.Record) -> None:
        self.record = record
        self.done = anyio.Event()
        self.offset: int | None = None
        self.counted = False
        self.sent = False


class Replica:
    """The state of the log on this host.

    Attributes
    ----------
    state : State
        Read by every service of the process, changed by this one only.
    applied_log : list of (int, Record)
        The latest records, for peers that are cut off from the log.
    read_at : float
        When the log last answered a read, by `clock`.
    watchers : list of callable
        Called with offset, record and whether it counted, after each apply.
    unreadable : int
        How many records no version of this program could have written.
    """

    def __init__(
        self,
        client: LogClient,
        host: HostId,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.client = client
        self.host = host
        self.log = log
        self.clock = clock
        self.wall_clock = wall_clock
        self.state = state.State()
        self.read_at = -math.inf
        self.watchers: list[Watcher] = []
        self.unreadable = 0
        self.tickets: dict[str, Ticket] = {}
        self.changed = anyio.Event()
        sender, receiver = anyio.create_memory_object_stream[Ticket](
            QUEUED_RECORDS,
        )
        self.queue_in = sender
        self.queue_out = receiver

    async def run(self, ready: Callable[[], None]) -> None:
        """Follow the log until cancelled; ready once it has caught up."""
        async with self.client, anyio.create_task_group() as group:
            group.start_soon(self._append_batches)
            await self._follow(ready)

    async def stop(self) -> None:
        """Wait until what was handed in for appending has been decided."""
        with anyio.move_on_after(CONFIRM_TIMEOUT_S):
            for ticket in list(self.tickets.values()):
                await ticket.done.wait()

    async def append(self, body: records.Body) -> Ticket:
        """Append a record and wait until it is read back and applied here.

        Parameters
        ----------
        body : Body

        Returns
        -------
        Ticket
            With the offset, and whether the record counted.

        Raises
        ------
        LogOutageError
            If it was not read back in time. It may be in the log all the same
            if the ticket in the error's ``args[1]`` says that it was sent.
        """
        record = records.make_record(body, str(self.host), self.wall_clock())
        ticket = Ticket(record)
        self.tickets[record.record_id] = ticket
        try:
            with anyio.move_on_after(CONFIRM_TIMEOUT_S):
                await self.queue_in.send(ticket)
                await ticket.done.wait()
        finally:
            self.tickets.pop(record.record_id, None)
        if ticket.offset is None:
            raise LogOutageError('the record was not read back', ticket)
        return ticket

    async def wait_past(self, offset: int) -> None:
        """Wait until the state has applied an offset."""
        while self.state.applied < offset:
            await self.changed.wait()

    def take(self, offset: int, parsed: object) -> None:
        """Apply one record of the log, whoever delivered it.

        Parameters
        ----------
        offset : int
            Ignored if it has been applied already.
        parsed : object
            The record as parsed JSON.
        """
        if offset <= self.state.applied:
            return
        try:
            record = records.from_json(parsed)
        except RecordError as error:
            self.unreadable += 1
            self.state.applied = offset
            self.log('record_unreadable', offset=offset, reason=str(error))
            return
        counted = state.apply(self.state, offset, record)
        self._confirm(offset, record, counted)
        for watcher in self.watchers:
            watcher(offset, record, counted)

    def _confirm(
        self,
        offset: int,
        record: records.Record,
        counted: bool,
    ) -> None:
        ticket = self.tickets.get(record.record_id)
        if ticket is None:
            return
        ticket.offset = offset
        ticket.counted = counted
        ticket.done.set()

    async def _follow(self, ready: Callable[[], None]) -> None:
        is_ready = False
        while True:
            page = await self._read_page(LONG_POLL_S if is_ready else 0)
            if page is None:
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            for stored in page.records:
                self.take(stored.offset, stored.record)
            self.changed.set()
            self.changed = anyio.Event()
            if not is_ready and self.state.applied + 1 >= page.end_offset:
                is_ready = True
                ready()

    async def _read_page(self, wait_s: float) -> Page | None:
        try:
            page = await self.client.read(self.state.applied + 1, wait_s)
        except LogOutageError as outage:
            self.log('log_unreadable', reason=str(outage))
            return None
        except LogGapError as gap:
            self.log('log_gap', first_offset=gap.first_offset)
            return None
        self.read_at = self.clock()
        return page

    async def _append_batches(self) -> None:
        async for first in self.queue_out:
            batch = [first]
            while len(batch) < BATCH_RECORDS:
                try:
                    batch.append(self.queue_out.receive_nowait())
                except anyio.WouldBlock:
                    break
            await self._append(batch)
            await anyio.sleep(APPEND_GAP_S)

    async def _append(self, batch: list[Ticket]) -> None:
        waiting = [one for one in batch if not one.done.is_set()]
        for ticket in waiting:
            ticket.sent = True
        encoded = [records.to_json(one.record) for one in waiting]
        try:
            await self.client.append(encoded)
        except LogOutageError as outage:
            # The records may have been kept all the same. The follower finds
            # them by their ids; they are never appended a second time.
            self.log('append_unanswered', reason=str(outage))
