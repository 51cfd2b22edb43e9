"""Decides which digests repeat what all hosts should know.

A message between hosts may be lost, and a host that starts has missed all
earlier ones. Digests therefore repeat such reports, often after a change and
seldom later.
"""

import collections
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TypeVar

# All digests repeat reports for this long after a change, and later only one
# in so many, for hosts that start.
FRESH_S = 10.0
DIGESTS_PER_REPORT = 10

_Key = TypeVar('_Key')


@dataclass(slots=True)
class DigestRepeats:
    """Selects the digests that repeat reports, and the report to begin with.

    Attributes
    ----------
    changed_at : float
        When a report last changed, by the clock of this process.
    digests : int
        Digests that could have repeated reports.
    """

    changed_at: float = -math.inf
    digests: int = 0

    def note_change(self, now: float) -> None:
        """Record that a report has changed."""
        self.changed_at = now

    def pick(self, keys: Iterable[_Key], now: float) -> Iterable[_Key]:
        """Return the keys of the reports to repeat with the next digest.

        A datagram may have no room for all of them, so each call that returns
        any begins with another one.
        """
        self.digests += 1
        is_fresh = now - self.changed_at < FRESH_S
        period = 1 if is_fresh else DIGESTS_PER_REPORT
        if self.digests % period:
            return ()
        rotated = collections.deque(keys)
        rotated.rotate(self.digests // period)
        return rotated
