"""The HTTP server of an entry process: its socket and how it serves."""

import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from typing import Any

import anyio
import uvicorn

from .exceptions import SettingsError
from .misc import split_address

BACKLOG = 2048
# Longer than callers keep idle connections, so that a caller's next request
# does not meet the closing of its connection.
KEEP_ALIVE_S = 75
# Between two looks at which connections of a closing server are idle.
IDLE_CLOSE_INTERVAL_S = 0.05
_CLOSE = (b'connection', b'close')

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class Server(uvicorn.Server):
    """uvicorn's server without handlers of its own for signals."""

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Close the sockets, then each connection once it is idle.

        uvicorn tells connections only once, and misses those accepted just
        before, so that a caller that sends nothing on one holds up the stop.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._close_idle_connections)
            await super().shutdown(sockets)
            group.cancel_scope.cancel()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the process's signals to the entry process."""
        yield

    def abort_connections(self) -> int:
        """Cut the connections that are still open, and say how many."""
        connections = list(self.server_state.connections)
        for connection in connections:
            connection.transport.abort()
        return len(connections)

    async def _close_idle_connections(self) -> None:
        while True:
            await anyio.sleep(IDLE_CLOSE_INTERVAL_S)
            for connection in tuple(self.server_state.connections):
                connection.shutdown()


def close_when_stopping(send: Send, is_stopping: Callable[[], bool]) -> Send:
    """Return what sends the same; an answer begun in a stop is the last.

    Whether the host stops is asked when the answer begins, not when its request
    came.
    """

    async def send_closing(message: Message) -> None:
        if message['type'] == 'http.response.start' and is_stopping():
            message['headers'] = [*message['headers'], _CLOSE]
        await send(message)

    return send_closing


def bind(address: str) -> socket.socket:
    """Return a listening socket.

    Raises
    ------
    SettingsError
        If the address cannot be used.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # asyncio turns Nagle's algorithm off only where the protocol is named;
    # with it on, every answer in two writes waits for a delayed ACK.
    bound = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        bound.bind((host, port))
    except OSError as error:
        bound.close()
        raise SettingsError(f'--listen {address}: {error}') from error
    bound.listen(BACKLOG)
    return bound


def server_config(app: Callable[..., Any]) -> uvicorn.Config:
    """Return how an application is served."""
    return uvicorn.Config(
        app,
        loop='asyncio',
        http='httptools',
        timeout_keep_alive=KEEP_ALIVE_S,
        ws='none',
        lifespan='off',
        access_log=False,
        log_config=None,
        log_level='error',
        server_header=False,
    )
