"""Ranks requests by how urgent they are, for engines and for estimates.

Pure. The load that it answers: more work than the engines can do, of kinds
that the operator holds to be unequally urgent, or that leave unequal time. An
engine reads the prompts of a lower rank first, so that a request waits for
those of its own rank and of lower ones only.
"""

from collections.abc import Iterable, Mapping

# Engines tell so many ranks apart; 0 goes first.
RANKS = 10
# Of the prompt tokens of less urgent requests, the part that a request waits
# for all the same: an engine ends the piece that it is reading.
LESS_URGENT_SHARE = 0.2

UrgencyKey = tuple[int, int, float]


def assign_ranks(keys: Iterable[UrgencyKey]) -> dict[UrgencyKey, int]:
    """Return a rank for each kind of request.

    Parameters
    ----------
    keys : iterable of (int, int, float)
        The priority that binds, that of the route, and the goal in seconds
        for the first byte. Each decides where those before it are equal.

    Returns
    -------
    dict of (int, int, float) to int
        From 0 to `RANKS` - 1. Kinds share ranks if there are too many.
    """
    ordered = sorted(set(keys))
    step = min(1, RANKS / max(1, len(ordered)))
    return {key: int(place * step) for place, key in enumerate(ordered)}


def tokens_ahead(waiting: Mapping[int, int], own_rank: int) -> float:
    """Return the prompt tokens that an engine reads before a request's own.

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
