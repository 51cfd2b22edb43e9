"""Chooses models to evict from a target, by cost."""

from collections.abc import Callable
from dataclasses import dataclass

from .layout import Layout, Site

MIN_RESIDENCE_S = 30.0
BASE_COST_SLOTS = 0.01


@dataclass(slots=True)
class Eviction:
    """Models to evict from one target.

    Attributes
    ----------
    site : Site
    models : list of str
    cost : float
        Demand that the remaining copies can't absorb, in slots, plus a small
        base cost for each model.
    """

    site: Site
    models: list[str]
    cost: float = 0


MayEvict = Callable[[Layout, Site, str], bool]


def is_redundant(layout: Layout, site: Site, model: str) -> bool:
    """Return whether another target keeps serving the model."""
    copy = site.copies[model]
    if copy.leaving or model not in layout.needs:
        return False
    return any(other is not site for other in layout.serving_sites(model))


def evictable_at(now: float) -> MayEvict:
    """Return a rule that protects recent loads and needed redundancy.

    A copy may be evicted at ``now`` if another target serves its model, and
    it was loaded at least `MIN_RESIDENCE_S` ago. Two copies remain while all
    targets have memory for spare copies, and a busy model stays in two
    availability zones.
    """

    def may_evict(layout: Layout, site: Site, model: str) -> bool:
        if not is_redundant(layout, site, model):
            return False
        if now - site.copies[model].loaded_at < MIN_RESIDENCE_S:
            return False
        others = [one for one in layout.serving_sites(model) if one is not site]
        if layout.spares_fit and len(others) < 2:
            return False
        zones = {one.zone for one in others}
        return len(zones) > 1 or not layout.is_busy(model)

    return may_evict


def plan_eviction(
    layout: Layout,
    site: Site,
    needed_bytes: int,
    may_evict: MayEvict,
) -> Eviction | None:
    """Return evictions that free enough memory on a target, cheapest first.

    Parameters
    ----------
    layout : Layout
        Its demand must have been distributed with `Layout.spread`.
    site : Site
    needed_bytes : int
    may_evict : callable
        Rule for the copies that may be evicted.

    Returns
    -------
    Eviction or None
        Without models if enough memory is free. None if evictions can't free
        enough.
    """
    eviction = Eviction(site, [])
    missing = needed_bytes - site.free_bytes
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
        missing -= _freed_bytes(layout, site, model)
        if missing <= 0:
            return eviction
    return None


def _cost(layout: Layout, site: Site, model: str) -> float:
    others = [one for one in layout.serving_sites(model) if one is not site]
    room = sum(max(one.headroom, 0) for one in others)
    share = site.copies[model].share
    return max(share - room, 0) + BASE_COST_SLOTS * (1 + share)


def _freed_bytes(layout: Layout, site: Site, model: str) -> int:
    # Layout has already subtracted the memory of adapters that are still
    # missing, so the whole footprint becomes free.
    return layout.needs[model].footprint
