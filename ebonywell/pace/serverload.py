"""What a target's answer says about its load and its machine.

Addresses targets that share a machine with others and so become slow for
fractions of a second, and answers whose figures are missing or wrong.
"""

from collections.abc import Sequence
from dataclasses import dataclass

# No target runs more requests at once, so larger figures are cut to this.
MAX_REQUESTS = 100_000
# Range in which a machine's duration of work is believed, in percent of usual.
MIN_PERCENT = 20
MAX_PERCENT = 2000
# More digits than any figure within the bounds needs; longer figures are not
# converted, since that takes a time that grows with the square of the length.
MAX_DIGITS = 18
_COUNTS = 3


@dataclass(slots=True, frozen=True)
class ServerLoad:
    """Load of a target as it states it.

    Attributes
    ----------
    running, waiting, slots : int or None
        Requests that run and that wait, and slots; None if not stated.
    machine_percent : int
        How long work takes on its machine now, in percent of the usual time;
        0 if not stated.
    faults : int
        Number of figures that were cut to their bounds or ignored.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    machine_percent: int = 0
    faults: int = 0


NO_LOAD = ServerLoad()


def read_server_load(figures: Sequence[str]) -> ServerLoad:
    """Return the load in the figures of an answer.

    Parameters
    ----------
    figures : sequence of str
        Running, waiting, slots, and optionally the machine's percent. Figures
        that cannot be used are left out, and the others still count.
    """
    missing = ('',) * max(0, _COUNTS - len(figures))
    running, waiting, slots, *further = (*figures, *missing)
    counts = [_read_count(one) for one in (running, waiting, slots)]
    percent, is_fault = _read_percent(further[0]) if further else (0, False)
    faults = sum(is_bad for _, is_bad in counts) + is_fault
    faults += max(0, len(further) - 1)
    return ServerLoad(counts[0][0], counts[1][0], counts[2][0], percent, faults)


def _read_number(figure: str) -> int | None:
    digits = figure.strip()
    is_number = digits.isascii() and digits.isdigit()
    return int(digits) if is_number and len(digits) <= MAX_DIGITS else None


def _read_count(figure: str) -> tuple[int | None, bool]:
    """Return a bounded count, and whether the figure was at fault."""
    count = _read_number(figure)
    if count is None:
        return None, True
    return min(count, MAX_REQUESTS), count > MAX_REQUESTS


def _read_percent(figure: str) -> tuple[int, bool]:
    """Return a bounded percentage, 0 for none, and whether it was at fault."""
    percent = _read_number(figure)
    if not percent:
        return 0, True
    bounded = min(max(percent, MIN_PERCENT), MAX_PERCENT)
    return bounded, bounded != percent
