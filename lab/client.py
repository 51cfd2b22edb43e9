"""A small HTTP client for the demo, the load tool and the tests."""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from types import MappingProxyType
from typing import Any

import httpcore
import msgspec

from ebonywell.transport import PooledClient

TIMEOUT_S = 30.0
_NO_HEADERS: Mapping[str, str] = MappingProxyType({})
_FAILURES = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class ClientError(Exception):
    """The complete answer was not received, or is not valid JSON."""


class Answer(msgspec.Struct, frozen=True):
    """A complete answer.

    Attributes
    ----------
    status : int
    headers : dict of str to str
        Header values by name in lower case.
    body : bytes
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the parsed JSON body.

        Raises
        ------
        ClientError
            If the body is not valid JSON.
        """
        try:
            return msgspec.json.decode(self.body)
        except msgspec.DecodeError as error:
            raise ClientError(
                f'body is not valid JSON: {self.body[:200]!r}'
            ) from error


class Stream(msgspec.Struct):
    """An answer whose body is received in chunks."""

    status: int
    headers: dict[str, str]
    response: Any

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body.

        Raises
        ------
        ClientError
            If the connection fails before the body is complete.
        """
        try:
            async for chunk in self.response.aiter_stream():
                yield chunk
        except _FAILURES as error:
            raise ClientError(repr(error)) from error


class Client(PooledClient):
    """Pooled HTTP client, whose connections close when the context exits.

    Attributes
    ----------
    timeout_s : float
        The time-out of each connect, read and write, in seconds.
    """

    def __init__(self, timeout_s: float = TIMEOUT_S) -> None:
        super().__init__()
        self.timeout_s = timeout_s

    async def ask(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] = _NO_HEADERS,
        body: Any = None,
    ) -> Answer:
        """Send a request and return the complete answer.

        Parameters
        ----------
        method : str
        url : str
        headers : mapping of str to str
        body : bytes or object
            An object is sent as JSON, bytes as they are. None sends no body.

        Raises
        ------
        ClientError
            If the complete answer was not received.
        """
        async with self.stream(method, url, headers, body) as stream:
            parts = [part async for part in stream.chunks()]
            return Answer(stream.status, stream.headers, b''.join(parts))

    @asynccontextmanager
    async def stream(
        self,
        method: str,
        url: str,
        headers: Mapping[str, str] = _NO_HEADERS,
        body: Any = None,
    ) -> AsyncIterator[Stream]:
        """Send a request and yield its answer as a stream.

        Raises
        ------
        ClientError
            If no answer was received.
        """
        manager = self.pool.stream(
            method,
            url,
            headers=list(headers.items()),
            content=_encode(body),
            extensions={'timeout': _timeouts(self.timeout_s)},
        )
        try:
            response = await manager.__aenter__()
        except _FAILURES as error:
            raise ClientError(f'{method} {url}: {error!r}') from error
        try:
            yield Stream(response.status, _read_headers(response), response)
        finally:
            await manager.__aexit__(None, None, None)


def bearer(key: str) -> dict[str, str]:
    """Return the authorization header for an API key."""
    return {'authorization': f'Bearer {key}'}


def _encode(body: Any) -> bytes | None:
    if body is None or isinstance(body, bytes):
        return body
    return msgspec.json.encode(body)


def _timeouts(timeout_s: float) -> dict[str, float]:
    return dict.fromkeys(('connect', 'read', 'write', 'pool'), timeout_s)


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in response.headers
    }
