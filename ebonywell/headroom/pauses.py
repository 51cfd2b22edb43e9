"""Predicts how long the streams of a target pause, and what that costs.

These are pure functions. They are made for bursts of long prompts: while an
engine reads prompts, each of its streams gets one token per chunk of them, so
that the prompts of a few requests make all the streams there late.
"""

# Largest number of prompt tokens that an engine reads between two decoding
# steps. The configuration does not say it. Where it is less, pauses are shorter
# than predicted.
CHUNK_TOKENS = 4096
# Cost of one running stream's pause over the goal, as a share of the excess. A
# request that would make 20 streams late by 100 ms takes a target where it
# waits up to 400 ms longer.
STREAM_COST_SHARE = 0.2


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


def pause_cost_ms(pause_ms: float, goal_ms: float, streams: float) -> float:
    """Return the cost of a pause in a number of streams.

    Parameters
    ----------
    pause_ms : float
        Predicted pause.
    goal_ms : float
        Goal for the longest pause; 0 for none. A stream that pauses for twice
        the goal is as late as one that pauses longer.
    streams : float
    """
    if goal_ms <= 0:
        return 0
    excess_ms = min(max(0, pause_ms - goal_ms), goal_ms)
    return STREAM_COST_SHARE * streams * excess_ms
