"""When a caller that is turned away should return.

Made for bursts: callers that are turned away together and told the same time
return together.
"""

import random

# Shortest time after which to return: until then, little has changed.
MIN_RETRY_S = 0.1
# Shortest range of times over which returns are spread.
MIN_SPREAD_S = 0.5
# Callers wait for at most this share of the time that they have left.
MAX_LEFT_SHARE = 1 / 3


def spread_retry_s(due_s: float, left_s: float, rng: random.Random) -> float:
    """Return a random time within which headroom is due.

    Parameters
    ----------
    due_s : float
        Time until a target is due to have headroom.
    left_s : float
        Time until the caller's deadline.
    """
    first_s = max(MIN_RETRY_S, due_s)
    last_s = first_s + max(MIN_SPREAD_S, first_s)
    longest_s = left_s * MAX_LEFT_SHARE
    if last_s > longest_s:
        # A time that the caller does not wait for would spread nothing.
        last_s = max(MIN_RETRY_S, longest_s)
        first_s = min(first_s, last_s / 2)
    return rng.uniform(first_s, last_s)
