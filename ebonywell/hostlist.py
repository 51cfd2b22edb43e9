"""Keeps this process's own line in the platform's host list."""

from types import TracebackType
from typing import Self

import httpcore
import msgspec

from .exceptions import PeerError
from .targets import ListedHost

TIMEOUT_S = 1.0
_STATUS_OK = 200
_STATUS_ERROR = 300


class HostListClient:
    """A connection pool to the host list, closed on leaving the context.

    Attributes
    ----------
    url : str
    pool : httpcore.AsyncConnectionPool
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.pool = httpcore.AsyncConnectionPool(max_connections=1)

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

    async def put(self, host: ListedHost) -> None:
        """Add or change a host's line.

        Raises
        ------
        PeerError
            If the host list did not take it.
        """
        await self._ask('PUT', host.name, msgspec.json.encode(host))

    async def delete(self, name: str) -> None:
        """Remove a host's line.

        Raises
        ------
        PeerError
            If the host list did not take it.
        """
        await self._ask('DELETE', name, b'')

    async def _ask(self, method: str, name: str, content: bytes) -> None:
        timeout = dict.fromkeys(
            ('connect', 'read', 'write', 'pool'),
            TIMEOUT_S,
        )
        url = f'{self.url}/hosts/{name}'
        try:
            response = await self.pool.request(
                method,
                url,
                content=content,
                extensions={'timeout': timeout},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as broken:
            raise PeerError(f'{method} {url}: {broken!r}') from broken
        except httpcore.TimeoutException as late:
            raise PeerError(f'{method} {url}: {late!r}') from late
        if not _STATUS_OK <= response.status < _STATUS_ERROR:
            raise PeerError(f'{method} {url}: status {response.status}')
