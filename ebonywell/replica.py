"""Follows the log and keeps the state that it makes."""

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
# Shorter failures may be over before an append would be answered.
OUTAGE_AFTER_S = 1.0
NO_CHECKPOINT = -1

Watcher = Callable[[int, records.Record, bool], None]


class Replica:
    """The state of the log on this host.

    Attributes
    ----------
    state : State
        Read by every service of the process, changed by this one only.
    records : deque of StoredRecord
        The latest records as parsed JSON, for peers cut off from the log.
    read_at : float
        When the latest read that reached the log's end was sent, by `clock`.
    failing_since : float
        When the reads that fail now began to fail; infinite while they do
        not.
    first_offset : int
        The first offset that the log held then.
    checkpoint_offset : int
        The offset of the earliest part of the newest whole checkpoint.
    checkpoint_at : float
        When that checkpoint was read, by `clock`.
    watchers : list of callable
        Called with offset, record and whether it counted, after each apply.
    replacement_watchers : list of callable
        Called after the state was replaced by a whole one.
    unreadable : int
        How many records could not be read by this version.
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
        """Follow the log until cancelled; ready once it has caught up."""
        async with self.client, anyio.create_task_group() as group:
            group.start_soon(self.appender.run)
            group.start_soon(self._follow)
            while not self.is_complete:
                await self.changed.wait()
            ready()

    async def stop(self) -> None:
        """Wait until what was handed in for appending has been decided."""
        await self.appender.drain()

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
            If it was not read back in time; the error's `is_sent` tells
            whether it may be in the log all the same.
        """
        if self.clock() - self.failing_since > OUTAGE_AFTER_S:
            raise LogOutageError('the log cannot be read', is_sent=False)
        return await self.appender.append(body)

    async def wait_applied(self, offset: int) -> None:
        """Wait until the state has applied an offset."""
        while self.state.applied < offset:
            await self.changed.wait()

    def apply(self, offset: int, parsed: object) -> None:
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
        self.tail.append(StoredRecord(offset, parsed))
        try:
            record = records.parse_record(parsed)
        except RecordError as error:
            self.unreadable += 1
            self.state.applied = offset
            self.log('record_unreadable', offset=offset, reason=str(error))
            return
        counted = apply_record(self.state, offset, record)
        self._note_checkpoint(offset, record)
        self.appender.confirm(offset, record, counted)
        for watcher in self.watchers:
            watcher(offset, record, counted)

    def replace_state(self, new_state: State) -> bool:
        """Replace the state by a later one, and say whether it was later.

        Parameters
        ----------
        new_state : State
            From a checkpoint or a peer. Applied offsets never go back.
        """
        if new_state.applied < self.state.applied:
            return False
        self.state = new_state
        self.tail.clear()
        self.is_complete = True
        self.log('state_adopted', applied=new_state.applied)
        for adopter in self.replacement_watchers:
            adopter()
        self.notify()
        return True

    def notify(self) -> None:
        """Wake those that wait for the state to change."""
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
            # A frozen process may see an old answer late, so the time that
            # counts is when it was asked for.
            self.read_at = sent_at
            self.is_complete = True
        self.notify()

    async def _recover(self, first_offset: int) -> None:
        """Look for a checkpoint in all that the log still holds."""
        self.log('log_gap', first_offset=first_offset)
        search = recovery.Recovery(first_offset)
        try:
            async for stored in self._read_retained(first_offset):
                whole = recovery.add_record(search, stored)
                if whole is not None and self.replace_state(whole):
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
