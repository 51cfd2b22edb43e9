"""What became of the requests of a fake fleet, and whether it was too much."""

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class AdmittedRequest:
    """A request that was admitted.

    Attributes
    ----------
    admitted_at : float
        Seconds since the start.
    workspace : str
    host : str
    tokens : int
        Those used, once they are known; until then those reserved.
    """

    admitted_at: float
    workspace: str
    host: str
    tokens: int


@dataclass(slots=True)
class Tally:
    """What became of the requests of a workspace.

    Attributes
    ----------
    admitted, limited, stale, unreachable : int
        Run, refused by the limit, refused by a stale host, sent to a host
        that was gone.
    waited : int
        AdmittedRequest after waiting for other hosts.
    wrongful_rejections : int
        Refused although one bucket for the whole fleet had the tokens.
    waits_s : list of float
        Of each admitted request, in seconds.
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
    """A request on its way through a host.

    Attributes
    ----------
    workspace : str
    tokens : int
        Reserved for it.
    used_tokens : int
        What it uses in the end.
    is_conforming : bool
        Whether one bucket for the whole fleet has its tokens.
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
    """Return by how many tokens the worst window exceeds rate and burst.

    Returns
    -------
    float
        0 or less if every window keeps to the bound.
    """
    excess = -math.inf
    filled: float = 0
    before: float = 0
    for admitted in sorted(history, key=lambda one: one.admitted_at):
        if admitted.workspace != workspace:
            continue
        filled = max(0, filled - rate * (admitted.admitted_at - before))
        filled += admitted.tokens
        before = admitted.admitted_at
        excess = max(excess, filled - burst)
    return excess
