"""How slow the machines of targets are at the moment, as their answers state.

Addresses targets that share a machine and take longer for some 600 ms: such a
target is avoided while that lasts, and not for seconds after it.
"""

import math
from dataclasses import dataclass, field

from .serverload import MAX_PERCENT, MIN_PERCENT

# Time in which what is known of a machine's state loses most of its meaning;
# the states last about this long.
STATE_S = 0.5
# Weight of one statement in the mean of all.
MEAN_SMOOTHING = 0.005
MAX_GAP_PERIODS = 2.0
# Periods over which the mean of one target is taken, and the number for which
# the mean of all targets counts in it. A target that is slow for good states
# so each time, and stays known as slow while none of its statements is fresh.
TARGET_PERIODS = 60.0
PRIOR_PERIODS = 3.0
USUAL_PERCENT = 100


@dataclass(slots=True)
class MachineState:
    """The statements about one target's machine.

    Attributes
    ----------
    percent : int
        How long work takes, in percent of the usual time; 0 if unknown.
    stated_at : float
    mean : float
        Mean of the statements, as a multiple of the usual time.
    periods : float
        Periods for which it was taken.
    """

    percent: int = 0
    stated_at: float = -math.inf
    mean: float = 1
    periods: float = 0

    def note(self, percent: int, now: float) -> None:
        """Record a statement, unless a newer one is known."""
        if percent and now >= self.stated_at:
            periods = min(self.age_s(now) / STATE_S, MAX_GAP_PERIODS)
            self.percent = min(max(percent, MIN_PERCENT), MAX_PERCENT)
            self.stated_at = now
            self.periods = min(self.periods + periods, TARGET_PERIODS)
            if periods:
                stated = self.percent / USUAL_PERCENT
                self.mean += periods / self.periods * (stated - self.mean)

    def age_s(self, now: float) -> float:
        """Return the age of the statement, in seconds."""
        return max(0, now - self.stated_at)

    def usual(self, mean: float) -> float:
        """Return the machine's own mean, by few statements near that of all."""
        known = self.periods * self.mean + PRIOR_PERIODS * mean
        return known / (self.periods + PRIOR_PERIODS)


@dataclass(slots=True)
class MeanState:
    """The mean of all statements, expected of machines that stated nothing.

    Attributes
    ----------
    factor : float
        How long work takes, as a multiple of the usual time.
    """

    factor: float = field(default=1)

    def note(self, percent: int, gap_s: float) -> None:
        """Take a statement into the mean.

        Parameters
        ----------
        percent : int
        gap_s : float
            Time since the last statement of the same target. Slow machines
            state less, since requests go elsewhere, so each statement counts
            by the time for which it is the newest.
        """
        periods = min(gap_s / STATE_S, MAX_GAP_PERIODS)
        weight = MEAN_SMOOTHING * max(0, periods)
        self.factor += weight * (percent / USUAL_PERCENT - self.factor)

    def expect(self, state: MachineState, now: float) -> float:
        """Return how long work is expected to take, as a multiple of usual."""
        usual = state.usual(self.factor)
        if not state.percent:
            return usual
        weight = math.exp(-state.age_s(now) / STATE_S)
        stated = state.percent / USUAL_PERCENT
        return usual + weight * (stated - usual)

    def over(
        self, state: MachineState, percent: int, waited_s: float
    ) -> tuple[float, float]:
        """Return the factor over a wait, given the percent at its end.

        Returns
        -------
        factor : float
        known_share : float
            Share of the wait for which the statement tells the state.
        """
        usual = state.usual(self.factor)
        if not percent:
            return usual, 0
        periods = max(waited_s / STATE_S, math.ulp(1))
        share = -math.expm1(-periods) / periods
        speed = share * USUAL_PERCENT / percent + (1 - share) / usual
        return 1 / speed, share
