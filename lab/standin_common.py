"""What the stand-ins share: serving, faults and journals."""

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
    """The faults that a stand-in was told to show.

    Attributes
    ----------
    by_name : dict of str to dict
        The fields of each fault.
    """

    by_name: dict[str, dict[str, Any]] = field(default_factory=dict)

    def field(self, name: str, key: str, default: Any = None) -> Any:
        """Return a field of a fault, or the default without the fault."""
        return self.by_name.get(name, {}).get(key, default)

    def is_set(self, name: str) -> bool:
        """Return whether a fault is set."""
        return name in self.by_name

    def consume(self, name: str) -> bool:
        """Use a fault up by one, and say whether it was there.

        A fault without a count is there until it is cleared.
        """
        fault = self.by_name.get(name)
        if fault is None:
            return False
        left = fault.get('count')
        if left is not None:
            fault['count'] = left - 1
            if left <= 1:
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
    """A caller's request that a target received."""

    method: str
    path: str
    headers: dict[str, str]
    body: str
    received_at: float
    finished: bool = False


@dataclass(slots=True)
class Journal:
    """The callers' requests that a target received, oldest first."""

    lines: list[JournalLine] = field(default_factory=list)

    async def record(self, request: Request) -> JournalLine:
        """Add a request and return its line."""
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
    """No answer: the connection is closed before a byte of one is sent."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Close the connection."""
        await abort_connection(scope)


async def abort_connection(scope: Scope) -> None:
    """Close the connection of a request, whatever of an answer was sent."""
    scope[_ABORT]()
    # uvicorn learns of a closed connection some turns of the loop later, and
    # would answer in the place of an application that ends before that.
    await anyio.sleep(_ABORT_SETTLE_S)


def with_abort(app: ASGIApp) -> ASGIApp:
    """Return an application whose requests can close their connection."""

    async def wrapped(scope: Scope, receive: Receive, send: Send) -> None:
        # uvicorn's `send` is a method of the object that has the transport.
        cycle: Any = getattr(send, '__self__')  # noqa: B009
        scope[_ABORT] = cycle.transport.abort
        await app(scope, receive, send)

    return wrapped


def answer(body: Any, status: int = STATUS_OK) -> Response:
    """Return a JSON answer."""
    return Response(
        msgspec.json.encode(body),
        status,
        media_type='application/json',
    )


def failure(status: int, code: str, message: str = '') -> Response:
    """Return an error in the form of all protocols."""
    return answer({'error': {'code': code, 'message': message}}, status)


def not_run(status: int, code: str) -> Response:
    """Return an error which says truly that the request has not run."""
    refused = failure(status, code)
    refused.headers['x-not-run'] = '1'
    return refused


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave signals to `serve`."""
        yield


def bind(listen: str) -> socket.socket:
    """Return a listening socket."""
    host, _, port = listen.rpartition(':')
    # The protocol is named so that asyncio turns Nagle's algorithm off.
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
    """Serve until SIGTERM or SIGINT; print the address first."""
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
