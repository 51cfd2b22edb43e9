"""HTTP client for the platform and other processes, with its own errors."""

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from types import TracebackType
from typing import Any, Self, TypeVar
from urllib.parse import urlsplit

import anyio
import httpcore
import msgspec

from .clock import boot_time
from .exceptions import TransportError

STATUS_OK = 200
# Connections to a server without requests for this long are closed when the
# first request to another server is sent.
POOL_IDLE_TIMEOUT_S = 30.0
_FIRST_ERROR_STATUS = 300
_TIMEOUT_STEPS = ('connect', 'read', 'write', 'pool')
_NOT_SENT_ERRORS = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.ConnectionNotAvailable,
    httpcore.UnsupportedProtocol,
)
_EXCHANGE_ERRORS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)
# The largest legitimate answer is a page of the store's records of about a
# megabyte; faulty servers may send an endless body.
MAX_CONTENT_BYTES = 16_777_216
_Answer = TypeVar('_Answer')


def timeout_extension(timeout_s: float, connect_s: float = 0) -> dict[str, Any]:
    """Return httpcore's request extension for time-outs.

    Parameters
    ----------
    timeout_s : float
        Time-out of each step, in seconds.
    connect_s : float
        Time-out of the connection attempt in seconds; 0 for `timeout_s`.
    """
    steps = dict.fromkeys(_TIMEOUT_STEPS, timeout_s)
    if connect_s:
        steps['connect'] = connect_s
    return {'timeout': steps}


@contextmanager
def translated_errors(what: str) -> Iterator[None]:
    """Translate the errors of httpcore into `TransportError`.

    Parameters
    ----------
    what : str
        Description of the exchange for the error message.
    """
    try:
        yield
    except _NOT_SENT_ERRORS as unsent:
        raise TransportError(f'{what}: {unsent!r}', is_sent=False) from unsent
    except _EXCHANGE_ERRORS as broken:
        raise TransportError(f'{what}: {broken!r}') from broken


@dataclass(slots=True, frozen=True)
class HttpAnswer:
    """An HTTP answer whose body has been read completely."""

    status: int
    content: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def get(self, name: bytes) -> bytes | None:
        """Return the content of a header, None if it is absent."""
        for found, content in self.headers:
            if found.lower() == name:
                return content
        return None


class PooledClient:
    """A connection pool, closed on leaving the context.

    Attributes
    ----------
    pool : httpcore.AsyncConnectionPool
    """

    def __init__(
        self,
        max_connections: int | None = None,
        max_idle_s: float | None = None,
    ) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=None,
            keepalive_expiry=max_idle_s,
        )

    async def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in self.pool.connections:
            if connection.is_idle():
                await connection.aclose()

    async def __aenter__(self) -> Self:
        await self.pool.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.pool.__aexit__(kind, error, trace)


@dataclass(slots=True)
class ServerPool:
    """Connection pool for one server.

    Attributes
    ----------
    client : PooledClient
    used_at : float
        Start of the most recent request, in seconds.
    """

    client: PooledClient
    used_at: float


class HttpClient:
    """An HTTP client that reads complete answers.

    Each server has a pool of its own, since the work of httpcore's pool at the
    beginning and end of each request grows with the square of the number of its
    connections.

    Attributes
    ----------
    max_connections : int or None
        Maximum number of connections to each server.
    max_idle_s : float or None
        Time in seconds after which an idle connection is not used again.
    pools : dict of str to ServerPool
        Pools by ip:port of the server.
    """

    def __init__(
        self,
        max_connections: int | None = None,
        max_idle_s: float | None = None,
    ) -> None:
        self.max_connections = max_connections
        self.max_idle_s = max_idle_s
        self.pools: dict[str, ServerPool] = {}

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._close_unused(math.inf)

    async def request(
        self,
        method: str,
        url: str,
        timeout_s: float,
        content: bytes | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        connect_s: float = 0,
    ) -> HttpAnswer:
        """Send a request and return the complete answer.

        Parameters
        ----------
        method, url : str
        timeout_s : float
            Time-out of the answer once the connection is open, in seconds.
        content : bytes or None
        headers : tuple of (str, str)
        connect_s : float
            Time-out of the connection attempt in seconds; 0 for `timeout_s`.

        Raises
        ------
        TransportError
            If no complete answer was received, or it exceeds the size limit.
        """
        return await send_request(
            await self._pool_of(url),
            method,
            url,
            content,
            headers,
            timeout_s,
            connect_s,
        )

    async def close_idle(self, url: str) -> None:
        """Close idle connections to a server that stopped answering.

        They may be as dead as the one on which the answer did not come.
        """
        known = self.pools.get(urlsplit(url).netloc)
        if known is not None:
            await known.client.close_idle()

    async def _pool_of(self, url: str) -> httpcore.AsyncConnectionPool:
        now = boot_time()
        server = urlsplit(url).netloc
        known = self.pools.get(server)
        if known is None:
            await self._close_unused(now - POOL_IDLE_TIMEOUT_S)
            # A concurrent request may have added the pool in the meantime.
            client = PooledClient(self.max_connections, self.max_idle_s)
            known = self.pools.setdefault(server, ServerPool(client, now))
        known.used_at = now
        return known.client.pool

    async def _close_unused(self, unused_since: float) -> None:
        for server, known in list(self.pools.items()):
            if known.used_at < unused_since:
                self.pools.pop(server)
                await known.client.pool.aclose()


async def send_request(
    sender: httpcore.AsyncConnectionPool | httpcore.AsyncHTTPConnection,
    method: str,
    url: str,
    content: bytes | None,
    headers: tuple[tuple[str, str], ...],
    timeout_s: float,
    connect_s: float = 0,
) -> HttpAnswer:
    """Send a request over a connection or pool; see `HttpClient.request`."""
    what = f'{method} {url}'
    with translated_errors(what):
        # httpcore's time-out applies to each read separately, so a body without
        # end would never exceed it. This one limits the whole exchange.
        with anyio.fail_after((connect_s or timeout_s) + timeout_s):
            async with sender.stream(
                method,
                url,
                headers=list(headers),
                content=content,
                extensions=timeout_extension(timeout_s, connect_s),
            ) as response:
                return HttpAnswer(
                    response.status,
                    await _read_content(response, what),
                    tuple(response.headers),
                )


async def _read_content(response: httpcore.Response, what: str) -> bytes:
    content = bytearray()
    async for part in response.aiter_stream():
        content += part
        if len(content) > MAX_CONTENT_BYTES:
            raise TransportError(f'{what}: answer too long')
    return bytes(content)


def check_status(response: HttpAnswer, what: str) -> bytes:
    """Return the body of an answer with a success status.

    Raises
    ------
    TransportError
        If the status is not 2xx.
    """
    if not STATUS_OK <= response.status < _FIRST_ERROR_STATUS:
        raise TransportError(f'{what}: status {response.status}')
    return response.content


def decode_answer(content: bytes, kind: type[_Answer]) -> _Answer:
    """Decode the JSON body of an answer as a typed message.

    Raises
    ------
    TransportError
        If the body does not match the type.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise TransportError(f'unreadable answer: {error}') from error
