"""Measures how many targets each policy needs for a given attainment."""

import sys
from dataclasses import replace
from itertools import product

import cyclopts
import msgspec

from .placement_bench import LENGTH_S, POLICIES
from .placement_demand import (
    MEJILLONERA,
    NILECUT,
    DemandShape,
    Scale,
    make_scenario,
)
from .placement_sim import Sim

GOAL_ATTAINMENT = 0.95
MIN_ENGINES = 6
MAX_ENGINES = 40


class NeedRow(msgspec.Struct, frozen=True):
    """Smallest number of targets with which a policy reaches the goal.

    Attributes
    ----------
    scale : str
    shape : DemandShape
    policy : str
    seed : int
    engines : int
        `MAX_ENGINES` if the policy does not reach the goal with fewer.
    """

    scale: str
    shape: DemandShape
    policy: str
    seed: int
    engines: int


def measure(seed: int, length_s: float = LENGTH_S) -> list[NeedRow]:
    """Return a row for each scale, shape of demand, and policy.

    Parameters
    ----------
    seed : int
    length_s : float
        Length of the demand, in seconds of the virtual clock.
    """
    return [
        NeedRow(
            scale.name,
            shape,
            policy,
            seed,
            _min_engines(replace(scale, shape=shape), seed, length_s, policy),
        )
        for scale, shape, policy in product(
            (NILECUT, MEJILLONERA),
            DemandShape,
            POLICIES,
        )
    ]


def attainment(
    scale: Scale,
    seed: int,
    length_s: float,
    policy: str,
) -> float:
    """Return the share of the requests that a policy serves in time."""
    scenario = make_scenario(scale, seed, length_s, has_faults=False)
    tally = Sim(scenario).run(POLICIES[policy](scenario))
    served = int(tally.served.sum())
    return served / (served + int(tally.missed.sum()))


def _min_engines(scale: Scale, seed: int, length_s: float, policy: str) -> int:
    low = MIN_ENGINES
    high = MAX_ENGINES
    while low < high:
        middle = (low + high) // 2
        scaled = replace(scale, engines=middle)
        if attainment(scaled, seed, length_s, policy) >= GOAL_ATTAINMENT:
            high = middle
        else:
            low = middle + 1
    return low


def main(*, seed: int = 1, length_s: float = LENGTH_S) -> None:
    """Print the rows for one seed, one JSON object per line.

    Parameters
    ----------
    seed
        Seed of the demand.
    length_s
        Length of the demand, in seconds of the virtual clock.
    """
    for row in measure(seed, length_s):
        sys.stdout.write(f'{msgspec.json.encode(row).decode()}\n')


if __name__ == '__main__':
    cyclopts.run(main)
