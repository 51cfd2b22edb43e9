"""One exchange with a target, which owns its connection."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import httpcore

from .exceptions import TargetBrokenError, TargetUnreachableError

CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 2.0

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class OutgoingRequest:
    """A request as a target gets it.

    Attributes
    ----------
    method : str
    path : str
        With the query, starting with a slash.
    headers : list of (bytes, bytes)
        Never with a caller's key.
    body : bytes
    timeout_s : float
        For each read and write, in seconds.
    """

    method: str
    path: str
    headers: Headers
    body: bytes
    timeout_s: float


@dataclass(slots=True)
class Exchange:
    """The answer of a target while it arrives.

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
        """Yield the body as it arrives.

        Raises
        ------
        TargetBrokenError
            If the body ends before its end.
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
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b''


@dataclass(slots=True)
class _SendTracker:
    """Whether bytes of a request may have been handed to the target."""

    is_sent: bool = False

    async def watch(self, event: str, _: object) -> None:
        """Note an event of httpcore's trace extension."""
        if event.endswith('send_request_headers.started'):
            self.is_sent = True


class Dispatcher:
    """The connections to all targets, closed on leaving the context.

    Attributes
    ----------
    pool : httpcore.AsyncConnectionPool
        A connection that was given up in the middle of an answer is closed,
        never put back.
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
        """Send a request and give its answer while it arrives.

        Parameters
        ----------
        address : str
            The target's ip:port.
        outgoing : OutgoingRequest

        Yields
        ------
        Exchange

        Raises
        ------
        TargetUnreachableError
            If no byte was handed to the target.
        TargetBrokenError
            If it broke off after that.
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
            broken = f'{address}: {error!r}'
            if progress.is_sent:
                raise TargetBrokenError(broken) from error
            raise TargetUnreachableError(broken) from error
        try:
            yield Exchange(response.status, response.headers, response)
        finally:
            await manager.__aexit__(None, None, None)
