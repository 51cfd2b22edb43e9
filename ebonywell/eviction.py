"""What may be unloaded from a target to make room, and what it costs."""

from collections.abc import Callable
from dataclasses import dataclass

from .layout import Layout, Site

MIN_RESIDENCE_S = 30.0
IDLE_COST_SLOTS = 0.01


@dataclass(slots=True)
class Eviction:
    """Models to unload from one target.

    Attributes
    ----------
    site : Site
    models : list of str
    cost : float
        Slots of demand that lose their place.
    """

    site: Site
    models: list[str]
    cost: float = 0


MayEvict = Callable[[Layout, Site, str], bool]


def is_redundant(layout: Layout, site: Site, model: str) -> bool:
    """Return whether another target goes on serving the model."""
    copy = site.copies[model]
    if copy.leaving or model not in layout.needs:
        return False
    return any(other is not site for other in layout.serving(model))


def idle_for(now: float) -> MayEvict:
    """Return a rule that spares what was loaded of late, or is a safeguard."""

    def may_evict(layout: Layout, site: Site, model: str) -> bool:
        if not is_redundant(layout, site, model):
            return False
        if now - site.copies[model].loaded_at < MIN_RESIDENCE_S:
            return False
        others = [one for one in layout.serving(model) if one is not site]
        if layout.spares_fit and len(others) < 2:
            return False
        zones = {one.zone for one in others}
        return len(zones) > 1 or not layout.is_busy(model)

    return may_evict


def plan_eviction(
    layout: Layout,
    site: Site,
    wanted_bytes: int,
    may_evict: MayEvict,
) -> Eviction | None:
    """Return the cheapest way to make room on a target, if there is one.

    Parameters
    ----------
    layout : Layout
        With its demand spread.
    site : Site
    wanted_bytes : int
    may_evict : callable

    Returns
    -------
    Eviction or None
        With no models if there is room already.
    """
    eviction = Eviction(site, [])
    missing = wanted_bytes - site.free_bytes
    if missing <= 0:
        return eviction
    costs = sorted(
        (_cost(layout, site, model), model)
        for model in site.copies
        if may_evict(layout, site, model)
    )
    for cost, model in costs:
        eviction.models.append(model)
        eviction.cost += cost
        missing -= _held_bytes(layout, site, model)
        if missing <= 0:
            return eviction
    return None


def _cost(layout: Layout, site: Site, model: str) -> float:
    others = [one for one in layout.serving(model) if one is not site]
    room = sum(max(one.headroom, 0) for one in others)
    share = site.copies[model].share
    return max(share - room, 0) + IDLE_COST_SLOTS * (1 + share)


def _held_bytes(layout: Layout, site: Site, model: str) -> int:
    # The room that absent adapters would take was set aside already.
    return layout.needs[model].footprint
