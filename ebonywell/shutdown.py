"""How far a host's planned stop has come.

Pure.
"""

import math
from dataclasses import dataclass

# What is left of the grace period when requests that still run are cut.
STOP_MARGIN_S = 0.6


@dataclass(slots=True)
class Shutdown:
    """A planned stop, by the clock of the process.

    Attributes
    ----------
    begun_at : float
        When the host was told to stop; infinite until then.
    cut_at : float
        When requests that still run are cut.
    """

    begun_at: float = math.inf
    cut_at: float = math.inf

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
        self.begun_at = now
        self.cut_at = now + grace_s - STOP_MARGIN_S

    def age_s(self, now: float) -> float | None:
        """Return how long ago the stop began, None while there is none."""
        return now - self.begun_at if self.is_begun else None
