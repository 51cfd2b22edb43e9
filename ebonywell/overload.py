"""Decides whether a request is better refused than queued.

Pure. The load that it answers: more requests for a model than the engines
that hold it can answer in time. Each engine does as much however long its
queue is, so a long queue makes every answer late, while a short one serves as
many callers and tells the others at once to come back.
"""

# A caller whose first byte cannot come within this part of its patience is
# better told so at once.
MAX_WAIT_SHARE = 0.8
# The longest queue, in goals of the request at its end: callers still take an
# answer that is somewhat late, and estimates err.
MAX_WAIT_GOALS = 1.2
# The least pause before a refused caller comes back.
OVERLOAD_RETRY_S = 0.5
# By then the holder of the lease has been asked for a model, has decided, and
# has told of the load: a question, a decision and two digests.
LOAD_DECISION_S = 0.45
# A model that nobody holds needs an order and a load, about this long.
ABSENT_RETRY_S = 1.0


def max_wait_s(goal_s: float, first_byte_timeout_s: float) -> float:
    """Return the longest wait for a first byte that is worth a caller's while.

    Parameters
    ----------
    goal_s : float
        Within which the operator wants the first byte.
    first_byte_timeout_s : float
        After which the caller leaves.
    """
    return min(first_byte_timeout_s * MAX_WAIT_SHARE, goal_s * MAX_WAIT_GOALS)


def overload_retry_after_s(
    wait_s: float, goal_s: float, first_byte_timeout_s: float
) -> float:
    """Return after how long a refused caller comes back, 0 to admit it.

    Parameters
    ----------
    wait_s : float
        For its first byte, at the best target.
    goal_s, first_byte_timeout_s : float
        See `max_wait_s`.
    """
    excess_s = wait_s - max_wait_s(goal_s, first_byte_timeout_s)
    return max(OVERLOAD_RETRY_S, excess_s) if excess_s > 0 else 0


def absent_retry_after_s(
    waited_s: float,
    first_byte_timeout_s: float,
    *,
    is_loading: bool,
) -> float:
    """Return after how long the caller of an absent model comes back.

    Parameters
    ----------
    waited_s : float
        For the model, until now.
    first_byte_timeout_s : float
        For which the caller would have waited.
    is_loading : bool
        Whether a load of the model is under way.

    Returns
    -------
    float
        0 if the request is to wait on.
    """
    longest_s = first_byte_timeout_s * MAX_WAIT_SHARE
    if not is_loading:
        longest_s = min(longest_s, LOAD_DECISION_S)
    return ABSENT_RETRY_S if waited_s >= longest_s else 0
