"""The ASGI application behind all of a host's listening sockets."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

import anyio

from ..clock import boot_time
from ..hostsettings import HostSettings
from ..inbound import RejectionError, Responder
from ..intake import Intake, ReceivedRequest
from ..metrics import Metrics
from ..misc import split_address
from ..server import Message, Receive, Send, close_when_stopping
from ..slowcallers.streamsends import note_streams
from . import ingress

METRICS_PATH = '/metrics'
WHERE_PATH = '/where'
_OK = 200
_UNAVAILABLE = 503
_NOT_FOUND = 404
# The operator's configuration sets the limit; this one applies until the first
# configuration has been read.
_DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024


class RequestPath(Protocol):
    """Serves callers' requests; see `Gateway`."""

    intake: Intake

    async def serve(
        self,
        request: ReceivedRequest,
        responder: Responder,
        wait_gone: Callable[[], Awaitable[None]],
    ) -> None:
        """Serve a request until it is answered or its caller disconnects."""


@dataclass(slots=True)
class HostApplication:
    """The ASGI application that serves all sockets of a host.

    Attributes
    ----------
    settings : HostSettings
    gateway : RequestPath
    metrics : Metrics
    is_ready : callable
        Returns whether the readiness check passes.
    is_stopping : callable
        Returns whether connections are closed after their current answer.
    list_addresses : callable
        Returns the addresses that callers may use.
    directory_ttl_s : float
    answer_where : callable or None
        Answers an operator's question where a request would go.
    """

    settings: HostSettings
    gateway: RequestPath
    metrics: Metrics
    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
    list_addresses: Callable[[], list[str]]
    directory_ttl_s: float
    answer_where: Callable[[Message], tuple[int, str]] | None = None

    async def __call__(
        self,
        scope: Message,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request, depending on the port that received it."""
        port = scope['server'][1]
        if port == split_address(self.settings.caller_address)[1]:
            await self._serve_caller(scope, receive, send)
            return
        path = scope['path']
        if path == ingress.READY_PATH:
            status = _OK if self.is_ready() else _UNAVAILABLE
            await ingress.send_text(send, status, '')
        elif path == ingress.DIRECTORY_PATH:
            await self._serve_directory(send)
        else:
            await ingress.send_text(send, *self._answer_operator(scope))

    def _answer_operator(self, scope: Message) -> tuple[int, str]:
        if scope['path'] == METRICS_PATH:
            return _OK, self.metrics.expose()
        if scope['path'] == WHERE_PATH and self.answer_where is not None:
            return self.answer_where(scope)
        return _NOT_FOUND, ''

    async def _serve_directory(
        self,
        send: Send,
    ) -> None:
        addresses = self.list_addresses()
        if not addresses:
            await ingress.send_text(send, _UNAVAILABLE, '')
            return
        answer = ingress.directory_answer(addresses, self.directory_ttl_s)
        await ingress.send_json(send, answer)

    async def _serve_caller(
        self,
        scope: Message,
        receive: Receive,
        send: Send,
    ) -> None:
        received_at = boot_time()
        try:
            body = await ingress.read_body(receive, self._max_body_bytes())
        except ingress.CallerGoneError:
            return
        request = ingress.parse_request(scope, body, received_at)
        guarded = close_when_stopping(
            note_streams(scope, send),
            lambda: request.has_unread_body or self.is_stopping(),
        )

        async def wait_gone() -> None:
            while (await receive())['type'] != 'http.disconnect':
                await anyio.sleep(0)

        responder = ingress.AsgiResponder(guarded)
        try:
            await self.gateway.serve(request, responder, wait_gone)
        except RejectionError as error:
            await ingress.send_rejection(guarded, error)

    def _max_body_bytes(self) -> int:
        configuration = self.gateway.intake.configuration
        if configuration is None:
            return _DEFAULT_MAX_BODY_BYTES
        return configuration.limits.max_body_bytes


def filter_server_log() -> None:
    """Suppress the errors in uvicorn's log, and keep its warnings.

    uvicorn reports incomplete answers as errors; the gateway aborts them
    deliberately and logs them itself. A warning tells of a request that it
    could not parse and answered with 400 by itself.
    """
    logging.getLogger('uvicorn.error').addFilter(
        lambda record: record.levelno <= logging.WARNING
    )
