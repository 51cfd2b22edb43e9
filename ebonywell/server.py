"""HTTP server of an entry process: socket, configuration and shutdown."""

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterator, MutableMapping
from dataclasses import replace
from typing import Any, cast

import anyio
import uvicorn

from .answers import describe_rejection
from .callerconnection import connection_factory
from .callers import DEFAULT_LIMITS, Callers
from .exceptions import SettingsError
from .logs import Logger
from .misc import split_address

BACKLOG = 2048
# Longer than callers keep idle connections, so that a caller's next request
# does not race with the closing of its connection.
KEEP_ALIVE_S = 75
# uvicorn's own limit on idle connections, above any that `Callers` applies.
MAX_KEEP_ALIVE_S = 86_400
# Period at which a server that shuts down closes its idle connections.
IDLE_CLOSE_INTERVAL_S = 0.05
# Callers' time is checked once in so many ticks of the server, of 0.1 s each.
CHECK_TICKS = 3
_CLOSE = (b'connection', b'close')

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]


class Server(uvicorn.Server):
    """Variant of uvicorn's server that leaves signals to the entry process.

    Attributes
    ----------
    config : ServerConfig
    """

    config: 'ServerConfig'

    async def on_tick(self, counter: int) -> bool:
        """Check the callers' time; return whether to shut down."""
        if counter % CHECK_TICKS == 0:
            self._check_callers()
        return await super().on_tick(counter)

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
            self._check_callers()
            for connection in tuple(self.server_state.connections):
                connection.shutdown()

    def _check_callers(self) -> None:
        self.config.callers.check(asyncio.get_running_loop().time())


class ServerConfig(uvicorn.Config):
    """uvicorn's configuration, with connections that are bounded together.

    Attributes
    ----------
    callers : Callers
    """

    def __init__(
        self, app: Callable[..., Any], callers: Callers, **options: Any
    ) -> None:
        super().__init__(
            app,
            loop='asyncio',
            http=cast(Any, connection_factory(callers)),
            timeout_keep_alive=MAX_KEEP_ALIVE_S,
            ws='none',
            lifespan='off',
            access_log=False,
            log_config=None,
            server_header=False,
            **options,
        )
        self.callers = callers


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


def make_callers(
    max_body_bytes: int, body_timeout_s: float, log: Logger
) -> Callers:
    """Return the bounds for the connections of callers.

    Parameters
    ----------
    max_body_bytes : int
        Largest body of a request.
    body_timeout_s : float
        Longest time that a body may take, in seconds.
    log : Logger
    """
    limits = replace(
        DEFAULT_LIMITS,
        max_body_bytes=max_body_bytes,
        body_timeout_s=body_timeout_s,
        idle_timeout_s=KEEP_ALIVE_S,
    )
    return Callers(limits=lambda: limits, describe=describe_rejection, log=log)


def server_config(
    app: Callable[..., Any], callers: Callers | None = None
) -> ServerConfig:
    """Return the configuration of the server for an application."""
    return ServerConfig(app, callers or Callers(), log_level='error')
