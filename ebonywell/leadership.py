"""A lease in the shared store: one host at a time gives orders.

The lease is the newest record of a key in a partition of its own. Claims and
renewals are appended only where the partition ends as the host last saw it,
so that of two racing hosts one gets a conflict. The offset of the claim is
the fencing token; it only grows.

`LeaseState` is pure; `Leadership` talks to the store.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec

from .clock import boot_time
from .exceptions import ConflictError, LogServiceError
from .logs import Logger
from .sharedstore import SharedStore

KEY = 'lease'
TICK_S = 0.2
# Renewals are priced, and a holder that is late with one gives no orders.
RENEW_GAP_S = 1.0
# A renewal that took longer than this, counted from when it was sent, proves
# nothing for an order given now.
PROOF_S = 2.0
# Without digests of a holder for this long, a host looks into the store.
HOLDER_SILENCE_S = 1.2
# Hosts look one after the other, so that most find the lease claimed.
RANK_GAP_S = 0.25
MAX_RANK = 8
# A new holder waits for the lease to run out by everyone's clock; this covers
# clocks that run at different speeds.
WAIT_MARGIN_S = 0.3
RETRY_S = 0.4


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as the store holds it.

    Attributes
    ----------
    holder : str
        The host's name.
    life : int
        The store's offset of the host's last start.
    fence : int
        0 in the claim itself, whose offset it is.
    is_released : bool
        Whether the holder has given it up.
    """

    holder: str
    life: int
    fence: int = 0
    is_released: bool = False


@dataclass(slots=True, frozen=True)
class SeenLease:
    """A record of the lease, where it stands, and since when it is known."""

    record: LeaseRecord
    offset: int
    seen_at: float

    @property
    def fence(self) -> int:
        """The fencing token; offsets begin at 0, tokens at 1."""
        return self.record.fence or self.offset + 1


@dataclass(slots=True)
class LeaseState:
    """What a host knows of the lease.

    Attributes
    ----------
    lease_s : float
        For how long a renewal keeps others from giving orders.
    fence : int
        Of the lease that this host holds; 0 while it holds none.
    end : int or None
        Where the partition ended when it was last read or written.
    renewed_at : float
        When the last renewal that succeeded was sent.
    may_order_at : float
        From when on this holder gives orders.
    seen : SeenLease or None
        The newest record of any holder.
    """

    lease_s: float
    fence: int = 0
    end: int | None = None
    renewed_at: float = float('-inf')
    may_order_at: float = float('inf')
    seen: SeenLease | None = None

    def note_read(
        self,
        record: LeaseRecord | None,
        offset: int,
        end: int,
        now: float,
    ) -> None:
        """Take over what the store holds."""
        self.end = end
        if record is None:
            self.seen = None
        elif self.seen is None or self.seen.offset != offset:
            self.seen = SeenLease(record, offset, now)

    def note_claimed(self, offset: int, sent_at: float, now: float) -> None:
        """Take over that this host's claim succeeded."""
        is_first = self.seen is None
        self.fence = offset + 1
        self.end = offset + 1
        self.renewed_at = sent_at
        wait_s = 0 if is_first else self.lease_s + WAIT_MARGIN_S
        self.may_order_at = now + wait_s

    def note_renewed(self, offset: int, sent_at: float) -> None:
        """Take over that this host's renewal succeeded."""
        self.end = offset + 1
        self.renewed_at = sent_at

    def note_lost(self) -> None:
        """Take over that another host may have the lease."""
        self.fence = 0
        self.may_order_at = float('inf')

    def may_order(self, now: float) -> bool:
        """Return whether this host may give an order now."""
        if not self.fence or now < self.may_order_at:
            return False
        return now - self.renewed_at < min(PROOF_S, self.lease_s)

    def may_claim(self, now: float) -> bool:
        """Return whether the lease that was read is free for a claim.

        A holder that renewed within twice its gap is alive.
        """
        if self.seen is None or self.seen.record.is_released:
            return True
        return now - self.seen.seen_at > RENEW_GAP_S + RETRY_S


class Leadership:
    """Claims and renews the lease for this host.

    Attributes
    ----------
    state : LeaseState
    is_wanted : callable
        Whether this host could do the holder's work now.
    holder_heard_at : callable
        When a holder's digest last came.
    rank : callable
        This host's place among those in touch, from 0.
    """

    def __init__(
        self,
        store: SharedStore,
        place: tuple[str, int],
        name: str,
        lease_s: float,
        is_wanted: Callable[[], bool],
        holder_heard_at: Callable[[], float],
        rank: Callable[[], int],
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.store = store
        self.topic, self.part = place
        self.name = name
        self.life = 0
        self.state = LeaseState(lease_s)
        self.is_wanted = is_wanted
        self.holder_heard_at = holder_heard_at
        self.rank = rank
        self.log = log
        self.rng = rng
        self.silent_since = boot_time()

    async def run(self) -> None:
        """Look after the lease until cancelled."""
        while True:
            try:
                await self._step()
            except LogServiceError as error:
                self.log('lease_store_lost', why=str(error))
                await anyio.sleep(self.rng.uniform(0, RETRY_S))
            await anyio.sleep(TICK_S)

    def may_order(self) -> bool:
        """Return whether this host may give an order now."""
        return self.state.may_order(boot_time())

    async def release(self) -> None:
        """Give the lease up on a planned stop."""
        if not self.state.fence:
            return
        record = self._record(is_released=True)
        self.state.may_order_at = float('inf')
        try:
            await self._append(record)
        except (LogServiceError, ConflictError) as error:
            self.log('lease_unreleased', why=str(error))
        self.log('lease_released', fence=self.state.fence)
        self.state.note_lost()

    async def _step(self) -> None:
        now = boot_time()
        if self.state.fence:
            if now - self.state.renewed_at >= RENEW_GAP_S:
                await self._renew()
            return
        heard_at = self.holder_heard_at()
        since = max(heard_at, self.silent_since)
        rank = min(self.rank(), MAX_RANK)
        patience_s = HOLDER_SILENCE_S + rank * RANK_GAP_S
        if not self.is_wanted() or now - since < patience_s:
            return
        await self._read()
        if self.state.may_claim(boot_time()):
            await self._claim()

    async def _read(self) -> None:
        page = await self.store.read_newest(self.topic, self.part)
        record = None
        offset = 0
        for found in page.records:
            if found.key == KEY and found.value is not None:
                record = self._decode(found.value)
                offset = found.offset
        self.state.note_read(record, offset, page.next_offset, boot_time())

    async def _claim(self) -> None:
        sent_at = boot_time()
        try:
            offset = await self._append(LeaseRecord(self.name, self.life))
        except ConflictError:
            self.log('lease_claim_lost', end=self.state.end)
            self.silent_since = boot_time()
            return
        self.state.note_claimed(offset, sent_at, boot_time())
        self.log(
            'lease_claimed',
            fence=self.state.fence,
            before=self.state.seen and self.state.seen.record.holder,
            orders_in_s=max(0, self.state.may_order_at - boot_time()),
        )

    async def _renew(self) -> None:
        sent_at = boot_time()
        try:
            offset = await self._append(self._record())
        except ConflictError:
            await self._check_lost()
            return
        self.state.note_renewed(offset, sent_at)

    async def _check_lost(self) -> None:
        """Tell an own renewal whose answer was lost from another's claim."""
        fence = self.state.fence
        await self._read()
        seen = self.state.seen
        if seen is not None and seen.fence == fence:
            return
        self.log('lease_lost', fence=fence, newer=seen and seen.fence)
        self.state.note_lost()
        self.silent_since = boot_time()

    def _record(self, *, is_released: bool = False) -> LeaseRecord:
        return LeaseRecord(
            self.name,
            self.life,
            self.state.fence,
            is_released,
        )

    async def _append(self, record: LeaseRecord) -> int:
        body = msgspec.json.encode(record)
        return await self.store.append(
            self.topic,
            self.part,
            ((KEY, body),),
            self.state.end,
        )

    def _decode(self, body: bytes) -> LeaseRecord | None:
        try:
            return msgspec.json.decode(body, type=LeaseRecord)
        except msgspec.MsgspecError as error:
            self.log('lease_unreadable', why=str(error))
            return None
