"""What a request may cost the others on its target.

Made for services whose streams must not pause long, or whose routes differ in
urgency. Requests of other services have no terms and are judged as before.
"""

from collections.abc import Callable
from dataclasses import dataclass

from ..clock import boot_time
from ..inbound import AdmittedRequest
from ..routetable import EngineSpec
from .fairness import FairShares
from .room import reserve_share, room_ms

_MS_PER_S = 1000
_MIN_GOAL_S = 0.001


@dataclass(slots=True, frozen=True)
class Terms:
    """What a request may cost the others on its target.

    Attributes
    ----------
    pause_goal_ms : float
        Goal for the longest pause of the service's streams; 0 for none.
    tokens_per_event : int
        Output tokens in one event of such a stream.
    room_ms : float
        Prompt work that may wait at its target before it.
    reserve : float
        How much it leaves to more urgent requests, from 0 to 1.
    """

    pause_goal_ms: float
    tokens_per_event: int
    room_ms: float
    reserve: float = 0


TermsOf = Callable[[AdmittedRequest, EngineSpec | None], Terms | None]


def make_terms(
    request: AdmittedRequest,
    engine: EngineSpec | None,
    now: float,
    excess: float = 1,
) -> Terms | None:
    """Return the terms of a request, None if its service has none.

    Parameters
    ----------
    request : AdmittedRequest
    engine : EngineSpec or None
        Engines of its service.
    now : float
    excess : float
        How far its workspace is above its usual share; 1 if it is not.
    """
    if engine is None or request.generation is None or not engine.has_terms:
        return None
    time_used = (now - request.received_at) / max(
        request.route.goal_s, _MIN_GOAL_S
    )
    pause_goal_ms = engine.pause_goal_s * _MS_PER_S
    return Terms(
        pause_goal_ms,
        engine.tokens_per_event,
        room_ms(request.rank, engine.ranks, pause_goal_ms, time_used, excess),
        reserve_share(request.rank, engine.ranks, time_used),
    )


def plain_terms(
    request: AdmittedRequest, engine: EngineSpec | None
) -> Terms | None:
    """Return the terms of a request, whatever its workspace sends."""
    return make_terms(request, engine, boot_time())


def fair_terms(shares: FairShares) -> TermsOf:
    """Return a function that makes the terms by workspaces' shares."""

    def terms(
        request: AdmittedRequest, engine: EngineSpec | None
    ) -> Terms | None:
        now = boot_time()
        excess = 1.0
        if request.workspace is not None:
            excess = shares.excess(request.workspace.name, now)
        return make_terms(request, engine, now, excess)

    return terms
