"""Decides which adapters to load and unload on targets with their model."""

from .layout import Site
from .moves import Move, PlanningRound
from .orders import Action

# Limit of concurrent adapter loads over all targets.
ADAPTERS_AT_ONCE = 25


def unload_adapters(planning: PlanningRound, site: Site, model: str) -> None:
    """Plan to unload adapters that are no longer in the catalogue."""
    names = {one.name for one in planning.layout.needs[model].adapters}
    for adapter in sorted(site.copies[model].adapters - names):
        move = Move(Action.unload_adapter, site.name, model, 0, adapter)
        planning.decision.moves.append(move)


def load_adapters(planning: PlanningRound) -> None:
    """Plan adapter loads, starting with adapters that no target has."""
    missing: list[tuple[bool, Move]] = []
    for need in planning.layout.needs.values():
        serving = planning.layout.serving_sites(need.model)
        for adapter in need.adapters:
            missing_sites = [
                site
                for site in serving
                if _is_missing(site, need.model, adapter.name)
            ]
            is_served = len(missing_sites) < len(serving)
            for target in missing_sites:
                move = Move(
                    Action.load_adapter,
                    target.name,
                    need.model,
                    adapter.bytes,
                    adapter.name,
                )
                missing.append((is_served, move))
                # The first copy makes the adapter available. The others
                # have lower priority.
                is_served = True
    missing.sort(key=lambda one: one[0])
    loading = sum(site.adapter_loads for site in planning.layout.sites.values())
    budget = max(ADAPTERS_AT_ONCE - loading, 0)
    planning.decision.moves.extend(move for _, move in missing[:budget])


def _is_missing(site: Site, model: str, adapter: str) -> bool:
    is_blocked = f'{model}:{adapter}' in site.blocked_loads
    return not is_blocked and adapter not in site.copies[model].adapters
