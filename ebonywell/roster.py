"""The list of hosts and the limits' summary, both in the shared store.

The store may come back from an older copy. Then the summary is written again,
and each host sees to it that its record is still in the list.
"""

import random
from collections.abc import Awaitable, Callable, Iterable

import anyio
import msgspec

from .clock import boot_time
from .digests import Digest
from .exceptions import ConflictError, LogServiceError
from .fleetview import FleetView
from .limitusage import Summary
from .logs import Logger
from .routetable import WorkspaceLimit
from .sharedlimits import SharedLimits
from .sharedstore import Appended, KeyedRecord, SharedStore

# Partitions of the topic for the host records and for the summary.
HOSTS_PARTITION = 1
SUMMARY_PARTITION = 2
SUMMARY_KEY = 'limits'
# Delays are random, so that hosts that start together don't all retry at once.
MEAN_RETRY_DELAY_S = 0.3
# Offsets of a partition stay below two to the power of this.
ERA_SHIFT_BITS = 32
SUMMARY_CHECK_PERIOD_S = 0.1
# How often a host that doesn't write the summary checks whether it has to.
IDLE_CHECK_PERIOD_S = 0.5
# Hosts check their records at random moments of this time after a rollback.
RECORD_CHECK_SPREAD_S = 2.0


class HostRecord(msgspec.Struct, frozen=True):
    """Record of a host in the store.

    Attributes
    ----------
    address : str
    life : int or None
        Number of its start, if the record is not the one that defines it.
    """

    address: str
    life: int | None = None


class Roster:
    """Registers this host, and reads the other hosts and their admissions.

    Attributes
    ----------
    fleet : FleetView
    limits : SharedLimits
    life : int or None
        Number of this start; None until the host has joined.
    registered : int or None
        The same, as soon as the host is registered.
    summary_lives : dict of str to int
        Lives of the hosts in the summary that was read at the start.
    summary_end : int or None
        Where the next summary is to be appended; None while it is unknown.
    era : int or None
        Era of the store, None while it is unknown.
    rolled_back : Event
        Set when the store has come back from an older copy.
    """

    def __init__(
        self,
        store: SharedStore,
        topic: str,
        address: str,
        fleet: FleetView,
        limits: SharedLimits,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.topic = topic
        self.address = address
        self.fleet = fleet
        self.limits = limits
        self.log = log
        self.rng = rng
        self.life: int | None = None
        self.registered: int | None = None
        self.summary_lives: dict[str, int] = {}
        self.summary_end: int | None = None
        self.era: int | None = None
        self.rolled_back = anyio.Event()

    def note_era(self, era: int) -> None:
        """Write again what the store may have lost."""
        is_rolled_back = self.era is not None
        self.era = era
        if is_rolled_back:
            self.summary_end = None
            self.limits.summarized.clear()
            self.rolled_back.set()

    async def maintain_record(self) -> None:
        """Register this host again if the store has lost its record."""
        while True:
            await self.rolled_back.wait()
            self.rolled_back = anyio.Event()
            await anyio.sleep(self.rng.uniform(0, RECORD_CHECK_SPREAD_S))
            if self.life is not None:
                await self._retry(self._restore_record)

    async def join(self) -> int:
        """Register this host, and return its life once that is done."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._retry, self._read_summary)
            group.start_soon(self._retry, self._register)
        await self._retry(self._read_hosts)
        life = self.registered
        assert life is not None
        self.life = life
        self.log('joined', life=life, hosts=self.fleet.size)
        return life

    async def write_summaries(
        self,
        is_due: Callable[[], bool],
        list_limits: Callable[[], Iterable[WorkspaceLimit]],
    ) -> None:
        """Write summaries of the limits' usage to the store until cancelled.

        Parameters
        ----------
        is_due : callable
            Returns whether this host has to write the summary.
        list_limits : callable
        """
        while True:
            if self.life is None or not is_due():
                await anyio.sleep(IDLE_CHECK_PERIOD_S)
                continue
            await anyio.sleep(SUMMARY_CHECK_PERIOD_S)
            summary = self.limits.summarize(
                list_limits(),
                self.life,
                boot_time(),
            )
            if summary is not None:
                await self._write(summary)

    def note_digest(self, digest: Digest) -> None:
        """Record that a host is alive."""
        if self.summary_lives.pop(digest.name, None) == digest.life:
            self.limits.note_same_life(digest.name)

    async def _retry(self, step: Callable[[], Awaitable[object]]) -> None:
        """Repeat a step until the store has answered it."""
        while True:
            try:
                await step()
            except LogServiceError as error:
                self.log('join_failed', step=step.__name__, why=str(error))
                await anyio.sleep(self.rng.uniform(0, 2 * MEAN_RETRY_DELAY_S))
            else:
                return

    async def _register(self) -> None:
        body = msgspec.json.encode(HostRecord(self.address))
        appended = await self.store.append(
            self.topic, HOSTS_PARTITION, ((self.fleet.own_name, body),)
        )
        self.registered = life_of(appended)

    async def _restore_record(self) -> None:
        """Append the record of this host unless the list has one."""
        addresses = await self._read_hosts()
        if addresses.get(self.fleet.own_name) == self.address:
            return
        body = msgspec.json.encode(HostRecord(self.address, self.life))
        record = (self.fleet.own_name, body)
        await self.store.append(self.topic, HOSTS_PARTITION, (record,))
        self.log('host_record_restored', life=self.life)

    async def _read_hosts(self) -> dict[str, str]:
        """Add the hosts of the list that are new; return all addresses."""
        addresses = {}
        page = await self.store.read_newest(self.topic, HOSTS_PARTITION)
        for record in page.records:
            found = self._decode_host(record)
            if found is None:
                continue
            addresses[record.key] = found.address
            # A host that is known tells more of itself than its record.
            if record.key not in self.fleet.peers:
                self.fleet.add_host(
                    record.key,
                    found.address,
                    found.life or record.offset,
                    boot_time(),
                )
        # A record stays until the host starts again and replaces it.
        if not page.era and page.next_offset == len(page.records):
            self.limits.restart.note_first_start()
        return addresses

    def _decode_host(self, record: KeyedRecord) -> HostRecord | None:
        try:
            return msgspec.json.decode(record.value or b'', type=HostRecord)
        except msgspec.MsgspecError as error:
            self.log('host_unreadable', host=record.key, why=str(error))
            return None

    async def _read_summary(self) -> None:
        page = await self.store.read_newest(self.topic, SUMMARY_PARTITION)
        for record in page.records:
            if record.key == SUMMARY_KEY and record.value is not None:
                self._apply_summary(record.value)
                return
        self.limits.apply_summary(None, boot_time())

    def _apply_summary(self, body: bytes) -> None:
        try:
            summary = msgspec.msgpack.decode(body, type=Summary)
        except msgspec.MsgspecError as error:
            # Limits stay reserved for a window, as what was used is unknown.
            self.log('summary_unreadable', why=str(error))
            return
        self.limits.apply_summary(summary, boot_time())
        self.summary_lives = {host.name: host.life for host in summary.hosts}

    async def _write(self, summary: Summary) -> None:
        """Write a summary unless another one has been written meanwhile.

        A write without an answer may be done later, but not after another one.
        """
        record = (SUMMARY_KEY, msgspec.msgpack.encode(summary))
        try:
            end = self.summary_end
            if end is None:
                end = await self._read_summary_end()
            self.summary_end = None
            appended = await self.store.append(
                self.topic, SUMMARY_PARTITION, (record,), end
            )
        except (ConflictError, LogServiceError) as error:
            self.log('summary_unwritten', why=str(error))
            self.limits.summarized.clear()
        else:
            if appended.era == (self.era or 0):
                self.summary_end = appended.offset + 1

    async def _read_summary_end(self) -> int:
        page = await self.store.read_newest(self.topic, SUMMARY_PARTITION)
        return page.next_offset


def life_of(record: Appended) -> int:
    """Return the number of the life that a host's record begins.

    Numbers grow with the offset and, as a store that comes back from an older
    copy gives offsets out again, before that with its era.
    """
    return (record.era << ERA_SHIFT_BITS) + record.offset
