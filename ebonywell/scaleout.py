"""Finds targets for additional copies of models."""

from collections.abc import Iterator
from dataclasses import dataclass

from .eviction import Eviction, MayEvict, plan_eviction
from .layout import Layout, Site

# Least gain of an additional copy or a relocation, as a share of the slots of
# its target.
MIN_GAIN_SHARE = 0.02
MIN_RELOCATION_GAIN_SHARE = 0.1
# Limits of the sites that are examined, by decreasing headroom.
MAX_SITES = 64
MAX_RELOCATION_SITES = 3


@dataclass(slots=True)
class Relocation:
    """A second copy to load, so that a sole copy can be evicted later.

    Attributes
    ----------
    model : str
    eviction : Eviction
        Target of the new copy, with the models to evict there.
    """

    model: str
    eviction: Eviction


def find_cheapest(
    layout: Layout,
    sites: list[Site],
    model: str,
    may_evict: MayEvict,
) -> Eviction | None:
    """Return the site where a copy costs least, None if it fits on no site."""
    footprint = layout.needs[model].footprint
    evictions = (
        plan_eviction(layout, site, footprint, may_evict) for site in sites
    )
    return min(
        (eviction for eviction in evictions if eviction is not None),
        key=lambda one: (bool(one.models), one.cost, -one.site.headroom),
        default=None,
    )


def find_scale_out(
    layout: Layout,
    model: str,
    overflow: float,
    may_evict: MayEvict,
) -> Eviction | None:
    """Return the site where a copy absorbs most of a model's overflow.

    Parameters
    ----------
    layout : Layout
        Its demand must have been distributed with `Layout.spread`.
    model : str
    overflow : float
        Demand of the model above the limits of its sites, in slots.
    may_evict : callable
        Rule for the copies that may be evicted.

    Returns
    -------
    Eviction or None
        None if the gain is too small on every site.
    """
    best: Eviction | None = None
    best_gain: float = 0
    for site in _emptiest(layout, model) if overflow > 0 else ():
        min_gain = max(MIN_GAIN_SHARE * site.slots, best_gain)
        absorbed = min(overflow, site.headroom)
        if absorbed < min_gain:
            break
        footprint = layout.needs[model].footprint
        eviction = plan_eviction(layout, site, footprint, may_evict)
        if eviction is not None and absorbed - eviction.cost >= min_gain:
            best = eviction
            best_gain = absorbed - eviction.cost
    return best


def find_relocation(layout: Layout, may_evict: MayEvict) -> Relocation | None:
    """Return a sole copy to duplicate, so that its target can be freed.

    The target is then available for the model with most overflow.

    Parameters
    ----------
    layout : Layout
        Its demand must have been distributed with `Layout.spread`, and
        `find_scale_out` must have found nothing.
    may_evict : callable
        Rule for the copies that may be evicted.
    """
    overloaded = max(layout.needs, key=layout.overflow, default='')
    if not overloaded:
        return None
    for site in _emptiest(layout, overloaded)[:MAX_RELOCATION_SITES]:
        gain = min(layout.overflow(overloaded), site.headroom)
        gain -= MIN_RELOCATION_GAIN_SHARE * site.slots
        for model in _sole_copies(layout, site):
            sites = layout.candidates(model)
            eviction = find_cheapest(layout, sites, model, may_evict)
            if (
                eviction is not None
                and _relocation_cost(site, model, eviction) < gain
            ):
                return Relocation(model, eviction)
    return None


def _relocation_cost(site: Site, model: str, eviction: Eviction) -> float:
    share = site.copies[model].share
    return eviction.cost + max(share - max(eviction.site.headroom, 0), 0)


def _sole_copies(layout: Layout, site: Site) -> Iterator[str]:
    """Iterate over the models that only this site has, least demand first."""
    models = sorted(site.copies, key=lambda model: site.copies[model].share)
    return (
        model for model in models if layout.sites_by_model.get(model) == [site]
    )


def _emptiest(layout: Layout, model: str) -> list[Site]:
    sites = layout.candidates(model)
    sites.sort(key=lambda site: -site.headroom)
    return sites[:MAX_SITES]
