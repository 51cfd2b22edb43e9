"""Client of the platform's store."""

import base64
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec

from ..exceptions import (
    ConflictError,
    LogGapError,
    LogOutageError,
    LogRefusedError,
    TransportError,
)
from ..sharedstore import Appended, KeyedRecord, StorePage
from ..transport import HttpAnswer, HttpClient, decode_answer
from . import headers

# The store answers within 4 ms when healthy, and within fifty times that when
# slow; a call that takes longer than this is on a dead connection.
CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# A connection that was idle for longer may have died unnoticed.
MAX_IDLE_S = 2.0
# The platform limits the wait of a long-polling read to 30 s.
MAX_WAIT_S = 30.0
_MS_PER_S = 1000
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_PAGE_HEAD_BYTES = 2 * _OFFSET_BYTES
_OK = 200
_GONE = 410
_CONFLICT = 412
_REJECTED_STATUSES = frozenset((429, 503, 507))


class _Item(msgspec.Struct, rename='camel'):
    key: str
    offset: int
    # Base64; absent if the key was deleted.
    value: str = ''


class _Newest(msgspec.Struct, rename='camel'):
    items: tuple[_Item, ...] = ()
    has_more: bool = False
    end: int = 0


class _Accepted(msgspec.Struct, rename='camel'):
    offset: int


class _Gone(msgspec.Struct, rename='camel'):
    first: int = 0


class StoreCall(NamedTuple):
    """A kind of call to the store.

    Attributes
    ----------
    call : str
        What was asked: to read, to append, or for the newest records.
    partition : str
        Topic and number of the partition.
    outcome : str
        ``done``, ``empty`` for a read that found no record, ``no_answer``, or
        the status of an error.
    """

    call: str
    partition: str
    outcome: str


class StoreClient:
    """Client of the platform's store; implements `SharedStore`.

    Attributes
    ----------
    url : str
    client : HttpClient
        Opened and closed by its owner.
    calls : Counter of StoreCall
        Number of calls of each kind since the start.
    """

    def __init__(self, address: str, client: HttpClient) -> None:
        self.url = f'http://{address}'
        self.client = client
        self.calls: Counter[StoreCall] = Counter()

    async def read_newest(self, topic: str, part: int) -> StorePage:
        """Return the newest record of each key.

        The pages of the answer are not a consistent snapshot, so the next read
        continues at the end of the partition as of the first page.
        """
        records: list[KeyedRecord] = []
        first_end: int | None = None
        era = 0
        after: dict[str, str] = {}
        while True:
            query = {'topic': topic, 'part': part, **after}
            answer = await self._request('GET', '/log-newest', query)
            page = _decode(answer, _Newest)
            if first_end is None:
                first_end = page.end
                era = _era_of(answer)
            if _era_of(answer) != era:
                raise LogOutageError('log-newest: pages of two eras')
            records.extend(_translate_item(one) for one in page.items)
            if not page.has_more or not page.items:
                return StorePage(tuple(records), first_end, era=era)
            after = {'after': page.items[-1].key}

    async def read_since(
        self,
        topic: str,
        part: int,
        offset: int,
        wait_s: float,
    ) -> StorePage:
        """Return the records from an offset on.

        Waits up to `wait_s` seconds for a record if there is none yet.
        """
        query: dict[str, Any] = {'topic': topic, 'part': part, 'from': offset}
        if wait_s:
            query['waitMs'] = int(min(wait_s, MAX_WAIT_S) * _MS_PER_S)
        answer = await self._request('GET', '/log-read', query, wait_s)
        body = answer.content
        if len(body) < _PAGE_HEAD_BYTES:
            raise LogOutageError(
                f'log-read: truncated answer of {len(body)} bytes'
            )
        records = tuple(
            _translate_record(record, offset + index)
            for index, record in enumerate(_split_records(body))
        )
        next_offset = offset + len(records)
        end = int.from_bytes(body[:_OFFSET_BYTES], 'big')
        return StorePage(
            records, next_offset, next_offset >= end, _era_of(answer)
        )

    async def append(
        self,
        topic: str,
        part: int,
        records: Sequence[tuple[str, bytes | None]],
        at: int | None = None,
    ) -> Appended:
        """Append keyed records and return where."""
        query: dict[str, Any] = {'topic': topic, 'part': part}
        if at is not None:
            query['at'] = at
        framed = b''.join(_frame(key, value) for key, value in records)
        answer = await self._request('POST', '/log-append', query, 0, framed)
        accepted: _Accepted = _decode(answer, _Accepted)
        return Appended(accepted.offset, _era_of(answer))

    async def _request(
        self,
        method: str,
        path: str,
        query: dict[str, Any],
        wait_s: float = 0,
        content: bytes | None = None,
    ) -> HttpAnswer:
        url = '?'.join((self.url + path, urlencode(query)))
        try:
            answer = await self.client.request(
                method,
                url,
                CALL_TIMEOUT_S + wait_s,
                content,
                connect_s=CONNECT_TIMEOUT_S,
            )
        except TransportError as error:
            self._count(path, query, 'no_answer')
            if error.is_sent:
                await self.client.close_idle(url)
                raise LogOutageError(str(error)) from error
            raise LogRefusedError(str(error)) from error
        self._count(path, query, _outcome(path, answer))
        _raise_for_status(answer, path)
        return answer

    def _count(self, path: str, query: dict[str, Any], outcome: str) -> None:
        call = path.removeprefix('/log-')
        partition = f'{query["topic"]}/{query["part"]}'
        self.calls[StoreCall(call, partition, outcome)] += 1


def _outcome(path: str, answer: HttpAnswer) -> str:
    """Return the kind of an answer, for the count of calls."""
    if answer.status != _OK:
        return str(answer.status)
    if path == '/log-read' and len(answer.content) <= _PAGE_HEAD_BYTES:
        return 'empty'
    return 'done'


def _era_of(answer: HttpAnswer) -> int:
    stated = answer.get(headers.STORE_ERA) or b'0'
    try:
        return int(stated)
    except ValueError as error:
        raise LogOutageError(f'unreadable era: {stated!r}') from error


def _decode(answer: HttpAnswer, kind: type[Any]) -> Any:
    try:
        return decode_answer(answer.content, kind)
    except TransportError as error:
        raise LogOutageError(str(error)) from error


def _raise_for_status(answer: HttpAnswer, path: str) -> None:
    status = answer.status
    if status == _OK:
        return
    if status in _REJECTED_STATUSES:
        raise LogRefusedError(f'{path}: status {status}')
    if status == _GONE:
        raise LogGapError(_decode(answer, _Gone).first)
    if status == _CONFLICT:
        raise ConflictError(
            f'{path}: partition has grown past the expected offset'
        )
    raise LogOutageError(f'{path}: status {status}')


def _translate_item(item: _Item) -> KeyedRecord:
    decoded = base64.b64decode(item.value) if item.value else None
    return KeyedRecord(item.key, decoded, item.offset)


def _split_records(body: bytes) -> Iterator[bytes]:
    position = _PAGE_HEAD_BYTES
    while position + _LENGTH_BYTES <= len(body):
        start = position + _LENGTH_BYTES
        size = int.from_bytes(body[position:start], 'big')
        position = start + size
        if position > len(body):
            return
        yield body[start:position]


def _translate_record(record: bytes, offset: int) -> KeyedRecord:
    size = record[0] + 1 if record else 1
    key = record[1:size].decode('utf-8', 'replace')
    return KeyedRecord(key, record[size:] or None, offset)


def _frame(key: str, value: bytes | None) -> bytes:
    encoded = key.encode()
    content = bytes((len(encoded),)) + encoded + (value or b'')
    return len(content).to_bytes(_LENGTH_BYTES, 'big') + content
