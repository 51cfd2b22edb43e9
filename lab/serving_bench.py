"""Measures how well each serving policy serves callers under heavy load."""

from collections.abc import Iterator
from dataclasses import replace

import cyclopts

from .bench_rows import BenchRow, print_rows
from .serving_demand import SMALL_SITE, Scenario
from .serving_policies import ebonywell_policy, lru_policy, static_policy
from .serving_simulation import MakePolicy, simulate, upper_bound, worth_share

app = cyclopts.App()
SCENARIOS = {
    'as sized': Scenario(SMALL_SITE),
    'half as much again': Scenario(SMALL_SITE, load_factor=1.5),
    'twice as much': Scenario(SMALL_SITE, load_factor=2.0),
    'three engines lost': Scenario(SMALL_SITE, load_factor=1.2, engines=6),
    'a larger site': Scenario(
        SMALL_SITE,
        load_factor=3.5,
        busy_models=36,
        rare_models=38,
        concurrent_busy_models=20,
        engines=30,
        loads_per_s=9.0,
    ),
    'fast shifts': Scenario(
        SMALL_SITE, load_factor=1.4, engines=8, shift_interval_s=4
    ),
}
POLICIES: dict[str, MakePolicy] = {
    'static, shortest queue': static_policy,
    'least recently used on demand': lru_policy,
    'the product': ebonywell_policy,
}
ROUNDS = 3
_PERCENT = 100


def measure(seed: int) -> Iterator[BenchRow]:
    """Iterate over the shares of the total worth that each policy earns."""
    for load, scenario in SCENARIOS.items():
        rounds = [
            replace(scenario, seed=seed + number) for number in range(ROUNDS)
        ]
        bounds = [upper_bound(one) for one in rounds]
        yield _row(f'{load}: worth', 'bound by the work', bounds)
        for policy, make_policy in POLICIES.items():
            tallies = [simulate(one, make_policy) for one in rounds]
            shares = [worth_share(one) for one in tallies]
            yield _row(f'{load}: worth', policy, shares)
            for kind in tallies[0]:
                shares = [one[kind].share for one in tallies]
                yield _row(f'{load}: {kind}', policy, shares)


def _row(what: str, case: str, shares: list[float]) -> BenchRow:
    mean = sum(shares) / len(shares)
    return BenchRow(what, case, round(mean * _PERCENT, 1), '%')


@app.default
def main(*, seed: int = 1) -> None:
    """Print all measurements.

    Parameters
    ----------
    seed
        Seed of all random choices.
    """
    print_rows(measure(seed))


if __name__ == '__main__':
    app()
