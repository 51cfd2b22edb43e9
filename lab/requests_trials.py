"""Simulates what a request that crashes its targets costs.

Innocents run beside it when its first target crashes. All of them are tried
again, spread over the other targets in the way that is being measured.
"""

import enum
import itertools
import random
from dataclasses import dataclass, field

TARGETS = 9
INNOCENTS = 16
RUN_S = 1.0
CRASH_S = 0.1
CRASHES_TO_QUARANTINE = 2
ROUNDS = 200
_KILLER = 0


class TrialCase(enum.StrEnum):
    """How the requests that were in flight on a crashed target run again."""

    anywhere = 'retried anywhere'
    spread = 'spread evenly'
    alone = 'one suspect a target'


@dataclass(slots=True)
class TrialOutcome:
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
class _Round:
    counts: dict[int, int] = field(default_factory=dict)
    crashes: int = 1
    now: float = 0
    done: float = 0


def play_trials(case: TrialCase, seed: int) -> TrialOutcome:
    """Return the mean cost of a killer over `ROUNDS` rounds."""
    rng = random.Random(seed)
    total = TrialOutcome()
    for _ in range(ROUNDS):
        played = _play_round(case, rng)
        innocents = [count for one, count in played.counts.items() if one]
        lost = sum(count >= CRASHES_TO_QUARANTINE for count in innocents)
        total.crashes += played.crashes / ROUNDS
        total.quarantined += lost / ROUNDS
        total.last_done_s += played.done / ROUNDS
    return total


def _play_round(case: TrialCase, rng: random.Random) -> _Round:
    played = _Round({number: 1 for number in range(INNOCENTS + 1)})
    waiting = list(played.counts)
    while waiting:
        rng.shuffle(waiting)
        groups = _assign(case, waiting, rng)
        taken = set(itertools.chain.from_iterable(groups))
        waiting = [one for one in waiting if one not in taken]
        for group in groups:
            waiting.extend(_run(played, group))
        played.now += RUN_S
    return played


def _assign(
    case: TrialCase,
    waiting: list[int],
    rng: random.Random,
) -> list[list[int]]:
    if case == TrialCase.alone:
        return [[number] for number in waiting[:TARGETS]]
    groups: list[list[int]] = [[] for _ in range(TARGETS)]
    for index, number in enumerate(waiting):
        is_spread = case == TrialCase.spread
        slot = index % TARGETS if is_spread else rng.randrange(TARGETS)
        groups[slot].append(number)
    return groups


def _run(played: _Round, group: list[int]) -> list[int]:
    if _KILLER not in group:
        if group:
            played.done = max(played.done, played.now + RUN_S)
        return []
    played.crashes += 1
    for suspect in group:
        played.counts[suspect] += 1
    return [one for one in group if played.counts[one] < CRASHES_TO_QUARANTINE]
