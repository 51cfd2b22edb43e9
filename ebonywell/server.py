"""HTTP server of an entry process: socket, configuration and shutdown."""

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
# does not race with the closing of its connection.
KEEP_ALIVE_S = 75
# Period at which a server that shuts down closes its idle connections.
IDLE_CLOSE_INTERVAL_S = 0.05
_CLOSE = (b'connection', b'close')

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class Server(uvicorn.Server):
    """Variant of uvicorn's server that leaves signals to the entry process."""

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Close the sockets, then each connection once it is idle.

        uvicorn shuts down connections only once and misses those accepted just
        before, so a caller that sends nothing on such a connection would delay
        the stop.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._close_idle_connections)
            await super().shutdown(sockets)
            group.cancel_scope.cancel()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield

    def abort_connections(self) -> int:
        """Abort all open connections and return their number."""
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
    """Wrap a send function to close the connection if the host is stopping.

    The header ``connection: close`` is added to answers that start during a
    stop. The check is made when the answer starts, not when its request is
    received.
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
    # asyncio disables Nagle's algorithm only if the socket's protocol is given
    # explicitly. With the algorithm on, each answer that takes two writes waits
    # for a delayed ACK.
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
    """Return the uvicorn configuration for an application."""
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
