"""Rate limit and concurrency limit for loads from a weight store.

The module is pure. Both limits follow from the configured rate. Loads are
counted over a window with some tolerance. The store serves as many concurrent
loads at full speed as may begin, at its rate, during one load.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .routetable import EngineSpec

# Share of the configured rate that is used; the rest covers clocks that run at
# different speeds.
RATE_SHARE = 0.98
# Loads that a window permits beyond its tolerance. One further load is set
# aside for an order that is presumed lost but executed late.
SPARE_LOADS = 2


@dataclass(slots=True, frozen=True)
class LoadWindow:
    """Window over which loads from the weight store are counted.

    Attributes
    ----------
    span_s : float
    overshoot : float
        Loads that may begin in a window, as a multiple of the configured
        rate.
    """

    span_s: float = 5
    overshoot: float = 1.1


@dataclass(slots=True, eq=False)
class PlannedLoad:
    """A load that has been decided but may not have begun.

    Attributes
    ----------
    pace : LoadPace
        The limiter that counts the load.
    load_s : float
        Duration of the load at full speed, in seconds.
    is_begun : bool
        Whether the engine may have begun the load.
    """

    pace: 'LoadPace'
    load_s: float
    is_begun: bool = False

    def begin(self, now: float) -> None:
        """Count the load as begun; further calls have no effect."""
        if not self.is_begun:
            self.is_begun = True
            self.pace.loads -= 1
            self.pace.ends.append(now + self.load_s)


@dataclass(slots=True)
class LoadPace:
    """Token bucket for loads from the weight store.

    Attributes
    ----------
    window : LoadWindow
    refilled_at : float
        When the bucket was last refilled, in seconds.
    loads : float
        Loads that may begin now.
    planned : int
        Loads that have been decided but have not begun.
    ends : list of float
        When each load that has begun is expected to end.
    """

    window: LoadWindow
    refilled_at: float
    loads: float = 0
    planned: int = 0
    ends: list[float] = field(default_factory=list)

    def refill(self, engine: EngineSpec, now: float) -> int:
        """Refill the bucket; return how many further loads may be decided."""
        rate = engine.loads_per_s
        earned = (now - self.refilled_at) * rate * RATE_SHARE
        self.loads = min(self.loads + earned, self._max_stored(rate))
        self.refilled_at = now
        self.ends = [end for end in self.ends if end > now]
        room = full_speed_loads(engine) - len(self.ends)
        return max(0, min(int(self.loads), room) - self.planned)

    @contextmanager
    def reserving(self, load_s: float) -> Iterator[PlannedLoad]:
        """Reserve capacity for a load until it has begun or is abandoned."""
        load = PlannedLoad(self, load_s)
        self.planned += 1
        try:
            yield load
        finally:
            self.planned -= 1

    def _max_stored(self, rate: float) -> float:
        """Return the burst: loads that may begin at once after a pause."""
        tolerance = self.window.overshoot - RATE_SHARE
        return SPARE_LOADS + self.window.span_s * rate * tolerance


def full_speed_loads(engine: EngineSpec) -> int:
    """Return how many loads the weight store serves at once at full speed."""
    times = [model.load_s for model in engine.models.values()]
    mean_s = sum(times) / len(times) if times else 0
    return loads_at_once(engine.loads_per_s, mean_s)


def loads_at_once(loads_per_s: float, load_s: float) -> int:
    """Return how many loads begin during one load at the store's full rate."""
    return max(1, round(loads_per_s * load_s))
