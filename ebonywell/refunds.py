"""How much of a refund a bucket could have kept, had it known at once.

A refund is what a reservation did not use. To give it back in full would
let a window hold more than rate and burst, because the bucket may have been
full since. The part given back is the least room that the bucket had since
the reservation, so that history is one in which only the use was charged.
"""

import itertools
import math
from collections import deque
from dataclasses import dataclass, field

SLOT_S = 0.25
KEPT_SLOTS = 240


@dataclass(slots=True)
class RoomHistory:
    """The least free room of a bucket in each slot of time, in tokens.

    Attributes
    ----------
    first_slot : int
        The number of the first slot kept.
    minima : deque of float
    """

    first_slot: int = 0
    minima: deque[float] = field(default_factory=deque)


def slot_of(now: float) -> int:
    """Return the slot that a time in seconds falls in."""
    return int(now / SLOT_S)


def note_room(room: RoomHistory, now: float, free: float) -> None:
    """Note the free room, which must not have been less since the last note.

    Parameters
    ----------
    room : RoomHistory
    now : float
        Seconds.
    free : float
        Tokens.
    """
    slot = slot_of(now)
    if not room.minima or slot - room.first_slot > 2 * KEPT_SLOTS:
        kept = min(room.minima, default=math.inf)
        room.first_slot = slot
        room.minima = deque([kept])
    while room.first_slot + len(room.minima) <= slot:
        room.minima.append(math.inf)
    room.minima[-1] = min(room.minima[-1], free)
    while len(room.minima) > KEPT_SLOTS:
        oldest = room.minima.popleft()
        room.minima[0] = min(room.minima[0], oldest)
        room.first_slot += 1


def apply_refund(room: RoomHistory, since: int, wanted: float) -> float:
    """Return the part of a refund that is given back, and note it.

    Parameters
    ----------
    room : RoomHistory
        With a note of the present.
    since : int
        The slot of the reservation.
    wanted : float
        Tokens reserved and not used.
    """
    start = max(0, since - room.first_slot)
    later = list(itertools.islice(room.minima, start, None))
    kept = max(0, min(wanted, *later))
    room.minima = deque(itertools.islice(room.minima, start))
    room.minima.extend(low - kept for low in later)
    return kept
