"""Phases of a host's planned stop, and which requests may still begin in it.

Does no I/O and reads no clock.
"""

import math
from dataclasses import dataclass

# Callers cache a directory answer for up to three times its TTL of one second,
# so new connections are accepted for slightly longer than that after the stop
# signal.
ACCEPT_PERIOD_S = 3.2
# Requests of any length are accepted for as long as callers cache a directory
# answer, less the time that a request may spend in transit. At least half of
# the time until requests are aborted is left for them to end.
SERVE_ALL_PERIOD_S = 2.8
SERVE_ALL_SHARE = 0.5
# A rejected caller retries at another host, so it can do so almost at once.
STOPPING_RETRY_AFTER_S = 0.05
# Fraction of the grace period that remains when requests in flight are aborted.
# It is needed to send their answers and to close the sockets.
STOP_MARGIN_SHARE = 0.075


@dataclass(slots=True)
class Shutdown:
    """Deadlines of a planned stop, by the clock of the process.

    All of them are infinite until the stop begins.

    Attributes
    ----------
    begun_at : float
        Time of the stop signal.
    serves_all_until : float
        From then on, only requests with a deadline before `aborts_at` are
        accepted.
    closes_at : float
        Earliest time at which the sockets are closed, if no request is in
        flight.
    aborts_at : float
        When requests in flight are aborted.
    """

    begun_at: float = math.inf
    serves_all_until: float = math.inf
    closes_at: float = math.inf
    aborts_at: float = math.inf

    @property
    def is_begun(self) -> bool:
        """Whether the stop signal has been received."""
        return not math.isinf(self.begun_at)

    def begin(self, now: float, grace_s: float) -> None:
        """Begin the stop and set its deadlines.

        Parameters
        ----------
        now : float
        grace_s : float
            Time between the stop signal and the kill of the process.
        """
        left_s = grace_s * (1 - STOP_MARGIN_SHARE)
        self.begun_at = now
        self.serves_all_until = now + min(
            SERVE_ALL_PERIOD_S, left_s * SERVE_ALL_SHARE
        )
        self.closes_at = now + min(ACCEPT_PERIOD_S, left_s)
        self.aborts_at = now + left_s

    def may_serve(self, now: float, deadline: float) -> bool:
        """Return whether a request that is received now may begin.

        Parameters
        ----------
        now : float
        deadline : float
            Latest time at which the request ends.
        """
        return now < self.serves_all_until or deadline <= self.aborts_at

    def age_s(self, now: float) -> float | None:
        """Return the time since the stop began, or None before it."""
        return now - self.begun_at if self.is_begun else None
