"""Ranks requests by urgency, for the engines' queues and for estimates.

These are pure functions. They are made for overload with requests of
different priorities or of different goals for the first byte. An engine
processes prompts of a lower rank number first, so that a request waits only
for those of its own and of lower rank numbers.
"""

from collections.abc import Iterable, Mapping

# Number of ranks that engines distinguish; 0 is the most urgent.
RANKS = 10
# Share of the prompt tokens of less urgent requests that a request still waits
# for, because an engine finishes the chunk that it is processing.
LESS_URGENT_SHARE = 0.2

UrgencyKey = tuple[int, int, float]


def assign_ranks(keys: Iterable[UrgencyKey]) -> dict[UrgencyKey, int]:
    """Return a rank for each kind of request.

    Parameters
    ----------
    keys : iterable of (int, int, float)
        Effective priority, priority of the route, and goal for the first
        byte in seconds. The keys are sorted as tuples.

    Returns
    -------
    dict of (int, int, float) to int
        Ranks from 0 to `RANKS` - 1. Neighbouring kinds share a rank if there
        are more kinds than ranks.
    """
    ordered = sorted(set(keys))
    step = min(1, RANKS / max(1, len(ordered)))
    return {key: int(place * step) for place, key in enumerate(ordered)}


def tokens_ahead(waiting: Mapping[int, int], own_rank: int) -> float:
    """Return the prompt tokens that an engine processes before a request's own.

    Parameters
    ----------
    waiting : mapping of int to int
        Prompt tokens of waiting requests by rank.
    own_rank : int
    """
    total = sum(waiting.values())
    before = sum(
        tokens
        for waiting_rank, tokens in waiting.items()
        if waiting_rank <= own_rank
    )
    return before + LESS_URGENT_SHARE * (total - before)
