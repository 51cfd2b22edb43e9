"""HTTP exchanges with targets, each with exclusive use of a connection."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import httpcore

from .exceptions import TargetBrokenError, TargetUnreachableError
from .framing.statuses import is_final

CONNECT_TIMEOUT_S = 1.0
# Targets echo it, which tells their answer from a late one to an earlier
# request.
REQUEST_ID = b'x-request-id'
KEEPALIVE_S = 2.0

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class OutgoingRequest:
    """A request in the form in which it is sent to a target.

    Attributes
    ----------
    method : str
    path : str
        The path and query, starting with a slash.
    headers : list of (bytes, bytes)
        The headers, which never contain a caller's key.
    body : bytes
    timeout_s : float
        Time-out of each read and write, in seconds.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    timeout_s: float

    @property
    def request_id(self) -> bytes:
        """Id that the target has to echo; empty if it was given none."""
        return _find_header(self.headers, REQUEST_ID)


@dataclass(slots=True)
class Exchange:
    """The answer of a target while it is being received.

    Attributes
    ----------
    status : int
    headers : list of (bytes, bytes)
    response : httpcore.Response
    """

    status: int
    headers: Headers
    response: httpcore.Response = field(repr=False)

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it is received.

        Raises
        ------
        TargetBrokenError
            If the body is incomplete or a read times out.
        """
        try:
            async for chunk in self.response.aiter_stream():
                yield chunk
        except (httpcore.NetworkError, httpcore.ProtocolError) as broken:
            raise TargetBrokenError(repr(broken)) from broken
        except httpcore.TimeoutException as late:
            raise TargetBrokenError(repr(late)) from late

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, empty if it is missing."""
        return _find_header(self.headers, name)


@dataclass(slots=True)
class _SendTracker:
    """Tracks whether bytes of a request may have reached the target."""

    is_sent: bool = False

    async def watch(self, event: str, _: object) -> None:
        """Handle an event of httpcore's trace extension."""
        if event.endswith('send_request_headers.started'):
            self.is_sent = True


class Dispatcher:
    """Sends requests to targets over pooled connections.

    The connections are closed when the context ends.

    Attributes
    ----------
    pool : httpcore.AsyncConnectionPool
        A connection whose answer was not read to its end is closed and never
        returned to the pool.
    """

    def __init__(self) -> None:
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=None,
            keepalive_expiry=KEEPALIVE_S,
            retries=0,
        )

    async def __aenter__(self) -> 'Dispatcher':
        await self.pool.__aenter__()
        return self

    async def __aexit__(self, *failure: object) -> None:
        await self.pool.aclose()

    @asynccontextmanager
    async def exchange(
        self,
        address: str,
        outgoing: OutgoingRequest,
    ) -> AsyncIterator[Exchange]:
        """Send a request and yield its answer while it is being received.

        Parameters
        ----------
        address : str
            The target's IP address and port, as ip:port.
        outgoing : OutgoingRequest

        Yields
        ------
        Exchange

        Raises
        ------
        TargetUnreachableError
            If no byte of the request was sent to the target.
        TargetBrokenError
            If the exchange broke after that, or if the answer has a status that
            is none or does not name this request.
        """
        progress = _SendTracker()
        manager = self.pool.stream(
            outgoing.method,
            f'http://{address}{outgoing.path}',
            headers=outgoing.headers,
            content=outgoing.body,
            extensions={
                'timeout': {
                    'connect': min(CONNECT_TIMEOUT_S, outgoing.timeout_s),
                    'read': outgoing.timeout_s,
                    'write': outgoing.timeout_s,
                    'pool': outgoing.timeout_s,
                },
                'trace': progress.watch,
            },
        )
        try:
            response = await manager.__aenter__()
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            message = f'{address}: {error!r}'
            if progress.is_sent:
                raise TargetBrokenError(message) from error
            raise TargetUnreachableError(message) from error
        try:
            answer = Exchange(response.status, response.headers, response)
            _check_answer(answer, address, outgoing)
            yield answer
        finally:
            await manager.__aexit__(None, None, None)


def _check_answer(
    answer: Exchange, address: str, outgoing: OutgoingRequest
) -> None:
    """Check that an answer has a status, and belongs to a request.

    Raises
    ------
    TargetBrokenError
        If that is not so.
    """
    if not is_final(answer.status):
        raise TargetBrokenError(f'{address}: status {answer.status}')
    if answer.header(REQUEST_ID) != outgoing.request_id:
        raise TargetBrokenError(f'{address}: answer to another request')


def _find_header(headers: Headers, name: bytes) -> bytes:
    for key, value in headers:
        if key.lower() == name:
            return value
    return b''
