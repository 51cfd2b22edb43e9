"""Decides which models engines load and evict as demand shifts within seconds.

The module is pure: it takes the engines, their models and the demand, and
returns swaps. It is designed for a workload in which a few busy models need
several engines each and which models are busy changes within seconds, while
many rare models must be loaded before their callers give up although not all
of them fit into memory at once.

`placement` decides for catalogues in which each model stays resident. Here an
idle model may be evicted, since an engine keeps the weights of several more
models on its disk and loads them in less than a second.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Set
from dataclasses import dataclass, field
from itertools import islice
from operator import itemgetter
from types import MappingProxyType

# Cost per unit of work that no engine serves. Such requests fail, whereas a
# fully loaded engine only delays them.
UNSERVED_COST = 5.0
# Work that a request waiting for a model counts as, in engines.
WORK_PER_WAITING_REQUEST = 0.06
# Cost of evicting the last copy of a model that was requested just now; it
# declines over RECENT_S.
RECENT_MODEL_COST = 0.08
RECENT_S = 8.0
# A swap with unloads occupies its engine and may have to be undone, so it must
# gain at least this much.
MIN_SWAP_GAIN = 0.06
# Unloading a model waits until its requests in flight have ended, and the
# engine accepts no other order meanwhile.
IN_USE_UNLOAD_COST = 2.0
# Loading a copy into free memory costs next to nothing, so it may gain less.
MIN_LOAD_GAIN = 0.004
# A model is not unloaded earlier than this after it was loaded.
MIN_RESIDENCE_S = 2.5
# Engines with enough room that are evaluated for a model.
MAX_CANDIDATES_PER_MODEL = 5
# If a decision reaches this limit, the lease holder decides again at once.
MAX_SWAPS_PER_DECISION = 3
# Loads from the weight store that idle models may not use, so that they remain
# available for requested models.
RESERVED_LOADS = 1
# Load of an engine that takes no requests because of its limit.
LIMITED_LOAD = 2.0
# Engine time of a typical request, in seconds, from the deployments' sheets.
REQUEST_WORK_S = 0.12
_NO_ENGINES: frozenset[str] = frozenset()
_EQUAL_ENGINES: Mapping[str, float] = MappingProxyType({})


@dataclass(slots=True)
class Swap:
    """Orders to one engine: unloads followed by a load.

    Attributes
    ----------
    target : str
        The engine's name.
    unloads : list of str
        Models to unload.
    load : str
        The model to load; empty for none.
    """

    target: str
    unloads: list[str] = field(default_factory=list)
    load: str = ''


@dataclass(slots=True)
class EngineState:
    """State of an engine, as input to a decision.

    Attributes
    ----------
    name : str
    free_bytes : int
    models : dict of str to float
        When each model was loaded, in seconds; models that are still loading
        are included.
    cached_weights : frozenset of str
        Models that the engine loads without the weight store.
    is_busy : bool
        Whether the engine is executing an order.
    in_use : frozenset of str
        Models with requests in flight.
    load : float
        Share of the engine's time that its assigned work takes.
    time_factor : float
        Time that the engine takes for its work, relative to the others.
    """

    name: str
    free_bytes: int
    models: dict[str, float]
    cached_weights: frozenset[str] = frozenset()
    is_busy: bool = False
    in_use: frozenset[str] = frozenset()
    load: float = 0
    time_factor: float = 1


@dataclass(slots=True, frozen=True)
class ModelState:
    """State of a model, as input to a decision.

    Attributes
    ----------
    name : str
    bytes : int
    work : float
        Demand, in engines.
    waiting : int
        Number of requests that wait for the model to be loaded.
    requested_at : float
        When the model was last requested, in seconds.
    """

    name: str
    bytes: int
    work: float = 0
    waiting: int = 0
    requested_at: float = float('-inf')

    @property
    def demand(self) -> float:
        """Work of the model, including that of waiting requests."""
        return self.work + self.waiting * WORK_PER_WAITING_REQUEST


@dataclass(slots=True)
class Budget:
    """Number of loads that may still use the weight store."""

    loads: int


@dataclass(slots=True, frozen=True)
class SwapCandidate:
    """A possible swap and the cost that it would save."""

    swap: Swap
    gain: float
    is_cached: bool


class EnginePool:
    """The engines of one service with the demand spread over them.

    Attributes
    ----------
    engines : dict of str to EngineState
        The engines by name.
    models : dict of str to ModelState
        The models by name.
    factors : dict of str to float
        Time factor of each engine.
    shares : dict of str to dict of str to float
        Assigned work by model and engine.
    engines_by_model : dict of str to set of str
        Names of the engines that hold each model.
    """

    def __init__(
        self,
        engines: Iterable[EngineState],
        models: Iterable[ModelState],
        now: float,
    ) -> None:
        self.engines = {one.name: one for one in engines}
        self.factors = {
            one.name: one.time_factor for one in self.engines.values()
        }
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
        """Return the names of the engines that hold a model."""
        return self.engines_by_model.get(model, _NO_ENGINES)

    def decide(self, budget: Budget) -> list[Swap]:
        """Return the swaps to start now, the most beneficial first."""
        swaps: list[Swap] = []
        for _ in range(MAX_SWAPS_PER_DECISION):
            best = self._find_best(budget)
            if best is None:
                break
            self._apply(best, budget)
            swaps.append(best.swap)
        return [*swaps, *self._load_absent(budget)]

    def _spread_demand(self, model: ModelState) -> None:
        """Reassign one model's demand so that its engines' loads even out."""
        for name, share in self.shares.pop(model.name, {}).items():
            self.engines[name].load -= share * self.factors[name]
        loads = {
            engine_name: self.engines[engine_name].load
            for engine_name in self.engines_with(model.name)
        }
        shares = spread_work(loads, model.demand, self.factors)
        for engine_name, work in shares.items():
            self.engines[engine_name].load += work * self.factors[engine_name]
        self.shares[model.name] = shares

    def _find_best(self, budget: Budget) -> SwapCandidate | None:
        """Return the swap with the largest gain, or None if none pays off.

        Models are evaluated in the order of their gain bounds, until the
        bound is below the best gain found so far.
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
            candidates = islice(
                self._candidates(model, budget), MAX_CANDIDATES_PER_MODEL
            )
            for candidate in filter(_is_worthwhile, candidates):
                best = max(best or candidate, candidate, key=_gain_of)
        return best

    def _gain_bound(self, model: ModelState) -> float:
        """Return an upper bound on the gain of another copy of a model."""
        shares = self.shares[model.name]
        if not shares:
            return UNSERVED_COST * model.demand
        return 2 * sum(
            self.engines[name].load * share * self.factors[name]
            for name, share in shares.items()
        )

    def _candidates(
        self, model: ModelState, budget: Budget
    ) -> Iterator[SwapCandidate]:
        """Yield the swaps that would load a model.

        Engines with cached weights of the model come first, and within each
        group the least loaded engine.
        """
        engines = [
            (model.name not in engine.cached_weights, engine.load, engine)
            for engine in self.engines.values()
            if not engine.is_busy
            and model.name not in engine.models
            and (budget.loads > 0 or model.name in engine.cached_weights)
        ]
        engines.sort(key=itemgetter(0, 1))
        for _, _, engine in engines:
            candidate = self._evaluate(model, engine)
            if candidate is not None:
                yield candidate

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
        """Return models whose unloads make room, None if that is impossible."""
        missing = model.bytes - engine.free_bytes
        unloads: list[str] = []
        if missing <= 0:
            return unloads
        unloadable = [
            name
            for name, since in engine.models.items()
            if self.now - since >= MIN_RESIDENCE_S
        ]
        unloadable.sort(
            key=lambda name: (
                name in engine.in_use,
                self._copy_value(name, engine.name),
            ),
        )
        for name in unloadable:
            unloads.append(name)
            held = self.models.get(name)
            missing -= held.bytes if held else 0
            if missing <= 0:
                return unloads
        return None

    def _copy_value(self, model: str, engine: str) -> float:
        """Return the approximate cost of removing a copy from an engine."""
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
        """Return by how much a swap lowers the cost of the assignment.

        Only engines that hold one of the swapped models are considered.
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
            for engine_name, share in shares.items():
                loads[engine_name] -= share * self.factors[engine_name]
            if not shares:
                before += UNSERVED_COST * moved.demand
        after = IN_USE_UNLOAD_COST * len(engine.in_use & set(unloads))
        for placed in changed:
            engine_names = set(self.engines_with(placed.name)) - {engine.name}
            if placed is model:
                engine_names.add(engine.name)
            after += self._spread_over(placed, engine_names, loads)
        return before - after - _load_cost(loads)

    def _spread_over(
        self,
        model: ModelState,
        engine_names: set[str],
        loads: dict[str, float],
    ) -> float:
        """Spread a model's demand; return the cost if no engine holds it."""
        if not engine_names:
            return UNSERVED_COST * model.demand + self._last_copy_value(
                model.name
            )
        spread = spread_work(
            {name: loads[name] for name in engine_names},
            model.demand,
            self.factors,
        )
        for engine_name, share in spread.items():
            loads[engine_name] += share * self.factors[engine_name]
        return 0

    def _apply(self, candidate: SwapCandidate, budget: Budget) -> None:
        swap = candidate.swap
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
        if not candidate.is_cached:
            budget.loads -= 1

    def _load_absent(self, budget: Budget) -> Iterator[Swap]:
        """Load models that no engine holds into free memory."""
        absent = [
            model
            for model in self.models.values()
            if not self.engines_with(model.name)
        ]
        absent.sort(key=lambda model: -model.requested_at)
        for model in absent:
            engine = _find_free_engine(self.engines.values(), model, budget)
            if engine is not None:
                is_cached = model.name in engine.cached_weights
                swap = Swap(engine.name, [], model.name)
                self._apply(SwapCandidate(swap, 0, is_cached), budget)
                yield swap


def limited_load(rate: float | None) -> float:
    """Return the load that stands for the limit of an engine.

    Demand that an engine may not take because of its limit fails, nearly like
    demand that no engine serves.

    Parameters
    ----------
    rate : float or None
        Requests per second that the engine takes, None for no limit.
    """
    if rate is None:
        return 0
    return LIMITED_LOAD * max(0, 1 - rate * REQUEST_WORK_S)


def count_absent(pool: EnginePool) -> int:
    """Return the number of models with demand that no engine holds."""
    return sum(
        one.demand > 0 and not pool.shares[one.name]
        for one in pool.models.values()
    )


def _is_worthwhile(candidate: SwapCandidate) -> bool:
    least = MIN_SWAP_GAIN if candidate.swap.unloads else MIN_LOAD_GAIN
    return candidate.gain >= least


def _gain_of(candidate: SwapCandidate) -> float:
    return candidate.gain


def _find_free_engine(
    engines: Iterable[EngineState],
    model: ModelState,
    budget: Budget,
) -> EngineState | None:
    """Return an engine that can load an idle model without an unload."""
    fitting = [
        engine
        for engine in engines
        if not engine.is_busy
        and engine.free_bytes >= model.bytes
        and (
            model.name in engine.cached_weights or budget.loads > RESERVED_LOADS
        )
    ]
    return min(
        fitting,
        key=lambda engine: (
            model.name not in engine.cached_weights,
            engine.free_bytes,
        ),
        default=None,
    )


def _load_cost(loads: Mapping[str, float]) -> float:
    return sum(load * load for load in loads.values())


def spread_work(
    loads: Mapping[str, float],
    work: float,
    factors: Mapping[str, float] = _EQUAL_ENGINES,
) -> dict[str, float]:
    """Distribute work over engines so that their loads are as even as possible.

    Parameters
    ----------
    loads : mapping of str to float
        Load of each engine without the work.
    work : float
        The work to distribute.
    factors : mapping of str to float
        Time that each engine takes for a unit of work; 1 if it is not listed.

    Returns
    -------
    dict of str to float
        The part of the work that each engine takes.
    """
    if not loads:
        return {}
    ranked = sorted(loads, key=lambda name: loads[name])
    bounds = [*(loads[name] for name in ranked[1:]), float('inf')]
    level = loads[ranked[0]]
    left = work
    # Work that raises the load of all engines below the level by one.
    rate: float = 0
    for slowest, after in zip(ranked, bounds, strict=True):
        rate += 1 / factors.get(slowest, 1)
        step = min(left, (after - level) * rate)
        level += step / rate
        left -= step
        if left <= 0:
            break
    return {
        name: max(0, level - before) / factors.get(name, 1)
        for name, before in loads.items()
    }
