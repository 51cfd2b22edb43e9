"""Seeded arrivals of an open-loop load."""

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass


class CallKind(enum.StrEnum):
    """What a call of the load asks for."""

    stream = 'stream'
    whole = 'whole'
    batch = 'batch'
    stock = 'stock'
    order = 'order'


@dataclass(slots=True, frozen=True)
class Mix:
    """The load of one workspace.

    Attributes
    ----------
    workspace : str
    rate : float
        Calls a second.
    weights : tuple of (CallKind, float)
        How often each kind of call is made, relative to the others.
    """

    workspace: str
    rate: float
    weights: tuple[tuple[CallKind, float], ...]


@dataclass(slots=True, frozen=True)
class Arrival:
    """One call that the load makes.

    Attributes
    ----------
    start_s : float
        Seconds after the start of the load.
    number : int
        Different for each call of the load.
    workspace : str
    kind : CallKind
    address_index : int
        Which address the caller uses, an index into those known.
    """

    start_s: float
    number: int
    workspace: str
    kind: CallKind
    address_index: int


def plan_arrivals(
    seed: int,
    mixes: Sequence[Mix],
    seconds: float,
    address_count: int,
    skew: float = 0,
) -> list[Arrival]:
    """Return the calls of a load in the order of their times.

    Parameters
    ----------
    seed : int
    mixes : sequence of Mix
        Each an independent Poisson process.
    seconds : float
        The length of the load.
    address_count : int
        How many addresses callers choose among.
    skew : float
        The exponent of Zipf's law by which callers choose an address; 0 for
        all alike, 2 and more for nearly all on the first.
    """
    chance = random.Random(seed)
    shares = [1 / rank**skew for rank in range(1, address_count + 1)]
    times: list[tuple[float, Mix]] = []
    for mix in mixes:
        at_s = chance.expovariate(mix.rate)
        while at_s < seconds:
            times.append((at_s, mix))
            at_s += chance.expovariate(mix.rate)
    times.sort(key=lambda pair: pair[0])
    arrivals: list[Arrival] = []
    for number, (due_s, chosen) in enumerate(times):
        kind = _choose_kind(chance, chosen)
        index = chance.choices(range(address_count), shares)[0]
        arrival = Arrival(due_s, number, chosen.workspace, kind, index)
        arrivals.append(arrival)
    return arrivals


def _choose_kind(rng: random.Random, mix: Mix) -> CallKind:
    kinds = [kind for kind, _ in mix.weights]
    return rng.choices(kinds, [weight for _, weight in mix.weights])[0]
