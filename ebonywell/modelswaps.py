"""Decides which engine holds which model where models come and go in seconds.

Pure: the engines, their models and the demand come in, swaps come out. The
load that it answers: a few busy models that need several engines each, while
their places in the demand change within seconds, and many rare ones that must
come within their callers' patience although not all fit at once.

`placement` decides for catalogues in which each model stays resident; here a
model that nobody asks for may go, since engines have the weights of several
more on their disks and load them in less than a second.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field
from itertools import islice
from operator import itemgetter

# Work that no engine can take costs its callers their answers; an engine that
# is loaded as far as it can costs waiting only.
UNSERVED_COST = 5.0
# A request that waits for a model counts as this much work, in engines.
WORK_PER_WAITING_REQUEST = 0.06
# What the loss of the last copy of a model costs that was asked for of late.
RECENT_MODEL_COST = 0.08
RECENT_S = 8.0
# A swap occupies its engine, and may be regretted; its gain must be more.
MIN_SWAP_GAIN = 0.06
# An unload waits for the runs of its model, and its engine takes no other
# order meanwhile.
IN_USE_UNLOAD_COST = 2.0
# A copy that is put into free memory costs next to nothing.
MIN_LOAD_GAIN = 0.004
# A model stays at least that long after it came.
MIN_RESIDENCE_S = 2.5
# Engines with room that are tried for a model.
MAX_CANDIDATES_PER_MODEL = 5
# Of one decision; a holder with more to do decides again at once.
MAX_SWAPS_PER_DECISION = 3
# Loads from the weight store that serve models nobody asks for leave this
# many for those that somebody does.
RESERVED_LOADS = 1
_NO_ENGINES: frozenset[str] = frozenset()


@dataclass(slots=True)
class Swap:
    """Orders for models to one engine, the unloads first.

    Attributes
    ----------
    target : str
    unloads : list of str
    load : str
        Empty for none.
    """

    target: str
    unloads: list[str] = field(default_factory=list)
    load: str = ''


@dataclass(slots=True)
class EngineState:
    """An engine as the decision sees it.

    Attributes
    ----------
    name : str
    free_bytes : int
    models : dict of str to float
        When each model came, in seconds; those on their way included.
    cached_weights : frozenset of str
        Models that it loads without the weight store.
    is_busy : bool
        Whether it carries out an order.
    in_use : frozenset of str
        Models that requests run on now.
    load : float
        Work by the spread demand, 1.0 being all that it can do.
    """

    name: str
    free_bytes: int
    models: dict[str, float]
    cached_weights: frozenset[str] = frozenset()
    is_busy: bool = False
    in_use: frozenset[str] = frozenset()
    load: float = 0


@dataclass(slots=True, frozen=True)
class ModelState:
    """A model as the decision sees it.

    Attributes
    ----------
    name : str
    bytes : int
    work : float
        Demand, in engines.
    waiting : int
        Requests that wait for it.
    requested_at : float
        When it was last asked for, in seconds.
    """

    name: str
    bytes: int
    work: float = 0
    waiting: int = 0
    requested_at: float = float('-inf')

    @property
    def demand(self) -> float:
        """The work with that of the requests that wait."""
        return self.work + self.waiting * WORK_PER_WAITING_REQUEST


@dataclass(slots=True)
class Budget:
    """Loads that the weight store may still be asked for."""

    loads: int


@dataclass(slots=True, frozen=True)
class SwapCandidate:
    """A swap and what it would gain."""

    swap: Swap
    gain: float
    is_cached: bool


class EnginePool:
    """The engines of one service with the demand spread over them.

    Attributes
    ----------
    engines : dict of str to EngineState
    models : dict of str to ModelState
    shares : dict of str to dict of str to float
        Work by model and engine.
    engines_by_model : dict of str to set of str
        Engines by the models that they hold.
    """

    def __init__(
        self,
        engines: Iterable[EngineState],
        models: Iterable[ModelState],
        now: float,
    ) -> None:
        self.engines = {one.name: one for one in engines}
        self.models = {one.name: one for one in models}
        self.now = now
        self.shares: dict[str, dict[str, float]] = {}
        self.engines_by_model: defaultdict[str, set[str]] = defaultdict(set)
        for engine in self.engines.values():
            for held in engine.models:
                self.engines_by_model[held].add(engine.name)
        order = sorted(self.models.values(), key=lambda one: -one.demand)
        for _ in range(2):
            for model in order:
                self._spread_demand(model)

    def engines_with(self, model: str) -> Set[str]:
        """Return the engines that hold a model."""
        return self.engines_by_model.get(model, _NO_ENGINES)

    def decide(self, budget: Budget) -> list[Swap]:
        """Return the swaps to begin now, the best first."""
        swaps: list[Swap] = []
        for _ in range(MAX_SWAPS_PER_DECISION):
            best = self._find_best(budget)
            if best is None:
                break
            self._apply(best, budget)
            swaps.append(best.swap)
        return [*swaps, *self._load_absent(budget)]

    def _spread_demand(self, model: ModelState) -> None:
        """Share out one model's demand over its engines, level by level."""
        for name, share in self.shares.pop(model.name, {}).items():
            self.engines[name].load -= share
        loads = {
            holder: self.engines[holder].load
            for holder in self.engines_with(model.name)
        }
        shares = spread_work(loads, model.demand)
        for taking, taken in shares.items():
            self.engines[taking].load += taken
        self.shares[model.name] = shares

    def _find_best(self, budget: Budget) -> SwapCandidate | None:
        """Return the swap that gains most, None if none is worth its while.

        Models that could gain more than any swap found so far are tried, and
        no others.
        """
        bounds = [
            (self._gain_bound(model), model)
            for model in self.models.values()
            if model.demand
        ]
        bounds.sort(key=itemgetter(0), reverse=True)
        best: SwapCandidate | None = None
        for most_gain, model in bounds:
            if best is not None and most_gain < best.gain:
                break
            trials = islice(
                self._candidates(model, budget), MAX_CANDIDATES_PER_MODEL
            )
            for trial in filter(_is_worthwhile, trials):
                best = max(best or trial, trial, key=_gain_of)
        return best

    def _gain_bound(self, model: ModelState) -> float:
        """Return a bound of what another copy of a model could gain."""
        shares = self.shares[model.name]
        if not shares:
            return UNSERVED_COST * model.demand
        return 2 * sum(
            self.engines[name].load * share for name, share in shares.items()
        )

    def _candidates(
        self, model: ModelState, budget: Budget
    ) -> Iterator[SwapCandidate]:
        """Try engines that could get a model, those on whose disk it is first.

        Among these the least loaded come first.
        """
        takers = [
            (model.name not in engine.cached_weights, engine.load, engine)
            for engine in self.engines.values()
            if not engine.is_busy
            and model.name not in engine.models
            and (budget.loads > 0 or model.name in engine.cached_weights)
        ]
        takers.sort(key=itemgetter(0, 1))
        for _, _, engine in takers:
            trial = self._evaluate(model, engine)
            if trial is not None:
                yield trial

    def _evaluate(
        self, model: ModelState, engine: EngineState
    ) -> SwapCandidate | None:
        unloads = self._choose_unloads(model, engine)
        if unloads is None:
            return None
        return SwapCandidate(
            Swap(engine.name, unloads, model.name),
            self._gain(model, engine, unloads),
            model.name in engine.cached_weights,
        )

    def _choose_unloads(
        self,
        model: ModelState,
        engine: EngineState,
    ) -> list[str] | None:
        """Return what to unload for a model, None if there is no way."""
        missing = model.bytes - engine.free_bytes
        unloads: list[str] = []
        if missing <= 0:
            return unloads
        settled = [
            name
            for name, since in engine.models.items()
            if self.now - since >= MIN_RESIDENCE_S
        ]
        settled.sort(
            key=lambda name: (
                name in engine.in_use,
                self._copy_value(name, engine.name),
            ),
        )
        for name in settled:
            unloads.append(name)
            held = self.models.get(name)
            missing -= held.bytes if held else 0
            if missing <= 0:
                return unloads
        return None

    def _copy_value(self, model: str, engine: str) -> float:
        """Return roughly what a copy is worth where it is."""
        share = self.shares.get(model, {}).get(engine, 0)
        if len(self.engines_with(model)) > 1:
            return share
        return share * UNSERVED_COST + self._last_copy_value(model)

    def _last_copy_value(self, model: str) -> float:
        known = self.models.get(model)
        if known is None:
            return 0
        age_s = self.now - known.requested_at
        return RECENT_MODEL_COST * max(0.1, 1 - age_s / RECENT_S)

    def _gain(
        self,
        model: ModelState,
        engine: EngineState,
        unloads: list[str],
    ) -> float:
        """Return by how much a swap lowers the cost of the whole spread.

        Only the engines that hold one of its models are looked at.
        """
        changed = [self.models[name] for name in unloads if name in self.models]
        changed.append(model)
        touched = {engine.name}.union(
            *(self.engines_with(one.name) for one in changed)
        )
        loads = {name: self.engines[name].load for name in touched}
        before = _load_cost(loads)
        for moved in changed:
            shares = self.shares[moved.name]
            for holder, share in shares.items():
                loads[holder] -= share
            if not shares:
                before += UNSERVED_COST * moved.demand
        after = IN_USE_UNLOAD_COST * len(engine.in_use & set(unloads))
        for placed in changed:
            holders = set(self.engines_with(placed.name)) - {engine.name}
            if placed is model:
                holders.add(engine.name)
            after += self._spread_over(placed, holders, loads)
        return before - after - _load_cost(loads)

    def _spread_over(
        self,
        model: ModelState,
        holders: set[str],
        loads: dict[str, float],
    ) -> float:
        """Spread a model over its holders; return what it costs without."""
        if not holders:
            return UNSERVED_COST * model.demand + self._last_copy_value(
                model.name
            )
        spread = spread_work(
            {name: loads[name] for name in holders}, model.demand
        )
        for holder, share in spread.items():
            loads[holder] += share
        return 0

    def _apply(self, trial: SwapCandidate, budget: Budget) -> None:
        swap = trial.swap
        engine = self.engines[swap.target]
        for unloaded in swap.unloads:
            engine.models.pop(unloaded)
            self.engines_by_model[unloaded].discard(engine.name)
            known = self.models.get(unloaded)
            if known is not None:
                engine.free_bytes += known.bytes
                self._spread_demand(known)
        loaded = self.models[swap.load]
        engine.models[swap.load] = self.now
        self.engines_by_model[swap.load].add(engine.name)
        engine.free_bytes -= loaded.bytes
        engine.is_busy = True
        self._spread_demand(loaded)
        if not trial.is_cached:
            budget.loads -= 1

    def _load_absent(self, budget: Budget) -> Iterator[Swap]:
        """Load models that nobody holds where there is room for them."""
        absent = [
            model
            for model in self.models.values()
            if not self.engines_with(model.name)
        ]
        absent.sort(key=lambda model: -model.requested_at)
        for model in absent:
            engine = _find_free_engine(self.engines.values(), model, budget)
            if engine is not None:
                is_near = model.name in engine.cached_weights
                swap = Swap(engine.name, [], model.name)
                self._apply(SwapCandidate(swap, 0, is_near), budget)
                yield swap


def count_absent(pool: EnginePool) -> int:
    """Return how many models are asked for that no engine holds."""
    return sum(
        one.demand > 0 and not pool.shares[one.name]
        for one in pool.models.values()
    )


def _is_worthwhile(trial: SwapCandidate) -> bool:
    least = MIN_SWAP_GAIN if trial.swap.unloads else MIN_LOAD_GAIN
    return trial.gain >= least


def _gain_of(trial: SwapCandidate) -> float:
    return trial.gain


def _find_free_engine(
    engines: Iterable[EngineState],
    model: ModelState,
    budget: Budget,
) -> EngineState | None:
    """Return where an idle model fits without an unload."""
    rooms = [
        engine
        for engine in engines
        if not engine.is_busy
        and engine.free_bytes >= model.bytes
        and (
            model.name in engine.cached_weights or budget.loads > RESERVED_LOADS
        )
    ]
    return min(
        rooms,
        key=lambda engine: (
            model.name not in engine.cached_weights,
            engine.free_bytes,
        ),
        default=None,
    )


def _load_cost(loads: Mapping[str, float]) -> float:
    return sum(load * load for load in loads.values())


def spread_work(loads: Mapping[str, float], work: float) -> dict[str, float]:
    """Return how work spreads over engines so that their loads are level.

    Parameters
    ----------
    loads : mapping of str to float
        Of the engines, without that work.
    work : float

    Returns
    -------
    dict of str to float
        The part that each engine takes.
    """
    if not loads:
        return {}
    ranked = [*sorted(loads.values()), float('inf')]
    level = ranked[0]
    left = work
    for count, after in enumerate(ranked[1:], 1):
        step = min(left, (after - level) * count)
        level += step / count
        left -= step
        if left <= 0:
            break
    return {name: max(0, level - before) for name, before in loads.items()}
