"""Chooses the target that is expected to answer a request first.

These are pure functions of the loads, the health of the targets and the
request. They are made for prompts that take tens of milliseconds each to
process, for bursts onto the few targets that hold a busy model, and for
targets that become slow or fail some of their requests while their health
check stays good.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from .headroom.pauses import (
    MIN_UNSEEN_TOKENS,
    expected_excess_ms,
    pause_cost_ms,
    predicted_pause_ms,
)
from .headroom.room import Shortage, TargetWork, find_shortage
from .headroom.terms import Terms
from .health import TargetHealth
from .loadboard import TargetLoad
from .pace.paces import Pace
from .urgency import tokens_ahead

# Prompt tokens that an engine processes per millisecond, from the deployments'
# specifications, less the decoding steps of running requests in between.
PROMPT_TOKENS_PER_MS = 22.0
# Duration of one step of a batch, from the deployments' specifications.
STEP_MS = 9.0
# Time that a request to a plain service occupies a slot, from the deployments'
# specifications.
PLAIN_REQUEST_MS = 60.0
# Cost of a target in another availability zone: two crossings between zones,
# and the price of the traffic.
OTHER_ZONE_COST_MS = 6.0
# Cost of a missing adapter: the time for the load request, the order and the
# load, and a price for the order itself.
ADAPTER_COST_MS = 90.0
# Cost of a failed request to its caller: a retry at best, a lost answer at
# worst.
FAILURE_COST_MS = 2500.0
# Range of the random cost that is added to each target, so that hosts that see
# the same loads do not all choose the same target.
SPREAD_MS = 12.0
# Expected wait for each request that does not fit: a full batch or cache admits
# the next request when a running one ends.
FULL_SLOT_MS = 40.0
# Requests that exceed an engine's cache preempt each other, so that only this
# share of the cache counts as usable.
MAX_CACHE_SHARE = 0.92
MS_PER_S = 1000.0
# Cost of a target without headroom, which is chosen only if no other has any.
NO_ROOM_COST_MS = 10000.0


@dataclass(slots=True, frozen=True)
class Candidate:
    """A target that could run a request.

    Attributes
    ----------
    name : str
    load : TargetLoad
        Sum of the loads from all hosts.
    health : TargetHealth
    slots : int
    cache_tokens : int
        Cache size in tokens; 0 for plain services.
    new_tokens : int
        Prompt tokens of the request that are not in the target's cache.
    total_tokens : int
        Prompt and output tokens of the request.
    rank : int
        Urgency of the request; 0 is the most urgent.
    is_same_zone : bool
        Whether the target is in this host's availability zone.
    lacks_adapter : bool
        Whether the adapter must be loaded there first.
    pace : Pace or None
        Learned pace of the target now; None to use the constants.
    kept_tokens : int
        Prompt tokens that the target is expected to have cached.
    fill_order : float or None
        Position among the targets if nothing is known of the prompt's shared
        prefix, from 0 for the first one to below 1.
    """

    name: str
    load: TargetLoad
    health: TargetHealth
    slots: int
    cache_tokens: int = 0
    new_tokens: int = 0
    total_tokens: int = 0
    rank: int = 0
    is_same_zone: bool = True
    lacks_adapter: bool = False
    pace: Pace | None = None
    kept_tokens: int = 0
    fill_order: float | None = None

    @property
    def slowness(self) -> float:
        """Correction by recent waits, unless the pace is learned."""
        return self.health.slowness if self.pace is None else 1

    @property
    def usual_tokens(self) -> int:
        """New tokens in tokens at the usual pace, as waiting ones count."""
        if self.pace is None:
            return self.new_tokens
        return self.pace.usual_tokens(self.new_tokens)


@dataclass(slots=True, frozen=True)
class Choice:
    """The chosen target.

    Attributes
    ----------
    name : str
    expected_s : float
        Expected time to the first byte, from the load alone.
    wait_s : float
        Expected time to the first byte, corrected by the target's recent
        slowness.
    candidate : Candidate
        Load and health of the target at the time of the choice.
    proof_age_s : float
        Age of the proof that all announcements of targets were known.
    shortage : Shortage
        What the target lacks for the request; see `headroom`.
    """

    name: str
    expected_s: float
    wait_s: float
    candidate: Candidate
    proof_age_s: float = 0
    shortage: Shortage = Shortage()


def estimate_first_byte_ms(candidate: Candidate) -> float:
    """Return the expected time to the first byte, from the target's load."""
    load = candidate.load
    pace = candidate.pace
    if not candidate.cache_tokens:
        plain_ms = PLAIN_REQUEST_MS if pace is None else pace.plain_ms
        return plain_ms * (1 + queued_share(candidate))
    tokens = tokens_ahead(load.waiting_tokens, candidate.rank)
    if pace is None:
        tokens += candidate.new_tokens
        busy_ms = tokens / PROMPT_TOKENS_PER_MS + STEP_MS
    else:
        busy_ms = tokens / pace.ahead_tokens_per_ms + pace.step_ms
        busy_ms += candidate.new_tokens / pace.tokens_per_ms
    return busy_ms + full_wait_ms(candidate)


def queued_share(candidate: Candidate) -> float:
    """Return the requests ahead at a plain service, by its slots."""
    load = candidate.load
    queued = max(0, load.waiting + load.running + 1 - candidate.slots)
    return queued / candidate.slots


def full_wait_ms(candidate: Candidate) -> float:
    """Return the expected wait until a full batch or cache has room."""
    load = candidate.load
    full = load.waiting + load.running + 1 - candidate.slots
    wanted = load.held_tokens + candidate.total_tokens
    over_tokens = wanted - candidate.cache_tokens * MAX_CACHE_SHARE
    mean_tokens = load.held_tokens / max(1, load.waiting + load.running)
    crowded = over_tokens / max(1, mean_tokens)
    return FULL_SLOT_MS * max(0, full, crowded)


def pace_of(candidate: Candidate) -> tuple[float, float]:
    """Return a target's pace for a request.

    Returns
    -------
    tokens_per_ms : float
        Prompt tokens that it reads per millisecond, as waiting ones count.
    step_ms : float
        Duration of one decoding step.
    """
    pace = candidate.pace
    if pace is None:
        return PROMPT_TOKENS_PER_MS, STEP_MS
    return pace.ahead_tokens_per_ms, pace.step_ms


def estimate_pause_cost_ms(
    candidate: Candidate, terms: Terms, unseen_tokens: float
) -> float:
    """Return the cost of the pauses that a request causes and meets.

    Its prompt lengthens the pauses of the streams that run at the target, and
    the prompts that are read after its own lengthen those of its own stream.

    Parameters
    ----------
    candidate : Candidate
    terms : Terms
    unseen_tokens : float
        Prompt tokens that may wait there beyond those that are known.
    """
    goal_ms = terms.pause_goal_ms
    if not goal_ms:
        return 0
    tokens_per_ms, step_ms = pace_of(candidate)
    load = candidate.load

    def excess_ms(waiting: float, new_tokens: int) -> float:
        pause_ms = predicted_pause_ms(
            waiting, new_tokens, tokens_per_ms, step_ms, terms.tokens_per_event
        )
        return expected_excess_ms(
            pause_ms, goal_ms, unseen_tokens / tokens_per_ms
        )

    waiting = sum(load.waiting_tokens.values())
    later = waiting - tokens_ahead(load.waiting_tokens, candidate.rank)
    caused_ms = excess_ms(waiting, candidate.usual_tokens)
    met_ms = excess_ms(later, 0)
    cost_ms = pause_cost_ms(caused_ms, load.running)
    return cost_ms + pause_cost_ms(met_ms, 1)


def estimate_unseen_tokens(candidates: Sequence[Candidate]) -> float:
    """Return how many prompt tokens wait at a target beyond those known.

    What the others send meanwhile is about as much as waits at one target now.
    """
    waiting = sum(sum(one.load.waiting_tokens.values()) for one in candidates)
    return max(MIN_UNSEEN_TOKENS, waiting / max(1, len(candidates)))


def estimate_shortage(candidate: Candidate, terms: Terms) -> Shortage:
    """Return what a target lacks for a request."""
    tokens_per_ms, _ = pace_of(candidate)
    load = candidate.load
    ahead = tokens_ahead(load.waiting_tokens, candidate.rank)
    work = TargetWork(
        ahead / tokens_per_ms,
        load.in_flight,
        candidate.slots,
        load.held_tokens + candidate.total_tokens,
        candidate.cache_tokens,
    )
    return find_shortage(work, terms.room_ms, terms.reserve)


def estimate_saved_ms(candidate: Candidate) -> float:
    """Return how much sooner a target answers thanks to its prefix cache."""
    tokens = candidate.new_tokens + candidate.kept_tokens
    without = replace(candidate, new_tokens=tokens, kept_tokens=0)
    saved_ms = estimate_first_byte_ms(without) - estimate_first_byte_ms(
        candidate
    )
    return saved_ms * candidate.slowness


def choose(
    candidates: Sequence[Candidate],
    rng: random.Random,
    terms: Terms | None = None,
) -> Choice | None:
    """Return the target with the least cost; near ties are broken at random."""
    best: Choice | None = None
    least_ms = math.inf
    unseen_tokens = estimate_unseen_tokens(candidates) if terms else 0
    for candidate in candidates:
        expected_ms = estimate_first_byte_ms(candidate)
        wait_ms = expected_ms * candidate.slowness
        cost_ms = wait_ms + candidate.health.failure_share * FAILURE_COST_MS
        cost_ms += _spread_ms(candidate, rng)
        shortage = Shortage()
        if not candidate.is_same_zone:
            cost_ms += OTHER_ZONE_COST_MS
        if candidate.lacks_adapter:
            cost_ms += ADAPTER_COST_MS
        if terms is not None and candidate.cache_tokens:
            shortage = estimate_shortage(candidate, terms)
            cost_ms += estimate_pause_cost_ms(candidate, terms, unseen_tokens)
            cost_ms += NO_ROOM_COST_MS * bool(shortage.due_ms)
        if cost_ms < least_ms:
            least_ms = cost_ms
            best = Choice(
                candidate.name,
                expected_ms / MS_PER_S,
                wait_ms / MS_PER_S,
                candidate,
                shortage=shortage,
            )
    return best


def _spread_ms(candidate: Candidate, rng: random.Random) -> float:
    """Return the cost that breaks near ties.

    Requests with an unknown prefix gather on the same targets.
    """
    random_ms = rng.uniform(0, SPREAD_MS)
    if candidate.fill_order is None:
        return random_ms
    return candidate.fill_order * SPREAD_MS
