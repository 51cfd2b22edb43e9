"""Which engine should hold which model, from what hosts tell of the demand.

Pure: builds the layout that `placement.decide` works on. The load that it
answers: a few busy models that need several engines each, while their places
in the demand change within seconds, and many rare ones that must come within
their callers' patience although not all fit at once.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from .digests import ModelDemand
from .eviction import EvictionRules, is_redundant
from .inventory import KnownTarget
from .layout import Copy, Layout, Need, Site
from .routetable import EngineSpec

# The demand that an engine should have at the most, by its work in
# milliseconds a second: callers want the first token at once, and requests
# come in clumps.
FULL_WORK_MS = 450.0
# A model stays at least that long after it came, so that two models do not
# keep replacing each other.
MIN_RESIDENCE_S = 3.0
# Another copy must win this part of an engine: a swap takes its engine a
# second.
LEAST_GAIN = 0.12
# The last copy of a model may go for a busier one once callers ask for less
# than this, in milliseconds of work a second, and have not asked for a while.
IDLE_WORK_MS = 60.0
IDLE_S = 2.0
# A waiting request may take the place of a rare model sooner.
WAITING_IDLE_S = 0.7
# A request that waits for a model counts as this much work a second.
WAITING_WORK_MS = 100.0


@dataclass(slots=True)
class ModelNotes:
    """What the holder of the lease remembers of models.

    Attributes
    ----------
    asked_at : dict of str to float
        When each model was last asked for.
    loaded_at : dict of (str, str) to float
        When each copy was first seen, by target and model.
    """

    asked_at: dict[str, float] = field(default_factory=dict)
    loaded_at: dict[tuple[str, str], float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class EngineView:
    """An engine as the holder of the lease knows it.

    Attributes
    ----------
    known : KnownTarget
    is_busy : bool
        Whether an order of its is under way.
    arriving, leaving : frozenset of str
        Models that orders bring to it or take away.
    """

    known: KnownTarget
    is_busy: bool = False
    arriving: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


def build_layout(
    engine: EngineSpec,
    views: Iterable[EngineView],
    demand: Mapping[str, ModelDemand],
    notes: ModelNotes,
    now: float,
) -> Layout:
    """Return the layout of one service's engines.

    Parameters
    ----------
    engine : EngineSpec
    views : iterable of EngineView
        Of all engines that take requests.
    demand : mapping of str to ModelDemand
        Over all hosts, by model.
    notes : ModelNotes
        Brought up to date.
    now : float
        In seconds.
    """
    for model, asked in demand.items():
        if asked.work_ms or asked.waiting:
            notes.asked_at[model] = now
    needs = [
        Need(
            model,
            spec.bytes,
            demand=_slots(engine, demand.get(model)),
            asked_at=notes.asked_at.get(model, 0),
        )
        for model, spec in engine.models.items()
    ]
    sites = [_build_site(engine, view, notes, now) for view in views]
    return Layout(sites, needs)


def turnover_rules(
    demand: Mapping[str, ModelDemand],
    notes: ModelNotes,
    views: Mapping[str, EngineView],
    now: float,
) -> EvictionRules:
    """Return the rules under which a rare model makes room for another."""

    def has_settled(site: Site, model: str) -> bool:
        if views[site.name].is_busy:
            return False
        since = notes.loaded_at.get((site.name, model), now)
        return now - since >= MIN_RESIDENCE_S

    def is_idle(model: str, idle_s: float) -> bool:
        asked = demand.get(model)
        if asked is None:
            return now - notes.asked_at.get(model, 0) >= idle_s
        if asked.waiting or asked.work_ms >= IDLE_WORK_MS:
            return False
        return now - notes.asked_at.get(model, 0) >= idle_s

    def allow(idle_s: float, layout: Layout, site: Site, model: str) -> bool:
        copy = site.copies[model]
        if copy.leaving or not copy.ready or not has_settled(site, model):
            return False
        return is_redundant(layout, site, model) or is_idle(model, idle_s)

    def for_waiting(layout: Layout, site: Site, model: str) -> bool:
        return allow(WAITING_IDLE_S, layout, site, model)

    def for_demand(layout: Layout, site: Site, model: str) -> bool:
        return allow(IDLE_S, layout, site, model)

    return EvictionRules(for_waiting, _never, for_demand, LEAST_GAIN)


def _never(layout: Layout, site: Site, model: str) -> bool:
    return False


def _slots(engine: EngineSpec, asked: ModelDemand | None) -> float:
    if asked is None:
        return 0
    work_ms = asked.work_ms + asked.waiting * WAITING_WORK_MS
    return work_ms / FULL_WORK_MS * engine.slots


def _build_site(
    engine: EngineSpec,
    view: EngineView,
    notes: ModelNotes,
    now: float,
) -> Site:
    known = view.known
    copies: dict[str, Copy] = {}
    used = reserved_adapter_bytes(engine)
    for model in known.models.keys() | view.arriving:
        spec = engine.models.get(model)
        used += spec.bytes if spec else 0
        since = notes.loaded_at.setdefault((known.name, model), now)
        copies[model] = Copy(
            ready=model in known.models,
            leaving=model in view.leaving,
            loaded_at=since,
        )
    for target, model in list(notes.loaded_at):
        if target == known.name and model not in copies:
            notes.loaded_at.pop((target, model))
    return Site(
        known.name,
        known.said.zone,
        engine.weight_bytes,
        engine.weight_bytes - used,
        float(engine.slots),
        copies=copies,
        barred=set(engine.models) if view.is_busy else set(),
        near_weights=known.said.near_weights,
    )


def reserved_adapter_bytes(engine: EngineSpec) -> int:
    """Return the memory that adapters of any models may take."""
    largest = max(
        (spec.adapter_bytes for spec in engine.models.values() if spec.adapters),
        default=0,
    )
    return largest * engine.adapter_slots
