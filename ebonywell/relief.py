"""Where another copy of a model takes most of what finds its targets full."""

from collections.abc import Iterator
from dataclasses import dataclass

from .eviction import Eviction, MayEvict, plan_eviction
from .layout import Layout, Site

MIN_GAIN_SHARE = 0.02
SHIFT_GAIN_SHARE = 0.1
SITES_TRIED = 64
SHIFT_SITES_TRIED = 3


@dataclass(slots=True)
class Shift:
    """A model to load elsewhere, so that its sole copy can go later.

    Attributes
    ----------
    model : str
    eviction : Eviction
        Of the target that gets the new copy.
    """

    model: str
    eviction: Eviction


def find_cheapest(
    layout: Layout,
    sites: list[Site],
    model: str,
    may_evict: MayEvict,
) -> Eviction | None:
    """Return where a copy costs least, if there is room for it at all."""
    footprint = layout.needs[model].footprint
    evictions = (
        plan_eviction(layout, site, footprint, may_evict) for site in sites
    )
    return min(
        (eviction for eviction in evictions if eviction is not None),
        key=lambda one: (bool(one.models), one.cost, -one.site.headroom),
        default=None,
    )


def find_relief(
    layout: Layout,
    model: str,
    pressure: float,
    may_evict: MayEvict,
) -> Eviction | None:
    """Return where a copy takes most of a model's overflow, if it pays.

    Parameters
    ----------
    layout : Layout
        With its demand spread.
    model : str
    pressure : float
        The model's demand that finds its targets full, in slots.
    may_evict : callable
    """
    best: Eviction | None = None
    best_gain: float = 0
    for site in _emptiest(layout, model) if pressure > 0 else ():
        least = max(MIN_GAIN_SHARE * site.slots, best_gain)
        reach = min(pressure, site.headroom)
        if reach < least:
            break
        footprint = layout.needs[model].footprint
        eviction = plan_eviction(layout, site, footprint, may_evict)
        if eviction is not None and reach - eviction.cost >= least:
            best = eviction
            best_gain = reach - eviction.cost
    return best


def find_shift(layout: Layout, may_evict: MayEvict) -> Shift | None:
    """Return a sole copy to double elsewhere, for the tightest model's sake.

    Parameters
    ----------
    layout : Layout
        With its demand spread, when no relief was found.
    may_evict : callable
    """
    tight = max(layout.needs, key=layout.pressure, default='')
    if not tight:
        return None
    for site in _emptiest(layout, tight)[:SHIFT_SITES_TRIED]:
        gain = min(layout.pressure(tight), site.headroom)
        gain -= SHIFT_GAIN_SHARE * site.slots
        for model in _sole(layout, site):
            places = layout.candidates(model)
            found = find_cheapest(layout, places, model, may_evict)
            if found is not None and _shift_cost(site, model, found) < gain:
                return Shift(model, found)
    return None


def _shift_cost(site: Site, model: str, found: Eviction) -> float:
    share = site.copies[model].share
    return found.cost + max(share - max(found.site.headroom, 0), 0)


def _sole(layout: Layout, site: Site) -> Iterator[str]:
    """Iterate over the models that only this site has, quiet ones first."""
    models = sorted(site.copies, key=lambda model: site.copies[model].share)
    return (model for model in models if layout.holders.get(model) == [site])


def _emptiest(layout: Layout, model: str) -> list[Site]:
    sites = layout.candidates(model)
    sites.sort(key=lambda site: -site.headroom)
    return sites[:SITES_TRIED]
