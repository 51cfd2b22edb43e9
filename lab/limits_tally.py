"""Outcomes of requests in a simulated fleet, and a check of the limit."""

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class AdmittedRequest:
    """An admitted request.

    Attributes
    ----------
    admitted_at : float
        Seconds since the start.
    workspace : str
    host : str
    tokens : int
        Tokens used; tokens reserved until the request has ended.
    """

    admitted_at: float
    workspace: str
    host: str
    tokens: int


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests of one workspace.

    Attributes
    ----------
    admitted, limited, stale, unreachable : int
        Requests that ran, were rejected by the limit, were rejected by a
        stale host, or were sent to a host that had stopped.
    waited : int
        Requests admitted after waiting for tokens from other hosts.
    wrongful_rejections : int
        Requests rejected although a single bucket for the whole fleet had
        the tokens.
    waits_s : list of float
        Time that each admitted request waited; 0 if it did not wait.
    """

    admitted: int = 0
    limit_rejections: int = 0
    stale_rejections: int = 0
    waited: int = 0
    unreachable: int = 0
    wrongful_rejections: int = 0
    waits_s: list[float] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class PendingRequest:
    """A request that a host has not admitted or rejected yet.

    Attributes
    ----------
    workspace : str
    tokens : int
        Tokens to reserve.
    used_tokens : int
        Tokens that the request has used when it ends.
    is_conforming : bool
        Whether a single bucket for the whole fleet has the tokens.
    tally : Tally
    """

    workspace: str
    tokens: int
    used_tokens: int
    is_conforming: bool
    tally: Tally


def find_excess(
    history: list[AdmittedRequest],
    workspace: str,
    rate: float,
    burst: float,
) -> float:
    """Return the tokens by which the worst window exceeds rate and burst.

    Returns
    -------
    float
        0 or less if no window of time exceeds the bound.
    """
    excess = -math.inf
    level: float = 0
    previous_at: float = 0
    for admitted in sorted(history, key=lambda one: one.admitted_at):
        if admitted.workspace != workspace:
            continue
        level = max(0, level - rate * (admitted.admitted_at - previous_at))
        level += admitted.tokens
        previous_at = admitted.admitted_at
        excess = max(excess, level - burst)
    return excess
