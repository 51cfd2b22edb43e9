"""A host's planned stop: how far it has come, and what may still begin.

Pure.
"""

import math
from dataclasses import dataclass

# Callers keep an answer of the directory for up to three of its lifetimes, a
# second each, so new connections are taken a little longer than that after the
# signal.
ACCEPT_PERIOD_S = 3.2
# Until then requests of any length are served, less the time that one may be on
# its way, and with at least half of the time until the cut left to end in.
SERVE_ALL_PERIOD_S = 2.8
SERVE_ALL_SHARE = 0.5
# A refused caller goes to another host, so it need not wait.
STOPPING_RETRY_AFTER_S = 0.05
# What is left of the grace period when requests that still run are cut, for
# their answers to leave and the sockets to be closed.
STOP_MARGIN_SHARE = 0.075


@dataclass(slots=True)
class Shutdown:
    """A planned stop, by the clock of the process.

    Attributes
    ----------
    begun_at : float
        When the host was told to stop; infinite until then.
    serves_all_until : float
        From then on, only requests that will have ended by the cut begin.
    closes_at : float
        When the sockets may be closed, if nothing runs.
    aborts_at : float
        When requests that still run are cut.
    """

    begun_at: float = math.inf
    serves_all_until: float = math.inf
    closes_at: float = math.inf
    aborts_at: float = math.inf

    @property
    def is_begun(self) -> bool:
        """Whether the host has been told to stop."""
        return not math.isinf(self.begun_at)

    def begin(self, now: float, grace_s: float) -> None:
        """Note that the host was told to stop.

        Parameters
        ----------
        now : float
        grace_s : float
            Between the signal to stop and the kill.
        """
        left_s = grace_s * (1 - STOP_MARGIN_SHARE)
        self.begun_at = now
        self.serves_all_until = now + min(
            SERVE_ALL_PERIOD_S, left_s * SERVE_ALL_SHARE
        )
        self.closes_at = now + min(ACCEPT_PERIOD_S, left_s)
        self.aborts_at = now + left_s

    def may_serve(self, now: float, deadline: float) -> bool:
        """Return whether a request that comes now will not be cut.

        Parameters
        ----------
        now : float
        deadline : float
            When it ends at the latest.
        """
        return now < self.serves_all_until or deadline <= self.aborts_at

    def age_s(self, now: float) -> float | None:
        """Return how long ago the stop began, None while there is none."""
        return now - self.begun_at if self.is_begun else None
