"""What a request may cost the others on its target.

Made for services whose streams must not pause long, or whose routes differ in
urgency. Requests of other services have no terms and are judged as before.
"""

from dataclasses import dataclass

from ..inbound import AdmittedRequest
from ..routetable import EngineSpec

_MS_PER_S = 1000


@dataclass(slots=True, frozen=True)
class Terms:
    """What a request may cost the others on its target.

    Attributes
    ----------
    pause_goal_ms : float
        Goal for the longest pause of the service's streams; 0 for none.
    tokens_per_event : int
        Output tokens in one event of such a stream.
    """

    pause_goal_ms: float
    tokens_per_event: int


def make_terms(
    request: AdmittedRequest, engine: EngineSpec | None
) -> Terms | None:
    """Return the terms of a request, None if its service has none."""
    if engine is None or request.generation is None or not engine.has_terms:
        return None
    return Terms(engine.pause_goal_s * _MS_PER_S, engine.tokens_per_event)
