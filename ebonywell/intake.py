"""Decides whether a caller's request may be served at all."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .clock import boot_time
from .inbound import AdmittedRequest, Generation, RejectionError
from .routetable import Configuration, Route, WorkspaceLimit

# The proof that no key was withdrawn ages from when it was asked for; the
# rest of the bound covers a clock that runs slow and the way to a target.
PROOF_MARGIN_S = 0.4
# A host without proof gets one, or is left out of the directory, within
# about this time.
STALE_RETRY_S = 0.5
NOT_READY_RETRY_S = 0.5
_BAD_REQUEST = 400
_UNAUTHORIZED = 401
_NOT_FOUND = 404
_TOO_LARGE = 413
_HEADERS_TOO_LARGE = 431
_NOT_IMPLEMENTED = 501
_UNAVAILABLE = 503
_HEADER_OVERHEAD_BYTES = 4


@dataclass(slots=True, frozen=True)
class ReceivedRequest:
    """A request as it was read, its wire names already translated.

    Attributes
    ----------
    request_id, method, host : str
    path : bytes
        With the query.
    key : str or None
        That the caller presented.
    headers : sequence of (bytes, bytes)
        That may go on to a target.
    header_bytes : int
        Of all headers that came.
    body : bytes
    first_byte_timeout_s : float or None
        How long the caller said that it waits.
    generation : Generation or None
    received_at : float
    has_unread_body : bool
        Whether a body came that was not read.
    """

    request_id: str
    method: str
    host: str
    path: bytes
    key: str | None
    headers: Sequence[tuple[bytes, bytes]]
    header_bytes: int
    body: bytes
    caller_timeout_s: float | None
    generation: Generation | None
    received_at: float
    has_unread_body: bool = False


@dataclass(slots=True)
class Intake:
    """What is in force on this host.

    Attributes
    ----------
    configuration : Configuration or None
        None before the first.
    proven_at : float
        The configuration was the newest then.
    revoke_s : float
        How old that proof may be for a request with a key.
    """

    rng: random.Random
    revoke_s: float
    configuration: Configuration | None = None
    proven_at: float = float('-inf')

    def is_fresh(self, now: float) -> bool:
        """Return whether requests with keys may be served."""
        return now - self.proven_at < self.revoke_s - PROOF_MARGIN_S

    @property
    def version(self) -> int:
        """The version in force, 0 before the first."""
        configuration = self.configuration
        return 0 if configuration is None else configuration.version

    def list_limits(self) -> list[WorkspaceLimit]:
        """Return the limits of all workspaces."""
        if self.configuration is None:
            return []
        return list(self.configuration.workspaces.values())

    def adopt(self, configuration: Configuration) -> bool:
        """Put a configuration in force, unless a newer one is already."""
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def admit(self, received: ReceivedRequest) -> AdmittedRequest:
        """Return the request with its route and its workspace.

        Raises
        ------
        RejectionError
            If the configuration does not allow it, or this host cannot know.
        """
        configuration = self.configuration
        if configuration is None:
            raise RejectionError(
                _UNAVAILABLE,
                'no_configuration',
                NOT_READY_RETRY_S,
            )
        self._check_size(configuration, received)
        path, _, _ = received.path.decode('latin-1').partition('?')
        route = configuration.find_route(received.host, path)
        if route is None:
            raise RejectionError(_NOT_FOUND, 'no_route')
        workspace = self._authenticate(configuration, route, received)
        rank = configuration.rank_of(route, workspace)
        return self._make_call(received, route, workspace, rank)

    def _check_size(
        self,
        configuration: Configuration,
        received: ReceivedRequest,
    ) -> None:
        if not received.request_id:
            raise RejectionError(_BAD_REQUEST, 'no_request_id')
        if received.has_unread_body:
            raise RejectionError(_NOT_IMPLEMENTED, 'upgrade_with_body')
        if received.header_bytes > configuration.limits.max_header_bytes:
            raise RejectionError(_HEADERS_TOO_LARGE, 'headers_too_large')
        if len(received.body) > configuration.limits.max_body_bytes:
            raise RejectionError(_TOO_LARGE, 'body_too_large')

    def _authenticate(
        self,
        configuration: Configuration,
        route: Route,
        received: ReceivedRequest,
    ) -> WorkspaceLimit | None:
        if route.is_open or not configuration.workspaces:
            return None
        workspace = None
        if received.key is not None:
            workspace = configuration.find_workspace(received.key)
        if not self.is_fresh(boot_time()):
            # A withdrawn key must not be served, and a new one not denied.
            raise RejectionError(_UNAVAILABLE, 'stale', STALE_RETRY_S)
        if workspace is None:
            raise RejectionError(_UNAUTHORIZED, 'unknown_key')
        return workspace

    def _make_call(
        self,
        received: ReceivedRequest,
        route: Route,
        workspace: WorkspaceLimit | None,
        rank: int,
    ) -> AdmittedRequest:
        limit_s = route.timeout_s
        if received.caller_timeout_s is not None:
            limit_s = min(limit_s, received.caller_timeout_s)
        return AdmittedRequest(
            received.request_id,
            received.method,
            received.path,
            received.headers,
            received.body,
            route,
            route.pick_service(self.rng),
            workspace,
            received.generation,
            received.received_at,
            received.received_at + limit_s,
            rank,
        )


def count_header_bytes(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return how many bytes headers take on the wire."""
    return sum(
        len(name) + len(content) + _HEADER_OVERHEAD_BYTES
        for name, content in headers
    )
