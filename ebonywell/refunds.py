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
class Room:
    """The least free room of a bucket in each slot of time, in tokens.

    Attributes
    ----------
    first : int
        The number of the first slot kept.
    lows : deque of float
    """

    first: int = 0
    lows: deque[float] = field(default_factory=deque)


def slot_of(now: float) -> int:
    """Return the slot that a time in seconds falls in."""
    return int(now / SLOT_S)


def note(room: Room, now: float, free: float) -> None:
    """Note the free room, which must not have been less since the last note.

    Parameters
    ----------
    room : Room
    now : float
        Seconds.
    free : float
        Tokens.
    """
    slot = slot_of(now)
    if not room.lows or slot - room.first > 2 * KEPT_SLOTS:
        kept = min(room.lows, default=math.inf)
        room.first = slot
        room.lows = deque([kept])
    while room.first + len(room.lows) <= slot:
        room.lows.append(math.inf)
    room.lows[-1] = min(room.lows[-1], free)
    while len(room.lows) > KEPT_SLOTS:
        oldest = room.lows.popleft()
        room.lows[0] = min(room.lows[0], oldest)
        room.first += 1


def take(room: Room, since: int, wanted: float) -> float:
    """Return the part of a refund that is given back, and note it.

    Parameters
    ----------
    room : Room
        With a note of the present.
    since : int
        The slot of the reservation.
    wanted : float
        Tokens reserved and not used.
    """
    start = max(0, since - room.first)
    later = list(itertools.islice(room.lows, start, None))
    kept = max(0, min(wanted, *later))
    room.lows = deque(itertools.islice(room.lows, start))
    room.lows.extend(low - kept for low in later)
    return kept
