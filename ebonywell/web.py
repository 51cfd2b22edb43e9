"""HTTP front end of an entry process."""

import socket
import traceback
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import anyio
import msgspec
from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp, Receive, Scope, Send

from . import edge
from .answers import (
    RETRY_SOON_S,
    Refusal,
    RefusedError,
    encode_refusal,
    refusal_headers,
    refuse,
)
from .calls import Calls
from .catalogue import is_approved
from .config import Settings
from .logs import Logger
from .messages import Call
from .replica import Replica
from .reply import Reply
from .server import (
    Server,
    bind,
    close_when_stopping,
    make_callers,
    server_config,
)
from .types import EntryKind, RunState, new_id

START_POLL_INTERVAL_S = 0.01
# Lets callers receive the answers of calls that a stop has cut.
CLOSE_TIMEOUT_S = 1.0
_STATUS_UNAVAILABLE = 503
_STATUS_NOT_FOUND = 404
_STATUS_INTERNAL = 500
_STATUS_OK = 200
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')

ReadCall = Callable[..., Awaitable[Call]]
CheckServing = Callable[[], None]
CheckCall = Callable[[Call], None]


class CallAnswer(Response):
    """Response that reads, checks and runs a call, and sends its answer.

    Attributes
    ----------
    request : Request
    web : Web
    read : callable
        Reads the call from the request.
    """

    def __init__(self, request: Request, web: 'Web', read: ReadCall) -> None:
        self.request = request
        self.web = web
        self.read = read
        self.background = None

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle the request, as an ASGI application."""
        reply = Reply(send, new_id())
        reply.check = self.web.check_serving
        try:
            call = await self._read_call(reply.request_id)
        except RefusedError as refused:
            self.web.log(
                'call_refused',
                request=reply.request_id,
                code=refused.refusal.code,
            )
            await reply.refuse(refused.refusal)
        except ClientDisconnect:
            self.web.log('caller_left', request=reply.request_id)
        else:
            await self._run_guarded(call, reply, receive)

    async def _read_call(self, request_id: str) -> Call:
        self.web.check_serving()
        with self.web.reading_scope():
            call = await self.read(
                self.request,
                self.web.replica.state.catalogue,
                self.web.settings.max_body_bytes,
                request_id,
                self.web.settings.deadline_s,
            )
        if self.web.cut_event.is_set():
            raise RefusedError(stopping_refusal())
        self.web.check_call(call)
        return call

    async def _run_guarded(
        self, call: Call, reply: Reply, receive: Receive
    ) -> None:
        try:
            await self._run(call, reply, receive)
        except Exception as error:
            # An internal error ends one call, not the process.
            trace = ''.join(traceback.format_exception(error))
            self.web.log('call_failed', request=reply.request_id, trace=trace)
            await reply.refuse(_internal_refusal())

    async def _run(self, call: Call, reply: Reply, receive: Receive) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
            await self.web.calls.answer(call, reply)
            group.cancel_scope.cancel()


class Web:
    """HTTP server for callers, operators and health probes.

    Attributes
    ----------
    check_serving : callable
        Raises RefusedError while this process must not serve calls.
    list_hosts : callable
        Returns the answer of ``GET /v1/hosts``, ready for JSON encoding.
    is_leaving : bool
        Whether a planned stop has begun.
    cut_event : anyio.Event
        Set when running calls are cut and new ones are rejected.
    reading_scopes : set of CancelScope
        Scopes of the requests that are still being read.
    check_call : callable
        Raises RefusedError for a call that must be rejected although the
        catalogue still allows it.
    app : Starlette
    read_service : callable
        Reads a call of a plain service from a request.
    finished : anyio.Event
        Set when the server has closed.
    """

    def __init__(
        self,
        settings: Settings,
        replica: Replica,
        calls: Calls,
        check_serving: CheckServing,
        list_hosts: Callable[[], Any],
        log: Logger,
        routes: Sequence[BaseRoute] = (),
    ) -> None:
        self.settings = settings
        self.replica = replica
        self.calls = calls
        self.check_serving = check_serving
        self.list_hosts = list_hosts
        self.log = log
        self.is_leaving = False
        self.cut_event = anyio.Event()
        self.reading_scopes: set[anyio.CancelScope] = set()
        self.check_call: CheckCall = _allow_call
        self.read_service: ReadCall = edge.read_service_call
        self.app = Starlette(
            routes=[*self._routes(), *routes],
            exception_handlers={HTTPException: answer_http_error},
        )
        callers = make_callers(
            settings.max_body_bytes, settings.deadline_s, log
        )
        self.server = Server(server_config(_close_when_leaving(self), callers))
        self.finished = anyio.Event()

    async def run(self, ready: Callable[[], None]) -> None:
        """Serve until `stop` has closed all connections."""
        with bind(self.settings.listen) as bound:
            async with anyio.create_task_group() as group:
                group.start_soon(self._serve, bound)
                while not self.server.started:
                    await anyio.sleep(START_POLL_INTERVAL_S)
                ready()

    async def stop(self) -> None:
        """Drain: let running calls end, then close all connections."""
        self.is_leaving = True
        async with anyio.create_task_group() as group:
            group.start_soon(self._drain)
            await self.cut_event.wait()
            group.cancel_scope.cancel()
        with anyio.move_on_after(CLOSE_TIMEOUT_S):
            await self.finished.wait()
        count = self.server.abort_connections()
        if count:
            self.log('connections_cut', count=count)
        await self.finished.wait()

    def cut(self) -> None:
        """Reject new calls, and cut those that run or are being read."""
        self.is_leaving = True
        self.cut_event.set()
        self.server.should_exit = True
        for scope in self.reading_scopes:
            scope.cancel()
        self.calls.abort(stopping_refusal())

    @contextmanager
    def reading_scope(self) -> Iterator[None]:
        """Cancel the block when calls are cut."""
        with anyio.CancelScope() as scope:
            self.reading_scopes.add(scope)
            try:
                yield
            finally:
                self.reading_scopes.remove(scope)

    async def _drain(self) -> None:
        await anyio.sleep(self.settings.hosts_ttl_s)
        self.server.should_exit = True
        with anyio.move_on_after(self.settings.grace_s):
            await self.finished.wait()
        self.cut()

    async def _serve(self, bound: socket.socket) -> None:
        try:
            await self.server.serve([bound])
        finally:
            self.finished.set()

    def _routes(self) -> list[Route]:
        return [
            Route('/v1/hosts', self._get_hosts),
            Route('/v1/models', self._get_models),
            Route('/v1/chat/completions', self._post_chat, methods=['POST']),
            Route(
                '/v1/services/{entry}/{path:path}',
                self._call_service,
                methods=_METHODS,
            ),
            Route('/healthz', self._get_health),
            Route('/readyz', self._get_ready),
        ]

    async def _get_hosts(self, request: Request) -> Response:
        return json_answer(self.list_hosts())

    async def _get_models(self, request: Request) -> Response:
        table = self.replica.state.catalogue
        try:
            key = edge.authenticate(table, edge.read_key(request))
        except RefusedError as refused:
            return refusal_answer(refused)
        models = [
            {'id': entry.name, 'object': 'model', 'owned_by': entry.owner}
            for entry in table.entries.values()
            if entry.kind == EntryKind.model
            and (entry.open or is_approved(table, key.workspace, entry.name))
        ]
        return json_answer({'object': 'list', 'data': models})

    async def _post_chat(self, request: Request) -> Response:
        return CallAnswer(request, self, edge.read_chat_call)

    async def _call_service(self, request: Request) -> Response:
        return CallAnswer(request, self, self.read_service)

    async def _get_health(self, request: Request) -> Response:
        return json_answer({'healthy': True})

    async def _get_ready(self, request: Request) -> Response:
        try:
            self.check_serving()
        except RefusedError as refused:
            return refusal_answer(refused)
        if self.is_leaving:
            return refusal_answer(
                refuse('leaving', _STATUS_UNAVAILABLE, 'This host leaves.'),
            )
        return json_answer({'ready': True})


def stopping_refusal() -> Refusal:
    """Return the refusal of calls that are cut because the process stops."""
    return Refusal(
        'host_stopping',
        _STATUS_UNAVAILABLE,
        'This host stops now.',
        RunState.not_run,
        RETRY_SOON_S,
    )


def _close_when_leaving(web: Web) -> ASGIApp:
    """Wrap the application to close connections while the host leaves."""

    async def serve(scope: Scope, receive: Receive, send: Send) -> None:
        await web.app(
            scope, receive, close_when_stopping(send, lambda: web.is_leaving)
        )

    return serve


def _allow_call(call: Call) -> None:
    """Accept every call that the catalogue allows."""


async def answer_http_error(request: Request, error: Exception) -> Response:
    """Answer a request for an unknown path or method."""
    status = getattr(error, 'status_code', _STATUS_NOT_FOUND)
    is_path = status == _STATUS_NOT_FOUND
    path = request.url.path
    refused = refuse(
        'path_unknown' if is_path else 'method_unknown',
        status,
        f'{request.method} {path} is not served here.',
    )
    return refusal_answer(refused)


def _internal_refusal() -> Refusal:
    return Refusal(
        'internal_error',
        _STATUS_INTERNAL,
        'A fault of this program ended the call; it may have run.',
        RunState.unknown,
    )


def json_answer(body: Any, status: int = _STATUS_OK) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(body),
        status,
        media_type='application/json',
    )


def refusal_answer(refused: RefusedError) -> Response:
    """Return the response to a request that is rejected before any target."""
    reason = refused.refusal
    request_id = new_id()
    answer = Response(encode_refusal(reason, request_id), reason.status)
    answer.raw_headers.extend(refusal_headers(reason))
    answer.headers['x-request-id'] = request_id
    return answer


async def _cancel_on_disconnect(
    receive: Receive, scope: anyio.CancelScope
) -> None:
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            scope.cancel()
            return
