"""The planner's lease: who may send orders to the targets."""

from dataclasses import dataclass

import msgspec

NO_FENCING = -1


class LeaseClaimed(msgspec.Struct, frozen=True, tag='lease_claimed'):
    """Claims the lease; its offset becomes the fencing number.

    Attributes
    ----------
    holder : str
        Host id and incarnation of the claimant.
    replaces : int
        The fencing number of the lease that it ends. Of several claims that
        end the same lease, the first in the log wins.
    """

    holder: str
    replaces: int = NO_FENCING


class LeaseRenewed(msgspec.Struct, frozen=True, tag='lease_renewed'):
    """Shows the others that the holder is alive."""

    fencing: int


class LeaseReleased(msgspec.Struct, frozen=True, tag='lease_released'):
    """Gives the lease up, so that another host may claim it at once."""

    fencing: int


LeaseRecord = LeaseClaimed | LeaseRenewed | LeaseReleased


@dataclass(slots=True)
class Lease:
    """The lease as the log has it.

    Attributes
    ----------
    fencing : int
        The offset of the claim that holds; `NO_FENCING` before the first.
    holder : str
        Empty once the lease has been released.
    renewed : int
        The offset of the latest record that counted.
    """

    fencing: int = NO_FENCING
    holder: str = ''
    renewed: int = NO_FENCING


def apply(lease: Lease, offset: int, record: LeaseRecord) -> bool:
    """Apply a record where it counts.

    Parameters
    ----------
    lease : Lease
        Changed in place.
    offset : int
        The record's offset, which becomes the fencing number of a claim.
    record : LeaseRecord

    Returns
    -------
    bool
        False if a later claim stands before the record, or if a claim names
        a lease that another has ended already.
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
    """Return whether records under a fencing number count now."""
    return bool(lease.holder) and lease.fencing == fencing
