"""Provides serving, faults and journals for all stand-ins."""

import contextlib
import signal
import socket
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import anyio
import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route
from starlette.types import ASGIApp, Receive, Scope, Send

STATUS_OK = 200
_BACKLOG = 1024
_ABORT_SETTLE_S = 0.02
_ABORT = 'ebonywell.abort'


@dataclass(slots=True)
class Faults:
    """Faults injected into a stand-in.

    Attributes
    ----------
    by_name : dict of str to dict
        The fields of each fault, by its name.
    """

    by_name: dict[str, dict[str, Any]] = field(default_factory=dict)

    def field(self, name: str, key: str, default: Any = None) -> Any:
        """Return a field of a fault, or the default if the fault is not set."""
        return self.by_name.get(name, {}).get(key, default)

    def is_set(self, name: str) -> bool:
        """Return whether a fault is set."""
        return name in self.by_name

    def consume(self, name: str) -> bool:
        """Decrement the count of a fault and return whether it was set.

        A fault without a count stays set until it is cleared.
        """
        fault = self.by_name.get(name)
        if fault is None:
            return False
        remaining = fault.get('count')
        if remaining is not None:
            fault['count'] = remaining - 1
            if remaining <= 1:
                self.by_name.pop(name)
        return True

    def routes(self) -> list[BaseRoute]:
        """Return the routes that set and clear faults."""
        return [
            Route('/fault', self._set, methods=['POST']),
            Route('/fault', self._clear, methods=['DELETE']),
        ]

    async def _set(self, request: Request) -> Response:
        fields = msgspec.json.decode(await request.body())
        self.by_name[fields.pop('name')] = fields
        return answer({'faults': self.by_name})

    async def _clear(self, request: Request) -> Response:
        self.by_name.clear()
        return answer({'faults': self.by_name})


class JournalLine(msgspec.Struct):
    """Request of a caller that a target received."""

    method: str
    path: str
    headers: dict[str, str]
    body: str
    received_at: float
    finished: bool = False


@dataclass(slots=True)
class Journal:
    """Requests of callers that a target received, oldest first."""

    lines: list[JournalLine] = field(default_factory=list)

    async def record(self, request: Request) -> JournalLine:
        """Record a request and return its journal line."""
        body = await request.body()
        path = request.url.path
        if request.url.query:
            path = f'{path}?{request.url.query}'
        line = JournalLine(
            request.method,
            path,
            dict(request.headers),
            body.decode('utf-8', 'replace'),
            time.time(),
        )
        self.lines.append(line)
        return line

    async def get(self, request: Request) -> Response:
        """Answer ``GET /journal``."""
        return answer(self.lines)


class AbortedResponse(Response):
    """Response that closes the connection without sending a byte."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Close the connection."""
        await abort_connection(scope)


async def abort_connection(scope: Scope) -> None:
    """Close the connection of a request, even in the middle of an answer."""
    scope[_ABORT]()
    # uvicorn notices a closed connection some event loop iterations later. If
    # the application returned earlier, uvicorn would send an answer itself.
    await anyio.sleep(_ABORT_SETTLE_S)


def with_abort(app: ASGIApp) -> ASGIApp:
    """Wrap an application so that requests can abort their connection."""

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        # uvicorn's `send` is a bound method of the object that holds the
        # transport.
        cycle: Any = getattr(send, '__self__')  # noqa: B009
        scope[_ABORT] = cycle.transport.abort
        await app(scope, receive, send)

    return wrapped


def answer(body: Any, status: int = STATUS_OK) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(body),
        status,
        media_type='application/json',
    )


def failure(status: int, code: str, message: str = '') -> Response:
    """Return an error response in the format that all protocols share."""
    return answer({'error': {'code': code, 'message': message}}, status)


def not_run(status: int, code: str) -> Response:
    """Return an error response that marks the request as not run."""
    response = failure(status, code)
    response.headers['x-not-run'] = '1'
    return response


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signal handling to `serve`."""
        yield


def bind(listen: str) -> socket.socket:
    """Return a listening socket."""
    host, _, port = listen.rpartition(':')
    # asyncio disables Nagle's algorithm only if the protocol is set explicitly.
    inet = socket.AF_INET
    bound = socket.socket(inet, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, int(port)))
    bound.listen(_BACKLOG)
    return bound


def address_of(bound: socket.socket) -> str:
    """Return the ip:port of a bound socket."""
    host, port = bound.getsockname()
    return f'{host}:{port}'


async def serve(app: Starlette, bound: socket.socket) -> None:
    """Print the address, then serve until SIGTERM or SIGINT."""
    config = uvicorn.Config(
        with_abort(app),
        loop='asyncio',
        http='httptools',
        ws='none',
        lifespan='off',
        access_log=False,
        log_config=None,
        proxy_headers=False,
        timeout_graceful_shutdown=1,
    )
    server = _Server(config)
    async with anyio.create_task_group() as group:
        group.start_soon(server.serve, [bound])
        line = msgspec.json.encode({'address': address_of(bound)})
        sys.stdout.write(f'{line.decode()}\n')
        sys.stdout.flush()
        await _wait_for_signal()
        server.should_exit = True


async def _wait_for_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        await anext(received)
