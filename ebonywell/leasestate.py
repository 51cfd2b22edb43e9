"""What the hosts know of the lease, and the records that keep it.

The lease is the newest record of one key, in a partition of its own. Its
fencing number derives from the offset of the claim, so it only grows while the
store loses nothing. A store that comes back from an older copy gives offsets
out again, and a claim may have been lost with its offset. Then the lease has to
be claimed anew, and the first claim of the new era leaves out more offsets than
records can have been lost.

All of it is pure.
"""

import itertools
import math
from dataclasses import dataclass

import msgspec

from .digests import HolderStatus

# Key of the records that only use up offsets. The last one of a claim states
# its era.
PADDING_KEY = 'padding'
# Offsets left out for each era of the store. The hosts append a few records a
# second, and a copy is some seconds old.
LOST_RECORDS = 256
# Limits the padding of one claim.
MAX_PADDING = 65_536
# A renewal proves the lease for this long, counted from when it was sent.
PROOF_TTL_S = 1.6
# If targets reject older fencing numbers, a holder that has lost its
# connection to the store continues to give orders until it learns of another
# holder. If it might not learn of one, it orders no loads from the weight
# store, because the store's bound counts the loads of both holders.
MAX_UNPROVEN_S = 12.0
# If targets reject older fencing numbers, a new holder need not wait until the
# previous lease expires, because late orders of the previous holder are
# rejected. This wait lets its orders in flight arrive.
FENCED_WAIT_S = 0.3
# A host claims the lease if it has received no status of a proven holder for
# this long, which is several digest periods.
HOLDER_TIMEOUT_S = 0.9
# Hosts claim one after another, so that most hosts receive the status of the
# first claimant before they claim.
CLAIM_STAGGER_S = 0.25
MAX_RANK = 8
# A new holder waits until the previous lease has expired by every host's
# clock; this margin covers clocks that run at different speeds.
CLOCK_MARGIN_S = 0.2


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease as the store keeps it.

    Attributes
    ----------
    holder : str
        Name of the host.
    life : int
        Store offset of the host's last start.
    fence : int
        Fencing number; 0 in the claim itself, whose offset determines it.
    is_released : bool
        Whether the holder has released the lease.
    """

    holder: str
    life: int
    fence: int = 0
    is_released: bool = False


class PaddingRecord(msgspec.Struct, frozen=True):
    """States up to which era offsets have been left out.

    Attributes
    ----------
    holder : str
        Name of the host whose claim left them out.
    era : int
        Era of the store for which the claim was made.
    """

    holder: str
    era: int


@dataclass(slots=True)
class LeaseState:
    """What this host knows of the lease.

    Attributes
    ----------
    lease_s : float
        How long a renewal keeps other hosts from giving orders.
    is_fenced : bool
        Whether targets reject orders with an older fencing number.
    fence : int
        Fencing number of the lease that this host holds; 0 if it holds none.
    partition_end : int or None
        End of the partition when it was last read, written or reported; None
        while it is unknown.
    renewed_at : float
        When the last successful renewal was sent.
    may_order_at : float
        Time from which this host, as the holder, gives orders.
    other_renewed_at : float
        Latest time at which another holder may have renewed the lease.
    holder_seen_at : float
        When there was last evidence that the holder is running: its status,
        or a claim that was not known before. A renewal that is found in the
        store is no evidence, because the holder may have stopped right after
        it wrote the renewal.
    newest_fence : int
        Newest fencing number that this host knows.
    last_order_at : float
        When this host last gave an order, under any of its leases.
    era : int or None
        Era of the store, None while it is unknown.
    padded_era : int
        Era up to which offsets have been left out below `partition_end`.
    is_padding_read : bool
        Whether `padded_era` was read together with `partition_end`. It wasn't
        if the end comes from a holder's status, and then it may be too low.
    is_raise_wanted : bool
        Whether the holder needs a new fencing number; see `note_raised`.
    raised_from : int
        Number that this host held under the same lease before; 0 for none.
    """

    lease_s: float
    is_fenced: bool = False
    fence: int = 0
    partition_end: int | None = None
    renewed_at: float = -math.inf
    may_order_at: float = math.inf
    other_renewed_at: float = -math.inf
    holder_seen_at: float = -math.inf
    newest_fence: int = 0
    last_order_at: float = -math.inf
    era: int | None = None
    padded_era: int = 0
    is_padding_read: bool = False
    is_raise_wanted: bool = False
    raised_from: int = 0

    @property
    def is_padding_known(self) -> bool:
        """Whether a claim would leave out as many offsets as it has to.

        With too many, its number could be given out again in a later era: it
        would lie as high as the numbers of that era.
        """
        if self.era is None:
            return False
        return self.is_padding_read or self.padded_era >= self.era

    @property
    def padding(self) -> int:
        """Offsets that a claim has to leave out.

        Its fencing number is then greater than any number of earlier eras.
        """
        eras = (self.era or 0) - self.padded_era
        if eras <= 0:
            return 0
        known = self.newest_fence - (self.partition_end or 0)
        return min(max(eras * LOST_RECORDS, known), MAX_PADDING)

    def note_era(self, era: int, now: float) -> bool:
        """Record the era of the store.

        Of a claim or a renewal that the store has lost, nothing is known.

        Returns
        -------
        bool
            Whether the store has come back from an older copy.
        """
        if self.era is not None and era <= self.era:
            return False
        is_rolled_back = self.era is not None
        self.era = era
        if is_rolled_back:
            self.partition_end = None
            self.is_padding_read = False
            self.other_renewed_at = now
            self.note_lost()
        return is_rolled_back

    def note_holder(self, status: HolderStatus, now: float) -> None:
        """Record the status that a holder sent.

        A holder without proof of its lease continues to give some orders
        until its successor starts to give orders. It keeps the partition end
        that it knows, so that it can't append a renewal after the successor's
        claim.
        """
        if status.fence < self.newest_fence:
            return
        self.newest_fence = status.fence
        if status.is_proven:
            self.other_renewed_at = now
            self.holder_seen_at = now
            if not self.fence:
                self.is_padding_read = False
                self.partition_end = max(
                    self.partition_end or 0, status.lease_end
                )
        if status.is_ordering and self.fence and self.fence < status.fence:
            self.note_lost()

    def note_read(
        self,
        record: LeaseRecord | None,
        offset: int,
        end: int,
        now: float,
        *,
        padded_era: int = 0,
    ) -> None:
        """Record what the store holds."""
        self.partition_end = end
        self.padded_era = padded_era
        self.is_padding_read = True
        if padded_era < (self.era or 0):
            # A later claim may be lost, and its holder still at work.
            self.other_renewed_at = now
        if record is None or record.is_released:
            return
        fence = record.fence or offset + 1
        if fence > self.newest_fence:
            self.holder_seen_at = now
        self.newest_fence = max(self.newest_fence, fence)
        self.other_renewed_at = now

    def note_claimed(self, offset: int, sent_at: float, now: float) -> None:
        """Record that this host's claim succeeded.

        The claim proves that nobody has renewed the lease since the partition
        ended at the position of the claim.
        """
        self.fence = offset + 1
        self.newest_fence = self.fence
        self.raised_from = 0
        self.padded_era = max(self.padded_era, self.era or 0)
        self.partition_end = offset + 1
        self.renewed_at = sent_at
        if self.other_renewed_at == -math.inf:
            self.may_order_at = now
        elif self.is_fenced:
            self.may_order_at = now + FENCED_WAIT_S
        else:
            expires_at = self.other_renewed_at + self.lease_s + CLOCK_MARGIN_S
            self.may_order_at = max(now, expires_at)
        self.may_order_at = max(self.may_order_at, self.reclaim_at)

    def note_renewed(self, offset: int, sent_at: float) -> None:
        """Record that this host's renewal succeeded."""
        self.partition_end = offset + 1
        self.renewed_at = sent_at

    def request_raise(self) -> None:
        """Have the next renewal bring a new fencing number, at once."""
        if self.fence:
            self.is_raise_wanted = True

    def note_raised(self, fence: int) -> None:
        """Record that the holder has claimed its own lease once more.

        Targets then reject its earlier orders, and nobody has held the lease
        in between.
        """
        self.raised_from = self.fence
        self.fence = fence
        self.newest_fence = fence
        self.is_raise_wanted = False

    def note_lost(self) -> None:
        """Record that another host may hold the lease."""
        self.fence = 0
        self.is_raise_wanted = False
        self.may_order_at = math.inf

    @property
    def reclaim_at(self) -> float:
        """Earliest time at which this host may hold a lost lease again.

        Until then, orders of a holder in between could arrive interleaved
        with the orders of this host.
        """
        return self.last_order_at + self.lease_s + CLOCK_MARGIN_S

    def is_proven(self, now: float) -> bool:
        """Return whether no other host can have claimed the lease by now."""
        is_fresh = now - self.renewed_at < min(PROOF_TTL_S, self.lease_s)
        return self.fence > 0 and is_fresh

    def may_order(self, now: float) -> bool:
        """Return whether this host may give any order."""
        return self.is_proven(now) and now >= self.may_order_at

    def may_order_cached(self, now: float) -> bool:
        """Return whether it may give orders that don't use the weight store."""
        if self.may_order(now):
            return True
        if not (self.is_fenced and self.fence) or now < self.may_order_at:
            return False
        return now - self.renewed_at < MAX_UNPROVEN_S

    def may_claim(self, now: float, rank: int) -> bool:
        """Return whether the holder has been silent for long enough."""
        if now < self.reclaim_at:
            return False
        silence_s = HOLDER_TIMEOUT_S + min(rank, MAX_RANK) * CLAIM_STAGGER_S
        return now - self.holder_seen_at >= silence_s


def make_padding(
    count: int, record: PaddingRecord
) -> tuple[tuple[str, bytes | None], ...]:
    """Make the records that leave out offsets, the last of which says why."""
    if not count:
        return ()
    stated = PADDING_KEY, msgspec.json.encode(record)
    return (*itertools.repeat((PADDING_KEY, None), count - 1), stated)
