"""Admits or rejects requests by the configuration in force."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .clock import boot_time
from .inbound import AdmittedRequest, Generation, RejectionError
from .routetable import Configuration, Route, WorkspaceLimit

# The age of a freshness proof counts from when the proof was requested. The
# margin within the bound covers a slow clock and the time until the request
# reaches a target.
PROOF_MARGIN_S = 0.4
# Within about this time a host without a freshness proof gets one or is
# dropped from the directory.
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
    """A request as received, with header names translated from the wire.

    Attributes
    ----------
    request_id, method, host : str
    path : bytes
        Path with the query.
    key : str or None
        Key that the caller sent.
    headers : sequence of (bytes, bytes)
        Headers that may be forwarded to a target.
    header_bytes : int
        Size of all received headers, in bytes.
    body : bytes
    caller_timeout_s : float or None
        Time-out that the caller stated, in seconds.
    generation : Generation or None
        None for plain services.
    received_at : float
        Time in seconds by the clock of the process.
    has_unread_body : bool
        Whether the request has a body that was not read.
    resumes : str or None
        Request id under which the stream to resume began, empty if the caller
        doesn't state it; None if the request resumes no stream.
    is_forwarded : bool
        Whether another host passed the request on.
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
    resumes: str | None = None
    is_forwarded: bool = False


@dataclass(slots=True)
class Intake:
    """Admits requests by the configuration in force on this host.

    Attributes
    ----------
    configuration : Configuration or None
        None until the first configuration is applied.
    proven_at : float
        Time at which the configuration was proven to be the newest.
    revoke_s : float
        Maximum age of that proof for a request with a key, in seconds.
    """

    rng: random.Random
    revoke_s: float
    configuration: Configuration | None = None
    proven_at: float = float('-inf')

    def is_fresh(self, now: float) -> bool:
        """Return whether the freshness proof allows requests with keys."""
        return now - self.proven_at < self.revoke_s - PROOF_MARGIN_S

    @property
    def version(self) -> int:
        """Version of the configuration in force, 0 if there is none."""
        configuration = self.configuration
        return 0 if configuration is None else configuration.version

    def list_limits(self) -> list[WorkspaceLimit]:
        """Return the limits of all workspaces."""
        if self.configuration is None:
            return []
        return list(self.configuration.workspaces.values())

    def adopt(self, configuration: Configuration) -> bool:
        """Apply a configuration, unless it is not newer than the current one.

        Returns
        -------
        bool
            Whether it was applied.
        """
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return False
        self.configuration = configuration
        return True

    def admit(self, received: ReceivedRequest) -> AdmittedRequest:
        """Return the request with its route and workspace resolved.

        Raises
        ------
        RejectionError
            If the configuration does not allow the request, or if this host
            has no configuration or only a stale freshness proof.
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
            # With a stale configuration, a withdrawn key must not be accepted
            # and a newly issued key must not be denied.
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
            received.resumes if route.is_resumable else None,
            key=received.key,
            is_forwarded=received.is_forwarded,
        )


def count_header_bytes(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the size of headers on the wire, in bytes."""
    return sum(
        len(name) + len(content) + _HEADER_OVERHEAD_BYTES
        for name, content in headers
    )
