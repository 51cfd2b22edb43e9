"""HTTP client of the operators' commands for one or all entry processes."""

from collections.abc import Sequence
from typing import TypeVar

import anyio
import msgspec

from . import opmessages
from .changes import CatalogueRecord
from .exceptions import (
    ConflictError,
    EbonywellError,
    NotReachableError,
    OperatorError,
    OutcomeUnknownError,
    TransportError,
)
from .timeline import Event, merge
from .transport import STATUS_OK, HttpAnswer, HttpClient
from .types import RunState

TIMEOUT_S = 6.0
CONNECT_TIMEOUT_S = 2.0
MAX_CONNECTIONS = 64
_STATUS_CONFLICT = 409
_SCHEMES = ('http://', 'https://')
_STATUS_UNAVAILABLE = 503
_View = TypeVar('_View')


class HostsView(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/hosts``: host addresses by availability zone."""

    zones: dict[str, tuple[str, ...]] = {}


class OperatorClient(HttpClient):
    """Client for entry processes; leaving its context closes the connections.

    Attributes
    ----------
    urls : list of str
        URLs of the entry processes, without a trailing slash.
    token : str
        Operator token.
    """

    def __init__(self, urls: Sequence[str], token: str) -> None:
        super().__init__(max_connections=MAX_CONNECTIONS)
        self.urls = [url.rstrip('/') for url in urls]
        self.token = token

    async def fetch(
        self,
        path: str,
        answer_type: type[_View],
        method: str = 'GET',
    ) -> _View:
        """Return the answer of the first process that can be reached.

        The request must be safe to repeat at another process.

        Raises
        ------
        OperatorError
            If a process rejects the request, or none can be reached.
        """
        reasons: list[str] = []
        for url in self.urls:
            try:
                return await self.fetch_from(url, path, answer_type, method)
            except NotReachableError as error:
                reasons.append(str(error))
        raise NotReachableError('; '.join(reasons))

    async def fetch_from(
        self,
        url: str,
        path: str,
        answer_type: type[_View],
        method: str = 'GET',
    ) -> _View:
        """Return the answer of one process.

        Raises
        ------
        OperatorError
            If the process rejects the request or cannot be reached.
        """
        try:
            content = await self._request(url, method, path)
        except OutcomeUnknownError as error:
            raise NotReachableError(str(error)) from error
        return _decode(url, content, answer_type)

    async def send_change(self, record: CatalogueRecord) -> int:
        """Send a change to one process after another until one accepts it.

        A process reports a change that is already in force as accepted, so
        it is safe to resend a change after a lost answer.

        Returns
        -------
        int
            Revision that the change created.

        Raises
        ------
        ConflictError
            If the change replaces a revision that is not the current one.
        OutcomeUnknownError
            If no process confirmed the change, but it may take effect.
        NotReachableError
            If no process received the change, so that it has no effect.
        OperatorError
            If a process rejects the change.
        """
        reasons: list[str] = []
        is_unknown = False
        for url in self.urls:
            try:
                return await self.send_change_to(url, record)
            except OutcomeUnknownError as error:
                is_unknown = True
                reasons.append(str(error))
            except NotReachableError as unreached:
                reasons.append(str(unreached))
        failure = OutcomeUnknownError if is_unknown else NotReachableError
        raise failure('; '.join(reasons))

    async def send_change_to(self, url: str, record: CatalogueRecord) -> int:
        """Send a change to one process; see `send_change` for the errors."""
        path = f'{opmessages.PREFIX}/changes'
        encoded = msgspec.json.encode(record)
        content = await self._request(url, 'POST', path, encoded)
        return _decode(url, content, opmessages.ChangeAccepted).revision

    async def send_change_to_all(
        self,
        record: CatalogueRecord,
    ) -> dict[str, int | EbonywellError]:
        """Send a change to all processes at once.

        Returns
        -------
        dict of str to int or EbonywellError
            The change's revision, or the error, by URL.
        """
        outcomes: dict[str, int | EbonywellError] = {}

        async def send(url: str) -> None:
            try:
                outcomes[url] = await self.send_change_to(url, record)
            except (OperatorError, ConflictError) as error:
                outcomes[url] = error

        async with anyio.create_task_group() as group:
            for each in self.urls:
                group.start_soon(send, each)
        return outcomes

    async def discover_hosts(self) -> None:
        """Extend `urls` with the hosts that ``GET /v1/hosts`` lists."""
        hosts = await self.fetch('/v1/hosts', HostsView)
        for addresses in hosts.zones.values():
            listed = (f'http://{address}' for address in addresses)
            self.urls.extend(url for url in listed if url not in self.urls)

    async def fetch_timeline(
        self,
        query: str,
    ) -> tuple[list[Event], dict[str, OperatorError]]:
        """Return the events of all processes, sorted by time.

        Parameters
        ----------
        query : str
            URL-encoded fields of an `EventFilter`.

        Returns
        -------
        list of Event
        dict of str to OperatorError
            Errors of the processes that did not answer, by URL.
        """
        parts: list[tuple[Event, ...]] = []
        missing: dict[str, OperatorError] = {}
        path = f'{opmessages.PREFIX}/timeline?{query}'

        async def collect(url: str) -> None:
            try:
                view = await self.fetch_from(
                    url,
                    path,
                    opmessages.TimelineView,
                )
            except OperatorError as error:
                missing[url] = error
            else:
                parts.append(view.events)

        async with anyio.create_task_group() as group:
            for each in self.urls:
                group.start_soon(collect, each)
        return merge(parts), missing

    async def _request(
        self,
        url: str,
        method: str,
        path: str,
        content: bytes | None = None,
    ) -> bytes:
        if not url.startswith(_SCHEMES):
            raise OperatorError(f'{url} is not an http URL')
        try:
            response = await self.request(
                method,
                url + path,
                TIMEOUT_S,
                content,
                (('authorization', f'Bearer {self.token}'),),
                CONNECT_TIMEOUT_S,
            )
        except TransportError as error:
            failure = (
                OutcomeUnknownError if error.is_sent else NotReachableError
            )
            raise failure(str(error)) from error
        if response.status != STATUS_OK:
            raise _read_failure(url, response)
        return response.content


def _read_failure(url: str, response: HttpAnswer) -> Exception:
    try:
        answer = msgspec.json.decode(
            response.content,
            type=opmessages.FailureAnswer,
        )
    except msgspec.MsgspecError:
        return OperatorError(f'{url}: status {response.status}')
    message = answer.error.message
    text = f'{url}: {message}'
    if response.status == _STATUS_CONFLICT:
        return ConflictError(text)
    if answer.error.run_state == RunState.unknown:
        return OutcomeUnknownError(text)
    if response.status == _STATUS_UNAVAILABLE:
        return NotReachableError(text)
    return OperatorError(text)


def _decode(url: str, content: bytes, answer_type: type[_View]) -> _View:
    try:
        return msgspec.json.decode(content, type=answer_type)
    except msgspec.MsgspecError as error:
        raise OperatorError(f'{url}: unreadable answer: {error}') from error
