"""Decides which models and adapters to load and unload, and where.

The decision is pure. It orders its moves by urgency: models that nobody
serves, a second availability zone for busy models, more copies where demand
finds its targets full, and spare copies while memory is free.
"""

from collections.abc import Iterator

from .adapters import drop_adapters, load_adapters
from .eviction import Eviction, idle_for, is_redundant
from .layout import Layout, Site
from .moves import Decision, Earmark, Move, Pace, Turn
from .orders import Action
from .relief import find_cheapest, find_relief, find_shift

EARMARK_S = 10.0
SHIFT_GAP_S = 3.0


def decide(layout: Layout, pace: Pace, now: float) -> Decision:
    """Return the moves to make now.

    Parameters
    ----------
    layout : Layout
        Used up: the planned moves are marked in it.
    pace : Pace
        Changed in place; hand it to the next decision.
    now : float
        In seconds, never going back.

    Returns
    -------
    Decision
        No unload in it takes the last serving copy of a model, and loads
        keep to the weight store's limits.
    """
    turn = Turn(layout, pace, now, _refill(layout, pace, now))
    _drop_unwanted(turn)
    _use_earmarks(turn)
    layout.spread()
    _reach_all(turn)
    _widen_busy(turn)
    _relieve(turn)
    _shift(turn)
    _add_spares(turn)
    load_adapters(turn)
    return turn.decision


def _refill(layout: Layout, pace: Pace, now: float) -> int:
    before = now if pace.refilled_at is None else pace.refilled_at
    pace.refilled_at = now
    pace.tokens = min(
        pace.tokens + (now - before) * pace.loads_per_s,
        pace.loads_at_once,
    )
    under_way = sum(
        not copy.ready and not copy.leaving
        for site in layout.open_sites()
        for copy in site.copies.values()
    )
    return min(int(pace.tokens), pace.loads_at_once - under_way)


def _drop_unwanted(turn: Turn) -> None:
    for site in turn.layout.open_sites():
        unwanted = site.copies.keys() - turn.layout.needs.keys()
        for model in sorted(unwanted):
            if not site.copies[model].leaving:
                _unload(turn, site, model)
        for kept in site.copies.keys() & turn.layout.needs.keys():
            drop_adapters(turn, site, kept)


def _use_earmarks(turn: Turn) -> None:
    for name, earmark in list(turn.pace.earmarks.items()):
        site = turn.layout.sites.get(name)
        if site is None or not _is_valid(turn, site, earmark):
            turn.pace.earmarks.pop(name)
            continue
        footprint = turn.layout.needs[earmark.model].footprint
        if site.free_bytes >= footprint and turn.budget > 0:
            turn.pace.earmarks.pop(name)
            _load(turn, site, earmark.model)
        else:
            # Room is on its way: what is planned next counts with the copy.
            turn.layout.add_copy(site, earmark.model, turn.now)
            turn.budget -= 1


def _is_valid(turn: Turn, site: Site, earmark: Earmark) -> bool:
    if earmark.model not in turn.layout.needs:
        return False
    if not site.is_open or earmark.model in site.copies:
        return False
    return turn.now <= earmark.until


def _reach_all(turn: Turn) -> None:
    layout = turn.layout
    orphans = [
        need for need in layout.needs.values() if not layout.holders[need.model]
    ]
    orphans.sort(key=lambda need: (-need.demand, -need.footprint))
    for need in orphans:
        if turn.budget <= 0:
            return
        sites = layout.candidates(need.model)
        best = find_cheapest(layout, sites, need.model, is_redundant)
        if best is None:
            turn.decision.unplaced.append(need.model)
        else:
            _place(turn, best, need.model)


def _widen_busy(turn: Turn) -> None:
    for need in _by_demand(turn.layout):
        if turn.budget <= 0 or not turn.layout.is_busy(need):
            return
        zones = {site.zone for site in turn.layout.holders[need]}
        if len(zones) == 1:
            sites = [
                site
                for site in turn.layout.candidates(need)
                if site.zone not in zones
            ]
            best = find_cheapest(
                turn.layout,
                sites,
                need,
                idle_for(turn.now),
            )
            if best is not None and best.cost < turn.layout.busy_slots:
                _place(turn, best, need)


def _relieve(turn: Turn) -> None:
    layout = turn.layout
    for _ in range(turn.budget):
        tight = sorted(
            ((layout.pressure(model), model) for model in layout.needs),
            reverse=True,
        )
        found = (_relief(turn, model, over) for over, model in tight)
        if not any(found):
            return


def _relief(turn: Turn, model: str, pressure: float) -> bool:
    """Add the copy that takes most of a model's overflow, if it pays."""
    may_evict = idle_for(turn.now)
    eviction = find_relief(turn.layout, model, pressure, may_evict)
    if eviction is None:
        return False
    _place(turn, eviction, model)
    turn.layout.respread(model)
    return True


def _shift(turn: Turn) -> None:
    """Begin to move a sole copy away, so that its target can take more."""
    if turn.budget <= 0 or turn.now < turn.pace.shift_after:
        return
    shift = find_shift(turn.layout, idle_for(turn.now))
    if shift is not None:
        turn.pace.shift_after = turn.now + SHIFT_GAP_S
        _place(turn, shift.eviction, shift.model)


def _add_spares(turn: Turn) -> None:
    layout = turn.layout
    for model in _by_demand(layout):
        if turn.budget <= 0:
            return
        holders = layout.holders[model]
        if len(holders) == 1:
            footprint = layout.needs[model].footprint
            sites = [
                site
                for site in layout.candidates(model)
                if site.free_bytes >= footprint
            ]
            if sites:
                _load(turn, _farthest(sites, holders[0].zone), model)


def _farthest(sites: list[Site], zone: str) -> Site:
    """Return the emptiest site, if possible of another zone."""
    return max(sites, key=lambda site: (site.zone != zone, site.headroom))


def _by_demand(layout: Layout) -> Iterator[str]:
    needs = sorted(layout.needs.values(), key=lambda need: -need.demand)
    return (need.model for need in needs)


def _place(turn: Turn, eviction: Eviction, model: str) -> None:
    if not eviction.models:
        _load(turn, eviction.site, model)
        return
    for evicted in eviction.models:
        _unload(turn, eviction.site, evicted)
        if evicted in turn.layout.needs:
            turn.layout.respread(evicted)
    earmark = Earmark(model, turn.now + EARMARK_S)
    turn.pace.earmarks[eviction.site.name] = earmark
    turn.layout.add_copy(eviction.site, model, turn.now)
    turn.budget -= 1


def _load(turn: Turn, site: Site, model: str) -> None:
    turn.layout.add_copy(site, model, turn.now)
    turn.budget -= 1
    turn.pace.tokens -= 1
    need = turn.layout.needs[model]
    turn.decision.moves.append(
        Move(Action.load, site.name, model, need.bytes),
    )


def _unload(turn: Turn, site: Site, model: str) -> None:
    turn.layout.drop_copy(site, model)
    turn.decision.moves.append(Move(Action.unload, site.name, model))
