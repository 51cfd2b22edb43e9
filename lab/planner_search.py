"""Searches interleavings of two planners for overcommitted target memory."""

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
    """Result of a search.

    Attributes
    ----------
    depth : int
        Steps from the initial world to the deepest worlds that were checked.
    worlds : int
        Number of distinct worlds that were checked.
    fault : Fault or None
    trace : tuple of str
        Steps that lead to the fault.
    """

    depth: int
    worlds: int
    fault: Fault | None = None
    trace: tuple[str, ...] = ()


def search_all(rules: Rules, max_depth: int, max_worlds: int) -> SearchResult:
    """Check every world that is reachable within a number of steps.

    Parameters
    ----------
    rules : Rules
    max_depth : int
        Maximum number of steps.
    max_worlds : int
        The search goes no deeper once it has found this many worlds.

    Returns
    -------
    SearchResult
        Its trace is the shortest one if there is a fault.
    """
    origin = initial_world()
    predecessors: dict[int, tuple[int, str]] = {_key(origin): (0, '')}
    frontier = [origin]
    depth = 0
    while frontier and depth < max_depth and len(predecessors) < max_worlds:
        depth += 1
        reached: list[World] = []
        for world, what, after in _successors(frontier, rules):
            key = _key(after)
            if key in predecessors:
                continue
            predecessors[key] = (_key(world), what)
            fault = find_fault(after, rules)
            if fault is not None:
                trace = _trace(predecessors, key)
                return SearchResult(depth, len(predecessors), fault, trace)
            reached.append(after)
        frontier = reached
    return SearchResult(depth, len(predecessors))


def search_randomly(
    rules: Rules, seed: int, walks: int, length: int
) -> SearchResult:
    """Check random walks, which go deeper than `search_all` can.

    Parameters
    ----------
    rules : Rules
    seed : int
    walks : int
    length : int
        Number of steps of each walk.
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
    """Draw the next actor, then its step; a restart is rarer than others."""
    actors = sorted({what.split()[0] for what, _ in choices})
    if len(actors) > 1 and rng.random() > RESTART_SHARE:
        actors = [actor for actor in actors if actor != 'restarts']
    actor = rng.choice(actors)
    return rng.choice([one for one in choices if one[0].startswith(actor)])


def _successors(
    frontier: list[World],
    rules: Rules,
) -> Iterator[tuple[World, str, World]]:
    for world in frontier:
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


def _trace(
    predecessors: dict[int, tuple[int, str]], key: int
) -> tuple[str, ...]:
    trace: list[str] = []
    while predecessors[key][1]:
        key, what = predecessors[key]
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
    """Search with and without fencing by the target; print the coverage.

    Parameters
    ----------
    depth
        Maximum number of steps of the exhaustive search.
    worlds
        Number of worlds after which the exhaustive search goes no deeper.
    walks
        Number of random walks.
    length
        Number of steps of each random walk.
    seed
        Seed of the random walks.
    claims
        Maximum number of claims of the lease.
    orders
        Maximum number of orders.
    lives
        Maximum number of incarnations of the target.
    unbound
        Seeded fault: orders reach a later incarnation of the target.
    unlogged
        Seeded fault: orders are sent before their intent is read back.
    renumbered
        Seeded fault: a new lease holder sends the orders of its predecessor
        under its own fencing number.
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
        started_at = time.perf_counter()
        _print('all', rules, search_all(rules, depth, worlds), started_at)
        started_at = time.perf_counter()
        found = search_randomly(rules, seed, walks, length)
        _print('walks', rules, found, started_at)


def _print(
    search: str, rules: Rules, found: SearchResult, started_at: float
) -> None:
    line = {
        'search': search,
        'checks_fencing': rules.checks_fencing,
        'depth': found.depth,
        'worlds': found.worlds,
        'fault': found.fault.reason if found.fault else '',
        'trace': found.trace,
        'seconds': round(time.perf_counter() - started_at, 1),
    }
    sys.stdout.write(f'{msgspec.json.encode(line).decode()}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    app()
