"""Learns factors that multiply from few and noisy durations.

Addresses fleets in which one host sees too few exchanges with a target to
average them, and waits that are long for reasons other than the target's pace.
Factors are kept as logarithms with a variance, which is a Kalman filter whose
covariances are left out: sure factors hardly move, unsure ones move first.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

# Residuals beyond these multiples of the expected deviation count as noisier.
# Queueing that nobody expected only lengthens waits, so that long ones tell
# less about the pace than short ones.
LONGER_DEVIATIONS = 0.5
SHORTER_DEVIATIONS = 2.0
# Largest change of a factor's logarithm by one observation (a factor of 1.4).
MAX_STEP = 0.35
# Range of a factor's logarithm: 1/20 to 20.
MAX_LOG = 3.0
# Variance below which no factor falls, so that a change is still learned.
LEAST_VARIANCE = 0.0025
# Time in which a factor that nothing confirms halves its distance to 1.
FADE_HALF_LIFE_S = 1800.0


@dataclass(slots=True)
class Factor:
    """A factor as hosts believe it, by its logarithm.

    Attributes
    ----------
    mean : float
        Logarithm of the factor; 0 before anything is known, which shrinks it
        towards 1 while observations are few.
    variance : float
    first_variance : float
        Variance before the first observation.
    updated_at : float
    """

    mean: float
    variance: float
    first_variance: float
    updated_at: float

    def log_at(self, now: float) -> float:
        """Return the logarithm at a time, faded since the last observation."""
        return self.mean * _kept_share(now - self.updated_at)

    def advance(self, now: float) -> None:
        """Fade the factor to a time; an earlier time changes nothing."""
        if now <= self.updated_at:
            return
        share = _kept_share(now - self.updated_at)
        self.mean *= share
        unsure = self.first_variance - self.variance
        self.variance += unsure * (1 - share)
        self.updated_at = now


def new_factor(deviation: float, now: float) -> Factor:
    """Return a factor of 1 that is off by so much in its logarithm."""
    variance = deviation * deviation
    return Factor(0, variance, variance, now)


def learn(
    factors: Sequence[tuple[Factor, float]],
    residual: float,
    noise: float,
) -> None:
    """Move factors towards what one observation shows.

    Parameters
    ----------
    factors : sequence of (Factor, float)
        Each with the change of the expected logarithm per change of its own.
    residual : float
        Logarithm of the actual duration over the expected one.
    noise : float
        Variance of the residual if all factors were exact.
    """
    usual = LONGER_DEVIATIONS if residual > 0 else SHORTER_DEVIATIONS
    excess = abs(residual) / (usual * math.sqrt(noise))
    spread = noise * max(1, excess) + sum(
        weight * weight * one.variance for one, weight in factors
    )
    for factor, weight in factors:
        gain = weight * factor.variance / spread
        step = _clamp(gain * residual, MAX_STEP)
        factor.mean = _clamp(factor.mean + step, MAX_LOG)
        factor.variance = max(
            LEAST_VARIANCE, factor.variance * (1 - gain * weight)
        )


def _kept_share(age_s: float) -> float:
    return math.exp2(-max(0, age_s) / FADE_HALF_LIFE_S)


def _clamp(number: float, limit: float) -> float:
    return min(max(number, -limit), limit)
