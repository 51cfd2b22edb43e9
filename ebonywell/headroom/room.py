"""How much prompt work may wait at a target, and what becomes of a request.

These are pure functions. They are made for overload with requests of several
ranks: if each request is judged by its own goal alone, those with the longest
goals fill the batches and the memory, and those with tight goals, often the
most urgent, are turned away.
"""

import enum
from collections.abc import Sequence
from dataclasses import dataclass

from ..overload import max_wait_s, overload_retry_after_s

# Prompt work that may wait at a target, as a share of its pause goal. The rest
# of the goal is left for the request's own prompt, for the decoding steps, and
# for what other hosts send before they know of it.
GOAL_SHARE = 0.5
# The same for a service without a pause goal.
DEFAULT_ROOM_MS = 200.0
# Share of the room that the least urgent rank leaves to the others.
WORK_RESERVE = 0.8
# The same for slots and for memory, which a request keeps until its end.
HOLD_RESERVE = 0.25
# Share of the room that is open to each rank and workspace at any time.
MIN_SHARE = 0.01
# A workspace that is this many times over its usual share of the work leaves
# half of the room to the others.
HALVING_EXCESS = 4.0
# Requests that exceed an engine's memory preempt each other.
MAX_MEMORY_SHARE = 0.92
# Time until a running request ends and frees its slot and its memory.
SLOT_DUE_MS = 40.0
# Share of its goal within which a request is expected to be answered in time.
# Waits vary, so that one that is expected at its goal is late as often as not.
IN_TIME_SHARE = 0.75
# A request may be held for this share of its goal at no cost to its caller.
FREE_HOLD_SHARE = 0.125
# Longest hold as a share of the goal. The rest is for the answer, and requests
# that are turned away in the end have not been held long.
MAX_HOLD_SHARE = 0.5
# Longest hold. Room that a burst took is due within a second or two; requests
# with a goal of 15 s were held for seconds and then turned away.
MAX_HOLD_S = 2.5


class Cause(enum.StrEnum):
    """What a target lacks for a request.

    Attributes
    ----------
    nothing
        It has headroom.
    work
        Too much prompt work waits there.
    slots, memory
        Too many requests run there, or they keep too many tokens.
    """

    nothing = 'nothing'
    work = 'work'
    slots = 'slots'
    memory = 'memory'


class Verdict(enum.StrEnum):
    """What becomes of a request now."""

    admit = 'admit'
    hold = 'hold'
    reject = 'reject'


@dataclass(slots=True, frozen=True)
class TargetWork:
    """Work at a target, from the loads of all hosts.

    Attributes
    ----------
    ahead_ms : float
        Time to read the prompts that would be read before the request's own.
    in_flight, slots : int
    held_tokens : int
        Tokens that the requests there and this one keep in memory.
    cache_tokens : int
        Memory of the target, in tokens.
    """

    ahead_ms: float
    in_flight: int
    slots: int
    held_tokens: int
    cache_tokens: int


@dataclass(slots=True, frozen=True)
class Shortage:
    """What a target lacks, and after how long it is due to have it."""

    due_ms: float = 0
    cause: Cause = Cause.nothing


@dataclass(slots=True, frozen=True)
class Situation:
    """A request that is to be judged, at its best target.

    Attributes
    ----------
    shortage : Shortage
    wait_s : float
        Expected time to the first byte if it were sent now.
    elapsed_s : float
        Time since it was received.
    held_s, max_hold_s : float
        How long it has been held, and for how long it may be.
    goal_s, first_byte_timeout_s : float
    is_first_rank : bool
        Whether the service gets no more urgent requests.
    """

    shortage: Shortage
    wait_s: float
    elapsed_s: float
    held_s: float
    max_hold_s: float
    goal_s: float
    first_byte_timeout_s: float
    is_first_rank: bool


@dataclass(slots=True, frozen=True)
class Judgement:
    """A verdict and, for a rejection, its reason and when to retry."""

    verdict: Verdict
    reason: str = ''
    retry_after_s: float = 0


ADMITTED = Judgement(Verdict.admit)
# It may go, though its target has no headroom for it.
WITHOUT_ROOM = Judgement(Verdict.admit, 'without_room')
HELD = Judgement(Verdict.hold)
NO_ROOM = Judgement(Verdict.reject, 'no_room')


def reserve_share(
    rank: int, ranks: Sequence[int], time_used: float = 0
) -> float:
    """Return how much a request leaves to more urgent ones, from 0 to 1.

    Parameters
    ----------
    rank : int
    ranks : sequence of int
        Ranks of the requests that the service may get.
    time_used : float
        Share of the time for which the request may be held that has passed. The
        reserve shrinks with it, so that no request waits in vain for ever.
    """
    before = sum(1 for one in ranks if one < rank)
    place = before / max(1, len(ranks) - 1)
    return min(1, place) * (1 - min(max(time_used, 0), 1))


def fair_share(excess: float) -> float:
    """Return the share of the room that is open to a workspace.

    Parameters
    ----------
    excess : float
        Its recent work over its usual share; 1 for a usual load.
    """
    return 1 / (1 + max(0, excess - 1) / (HALVING_EXCESS - 1))


def room_ms(
    rank: int,
    ranks: Sequence[int],
    pause_goal_ms: float,
    time_used: float = 0,
    excess: float = 1,
) -> float:
    """Return how much prompt work may wait before a request, at a target.

    Parameters
    ----------
    rank, ranks, time_used
        See `reserve_share`.
    pause_goal_ms : float
        Goal for the longest pause of the service's streams; 0 for none.
    excess : float
        See `fair_share`.

    Returns
    -------
    float
        Time to read it at the target's pace, in milliseconds.
    """
    full_ms = pause_goal_ms * GOAL_SHARE or DEFAULT_ROOM_MS
    share = 1 - WORK_RESERVE * reserve_share(rank, ranks, time_used)
    return full_ms * max(MIN_SHARE, share * fair_share(excess))


def find_shortage(
    work: TargetWork, allowed_ms: float, reserve: float
) -> Shortage:
    """Return what a target lacks for a request.

    Parameters
    ----------
    work : TargetWork
    allowed_ms : float
        Prompt work that may wait before the request; see `room_ms`.
    reserve : float
        See `reserve_share`.
    """
    kept = 1 - HOLD_RESERVE * reserve
    requests = max(1, work.in_flight)
    over_slots = work.in_flight + 1 - work.slots * kept
    over_tokens = work.held_tokens - work.cache_tokens * MAX_MEMORY_SHARE * kept
    mean_tokens = max(1, work.held_tokens / requests)
    lacks = (
        Shortage(work.ahead_ms - allowed_ms, Cause.work),
        Shortage(over_slots * SLOT_DUE_MS, Cause.slots),
        Shortage(over_tokens / mean_tokens * SLOT_DUE_MS, Cause.memory),
    )
    worst = max(lacks, key=lambda one: one.due_ms)
    # An idle target is open to all, however little it holds.
    if worst.due_ms <= 0 or not work.in_flight:
        return Shortage()
    return worst


def max_hold_s(goal_s: float, admitted_share: float) -> float:
    """Return for how long a request may be held.

    Parameters
    ----------
    goal_s : float
    admitted_share : float
        Share of the requests held recently that were admitted in the end. If it
        is a half or less, a request is held only as long as this costs its
        caller nothing.
    """
    hope = min(max(2 * admitted_share - 1, 0), 1)
    share = FREE_HOLD_SHARE + (MAX_HOLD_SHARE - FREE_HOLD_SHARE) * hope
    return min(MAX_HOLD_S, goal_s * share)


def judge(one: Situation) -> Judgement:
    """Return what becomes of a request now."""
    if one.shortage.cause is Cause.nothing:
        retry_after_s = overload_retry_after_s(
            one.held_s + one.wait_s, one.goal_s, one.first_byte_timeout_s
        )
        if retry_after_s:
            return Judgement(Verdict.reject, 'overloaded', retry_after_s)
        return ADMITTED
    due_s = one.shortage.due_ms / 1000
    # What is due then has been read, and no longer delays the answer.
    answer_s = max(0, one.wait_s - due_s)
    left_s = one.goal_s - one.elapsed_s - answer_s
    if due_s <= min(left_s, one.max_hold_s - one.held_s):
        return HELD
    longest_s = max_wait_s(one.goal_s, one.first_byte_timeout_s)
    if one.elapsed_s + one.wait_s > longest_s:
        return Judgement(Verdict.reject, 'overloaded', due_s)
    # One that can still be answered in time is worth more to its caller than
    # the room that it takes. A later one is answered at others' cost only.
    if one.is_first_rank or _is_in_time(one):
        return WITHOUT_ROOM
    return Judgement(Verdict.reject, 'no_room', due_s)


def _is_in_time(one: Situation) -> bool:
    expected_s = one.elapsed_s + one.wait_s
    return expected_s <= one.goal_s * IN_TIME_SHARE
