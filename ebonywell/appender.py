"""Appends records to the log in batches and confirms them by id."""

from collections.abc import Callable

import anyio

from . import records
from .exceptions import LogOutageError, LogRefusedError
from .logclient import LogClient
from .logs import Logger
from .types import HostId

FLEET_APPENDS_PER_S = 200
CONFIRM_TIMEOUT_S = 4.0
REFUSED_RETRY_DELAY_S = 0.2
MAX_BATCH_RECORDS = 200
MAX_QUEUED_RECORDS = 10000


class Ticket:
    """The state of one append.

    Attributes
    ----------
    record : Record
    done : anyio.Event
        Set once the record has been read back.
    offset : int or None
    took_effect : bool
        Whether the record took effect; false if it lost to a conflicting
        record.
    sent : bool
        Whether the log may hold the record.
    """

    def __init__(self, record: records.Record) -> None:
        self.record = record
        self.done = anyio.Event()
        self.offset: int | None = None
        self.took_effect = False
        self.sent = False


class Appender:
    """The pending appends of this process.

    Attributes
    ----------
    tickets : dict of str to Ticket
        Appends that are neither confirmed nor given up, by record id.
    fleet_size : callable
        Returns the number of entry processes that share the log's append
        rate.
    appends : int
        Number of batches that were sent.
    """

    def __init__(
        self,
        client: LogClient,
        host: HostId,
        log: Logger,
        wall_clock: Callable[[], float],
    ) -> None:
        self.client = client
        self.host = host
        self.log = log
        self.wall_clock = wall_clock
        self.fleet_size: Callable[[], int] = lambda: 1
        self.appends = 0
        self.tickets: dict[str, Ticket] = {}
        sender, receiver = anyio.create_memory_object_stream[Ticket](
            MAX_QUEUED_RECORDS,
        )
        self.queue_sender = sender
        self.queue_receiver = receiver

    async def run(self) -> None:
        """Send queued records in batches until cancelled."""
        while True:
            batch = await self._next_batch()
            await self._append(batch)
            await anyio.sleep(self.fleet_size() / FLEET_APPENDS_PER_S)

    async def append(self, body: records.Body) -> Ticket:
        """Append a record and wait until it is read back.

        Parameters
        ----------
        body : Body

        Returns
        -------
        Ticket

        Raises
        ------
        LogOutageError
            If the record was not read back in time; the error's `is_sent`
            says whether the log may hold it nevertheless.
        """
        record = records.make_record(body, str(self.host), self.wall_clock())
        ticket = Ticket(record)
        self.tickets[record.record_id] = ticket
        try:
            with anyio.move_on_after(CONFIRM_TIMEOUT_S):
                await self.queue_sender.send(ticket)
                await ticket.done.wait()
        finally:
            self.tickets.pop(record.record_id, None)
        if ticket.offset is None:
            raise LogOutageError('the record was not read back', ticket.sent)
        return ticket

    def confirm(
        self,
        offset: int,
        record: records.Record,
        took_effect: bool,
    ) -> None:
        """Complete the append of a record that was read back.

        Records that other processes wrote are ignored.
        """
        ticket = self.tickets.get(record.record_id)
        if ticket is None:
            return
        ticket.offset = offset
        ticket.took_effect = took_effect
        ticket.done.set()

    async def drain(self) -> None:
        """Wait until every pending append has succeeded or timed out."""
        with anyio.move_on_after(CONFIRM_TIMEOUT_S):
            for ticket in list(self.tickets.values()):
                await ticket.done.wait()

    async def _next_batch(self) -> list[Ticket]:
        batch = [await self.queue_receiver.receive()]
        while len(batch) < MAX_BATCH_RECORDS:
            try:
                batch.append(self.queue_receiver.receive_nowait())
            except anyio.WouldBlock:
                break
        return batch

    async def _append(self, batch: list[Ticket]) -> None:
        while True:
            waiting = [one for one in batch if self._is_pending(one)]
            if not waiting or await self._send_append(waiting):
                return
            await anyio.sleep(REFUSED_RETRY_DELAY_S)

    def _is_pending(self, ticket: Ticket) -> bool:
        # A record whose caller has given up must not be appended later.
        return ticket.record.record_id in self.tickets

    async def _send_append(self, waiting: list[Ticket]) -> bool:
        for ticket in waiting:
            ticket.sent = True
        encoded = [records.to_json(one.record) for one in waiting]
        self.appends += 1
        try:
            await self.client.append(encoded)
        except LogRefusedError as refused:
            # The log answered that it stored nothing, so a retry is safe.
            for ticket in waiting:
                ticket.sent = False
            self.log('append_refused', reason=str(refused))
            return False
        except LogOutageError as outage:
            # The log may have stored the records. They are recognized by
            # their ids when read back, and never appended again.
            self.log('append_unanswered', reason=str(outage))
        return True
