"""How many models may be fetched from a weight store, and how many at once.

Pure. Both follow from the rate that the configuration states: loads are
counted over a window with some tolerance, and the store serves at full speed
as many at once as its rate begins while one of them lasts.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .routetable import EngineSpec

# Of the stated rate; the rest covers clocks that run at different speeds.
RATE_SHARE = 0.98
# Loads in a window beyond those that its tolerance allows, less one whose
# order was lost and is carried out late.
SPARE_LOADS = 2


@dataclass(slots=True, frozen=True)
class LoadWindow:
    """Over what loads from the weight store are counted.

    Attributes
    ----------
    span_s : float
    overshoot : float
        The part of the stated rate that may begin in a window.
    """

    span_s: float = 5
    overshoot: float = 1.1


@dataclass(slots=True, eq=False)
class PlannedLoad:
    """A load that has been decided.

    Attributes
    ----------
    pace : LoadPace
    load_s : float
        How long it takes at full speed.
    is_begun : bool
        Whether the engine may have begun it.
    """

    pace: 'LoadPace'
    load_s: float
    is_begun: bool = False

    def begin(self, now: float) -> None:
        """Count the load as begun, once."""
        if not self.is_begun:
            self.is_begun = True
            self.pace.loads -= 1
            self.pace.ends.append(now + self.load_s)


@dataclass(slots=True)
class LoadPace:
    """The loads that the weight store may be asked for.

    Attributes
    ----------
    window : LoadWindow
    refilled_at : float
        In seconds.
    loads : float
        That may begin now.
    planned : int
        Decided and not begun.
    ends : list of float
        When each load that has begun will be done.
    """

    window: LoadWindow
    refilled_at: float
    loads: float = 0
    planned: int = 0
    ends: list[float] = field(default_factory=list)

    def refill(self, engine: EngineSpec, now: float) -> int:
        """Return how many further loads may be decided now."""
        rate = engine.loads_per_s
        earned = (now - self.refilled_at) * rate * RATE_SHARE
        self.loads = min(self.loads + earned, self._max_stored(rate))
        self.refilled_at = now
        self.ends = [end for end in self.ends if end > now]
        room = full_speed_loads(engine) - len(self.ends)
        return max(0, min(int(self.loads), room) - self.planned)

    @contextmanager
    def reserving(self, load_s: float) -> Iterator[PlannedLoad]:
        """Keep a load's place until it has begun or is given up."""
        load = PlannedLoad(self, load_s)
        self.planned += 1
        try:
            yield load
        finally:
            self.planned -= 1

    def _max_stored(self, rate: float) -> float:
        """Return how many loads may begin at once after a pause."""
        tolerance = self.window.overshoot - RATE_SHARE
        return SPARE_LOADS + self.window.span_s * rate * tolerance


def full_speed_loads(engine: EngineSpec) -> int:
    """Return how many loads at once the weight store serves at full speed."""
    times = [model.load_s for model in engine.models.values()]
    mean_s = sum(times) / len(times) if times else 0
    return loads_at_once(engine.loads_per_s, mean_s)


def loads_at_once(loads_per_s: float, load_s: float) -> int:
    """Return how many loads run while one lasts, at the store's full rate."""
    return max(1, round(loads_per_s * load_s))
