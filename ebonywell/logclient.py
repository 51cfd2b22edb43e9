"""A client of the platform's log service."""

from types import TracebackType
from typing import Self, TypeVar

import httpcore
import msgspec

from .exceptions import LogGapError, LogOutageError, LogRefusedError

APPEND_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 3.0
LONG_POLL_S = 1.0
READ_LIMIT = 500
_STATUS_EXPIRED = 410
_STATUS_OK = 200
_Answer = TypeVar('_Answer')


class Stored(msgspec.Struct, frozen=True):
    """One record as the log holds it.

    Attributes
    ----------
    offset : int
    record : object
        Parsed JSON.
    """

    offset: int
    record: object


class Page(msgspec.Struct, frozen=True):
    """An answer of the log service to a read."""

    first_offset: int
    end_offset: int
    records: tuple[Stored, ...] = ()


class _Appended(msgspec.Struct, frozen=True):
    first_offset: int


class LogClient:
    """One connection pool to the log service, closed on leaving the context.

    Attributes
    ----------
    url : str
        Without a slash at its end.
    pool : httpcore.AsyncConnectionPool
    """

    def __init__(self, url: str) -> None:
        self.url = url
        self.pool = httpcore.AsyncConnectionPool(max_connections=4, retries=0)

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

    async def append(self, records: list[object]) -> int:
        """Append records, all or none, and return the first one's offset.

        Raises
        ------
        LogRefusedError
            If the service answered that it kept nothing.
        LogOutageError
            If there was no answer; the records may still have been kept.
        """
        answer = await self._ask(
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
            How long the service may wait for the first record, in seconds.

        Raises
        ------
        LogGapError
            If records from that offset on have expired.
        LogOutageError
            If the log service cannot be read now.
        """
        path = f'/read?offset={offset}&limit={READ_LIMIT}&wait={wait_s}'
        answer = await self._ask('GET', path, READ_TIMEOUT_S + wait_s)
        return _decode(answer, Page)

    async def bounds(self) -> Page:
        """Return the first retained offset and the next one to be given."""
        answer = await self._ask('GET', '/bounds', READ_TIMEOUT_S)
        return _decode(answer, Page)

    async def _ask(
        self,
        method: str,
        path: str,
        timeout_s: float,
        content: bytes | None = None,
    ) -> bytes:
        timeout = {
            'connect': timeout_s,
            'read': timeout_s,
            'write': timeout_s,
            'pool': timeout_s,
        }
        try:
            response = await self.pool.request(
                method,
                self.url + path,
                content=content,
                extensions={'timeout': timeout},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError) as broken:
            raise LogOutageError(f'{method} {path}: {broken!r}') from broken
        except httpcore.TimeoutException as late:
            raise LogOutageError(f'{method} {path}: {late!r}') from late
        if response.status == _STATUS_EXPIRED:
            raise LogGapError(_decode(response.content, Page).first_offset)
        if response.status != _STATUS_OK:
            raise LogRefusedError(f'{method} {path}: status {response.status}')
        return response.content


def _decode(content: bytes, kind: type[_Answer]) -> _Answer:
    try:
        return msgspec.json.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        raise LogOutageError(f'unreadable answer: {error}') from error
