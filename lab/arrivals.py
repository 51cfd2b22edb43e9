"""Generates the seeded arrivals of an open-loop load."""

import enum
import random
from collections.abc import Sequence
from dataclasses import dataclass


class CallKind(enum.StrEnum):
    """Kind of a call."""

    stream = 'stream'
    whole = 'whole'
    batch = 'batch'
    stock = 'stock'
    order = 'order'


@dataclass(slots=True, frozen=True)
class Mix:
    """Rate and kinds of the calls of one workspace.

    Attributes
    ----------
    workspace : str
    rate : float
        Calls per second.
    weights : tuple of (CallKind, float)
        The relative frequency of each kind of call.
    """

    workspace: str
    rate: float
    weights: tuple[tuple[CallKind, float], ...]


@dataclass(slots=True, frozen=True)
class Arrival:
    """One scheduled call of the load.

    Attributes
    ----------
    start_s : float
        The start of the call, in seconds after the start of the load.
    number : int
        Unique for each call of the load.
    workspace : str
    kind : CallKind
    address_index : int
        The index of the address that the caller uses, in the list of known
        addresses.
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
    """Return the calls of a load, ordered by start time.

    Parameters
    ----------
    seed : int
    mixes : sequence of Mix
        The load of each workspace, an independent Poisson process each.
    seconds : float
        The length of the load, in seconds.
    address_count : int
        The number of addresses that callers choose from.
    skew : float
        The exponent of Zipf's law by which callers choose an address. With 0
        all addresses are equally likely; with 2 or more nearly all callers
        choose the first.
    """
    rng = random.Random(seed)
    shares = [1 / rank**skew for rank in range(1, address_count + 1)]
    times: list[tuple[float, Mix]] = []
    for mix in mixes:
        next_s = rng.expovariate(mix.rate)
        while next_s < seconds:
            times.append((next_s, mix))
            next_s += rng.expovariate(mix.rate)
    times.sort(key=lambda pair: pair[0])
    arrivals: list[Arrival] = []
    for number, (start_s, chosen) in enumerate(times):
        kind = _choose_kind(rng, chosen)
        index = rng.choices(range(address_count), shares)[0]
        arrival = Arrival(start_s, number, chosen.workspace, kind, index)
        arrivals.append(arrival)
    return arrivals


def _choose_kind(rng: random.Random, mix: Mix) -> CallKind:
    kinds = [kind for kind, _ in mix.weights]
    return rng.choices(kinds, [weight for _, weight in mix.weights])[0]
