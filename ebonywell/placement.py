"""Decides which models and adapters to load and unload, and where.

Decisions do no I/O. Moves are ordered by urgency: models that no target
serves, a second availability zone for busy models, more copies of models whose
demand exceeds the slots of their targets, and spare copies while memory is
free.
"""

from collections.abc import Iterator

from .adapters import load_adapters, unload_adapters
from .eviction import Eviction, evictable_at, is_redundant
from .layout import Layout, Site
from .moves import Decision, DeferredLoad, Move, PlacementState, PlanningRound
from .orders import Action
from .scaleout import find_cheapest, find_relocation, find_scale_out

# Time for unloads to free memory before a deferred load is dropped.
DEFERRED_LOAD_TTL_S = 10.0
RELOCATION_INTERVAL_S = 3.0


def decide(layout: Layout, state: PlacementState, now: float) -> Decision:
    """Return the moves to make now.

    Parameters
    ----------
    layout : Layout
        Changed in place: planned moves are entered in it, so it can't be
        used for another decision.
    state : PlacementState
        Changed in place. Pass it to the next decision.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    Decision
        Never unloads the last serving copy of a model that the catalogue
        has. Loads stay within the limits of the weight store.
    """
    planning = PlanningRound(
        layout, state, now, _refill_tokens(layout, state, now)
    )
    _unload_removed(planning)
    _start_deferred_loads(planning)
    layout.spread()
    _place_unserved(planning)
    _add_second_zones(planning)
    _scale_out(planning)
    _relocate(planning)
    _add_spares(planning)
    load_adapters(planning)
    return planning.decision


def _refill_tokens(layout: Layout, state: PlacementState, now: float) -> int:
    before = now if state.refilled_at is None else state.refilled_at
    state.refilled_at = now
    state.tokens = min(
        state.tokens + (now - before) * state.loads_per_s,
        state.loads_at_once,
    )
    loading = sum(
        not copy.ready and not copy.leaving
        for site in layout.open_sites()
        for copy in site.copies.values()
    )
    return min(int(state.tokens), state.loads_at_once - loading)


def _unload_removed(planning: PlanningRound) -> None:
    for site in planning.layout.open_sites():
        removed = site.copies.keys() - planning.layout.needs.keys()
        for model in sorted(removed):
            if not site.copies[model].leaving:
                _unload(planning, site, model)
        for model in site.copies.keys() & planning.layout.needs.keys():
            unload_adapters(planning, site, model)


def _start_deferred_loads(planning: PlanningRound) -> None:
    for name, deferred in list(planning.state.deferred_loads.items()):
        site = planning.layout.sites.get(name)
        if site is None or not _is_valid(planning, site, deferred):
            planning.state.deferred_loads.pop(name)
            continue
        footprint = planning.layout.needs[deferred.model].footprint
        if site.free_bytes >= footprint and planning.budget > 0:
            planning.state.deferred_loads.pop(name)
            _load(planning, site, deferred.model)
        else:
            # The memory is still being freed. Count the copy as placed, so
            # that the following steps don't place it again.
            planning.layout.add_copy(site, deferred.model, planning.now)
            planning.budget -= 1


def _is_valid(
    planning: PlanningRound, site: Site, deferred: DeferredLoad
) -> bool:
    if deferred.model not in planning.layout.needs:
        return False
    if not site.is_open or deferred.model in site.copies:
        return False
    return planning.now <= deferred.expires_at


def _place_unserved(planning: PlanningRound) -> None:
    layout = planning.layout
    unserved = [
        need
        for need in layout.needs.values()
        if not layout.sites_by_model[need.model]
    ]
    unserved.sort(key=lambda need: (-need.demand, -need.footprint))
    for need in unserved:
        if planning.budget <= 0:
            return
        sites = layout.candidates(need.model)
        eviction = find_cheapest(layout, sites, need.model, is_redundant)
        if eviction is None:
            planning.decision.unplaced.append(need.model)
        else:
            _place(planning, eviction, need.model)


def _add_second_zones(planning: PlanningRound) -> None:
    for need in _by_demand(planning.layout):
        if planning.budget <= 0 or not planning.layout.is_busy(need):
            return
        zones = {site.zone for site in planning.layout.sites_by_model[need]}
        if len(zones) == 1:
            sites = [
                site
                for site in planning.layout.candidates(need)
                if site.zone not in zones
            ]
            eviction = find_cheapest(
                planning.layout,
                sites,
                need,
                evictable_at(planning.now),
            )
            if (
                eviction is not None
                and eviction.cost < planning.layout.busy_slots
            ):
                _place(planning, eviction, need)


def _scale_out(planning: PlanningRound) -> None:
    layout = planning.layout
    for _ in range(planning.budget):
        by_overflow = sorted(
            ((layout.overflow(model), model) for model in layout.needs),
            reverse=True,
        )
        found = (
            _scale_out_model(planning, model, overflow)
            for overflow, model in by_overflow
        )
        if not any(found):
            return


def _scale_out_model(
    planning: PlanningRound, model: str, overflow: float
) -> bool:
    """Add the copy that absorbs most of a model's overflow, if worth its cost.

    Returns
    -------
    bool
        Whether a copy was added.
    """
    may_evict = evictable_at(planning.now)
    eviction = find_scale_out(planning.layout, model, overflow, may_evict)
    if eviction is None:
        return False
    _place(planning, eviction, model)
    planning.layout.respread(model)
    return True


def _relocate(planning: PlanningRound) -> None:
    """Load a second copy of a model elsewhere, so that the first can go.

    The first copy is the only one of its model, so it can't be evicted, and
    occupies memory on a target that could absorb the overflow of another
    model.
    """
    if planning.budget <= 0 or planning.now < planning.state.next_relocation_at:
        return
    relocation = find_relocation(planning.layout, evictable_at(planning.now))
    if relocation is not None:
        planning.state.next_relocation_at = planning.now + RELOCATION_INTERVAL_S
        _place(planning, relocation.eviction, relocation.model)


def _add_spares(planning: PlanningRound) -> None:
    layout = planning.layout
    for model in _by_demand(layout):
        if planning.budget <= 0:
            return
        current_sites = layout.sites_by_model[model]
        if len(current_sites) == 1:
            footprint = layout.needs[model].footprint
            sites = [
                site
                for site in layout.candidates(model)
                if site.free_bytes >= footprint
            ]
            if sites:
                _load(
                    planning,
                    _pick_spare_site(sites, current_sites[0].zone),
                    model,
                )


def _pick_spare_site(sites: list[Site], zone: str) -> Site:
    """Return the site with most headroom, in another zone if possible."""
    return max(sites, key=lambda site: (site.zone != zone, site.headroom))


def _by_demand(layout: Layout) -> Iterator[str]:
    needs = sorted(layout.needs.values(), key=lambda need: -need.demand)
    return (need.model for need in needs)


def _place(planning: PlanningRound, eviction: Eviction, model: str) -> None:
    if not eviction.models:
        _load(planning, eviction.site, model)
        return
    for evicted in eviction.models:
        _unload(planning, eviction.site, evicted)
        if evicted in planning.layout.needs:
            planning.layout.respread(evicted)
    deferred = DeferredLoad(model, planning.now + DEFERRED_LOAD_TTL_S)
    planning.state.deferred_loads[eviction.site.name] = deferred
    planning.layout.add_copy(eviction.site, model, planning.now)
    planning.budget -= 1


def _load(planning: PlanningRound, site: Site, model: str) -> None:
    planning.layout.add_copy(site, model, planning.now)
    planning.budget -= 1
    planning.state.tokens -= 1
    need = planning.layout.needs[model]
    planning.decision.moves.append(
        Move(Action.load, site.name, model, need.bytes),
    )


def _unload(planning: PlanningRound, site: Site, model: str) -> None:
    planning.layout.drop_copy(site, model)
    planning.decision.moves.append(Move(Action.unload, site.name, model))
