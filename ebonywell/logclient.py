"""A client of the platform's log service."""

from typing import TypeVar

import msgspec

from .exceptions import (
    LogGapError,
    LogOutageError,
    LogRefusedError,
    TransportError,
)
from .transport import STATUS_OK, HttpClient, decode_answer

APPEND_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
LONG_POLL_S = 1.0
MAX_READ_RECORDS = 500
MAX_CONNECTIONS = 4
_STATUS_EXPIRED = 410
_Answer = TypeVar('_Answer')


class StoredRecord(msgspec.Struct, frozen=True):
    """One record as the log stores it.

    Attributes
    ----------
    offset : int
    record : object
        The record as parsed JSON.
    """

    offset: int
    record: object


class Page(msgspec.Struct, frozen=True):
    """The log service's answer to a read."""

    first_offset: int
    end_offset: int
    records: tuple[StoredRecord, ...] = ()


class _Appended(msgspec.Struct, frozen=True):
    first_offset: int


class LogClient(HttpClient):
    """Connections to the log service; closed when the context is left.

    Attributes
    ----------
    url : str
        Base URL of the service, without a trailing slash.
    is_cut : bool
        Whether the link to the log is cut, as a test's fault.
    """

    def __init__(self, url: str) -> None:
        super().__init__(max_connections=MAX_CONNECTIONS)
        self.url = url
        self.is_cut = False

    async def append(self, records: list[object]) -> int:
        """Append all records or none, and return the offset of the first.

        Raises
        ------
        LogRefusedError
            If the service answered that it stored nothing.
        LogOutageError
            If there was no answer; the service may have stored the records.
        """
        answer = await self._request(
            'POST',
            '/append',
            APPEND_TIMEOUT_S,
            msgspec.json.encode({'records': records}),
        )
        return _decode(answer, _Appended).first_offset

    async def read(self, offset: int, wait_s: float = 0) -> Page:
        """Return the records from an offset on.

        Parameters
        ----------
        offset : int
        wait_s : float
            Seconds for which the service may wait for the first record.

        Raises
        ------
        LogGapError
            If records from that offset on have expired.
        LogOutageError
            If the log service cannot be read at present.
        """
        path = f'/read?offset={offset}&limit={MAX_READ_RECORDS}&wait={wait_s}'
        answer = await self._request('GET', path, READ_TIMEOUT_S + wait_s)
        return _decode(answer, Page)

    async def bounds(self) -> Page:
        """Return the first retained offset and the next one to be assigned."""
        answer = await self._request('GET', '/bounds', READ_TIMEOUT_S)
        return _decode(answer, Page)

    async def _request(
        self,
        method: str,
        path: str,
        timeout_s: float,
        content: bytes | None = None,
    ) -> bytes:
        if self.is_cut:
            raise LogOutageError('the link to the log is cut', is_sent=False)
        try:
            response = await self.request(
                method,
                f'{self.url}{path}',
                timeout_s,
                content,
            )
        except TransportError as error:
            raise LogOutageError(str(error), error.is_sent) from error
        if response.status == _STATUS_EXPIRED:
            raise LogGapError(_decode(response.content, Page).first_offset)
        if response.status != STATUS_OK:
            raise LogRefusedError(f'{method} {path}: status {response.status}')
        return response.content


def _decode(content: bytes, kind: type[_Answer]) -> _Answer:
    try:
        return decode_answer(content, kind)
    except TransportError as error:
        raise LogOutageError(str(error)) from error
