"""Whose memory is reclaimed when callers' connections take too much.

Answers the load of many callers that each stay within their own bounds, some
reading slowly and some sending without end. The module is pure.
"""

from collections.abc import Iterable
from typing import Protocol, TypeVar


class Occupant(Protocol):
    """A connection that takes memory; see `callermemory.Holding`.

    Attributes
    ----------
    kept_bytes : int
    unread_since : float or None
        When the oldest byte was written that its caller has not read; None if
        its caller is not behind with reading.
    """

    kept_bytes: int
    unread_since: float | None


AnyOccupant = TypeVar('AnyOccupant', bound=Occupant)


def select_victim(
    occupants: Iterable[AnyOccupant],
) -> AnyOccupant | None:
    """Return the connection to give up next, None if there is none.

    It is one of those that together take more: callers that are behind with
    reading, or callers whose requests are unfinished. So neither kind takes
    memory from the other. Of the first, the slowest is given up, which is the
    one whose oldest unread byte has waited longest; of the others the largest.

    Parameters
    ----------
    occupants : iterable of Occupant
        Connections that may be given up.
    """
    readers = []
    senders = []
    for one in occupants:
        if one.unread_since is None:
            senders.append(one)
        else:
            readers.append(one)
    if _sum_kept(readers) >= _sum_kept(senders):
        return min(readers, key=_read_order, default=None)
    return max(senders, key=_kept_bytes)


def _read_order(occupant: Occupant) -> tuple[float, int]:
    """Return what orders readers from the slowest, of equals the largest."""
    since = occupant.unread_since
    assert since is not None
    return since, -occupant.kept_bytes


def _kept_bytes(occupant: Occupant) -> int:
    return occupant.kept_bytes


def _sum_kept(occupants: Iterable[Occupant]) -> int:
    return sum(map(_kept_bytes, occupants))
