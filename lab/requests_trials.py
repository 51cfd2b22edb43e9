"""Simulates what a request that crashes its targets costs.

Innocents run beside it when its first target crashes. All of them are tried
again, spread over the other targets in the way that is being measured.
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
    """How the requests that were in flight on a crashed target run again."""

    anywhere = 'retried anywhere'
    spread = 'spread evenly'
    alone = 'one suspect a target'


@dataclass(slots=True)
class RetryCost:
    """What one killer cost, the mean of all rounds.

    Attributes
    ----------
    crashes : float
        Targets that were lost, the first one included.
    quarantined : float
        Innocents that were refused for good.
    last_done_s : float
        When the last innocent had its answer, in seconds after the crash.
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
    """Return the mean cost of a killer over `RUN_COUNT` rounds."""
    rng = random.Random(seed)
    total = RetryCost()
    for _ in range(RUN_COUNT):
        played = _simulate_run(case, rng)
        innocents = [
            count for one, count in played.crashes_by_request.items() if one
        ]
        lost = sum(count >= CRASHES_TO_QUARANTINE for count in innocents)
        total.crashes += played.crashes / RUN_COUNT
        total.quarantined += lost / RUN_COUNT
        total.last_done_s += played.last_done / RUN_COUNT
    return total


def _simulate_run(case: TrialCase, rng: random.Random) -> _Run:
    played = _Run({number: 1 for number in range(HARMLESS_COUNT + 1)})
    waiting = list(played.crashes_by_request)
    while waiting:
        rng.shuffle(waiting)
        groups = _assign(case, waiting, rng)
        taken = set(itertools.chain.from_iterable(groups))
        waiting = [one for one in waiting if one not in taken]
        for group in groups:
            waiting.extend(_run_group(played, group))
        played.now += RUN_S
    return played


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


def _run_group(played: _Run, group: list[int]) -> list[int]:
    if _CRASHING_REQUEST not in group:
        if group:
            played.last_done = max(played.last_done, played.now + RUN_S)
        return []
    played.crashes += 1
    for suspect in group:
        played.crashes_by_request[suspect] += 1
    return [
        one
        for one in group
        if played.crashes_by_request[one] < CRASHES_TO_QUARANTINE
    ]
