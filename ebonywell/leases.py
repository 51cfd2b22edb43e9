"""The planner's lease: its holder is the only host that sends orders."""

from dataclasses import dataclass

import msgspec

NO_FENCING = -1


class LeaseClaimed(msgspec.Struct, frozen=True, tag='lease_claimed'):
    """A claim of the lease. Its log offset becomes the fencing number.

    Attributes
    ----------
    holder : str
        Host id and incarnation of the claimant.
    replaces : int
        Fencing number of the lease that the claim ends. Of several claims
        that end the same lease, the first in the log wins.
    """

    holder: str
    replaces: int = NO_FENCING


class LeaseRenewed(msgspec.Struct, frozen=True, tag='lease_renewed'):
    """A renewal, which shows the other hosts that the holder is alive."""

    fencing: int


class LeaseReleased(msgspec.Struct, frozen=True, tag='lease_released'):
    """A release, so that another host may claim the lease at once."""

    fencing: int


LeaseRecord = LeaseClaimed | LeaseRenewed | LeaseReleased


@dataclass(slots=True)
class Lease:
    """State of the lease after the log records applied so far.

    Attributes
    ----------
    fencing : int
        Log offset of the valid claim, `NO_FENCING` before the first.
    holder : str
        Host id and incarnation of the lease holder, empty after a release.
    renewed : int
        Log offset of the latest valid record about the lease.
    """

    fencing: int = NO_FENCING
    holder: str = ''
    renewed: int = NO_FENCING


def apply(lease: Lease, offset: int, record: LeaseRecord) -> bool:
    """Apply a record to the lease if it is valid.

    Parameters
    ----------
    lease : Lease
        Changed in place.
    offset : int
        The record's log offset. That of a claim becomes the fencing number.
    record : LeaseRecord

    Returns
    -------
    bool
        False if the record is invalid: it belongs to a lease that has ended,
        or claims one that another claim has already ended.
    """
    match record:
        case LeaseClaimed():
            if record.replaces != lease.fencing:
                return False
            lease.fencing = offset
            lease.holder = record.holder
        case LeaseRenewed():
            if not is_held(lease, record.fencing):
                return False
        case LeaseReleased():
            if not is_held(lease, record.fencing):
                return False
            lease.holder = ''
    lease.renewed = offset
    return True


def is_held(lease: Lease, fencing: int) -> bool:
    """Return whether a fencing number is that of the current lease holder."""
    return bool(lease.holder) and lease.fencing == fencing
