"""Searches the interleavings of two planners for memory overcommitted."""

import random
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass

import cyclopts
import msgspec

from .search_model import Fault, Rules, World, find_fault, initial_world, steps

RESTART_SHARE = 0.2

app = cyclopts.App()


@dataclass(slots=True)
class SearchResult:
    """What a search found.

    Attributes
    ----------
    depth : int
        Steps from the start to the deepest worlds that were checked.
    worlds : int
        Different worlds that were checked.
    fault : Fault or None
    trace : tuple of str
        The steps to the fault.
    """

    depth: int
    worlds: int
    fault: Fault | None = None
    trace: tuple[str, ...] = ()


def search_all(rules: Rules, max_depth: int, max_worlds: int) -> SearchResult:
    """Check every world within a number of steps.

    Parameters
    ----------
    rules : Rules
    max_depth : int
        In steps.
    max_worlds : int
        The search ends with the last depth that it finished before it.

    Returns
    -------
    SearchResult
        With the shortest trace if there is a fault.
    """
    origin = initial_world()
    came_from: dict[int, tuple[int, str]] = {_key(origin): (0, '')}
    border = [origin]
    depth = 0
    while border and depth < max_depth and len(came_from) < max_worlds:
        depth += 1
        reached: list[World] = []
        for world, what, after in _followers(border, rules):
            key = _key(after)
            if key in came_from:
                continue
            came_from[key] = (_key(world), what)
            fault = find_fault(after, rules)
            if fault is not None:
                trace = _trace(came_from, key)
                return SearchResult(depth, len(came_from), fault, trace)
            reached.append(after)
        border = reached
    return SearchResult(depth, len(came_from))


def search_randomly(
    rules: Rules, seed: int, walks: int, length: int
) -> SearchResult:
    """Check random walks that go deeper than `search_all` can.

    Parameters
    ----------
    rules : Rules
    seed : int
    walks : int
    length : int
        In steps.
    """
    rng = random.Random(seed)
    worlds: set[int] = set()
    for _ in range(walks):
        world = initial_world()
        trace: list[str] = []
        choices = list(steps(world, rules))
        while choices and len(trace) < length:
            what, world = _draw(rng, choices)
            choices = list(steps(world, rules))
            trace.append(what)
            worlds.add(_key(world))
            fault = find_fault(world, rules)
            if fault is not None:
                return SearchResult(
                    len(trace), len(worlds), fault, tuple(trace)
                )
    return SearchResult(length, len(worlds))


def _draw(
    rng: random.Random,
    choices: list[tuple[str, World]],
) -> tuple[str, World]:
    """Draw who acts next, then what; a restart is rarer than the rest."""
    actors = sorted({what.split()[0] for what, _ in choices})
    if len(actors) > 1 and rng.random() > RESTART_SHARE:
        actors = [actor for actor in actors if actor != 'restarts']
    actor = rng.choice(actors)
    return rng.choice([one for one in choices if one[0].startswith(actor)])


def _followers(
    border: list[World],
    rules: Rules,
) -> Iterator[tuple[World, str, World]]:
    for world in border:
        for what, after in steps(world, rules):
            yield world, what, after


def _key(world: World) -> int:
    network = sorted(
        (sent.order.order_id, sent.fencing, sent.life) for sent in world.network
    )
    engine = world.engine._replace(models=frozenset())
    models = sorted(world.engine.models)
    rest = (world.planners, world.claims, world.orders)
    return hash(
        (world.table, repr((network, engine, models, rest))),
    )


def _trace(came_from: dict[int, tuple[int, str]], key: int) -> tuple[str, ...]:
    trace: list[str] = []
    while came_from[key][1]:
        key, what = came_from[key]
        trace.append(what)
    return tuple(reversed(trace))


@app.default
def main(
    *,
    depth: int = 40,
    worlds: int = 400_000,
    walks: int = 2000,
    length: int = 80,
    seed: int = 1,
    claims: int = 3,
    orders: int = 3,
    lives: int = 2,
    unbound: bool = False,
    unlogged: bool = False,
    renumbered: bool = False,
) -> None:
    """Search both kinds of targets and print what was covered.

    Parameters
    ----------
    depth
        The most steps of the exhaustive search.
    worlds
        Where the exhaustive search stops going deeper.
    walks
        How many random walks.
    length
        The steps of each random walk.
    seed
        Of the random walks.
    claims
        The most claims of the lease.
    orders
        The most orders.
    lives
        The most lives of the target.
    unbound
        A break: orders reach a later life of the target.
    unlogged
        A break: orders go out before their intent counts.
    renumbered
        A break: a successor sends old orders under its own number.
    """
    for checks_fencing in (True, False):
        rules = Rules(
            checks_fencing,
            is_incarnation_bound=not unbound,
            waits_for_log=not unlogged,
            renumbers_orders=renumbered,
            max_claims=claims,
            max_orders=orders,
            max_incarnations=lives,
        )
        began = time.perf_counter()
        _print('all', rules, search_all(rules, depth, worlds), began)
        began = time.perf_counter()
        found = search_randomly(rules, seed, walks, length)
        _print('walks', rules, found, began)


def _print(
    search: str, rules: Rules, found: SearchResult, began: float
) -> None:
    line = {
        'search': search,
        'checks_fencing': rules.checks_fencing,
        'depth': found.depth,
        'worlds': found.worlds,
        'fault': found.fault.reason if found.fault else '',
        'trace': found.trace,
        'seconds': round(time.perf_counter() - began, 1),
    }
    sys.stdout.write(f'{msgspec.json.encode(line).decode()}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    app()
