"""Compares the placement with baselines and an upper bound."""

import sys
from dataclasses import replace
from itertools import product

import cyclopts
import msgspec

from .placement_demand import (
    MEJILLONERA,
    NILECUT,
    TICK_S,
    WARM_UP_S,
    DemandShape,
    Scale,
    make_scenario,
)
from .placement_policies import (
    MakePolicy,
    bound_policy,
    ebonywell_policy,
    lru_miss_policy,
    lru_policy,
    static_policy,
)
from .placement_sim import Sim

LENGTH_S = 3600.0
SHORT_LENGTH_S = 1200.0
ACCELERATORS_PER_ENGINE = 8

POLICIES: dict[str, MakePolicy] = {
    'ebonywell': ebonywell_policy,
    'static': static_policy,
    'lru': lru_policy,
    'lru_miss': lru_miss_policy,
    'bound': bound_policy,
}


class PlacementRow(msgspec.Struct, frozen=True):
    """Results of one policy at one scale.

    Attributes
    ----------
    scale : str
    shape : DemandShape
        How the demand varies.
    policy : str
    seed : int
    has_faults : bool
    attainment : float
        Share of the requests that start in time and complete.
    per_accelerator : float
        Requests per second and accelerator that start in time and complete.
    moves : int
        Model loads after the warm-up.
    worst_workspace : float
        Attainment of the worst-served workspace, divided by the mean.
    wrongful_refusals : int
        Requests within their workspace's rate that are not served in time.
    unreachable_s : float
        Time without a live target that serves a model, summed over models.
    """

    scale: str
    shape: DemandShape
    policy: str
    seed: int
    has_faults: bool
    attainment: float
    per_accelerator: float
    moves: int
    worst_workspace: float
    wrongful_refusals: int
    unreachable_s: float


def measure(seed: int, length_s: float = SHORT_LENGTH_S) -> list[PlacementRow]:
    """Return a row for each scale, shape of demand, fault setting and policy.

    Parameters
    ----------
    seed : int
    length_s : float
        Length of the demand, in seconds of the virtual clock.
    """
    cases = product(
        (NILECUT, MEJILLONERA), DemandShape, (False, True), POLICIES
    )
    return [
        _measure_one(
            replace(scale, shape=shape),
            seed,
            length_s,
            has_faults,
            policy,
        )
        for scale, shape, has_faults, policy in cases
    ]


def _measure_one(
    scale: Scale,
    seed: int,
    length_s: float,
    has_faults: bool,
    policy: str,
) -> PlacementRow:
    scenario = make_scenario(scale, seed, length_s, has_faults)
    tally = Sim(scenario).run(POLICIES[policy](scenario))
    served = int(tally.served.sum())
    missed = int(tally.missed.sum())
    by_workspace = tally.served / (tally.served + tally.missed)
    accelerators = scale.engines * ACCELERATORS_PER_ENGINE
    return PlacementRow(
        scale.name,
        scale.shape,
        policy,
        seed,
        has_faults,
        round(served / (served + missed), 4),
        round(served / (length_s - WARM_UP_S) / accelerators, 4),
        tally.moves,
        round(float(by_workspace.min() / by_workspace.mean()), 4),
        missed,
        tally.unreachable_ticks * TICK_S,
    )


def main(*, seed: int = 1, length_s: float = LENGTH_S) -> None:
    """Print the rows for one seed, one JSON object per line.

    Parameters
    ----------
    seed
        Seed of demand and faults.
    length_s
        Length of the demand, in seconds of the virtual clock.
    """
    for row in measure(seed, length_s):
        sys.stdout.write(f'{msgspec.json.encode(row).decode()}\n')


if __name__ == '__main__':
    cyclopts.run(main)
