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
    """There was no whole answer."""


class Answer(msgspec.Struct, frozen=True):
    """A whole answer.

    Attributes
    ----------
    status : int
    headers : dict of str to str
        Names in lower case.
    body : bytes
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body, parsed.

        Raises
        ------
        ClientError
            If it is not JSON.
        """
        try:
            return msgspec.json.decode(self.body)
        except msgspec.DecodeError as error:
            raise ClientError(f'no JSON: {self.body[:200]!r}') from error


class Stream(msgspec.Struct):
    """An answer that arrives in parts."""

    status: int
    headers: dict[str, str]
    response: Any

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body.

        Raises
        ------
        ClientError
            If the body ends before its end.
        """
        try:
            async for chunk in self.response.aiter_stream():
                yield chunk
        except _FAILURES as error:
            raise ClientError(repr(error)) from error


class Client(PooledClient):
    """Connections to any number of addresses, closed on leaving the context.

    Attributes
    ----------
    timeout_s : float
        For each connect, read and write, in seconds.
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
        """Send a request and return the whole answer.

        Parameters
        ----------
        method : str
        url : str
        headers : mapping of str to str
        body : bytes or object
            Sent as JSON unless it is bytes or None.

        Raises
        ------
        ClientError
            If there was no whole answer.
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
        """Send a request and give its answer while it arrives.

        Raises
        ------
        ClientError
            If there was no answer.
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
    """Return the header that carries a key."""
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
