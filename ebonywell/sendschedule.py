"""Schedules requests to a target that has stated a limit.

For each such target, one host schedules the requests of all hosts, so that
their sum keeps the limit wherever callers connect. All hosts derive from the
hosts that they hear which one it is, without an agreement: while they differ,
or after it has died, the new one starts with no request due.

The module is pure. It is designed for limits far below what the target took
before, down to less than one request per second for a fleet of hundreds.
"""

from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

from .statements import Incarnation

# A target that states a lower limit, even zero, gets requests at this rate.
# Nothing else would show that the limit has ended.
MIN_RATE = 0.2
# Limits from here on bind no target, whatever its callers send.
MAX_RATE = 1000.0


@dataclass(slots=True)
class SendSchedule:
    """Evenly spaced times at which requests may be sent to one target.

    Attributes
    ----------
    last_at : float
        When the last request was due, in seconds by the clock of this process.
    """

    last_at: float

    def reserve(
        self, rate: float, max_wait_s: float, now: float
    ) -> tuple[bool, float]:
        """Reserve the next time, unless it is too far ahead.

        Parameters
        ----------
        rate : float
            Requests per second.
        max_wait_s : float
            How long the request can wait.
        now : float

        Returns
        -------
        (bool, float)
            Whether the time is reserved, and how far it is ahead in seconds.
        """
        due_at = max(now, self.last_at + 1 / rate)
        wait_s = due_at - now
        if wait_s > max_wait_s:
            return False, wait_s
        self.last_at = due_at
        return True, wait_s


def effective_rate(limit: float | None) -> float | None:
    """Return the rate to keep for a stated limit, None for no limit."""
    if limit is None or limit >= MAX_RATE:
        return None
    return max(limit, MIN_RATE)


def pick_scheduler(names: Iterable[str], incarnation: Incarnation) -> str:
    """Return which of the hosts schedules the requests to a target.

    A host that joins or leaves changes it for few targets.
    """
    target, born = incarnation
    return max(
        names,
        key=lambda name: xxhash.xxh64_intdigest(
            f'{name}/{target}/{born}'.encode()
        ),
    )
