"""Which adapters to load beside the models, and which to unload."""

from .layout import Site
from .moves import Move, Turn
from .orders import Action

ADAPTERS_AT_ONCE = 25


def drop_adapters(turn: Turn, site: Site, model: str) -> None:
    """Plan to unload the adapters that the catalogue no longer has."""
    known = {one.name for one in turn.layout.needs[model].adapters}
    for adapter in sorted(site.copies[model].adapters - known):
        move = Move(Action.unload_adapter, site.name, model, 0, adapter)
        turn.decision.moves.append(move)


def load_adapters(turn: Turn) -> None:
    """Plan adapter loads, those that no target has first."""
    missing: list[tuple[bool, Move]] = []
    for need in turn.layout.needs.values():
        serving = turn.layout.serving(need.model)
        for adapter in need.adapters:
            lacking = [
                site
                for site in serving
                if _lacks(site, need.model, adapter.name)
            ]
            is_reached = len(lacking) < len(serving)
            for place in lacking:
                move = Move(
                    Action.load_adapter,
                    place.name,
                    need.model,
                    adapter.bytes,
                    adapter.name,
                )
                missing.append((is_reached, move))
                # The first copy makes it reachable; the others may wait.
                is_reached = True
    missing.sort(key=lambda pair: pair[0])
    under_way = sum(site.adapter_loads for site in turn.layout.sites.values())
    budget = max(ADAPTERS_AT_ONCE - under_way, 0)
    turn.decision.moves.extend(move for _, move in missing[:budget])


def _lacks(site: Site, model: str, adapter: str) -> bool:
    is_barred = f'{model}:{adapter}' in site.barred
    return not is_barred and adapter not in site.copies[model].adapters
