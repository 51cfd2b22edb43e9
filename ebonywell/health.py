"""Tracks slowness and failures of targets from recent exchanges."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# Half-life of the averages, so that a target that recovers gets requests again
# within a few seconds.
HALF_LIFE_S = 3.0
# Weight of one exchange in the averages. A target that begins to fail is
# recognised after a few exchanges.
SMOOTHING = 0.25
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 12.0


@dataclass(slots=True)
class TargetHealth:
    """Recent failures and slowness of one target.

    Attributes
    ----------
    failure_share : float
        Weighted average over exchanges; the newest have the most weight.
    slowness : float
        Ratio of the actual to the expected time to the first byte.
    updated_at : float
        Time of the last update.
    """

    failure_share: float = 0
    slowness: float = 1
    updated_at: float = 0

    def decay(self, now: float) -> None:
        """Move the averages towards those of a healthy target."""
        remaining = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.failure_share *= remaining
        self.slowness = self.slowness**remaining
        self.updated_at = now


@dataclass(slots=True)
class HealthTracker:
    """The health of all targets.

    Attributes
    ----------
    targets : dict of str to TargetHealth
        Keyed by target id.
    """

    targets: dict[str, TargetHealth] = field(default_factory=dict)

    def record_result(self, name: str, now: float, *, is_good: bool) -> None:
        """Record whether an exchange gave an answer."""
        health = self._update(name, now)
        failed = 0 if is_good else 1
        health.failure_share += SMOOTHING * (failed - health.failure_share)

    def record_wait(
        self,
        name: str,
        now: float,
        waited_s: float,
        expected_s: float,
    ) -> None:
        """Record the actual and the expected time to a first byte."""
        health = self._update(name, now)
        ratio = waited_s / max(expected_s, math.ulp(1))
        bounded = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        health.slowness *= (bounded / health.slowness) ** SMOOTHING

    def get(self, name: str, now: float) -> TargetHealth:
        """Return a target's health, decayed to the given time."""
        return self._update(name, now)

    def retain(self, names: Iterable[str]) -> None:
        """Drop the health of all targets except these."""
        for name in set(self.targets) - set(names):
            self.targets.pop(name)

    def _update(self, name: str, now: float) -> TargetHealth:
        health = self.targets.get(name)
        if health is None:
            health = TargetHealth(updated_at=now)
            self.targets[name] = health
        health.decay(now)
        return health
