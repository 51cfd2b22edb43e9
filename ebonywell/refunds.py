"""Bounds refunds of unused tokens so that rate and burst still hold.

A refund is the unused part of a reservation. A full refund could admit more
than rate and burst within a window, because the bucket may have been full
since the reservation. The refund is therefore limited to the smallest free
room of the bucket since then. The result is the same as if only the used
tokens had been charged at first.
"""

import itertools
import math
from collections import deque
from dataclasses import dataclass, field

SLOT_S = 0.25
KEPT_SLOTS = 240


@dataclass(slots=True)
class RoomHistory:
    """Smallest free room of a bucket in each time slot, in tokens.

    Attributes
    ----------
    first_slot : int
        Number of the oldest slot.
    minima : deque of float
        Smallest room by slot, oldest first.
    """

    first_slot: int = 0
    minima: deque[float] = field(default_factory=deque)


def slot_of(now: float) -> int:
    """Return the number of the slot that contains a time in seconds."""
    return int(now / SLOT_S)


def note_room(room: RoomHistory, now: float, free: float) -> None:
    """Record the free room of the bucket.

    The room must not have been smaller since the last record.

    Parameters
    ----------
    room : RoomHistory
    now : float
        Time in seconds.
    free : float
        Free room in tokens.
    """
    slot = slot_of(now)
    if not room.minima or slot - room.first_slot > 2 * KEPT_SLOTS:
        least = min(room.minima, default=math.inf)
        room.first_slot = slot
        room.minima = deque([least])
    while room.first_slot + len(room.minima) <= slot:
        room.minima.append(math.inf)
    room.minima[-1] = min(room.minima[-1], free)
    while len(room.minima) > KEPT_SLOTS:
        oldest = room.minima.popleft()
        room.minima[0] = min(room.minima[0], oldest)
        room.first_slot += 1


def apply_refund(room: RoomHistory, since: int, unused: float) -> float:
    """Return the allowed part of a refund, and subtract it from the room.

    Parameters
    ----------
    room : RoomHistory
        Its last record must be of the current time.
    since : int
        Slot of the reservation.
    unused : float
        Tokens that were reserved and not used.
    """
    start = max(0, since - room.first_slot)
    later = list(itertools.islice(room.minima, start, None))
    allowed = max(0, min(unused, *later))
    room.minima = deque(itertools.islice(room.minima, start))
    room.minima.extend(low - allowed for low in later)
    return allowed
