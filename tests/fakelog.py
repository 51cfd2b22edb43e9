"""A fake log service for tests under a virtual clock."""

import anyio

from ebonywell import logclient
from ebonywell.exceptions import (
    LogGapError,
    LogOutageError,
    LogRefusedError,
)


class FakeLog:
    """An append-only log in memory that simulates faults of the real one."""

    def __init__(self):
        self.records = []
        self.first_offset = 0
        self.is_down = False
        self.lost_replies = 0
        self.refusals = 0
        self.appends = 0
        self.changed = anyio.Event()

    @property
    def end_offset(self):
        return self.first_offset + len(self.records)

    def expire(self, before):
        while self.records and self.first_offset < before:
            self.records.pop(0)
            self.first_offset += 1

    def keep(self, records):
        self.records.extend(records)
        self.changed.set()
        self.changed = anyio.Event()


class FakeLogClient:
    """A host's connection to a `FakeLog`; the connection can be cut."""

    def __init__(self, log):
        self.log = log
        self.is_cut = False

    async def __aenter__(self):
        return self

    async def __aexit__(self, *failure):
        """Close nothing."""

    async def append(self, records):
        await anyio.sleep(0.005)
        if self.log.is_down or self.is_cut:
            raise LogOutageError('down')
        if self.log.refusals:
            self.log.refusals -= 1
            raise LogRefusedError('too fast')
        first = self.log.end_offset
        self.log.appends += 1
        self.log.keep(records)
        if self.log.lost_replies:
            self.log.lost_replies -= 1
            raise LogOutageError('reply lost')
        return first

    async def read(self, offset, wait_s=0):
        await anyio.sleep(0.005)
        self._check()
        with anyio.move_on_after(wait_s):
            while offset >= self.log.end_offset:
                await self.log.changed.wait()
        self._check()
        if offset < self.log.first_offset:
            raise LogGapError(self.log.first_offset)
        start = offset - self.log.first_offset
        kept = [
            logclient.StoredRecord(offset + index, record)
            for index, record in enumerate(self.log.records[start:])
        ]
        return logclient.Page(
            self.log.first_offset,
            self.log.end_offset,
            tuple(kept[: logclient.MAX_READ_RECORDS]),
        )

    def _check(self):
        if self.log.is_down or self.is_cut:
            raise LogOutageError('down')
