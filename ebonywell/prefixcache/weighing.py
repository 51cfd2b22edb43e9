"""Decides what a cached prefix is worth, and where unknown ones gather.

These are pure functions. They are made for caches that turn over within some
ten seconds, and for hosts that learn most of what they know from others.
"""

import math
from collections.abc import Iterable

import xxhash

# Share of the tokens that are taken for cached on the word of other hosts. They
# do not say what became of the prefix later, and messages are lost.
HEARSAY_TRUST = 0.8
OWN_TRUST = 1.0
# The part of a cache's room, at the end of its order of use, in which a part is
# believed less and less: not all tokens read since are known to this host.
DOUBTED_SHARE = 0.3
# Time after which a part that nobody has used is believed half as much. A host
# that is cut off from the others does not see what they make a target evict.
BELIEF_HALF_LIFE_S = 20.0
# Least saving that is looked at for a missing prefix; smaller ones disappear in
# the variation of a target's answers.
MIN_MISS_MS = 10.0


def believe(
    tokens_since: float, room_tokens: float, age_s: float, trust: float
) -> float:
    """Return how much a part is believed to be still cached, from 0 to 1.

    Parameters
    ----------
    tokens_since : float
        Tokens that the target has read since it last used the part.
    room_tokens : float
        Tokens that the cache can hold beside the target's requests.
    age_s : float
        Time since the part was last used, in seconds.
    trust : float
        What the word of the part's source is worth, up to 1.
    """
    left = room_tokens - tokens_since
    if left <= 0:
        return 0
    share_left = left / (DOUBTED_SHARE * room_tokens)
    half_lives = max(0, age_s) / BELIEF_HALF_LIFE_S
    return trust * min(1, share_left) * math.exp2(-half_lives)


def order_by_prefix(digest: int, names: Iterable[str]) -> dict[str, float]:
    """Return the order in which targets are filled with an unknown prefix.

    All hosts derive the same order. If a target is missing, the order of the
    others stays.

    Parameters
    ----------
    digest : int
        Digest of the prompt's first part.
    names : iterable of str
        Targets that hold the model.

    Returns
    -------
    dict of str to float
        Position of each target, from 0 for the first one to below 1.
    """
    ordered = sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f'{digest} {name}'.encode()),
    )
    return {name: place / len(ordered) for place, name in enumerate(ordered)}


def is_missed(waited_ms: float, expected_ms: float, saved_ms: float) -> bool:
    """Return whether an answer came as late as without a cached prefix.

    Parameters
    ----------
    waited_ms : float
        Time from the send to the first byte.
    expected_ms : float
        The same as expected with the cached prefix.
    saved_ms : float
        Time to read the tokens that were expected to be cached.
    """
    return saved_ms >= MIN_MISS_MS and waited_ms > expected_ms + saved_ms
