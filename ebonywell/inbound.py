"""A caller's request on its way through this host, and its answer."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from .routetable import Route, WorkspaceLimit

# Callers give a stream up after that long without an event, or after so many
# times its goal, by the platform's pages.
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
    """What a request asks of a model engine.

    Attributes
    ----------
    model : str
    adapter : str
        Empty for none.
    prompt_tokens, max_output_tokens : int
    likely_output_tokens : int
        The caller's estimate, or the most.
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
    """A request whose route and workspace are known.

    Attributes
    ----------
    request_id : str
    method : str
    path : bytes
        With the query, as the caller sent it.
    headers : sequence of (bytes, bytes)
        That go on to the target.
    body : bytes
    route : Route
    service : str
        That the route picked.
    workspace : WorkspaceLimit or None
    generation : Generation or None
        None for plain services.
    received_at, deadline : float
        In seconds by the clock of the process.
    rank : int
        How urgent it is; 0 goes first.
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

    @property
    def first_byte_timeout_s(self) -> float:
        """How long its caller waits for the first event of a stream."""
        return max(
            MIN_FIRST_BYTE_TIMEOUT_S,
            FIRST_BYTE_TIMEOUT_GOALS * self.route.goal_s,
        )


# Takes the charge of a request back that has not run and never will.
Refund = Callable[[], None]
# Takes a request's tokens from its workspace's limit, or raises
# `RejectionError`.
Charge = Callable[[WorkspaceLimit, AdmittedRequest], Refund]


class Responder(Protocol):
    """Sends an answer to the caller."""

    async def start(
        self,
        status: int,
        headers: Sequence[tuple[bytes, bytes]],
    ) -> None:
        """Send the head."""

    async def send(self, body: bytes) -> None:
        """Send a part of the body."""

    async def finish(self) -> None:
        """End the body; without this the answer is visibly cut off."""


class RejectionError(Exception):
    """A request is answered by this host and not by a target.

    Attributes
    ----------
    status : int
        408, 421, 429 and 503 promise that it has not run and never will.
    reason : str
        A short word for logs and metrics.
    retry_after_s : float or None
        When the caller should come back.
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
