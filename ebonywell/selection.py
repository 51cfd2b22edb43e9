"""Chooses the target that is likely to answer a request first.

Pure: loads, health and the request come in, a choice comes out. The load
that it answers: generations whose prompts take tens of milliseconds each,
bursts onto the few targets that hold a busy model, and targets that turn slow
or fail a part of their requests while their health check stays good.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from .health import TargetHealth
from .loadboard import TargetLoad
from .urgency import tokens_ahead

# Prompt tokens that an engine reads in a millisecond, from the deployments'
# sheets, less the steps of running requests in between.
PROMPT_TOKENS_PER_MS = 22.0
# One step of a batch, from the deployments' sheets.
STEP_MS = 9.0
# The time that a plain request holds a slot, from the deployments' sheets.
PLAIN_REQUEST_MS = 60.0
# Two crossings between availability zones, and the price of the bytes.
OTHER_ZONE_COST_MS = 6.0
# To ask for an adapter, to order it and to load it; an order has its price.
ADAPTER_COST_MS = 90.0
# What a failed request costs its caller: a retry at best, its answer at
# worst.
FAILURE_COST_MS = 2500.0
# Hosts that see the same loads must not all choose the same target: within
# this spread the choice is random.
SPREAD_MS = 12.0
# A full batch or cache admits the next request when a running one ends.
FULL_SLOT_MS = 40.0
# Requests that do not fit an engine's cache preempt each other.
MAX_CACHE_SHARE = 0.92
MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class Candidate:
    """A target that could run a request.

    Attributes
    ----------
    name : str
    load : TargetLoad
        From all hosts.
    health : TargetHealth
    slots : int
    cache_tokens : int
        0 for plain services.
    new_tokens : int
        Prompt tokens of the request that it does not keep already.
    total_tokens : int
        Prompt and output tokens of the request.
    assign_ranks : int
        How urgent the request is; 0 goes first.
    is_same_zone : bool
        Whether it is in this host's availability zone.
    lacks_adapter : bool
        Whether the adapter must be brought there first.
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


@dataclass(slots=True, frozen=True)
class Choice:
    """The chosen target.

    Attributes
    ----------
    name : str
    expected_s : float
        The time to its first byte by its load alone.
    wait_s : float
        The same, as slow as the target was of late.
    candidate : Candidate
        What was known of the target.
    """

    name: str
    expected_s: float
    wait_s: float
    candidate: Candidate


def estimate_first_byte_ms(candidate: Candidate) -> float:
    """Return the time to the first byte by the target's load."""
    load = candidate.load
    if not candidate.cache_tokens:
        ahead = load.waiting + load.running
        queued = max(0, ahead + 1 - candidate.slots)
        return PLAIN_REQUEST_MS * (1 + queued / candidate.slots)
    tokens = tokens_ahead(load.waiting_tokens, candidate.rank)
    tokens += candidate.new_tokens
    busy_ms = tokens / PROMPT_TOKENS_PER_MS + STEP_MS
    full = load.waiting + load.running + 1 - candidate.slots
    wanted = load.held_tokens + candidate.total_tokens
    over_tokens = wanted - candidate.cache_tokens * MAX_CACHE_SHARE
    mean_tokens = load.held_tokens / max(1, load.waiting + load.running)
    crowded = over_tokens / max(1, mean_tokens)
    return busy_ms + FULL_SLOT_MS * max(0, full, crowded)


def choose(
    candidates: Sequence[Candidate],
    rng: random.Random,
) -> Choice | None:
    """Return the target with the least cost, near ties at random."""
    best: Choice | None = None
    least_ms = math.inf
    for candidate in candidates:
        expected_ms = estimate_first_byte_ms(candidate)
        wait_ms = expected_ms * candidate.health.slowness
        cost_ms = wait_ms + candidate.health.failure_share * FAILURE_COST_MS
        cost_ms += rng.uniform(0, SPREAD_MS)
        if not candidate.is_same_zone:
            cost_ms += OTHER_ZONE_COST_MS
        if candidate.lacks_adapter:
            cost_ms += ADAPTER_COST_MS
        if cost_ms < least_ms:
            least_ms = cost_ms
            best = Choice(
                candidate.name,
                expected_ms / MS_PER_S,
                wait_ms / MS_PER_S,
                candidate,
            )
    return best
