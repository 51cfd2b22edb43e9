"""HTTP exchanges with the platform and other processes, errors turned."""

from collections.abc import Iterator
from contextlib import contextmanager
from types import TracebackType
from typing import Any, Self, TypeVar

import httpcore
import msgspec

from .exceptions import TransportError

STATUS_OK = 200
_STATUS_ERROR = 300
_STEPS = ('connect', 'read', 'write', 'pool')
_UNSENT = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    httpcore.ConnectionNotAvailable,
    httpcore.UnsupportedProtocol,
)
_BROKEN = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
_Answer = TypeVar('_Answer')


def timeout_extension(timeout_s: float, connect_s: float = 0) -> dict[str, Any]:
    """Return httpcore's extension for a timeout of each step.

    Parameters
    ----------
    timeout_s : float
        Of each step, in seconds.
    connect_s : float
        Of the connection alone, in seconds, if it is to differ.
    """
    steps = dict.fromkeys(_STEPS, timeout_s)
    if connect_s:
        steps['connect'] = connect_s
    return {'timeout': steps}


@contextmanager
def turned_errors(what: str) -> Iterator[None]:
    """Turn the errors of httpcore into `TransportError`.

    Parameters
    ----------
    what : str
        Names the exchange in the error's message.
    """
    try:
        yield
    except _UNSENT as unsent:
        raise TransportError(f'{what}: {unsent!r}', is_sent=False) from unsent
    except _BROKEN as broken:
        raise TransportError(f'{what}: {broken!r}') from broken


class PooledClient:
    """A connection pool, closed on leaving the context.

    Attributes
    ----------
    pool : httpcore.AsyncConnectionPool
    """

    def __init__(self, max_connections: int | None = None) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=max_connections,
            max_keepalive_connections=None,
        )

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


class HttpClient(PooledClient):
    """A client that gets whole answers."""

    async def ask(
        self,
        method: str,
        url: str,
        timeout_s: float,
        content: bytes | None = None,
        headers: tuple[tuple[str, str], ...] = (),
        connect_s: float = 0,
    ) -> httpcore.Response:
        """Send a request and return the whole answer.

        Parameters
        ----------
        method, url : str
        timeout_s : float
            Of each step, in seconds.
        content : bytes or None
        headers : tuple of (str, str)
        connect_s : float
            Of the connection alone, if it is to differ.

        Raises
        ------
        TransportError
            If there was no whole answer.
        """
        with turned_errors(f'{method} {url}'):
            return await self.pool.request(
                method,
                url,
                headers=list(headers),
                content=content,
                extensions=timeout_extension(timeout_s, connect_s),
            )


def check_status(response: httpcore.Response, what: str) -> bytes:
    """Return the body of an answer that reports success.

    Raises
    ------
    TransportError
        If its status is none of success.
    """
    if not STATUS_OK <= response.status < _STATUS_ERROR:
        raise TransportError(f'{what}: status {response.status}')
    return response.content


def decode_answer(content: bytes, kind: type[_Answer]) -> _Answer:
    """Return the body of an answer as a typed message.

    Raises
    ------
    TransportError
        If it is no such message.
    """
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        raise TransportError(f'unreadable answer: {error}') from error
