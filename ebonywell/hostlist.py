"""Maintains the line of this process in the platform's host list."""

from types import TracebackType
from typing import Self

import anyio
import msgspec

from .exceptions import PeerError, TransportError
from .logs import Logger
from .targets import ListedHost
from .transport import HttpClient, check_status
from .types import HostState

REQUEST_TIMEOUT_S = 1.0
ROLE = 'entry'
PUT_RETRY_S = 1.0


class HostListClient(HttpClient):
    """HTTP client of the host list, closed on leaving the context.

    Attributes
    ----------
    url : str
    """

    def __init__(self, url: str) -> None:
        super().__init__(max_connections=1)
        self.url = url

    async def put(self, host: ListedHost) -> None:
        """Add or replace the line of a host.

        Raises
        ------
        PeerError
            If the host list did not accept the change.
        """
        await self._request('PUT', host.name, msgspec.json.encode(host))

    async def delete(self, name: str) -> None:
        """Remove the line of a host.

        Raises
        ------
        PeerError
            If the host list did not accept the change.
        """
        await self._request('DELETE', name, b'')

    async def _request(self, method: str, name: str, content: bytes) -> None:
        url = f'{self.url}/hosts/{name}'
        try:
            response = await self.request(
                method, url, REQUEST_TIMEOUT_S, content
            )
            check_status(response, f'{method} {url}')
        except TransportError as error:
            raise PeerError(str(error)) from error


class HostLine:
    """Line of this process in the host list, and the client that it owns.

    Attributes
    ----------
    host : ListedHost
    client : HostListClient
    """

    def __init__(
        self,
        host: ListedHost,
        client: HostListClient,
        log: Logger,
    ) -> None:
        self.host = host
        self.client = client
        self.log = log

    async def __aenter__(self) -> Self:
        await self.client.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.client.__aexit__(kind, error, trace)

    async def publish(self, peer_address: str) -> None:
        """Put the line into the list, retrying until it succeeds."""
        self.host = msgspec.structs.replace(
            self.host, peer_address=peer_address
        )
        while not await self._put():
            await anyio.sleep(PUT_RETRY_S)

    async def mark_leaving(self) -> None:
        """Mark this host as leaving, without a retry if the list fails."""
        self.host = msgspec.structs.replace(self.host, state=HostState.leaving)
        await self._put()

    async def remove(self) -> None:
        """Remove the line from the list, without a retry if the list fails."""
        try:
            await self.client.delete(self.host.name)
        except PeerError as error:
            self.log('host_list_unwritable', reason=str(error))

    async def _put(self) -> bool:
        try:
            await self.client.put(self.host)
        except PeerError as error:
            self.log('host_list_unwritable', reason=str(error))
            return False
        return True
