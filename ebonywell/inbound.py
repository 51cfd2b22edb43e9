"""An admitted request of a caller, and the interface for its answer."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from .routetable import Route, WorkspaceLimit

# By the platform's documentation, callers abandon a stream without an event
# after the longer of this time and this multiple of the route's goal.
MIN_FIRST_BYTE_TIMEOUT_S = 2.0
FIRST_BYTE_TIMEOUT_GOALS = 4
_DEFAULT_TOKENS = 200


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Generation:
    """Parameters of a request to a model engine.

    Attributes
    ----------
    model : str
    adapter : str
        Empty if none is needed.
    prompt_tokens, max_output_tokens : int
    likely_output_tokens : int
        The caller's estimate, or the maximum.
    prefix : tuple of PromptPart
    """

    model: str
    adapter: str = ''
    prompt_tokens: int = _DEFAULT_TOKENS
    max_output_tokens: int = _DEFAULT_TOKENS
    likely_output_tokens: int = _DEFAULT_TOKENS
    prefix: tuple[PromptPart, ...] = ()


@dataclass(slots=True, frozen=True, eq=False)
class AdmittedRequest:
    """A request that was admitted, with its route and workspace.

    Attributes
    ----------
    request_id : str
    method : str
    path : bytes
        Path with the query, as the caller sent it.
    headers : sequence of (bytes, bytes)
        Headers that are forwarded to the target.
    body : bytes
    route : Route
    service : str
        Service that was picked from those of the route.
    workspace : WorkspaceLimit or None
    generation : Generation or None
        None for plain services.
    received_at, deadline : float
        Time in seconds by the clock of the process.
    rank : int
        Urgency; 0 is the most urgent.
    resumes : str or None
        Request id under which the stream to resume began; see
        `ReceivedRequest`.
    release : str or None
        The only release of its targets at which the request may run; None for
        any.
    key : str or None
        Key that the caller sent. Only other hosts get it, never a target.
    is_forwarded : bool
        Whether another host passed the request on.
    """

    request_id: str
    method: str
    path: bytes
    headers: Sequence[tuple[bytes, bytes]]
    body: bytes
    route: Route
    service: str
    workspace: WorkspaceLimit | None
    generation: Generation | None
    received_at: float
    deadline: float
    rank: int = 0
    resumes: str | None = None
    release: str | None = None
    key: str | None = field(default=None, repr=False)
    is_forwarded: bool = False

    @property
    def first_byte_timeout_s(self) -> float:
        """How long the caller waits for the first event, in seconds."""
        return max(
            MIN_FIRST_BYTE_TIMEOUT_S,
            FIRST_BYTE_TIMEOUT_GOALS * self.route.goal_s,
        )


# Refunds the charge of a request that has not run and never will.
Refund = Callable[[], None]
# Charges a request to its workspace's limit, or raises `RejectionError`.
Charge = Callable[[WorkspaceLimit, AdmittedRequest], Refund]


class Responder(Protocol):
    """Sends an answer to the caller."""

    async def start(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send the head of the answer."""

    async def send(self, body: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body; otherwise the caller sees a truncated answer."""


class RejectionError(Exception):
    """The request is rejected by this host, not answered by a target.

    Attributes
    ----------
    status : int
        408, 421, 429 and 503 guarantee that the request has not run and never
        will.
    reason : str
        Reason code for logs and metrics.
    retry_after_s : float or None
        Time after which the caller should retry, in seconds.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(f'{status} {reason}')
        self.status = status
        self.reason = reason
        self.retry_after_s = retry_after_s
