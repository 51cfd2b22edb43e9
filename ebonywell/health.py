"""What exchanges with targets tell of their speed and their failures."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

# Evidence counts half after this long without more of it, so that a target
# that recovers gets requests again within a few seconds.
HALF_LIFE_S = 3.0
# The weight of one exchange in the averages: a target that begins to fail is
# known for it after a handful of exchanges.
SMOOTHING = 0.25
MIN_SLOWNESS = 0.25
MAX_SLOWNESS = 12.0


@dataclass(slots=True)
class TargetHealth:
    """What was seen of one target.

    Attributes
    ----------
    failure_share : float
        Of its exchanges, the newest ones most.
    slowness : float
        Time to its first byte by what its load let expect.
    updated_at : float
        When this was last brought up to date.
    """

    failure_share: float = 0
    slowness: float = 1
    updated_at: float = 0

    def decay(self, now: float) -> None:
        """Let old evidence fade."""
        kept = 0.5 ** ((now - self.updated_at) / HALF_LIFE_S)
        self.failure_share *= kept
        self.slowness = self.slowness**kept
        self.updated_at = now


@dataclass(slots=True)
class HealthTracker:
    """The health of all targets, by id."""

    targets: dict[str, TargetHealth] = field(default_factory=dict)

    def record_result(self, name: str, now: float, *, is_good: bool) -> None:
        """Note whether an exchange brought an answer."""
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
        """Note how long a first byte took beside what was expected."""
        health = self._update(name, now)
        ratio = waited_s / max(expected_s, math.ulp(1))
        bounded = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
        health.slowness *= (bounded / health.slowness) ** SMOOTHING

    def get(self, name: str, now: float) -> TargetHealth:
        """Return a target's health as of now."""
        return self._update(name, now)

    def retain(self, names: Iterable[str]) -> None:
        """Forget all targets but these."""
        for name in set(self.targets) - set(names):
            self.targets.pop(name)

    def _update(self, name: str, now: float) -> TargetHealth:
        health = self.targets.get(name)
        if health is None:
            health = TargetHealth(updated_at=now)
            self.targets[name] = health
        health.decay(now)
        return health
