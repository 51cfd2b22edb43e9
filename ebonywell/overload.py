"""Decides whether to reject a request rather than queue it.

These are pure functions. They are made for overload: more requests for a
model than the engines that hold it can answer in time. The throughput of an
engine does not depend on the length of its queue. A long queue makes every
answer late, while a short one serves as many callers, and the others are told
at once to retry later.
"""

# Maximum expected wait for the first byte or for a model, as a share of the
# caller's first-byte time-out. Beyond it, an immediate rejection serves the
# caller better.
MAX_WAIT_SHARE = 0.8
# Maximum expected wait for the first byte, as a multiple of the request's goal.
# It is above 1, because callers still use an answer that is somewhat late, and
# estimates are inexact.
MAX_WAIT_GOALS = 1.2
# Minimum time before a rejected caller should retry.
OVERLOAD_RETRY_S = 0.5
# Time within which the lease holder has received the load request, has decided
# and has announced the load: one message, one decision and two digests.
LOAD_DECISION_S = 0.45
# Approximate time for the order and the load of a model that no target holds.
ABSENT_RETRY_S = 1.0
# Part of the time between a load and the goal that a request may wait for the
# load to begin. The rest covers the queue at the target.
SPARE_WAIT_SHARE = 0.6


def max_wait_s(goal_s: float, first_byte_timeout_s: float) -> float:
    """Return the maximum wait for a first byte for which to queue a request.

    Parameters
    ----------
    goal_s : float
        Operator's goal for the time to the first byte.
    first_byte_timeout_s : float
        Time after which the caller disconnects.
    """
    return min(first_byte_timeout_s * MAX_WAIT_SHARE, goal_s * MAX_WAIT_GOALS)


def overload_retry_after_s(
    wait_s: float, goal_s: float, first_byte_timeout_s: float
) -> float:
    """Return after how long a caller should retry, 0 to admit its request.

    Parameters
    ----------
    wait_s : float
        Expected time to the first byte on the best target.
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
    spare_s: float = 0,
    load_left_s: float = 0,
) -> float:
    """Return after how long the caller of an absent model should retry.

    Engines carry out one load after the other, so where loads take seconds, a
    request with a long goal is served if it waits for the load to begin.

    Parameters
    ----------
    waited_s : float
        Time that the request has waited for the model so far.
    first_byte_timeout_s : float
        Time after which the caller disconnects.
    is_loading : bool
        Whether the model is loading.
    spare_s : float
        Goal of the request less the time that a load takes.
    load_left_s : float
        Time until the model is loaded, 0 if unknown.

    Returns
    -------
    float
        0 if the request should go on waiting.
    """
    longest_s = first_byte_timeout_s * MAX_WAIT_SHARE
    if not is_loading:
        patience_s = max(LOAD_DECISION_S, spare_s * SPARE_WAIT_SHARE)
        longest_s = min(longest_s, patience_s)
    if waited_s + load_left_s < longest_s:
        return 0
    return max(ABSENT_RETRY_S, load_left_s)
