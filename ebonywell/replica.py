"""Follows the log and keeps the state that is built from it."""

import math
import time
from collections import deque
from collections.abc import AsyncIterator, Callable

import anyio

from . import records, recovery
from .appender import Appender, Ticket
from .checkpoint import CheckpointAssembly, CheckpointPart, add_part
from .exceptions import LogGapError, LogOutageError, RecordError
from .logclient import LONG_POLL_S, LogClient, StoredRecord
from .logs import Logger
from .state import State, apply_record
from .types import HostId

RETRY_DELAY_S = 0.2
MAX_TAIL_RECORDS = 5000
# A shorter failure may end before an append would be answered, so it does not
# reject appends.
OUTAGE_AFTER_S = 1.0
NO_CHECKPOINT = -1

Watcher = Callable[[int, records.Record, bool], None]


class Replica:
    """A host's copy of the state that is built from the log.

    Attributes
    ----------
    state : State
        Read by every service of the process and changed only by this one.
    tail : deque of StoredRecord
        The latest records as parsed JSON, sent to peers that are cut off from
        the log.
    read_at : float
        Time by `clock` at which the latest read that reached the end of the
        log was sent.
    failing_since : float
        Time by `clock` of the first of the current run of failed reads;
        infinite while reads succeed.
    first_offset : int
        The first offset that the log held at the last successful read.
    checkpoint_offset : int
        The offset of the earliest part of the newest complete checkpoint.
    checkpoint_at : float
        Time by `clock` at which that checkpoint was read.
    watchers : list of callable
        Called after each applied record with its offset, the record and
        whether it took effect.
    replacement_watchers : list of callable
        Called after the state was replaced by a checkpoint or a copy from a
        peer.
    unreadable : int
        Number of records that this version could not read.
    is_complete : bool
        Whether the state has no gap before `state.applied`.
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
        self.appender = Appender(client, host, log, wall_clock)
        self.state = State()
        self.tail: deque[StoredRecord] = deque(maxlen=MAX_TAIL_RECORDS)
        self.read_at = -math.inf
        self.failing_since = math.inf
        self.first_offset = 0
        self.checkpoint_offset = NO_CHECKPOINT
        self.checkpoint_at = -math.inf
        self.assembly = CheckpointAssembly()
        self.watchers: list[Watcher] = []
        self.replacement_watchers: list[Callable[[], object]] = []
        self.unreadable = 0
        self.is_complete = False
        self.changed = anyio.Event()

    async def run(self, ready: Callable[[], None]) -> None:
        """Follow the log until cancelled; call `ready` once caught up."""
        async with self.client, anyio.create_task_group() as group:
            group.start_soon(self.appender.run)
            group.start_soon(self._follow)
            while not self.is_complete:
                await self.changed.wait()
            ready()

    async def stop(self) -> None:
        """Wait until every pending append has succeeded or failed."""
        await self.appender.drain()

    async def append(self, body: records.Body) -> Ticket:
        """Append a record and wait until it is read back and applied here.

        Parameters
        ----------
        body : Body

        Returns
        -------
        Ticket
            Holds the offset, and whether the record took effect.

        Raises
        ------
        LogOutageError
            If the record was not read back in time; the error's `is_sent`
            says whether the log may hold it nevertheless.
        """
        if self.clock() - self.failing_since > OUTAGE_AFTER_S:
            raise LogOutageError('the log cannot be read', is_sent=False)
        return await self.appender.append(body)

    async def wait_applied(self, offset: int) -> None:
        """Wait until the record at an offset has been applied."""
        while self.state.applied < offset:
            await self.changed.wait()

    def apply(self, offset: int, parsed: object) -> None:
        """Apply one record, read from the log or received from a peer.

        Parameters
        ----------
        offset : int
            The record is ignored if this offset has been applied already.
        parsed : object
            The record as parsed JSON.
        """
        if offset <= self.state.applied:
            return
        self.tail.append(StoredRecord(offset, parsed))
        try:
            record = records.parse_record(parsed)
        except RecordError as error:
            self.unreadable += 1
            self.state.applied = offset
            self.log('record_unreadable', offset=offset, reason=str(error))
            return
        took_effect = apply_record(self.state, offset, record)
        self._note_checkpoint(offset, record)
        self.appender.confirm(offset, record, took_effect)
        for watcher in self.watchers:
            watcher(offset, record, took_effect)

    def replace_state(self, new_state: State) -> bool:
        """Replace the state by another one unless that is older.

        Parameters
        ----------
        new_state : State
            From a checkpoint or a peer.

        Returns
        -------
        bool
            False if the new state is older; applied offsets never go back.
        """
        if new_state.applied < self.state.applied:
            return False
        self.state = new_state
        self.tail.clear()
        self.is_complete = True
        self.log('state_adopted', applied=new_state.applied)
        for watcher in self.replacement_watchers:
            watcher()
        self.notify()
        return True

    def notify(self) -> None:
        """Wake the tasks that wait for the state to change."""
        self.changed.set()
        self.changed = anyio.Event()

    def _note_checkpoint(self, offset: int, record: records.Record) -> None:
        if not isinstance(record.body, CheckpointPart):
            return
        found = add_part(self.assembly, offset, record.body)
        if found is not None:
            self.checkpoint_offset = found.first_offset
            self.checkpoint_at = self.clock()

    async def _follow(self) -> None:
        while True:
            try:
                await self._follow_page()
            except LogOutageError as outage:
                self.failing_since = min(self.failing_since, self.clock())
                self.log('log_unreadable', reason=str(outage))
                await anyio.sleep(RETRY_DELAY_S)
            except LogGapError as gap:
                await self._recover(gap.first_offset)

    async def _follow_page(self) -> None:
        wait_s = LONG_POLL_S if self.is_complete else 0
        applied = self.state.applied
        sent_at = self.clock()
        page = await self.client.read(applied + 1, wait_s)
        if applied != self.state.applied and not page.records:
            return
        self.failing_since = math.inf
        self.first_offset = page.first_offset
        for stored in page.records:
            self.apply(stored.offset, stored.record)
        if self.state.applied + 1 >= page.end_offset:
            # A process that was frozen may receive the answer long after it
            # was made, so the state is dated by when the request was sent.
            self.read_at = sent_at
            self.is_complete = True
        self.notify()

    async def _recover(self, first_offset: int) -> None:
        """Build a state from a checkpoint in what the log still holds."""
        self.log('log_gap', first_offset=first_offset)
        search = recovery.Recovery(first_offset)
        try:
            async for stored in self._read_retained(first_offset):
                built = recovery.add_record(search, stored)
                if built is not None and self.replace_state(built):
                    return
        except (LogOutageError, LogGapError) as error:
            self.log('recovery_broken', reason=str(error))
        await anyio.sleep(RETRY_DELAY_S)

    async def _read_retained(
        self, first_offset: int
    ) -> AsyncIterator[StoredRecord]:
        page = await self.client.read(first_offset)
        while page.records:
            for stored in page.records:
                yield stored
            page = await self.client.read(page.records[-1].offset + 1)
