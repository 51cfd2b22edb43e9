"""Simulates the cost of a request that crashes each target it runs on.

Harmless requests run beside it when its first target crashes. All requests in
flight there are retried on the other targets, spread in the measured way.
"""

import enum
import itertools
import random
from dataclasses import dataclass, field

TARGET_COUNT = 9
HARMLESS_COUNT = 16
RUN_S = 1.0
CRASH_S = 0.1
CRASHES_TO_QUARANTINE = 2
RUN_COUNT = 200
_CRASHING_REQUEST = 0


class TrialCase(enum.StrEnum):
    """How requests that were in flight on a crashed target are retried."""

    anywhere = 'retried anywhere'
    spread = 'spread evenly'
    alone = 'one suspect a target'


@dataclass(slots=True)
class RetryCost:
    """Cost of one crashing request, as the mean of all runs.

    Attributes
    ----------
    crashes : float
        Targets that crashed, the first one included.
    quarantined : float
        Harmless requests that were quarantined.
    last_done_s : float
        Time at which the last harmless request had its answer, in seconds
        after the first crash.
    """

    crashes: float = 0
    quarantined: float = 0
    last_done_s: float = 0


@dataclass(slots=True)
class _Run:
    crashes_by_request: dict[int, int] = field(default_factory=dict)
    crashes: int = 1
    now: float = 0
    last_done: float = 0


def simulate_retries(case: TrialCase, seed: int) -> RetryCost:
    """Return the mean cost of a crashing request over `RUN_COUNT` runs."""
    rng = random.Random(seed)
    total = RetryCost()
    for _ in range(RUN_COUNT):
        run = _simulate_run(case, rng)
        harmless_crashes = [
            count for number, count in run.crashes_by_request.items() if number
        ]
        quarantined = sum(
            count >= CRASHES_TO_QUARANTINE for count in harmless_crashes
        )
        total.crashes += run.crashes / RUN_COUNT
        total.quarantined += quarantined / RUN_COUNT
        total.last_done_s += run.last_done / RUN_COUNT
    return total


def _simulate_run(case: TrialCase, rng: random.Random) -> _Run:
    run = _Run({number: 1 for number in range(HARMLESS_COUNT + 1)})
    waiting = list(run.crashes_by_request)
    while waiting:
        rng.shuffle(waiting)
        groups = _assign(case, waiting, rng)
        assigned = set(itertools.chain.from_iterable(groups))
        waiting = [number for number in waiting if number not in assigned]
        for group in groups:
            waiting.extend(_run_group(run, group))
        run.now += RUN_S
    return run


def _assign(
    case: TrialCase,
    waiting: list[int],
    rng: random.Random,
) -> list[list[int]]:
    if case == TrialCase.alone:
        return [[number] for number in waiting[:TARGET_COUNT]]
    groups: list[list[int]] = [[] for _ in range(TARGET_COUNT)]
    for index, number in enumerate(waiting):
        is_spread = case == TrialCase.spread
        slot = (
            index % TARGET_COUNT if is_spread else rng.randrange(TARGET_COUNT)
        )
        groups[slot].append(number)
    return groups


def _run_group(run: _Run, group: list[int]) -> list[int]:
    if _CRASHING_REQUEST not in group:
        if group:
            run.last_done = max(run.last_done, run.now + RUN_S)
        return []
    run.crashes += 1
    for suspect in group:
        run.crashes_by_request[suspect] += 1
    return [
        number
        for number in group
        if run.crashes_by_request[number] < CRASHES_TO_QUARANTINE
    ]
