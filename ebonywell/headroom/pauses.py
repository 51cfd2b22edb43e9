"""Predicts how long the streams of a target pause, and what that costs.

These are pure functions. They are made for bursts of long prompts: while an
engine reads prompts, each of its streams gets one token per chunk of them, so
that the prompts of a few requests make all the streams there late.
"""

import math

# Largest number of prompt tokens that an engine reads between two decoding
# steps. The configuration does not say it. Where it is less, pauses are shorter
# than predicted.
CHUNK_TOKENS = 4096
# Cost of one running stream's pause over the goal, as a share of the excess. A
# request that would make 20 streams late by 100 ms takes a target where it
# waits up to one second longer.
STREAM_COST_SHARE = 0.5
# Least prompt work that a target has beyond what is known of it: hosts learn of
# each other's requests some hundred milliseconds late.
MIN_UNSEEN_TOKENS = 300


def predicted_pause_ms(
    waiting_tokens: float,
    new_tokens: float,
    tokens_per_ms: float,
    step_ms: float,
    tokens_per_event: int,
) -> float:
    """Return the longest pause to expect in the streams of a target.

    Parameters
    ----------
    waiting_tokens : float
        Prompt tokens that wait at the target.
    new_tokens : float
        Prompt tokens of the request that would be added.
    tokens_per_ms : float
        Prompt tokens that the target reads per millisecond.
    step_ms : float
        Duration of one decoding step there.
    tokens_per_event : int
        Output tokens in one event of a stream.
    """
    read = min(waiting_tokens + new_tokens, tokens_per_event * CHUNK_TOKENS)
    return read / tokens_per_ms + tokens_per_event * step_ms


def expected_excess_ms(
    pause_ms: float, goal_ms: float, unseen_ms: float
) -> float:
    """Return by how much a pause is expected to exceed its goal.

    Parameters
    ----------
    pause_ms : float
        Pause that is predicted from what is known of the target.
    goal_ms : float
        Goal for the longest pause. A stream that pauses for twice the goal is
        as late as one that pauses longer.
    unseen_ms : float
        Mean time to read prompts there that are not known of yet. It is taken
        as exponentially distributed, so that a pause just below its goal, or a
        slow target, is worse than a short pause on a fast one.
    """
    if pause_ms >= goal_ms:
        return min(pause_ms - goal_ms + unseen_ms, goal_ms)
    share_over = math.exp((pause_ms - goal_ms) / unseen_ms)
    return min(unseen_ms * share_over, goal_ms)


def pause_cost_ms(excess_ms: float, streams: float) -> float:
    """Return the cost of pauses over the goal in a number of streams."""
    return STREAM_COST_SHARE * streams * excess_ms
