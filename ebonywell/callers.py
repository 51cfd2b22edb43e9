"""All connections of a server's callers, and what bounds them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from .callermemory import CallerMemory
from .logs import Logger, discard_event
from .routetable import CallerLimits

# Connections of callers if the process's limit on descriptors is not known.
DEFAULT_MAX_CONNECTIONS = 2000
# Share of the process's descriptors that callers' connections may take. The
# rest is for targets, other hosts and the store.
DESCRIPTOR_SHARE = 0.6
# Limits until the operator's configuration is known.
DEFAULT_HEADER_BYTES = 65_536
DEFAULT_BODY_BYTES = 4_194_304
DEFAULT_LIMITS = CallerLimits(
    max_header_bytes=DEFAULT_HEADER_BYTES,
    max_body_bytes=DEFAULT_BODY_BYTES,
    header_timeout_s=10,
    body_timeout_s=60,
    idle_timeout_s=60,
)


Describe = Callable[[HTTPStatus, str], tuple[bytes, bytes]]


class OpenConnection(Protocol):
    """A connection of a caller; see `CallerConnection`."""

    @property
    def waits_since(self) -> float | None:
        """Time since which no request is in progress, None if one is."""

    def check(self, now: float) -> None:
        """End the connection if its caller takes too long."""

    def cut(self, reason: str) -> None:
        """End the connection at once; no request of it is in progress."""


def describe_in_text(status: HTTPStatus, reason: str) -> tuple[bytes, bytes]:
    """Return the content type and the body of a rejection, as plain text."""
    return b'text/plain', f'{reason}\n'.encode()


def _default_limits() -> CallerLimits:
    return DEFAULT_LIMITS


def _count_nothing(name: str, *, reason: str) -> None:
    """Count nothing; the default."""


@dataclass(slots=True, kw_only=True)
class Callers:
    """All connections of a server's callers.

    Attributes
    ----------
    limits : callable
        Returns the limits in force.
    memory : CallerMemory
    max_connections : int
    request_id_header : bytes
        Lower-case name of the header with a request's id.
    describe : callable
        Returns the content type and the body of a rejection, for its status and
        reason.
    log : Logger
    count : callable
        Counts connections that were ended, by reason.
    connections : set of OpenConnection
    """

    limits: Callable[[], CallerLimits] = _default_limits
    memory: CallerMemory = field(default_factory=CallerMemory)
    max_connections: int = DEFAULT_MAX_CONNECTIONS
    request_id_header: bytes = b'x-request-id'
    describe: Describe = describe_in_text
    log: Logger = discard_event
    count: Callable[..., None] = _count_nothing
    connections: set[OpenConnection] = field(default_factory=set)

    def add(self, connection: OpenConnection) -> None:
        """Add a connection, and end another one if there are too many.

        The one that has waited longest without a request is ended, so that
        callers that open connections without end keep no others out.
        """
        self.connections.add(connection)
        if len(self.connections) <= self.max_connections:
            return
        waiting = [
            (one.waits_since, id(one), one)
            for one in self.connections
            if one.waits_since is not None
        ]
        longest = min(waiting)[-1]
        self.connections.discard(longest)
        longest.cut('too_many_connections')

    def remove(self, connection: OpenConnection) -> None:
        """Remove a connection that has ended."""
        self.connections.discard(connection)

    def check(self, now: float) -> None:
        """End connections whose callers take too long."""
        for connection in tuple(self.connections):
            connection.check(now)


def max_caller_connections(descriptors: int) -> int:
    """Return the maximum number of callers' connections.

    Parameters
    ----------
    descriptors : int
        Limit of the process on descriptors, 0 if it is not known.
    """
    if not descriptors:
        return DEFAULT_MAX_CONNECTIONS
    return int(descriptors * DESCRIPTOR_SHARE)
