"""Claims and renews the lease that lets one host at a time give orders.

Claims and renewals are appended only if the partition still ends where the host
last saw it end, so of two racing hosts one gets a conflict. `Leadership` calls
the store, and `leasestate` decides.
"""

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

import anyio
import msgspec

from .clock import boot_time
from .exceptions import ConflictError, EbonywellError, LogServiceError
from .leasestate import (
    PADDING_KEY,
    LeaseRecord,
    LeaseState,
    PaddingRecord,
    make_padding,
)
from .logs import Logger
from .sharedstore import Appended, SharedStore

# Partition of the topic that holds only the lease.
LEASE_PARTITION = 0
LEASE_KEY = 'lease'
TICK_S = 0.2
# Renewals cost money; a holder whose renewal is late gives no orders.
RENEW_PERIOD_S = 1.0
MAX_RETRY_DELAY_S = 0.4
# A planned stop waits no longer than this for the store; after that the lease
# expires by itself.
RELEASE_TIMEOUT_S = 1.0

Found = TypeVar('Found')


@dataclass(slots=True, frozen=True)
class Candidacy:
    """Whether and when a host may take over the lease.

    Attributes
    ----------
    is_eligible : callable
        Returns whether the host could work as the lease holder now.
    rank : callable
        Returns the host's rank among the hosts that are not silent, from 0.
    is_cut_off : callable
        Returns whether the host might not learn of another holder.
    """

    is_eligible: Callable[[], bool]
    rank: Callable[[], int]
    is_cut_off: Callable[[], bool]


class Leadership:
    """Claims and renews the lease for this host.

    Attributes
    ----------
    state : LeaseState
    candidacy : Candidacy
    """

    def __init__(
        self,
        store: SharedStore,
        topic: str,
        name: str,
        state: LeaseState,
        candidacy: Candidacy,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.topic = topic
        self.name = name
        self.life = 0
        self.state = state
        self.candidacy = candidacy
        self.log = log
        self.rng = rng

    async def run(self) -> None:
        """Claim and renew the lease until cancelled."""
        while True:
            try:
                await self._step()
            except LogServiceError as error:
                self.log('lease_store_lost', why=str(error))
                await anyio.sleep(self.rng.uniform(0, MAX_RETRY_DELAY_S))
            await anyio.sleep(TICK_S)

    def may_order(self) -> bool:
        """Return whether this host may give any order now."""
        now = boot_time()
        if self.state.may_order(now):
            return True
        return (
            self.state.may_order_cached(now) and not self.candidacy.is_cut_off()
        )

    def may_order_cached(self) -> bool:
        """Return whether it may give orders that don't use the weight store."""
        return self.state.may_order_cached(boot_time())

    def note_order(self) -> None:
        """Record that this host gives an order now or has just given one."""
        self.state.last_order_at = boot_time()

    def note_era(self, era: int) -> None:
        """Record the era of the store; an earlier lease ends with it."""
        fence = self.state.fence
        if self.state.note_era(era, boot_time()):
            self.log('lease_era', era=era, fence_before=fence or None)

    async def release(self) -> None:
        """Release the lease on a planned stop."""
        if not self.state.fence:
            return
        record = self._record(is_released=True)
        self.state.may_order_at = math.inf
        try:
            with anyio.fail_after(RELEASE_TIMEOUT_S):
                await self._append(((LEASE_KEY, msgspec.json.encode(record)),))
        except (EbonywellError, TimeoutError) as error:
            self.log('lease_unreleased', why=repr(error))
        else:
            self.log('lease_released', fence=self.state.fence)
        self.state.note_lost()

    async def _step(self) -> None:
        now = boot_time()
        fence = self.state.fence
        if fence:
            is_due = now - self.state.renewed_at >= RENEW_PERIOD_S
            if is_due or self.state.is_raise_wanted:
                await self._renew()
            if self.state.fence > fence:
                raised = self.state.fence
                self.log('lease_raised', fence=raised, before=fence)
            return
        if not self.candidacy.is_eligible():
            return
        if self.state.partition_end is None:
            await self._read()
        if self.state.may_claim(now, self.candidacy.rank()):
            await self._claim()

    async def _read(self) -> LeaseRecord | None:
        page = await self.store.read_newest(self.topic, LEASE_PARTITION)
        self._check_era(page.era)
        record = None
        offset = 0
        padded_era = 0
        for found in page.records:
            if found.value is None:
                continue
            if found.key == LEASE_KEY:
                record = self._decode(found.value, LeaseRecord)
                offset = found.offset
            elif found.key == PADDING_KEY:
                padded = self._decode(found.value, PaddingRecord)
                padded_era = padded.era if padded else 0
        self.state.note_read(
            record,
            offset,
            page.next_offset,
            boot_time(),
            padded_era=padded_era,
        )
        return record

    async def _claim(self) -> None:
        if not self.state.is_padding_known:
            await self._read()
        sent_at = boot_time()
        era = self.state.era or 0
        padding = self.state.padding
        fillers = make_padding(padding, PaddingRecord(self.name, era))
        claim = LEASE_KEY, msgspec.json.encode(self._record())
        try:
            appended = await self._append((*fillers, claim))
        except ConflictError:
            self.log('lease_claim_lost', end=self.state.partition_end)
            await self._read()
            return
        except LogServiceError:
            # The claim may have been appended, or may still be.
            self.state.partition_end = None
            raise
        self._check_era(appended.era)
        if appended.era != era:
            # Its fencing number may have been used before.
            self.log('lease_claim_outdated', era=appended.era)
            return
        self.state.note_claimed(appended.offset + padding, sent_at, boot_time())
        self.log(
            'lease_claimed',
            fence=self.state.fence,
            era=era,
            padding=padding,
            orders_in_s=max(0, self.state.may_order_at - boot_time()),
        )

    async def _renew(self) -> None:
        sent_at = boot_time()
        era = self.state.era
        fence = 0 if self.state.is_raise_wanted else self.state.fence
        record = LeaseRecord(self.name, self.life, fence)
        try:
            appended = await self._append(
                ((LEASE_KEY, msgspec.json.encode(record)),)
            )
        except ConflictError:
            await self._check_lost()
            return
        self._check_era(appended.era)
        if appended.era != era:
            return
        self.state.note_renewed(appended.offset, sent_at)
        if self.state.fence and not fence:
            self.state.note_raised(appended.offset + 1)

    async def _check_lost(self) -> None:
        """Drop the lease, unless the conflict is this host's own renewal.

        A renewal whose answer was lost causes a conflict for the next one,
        just as another host's claim does.
        """
        fence = self.state.fence
        record = await self._read()
        if self.state.fence and record is not None:
            if record.fence == fence:
                return
            is_own = record == LeaseRecord(self.name, self.life)
            if is_own and self.state.is_raise_wanted:
                self.state.note_raised(self.state.newest_fence)
                return
        self.log('lease_lost', fence=fence, newer=self.state.newest_fence)
        self.state.note_lost()

    def _check_era(self, era: int) -> None:
        """Record the era that an answer of the store states.

        Raises
        ------
        LogServiceError
            If it is over, so that the answer says nothing of the store.
        """
        self.note_era(era)
        if era != self.state.era:
            raise LogServiceError(f'answer of era {era}')

    def _record(self, *, is_released: bool = False) -> LeaseRecord:
        return LeaseRecord(
            self.name,
            self.life,
            self.state.fence,
            is_released,
        )

    async def _append(
        self, records: Sequence[tuple[str, bytes | None]]
    ) -> Appended:
        return await self.store.append(
            self.topic,
            LEASE_PARTITION,
            records,
            self.state.partition_end,
        )

    def _decode(self, body: bytes, kind: type[Found]) -> Found | None:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError as error:
            self.log('lease_unreadable', why=str(error))
            return None
