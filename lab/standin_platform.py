"""Stands in for the store of the users' platform, as its pages describe it."""

import base64
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
from anyio.abc import SocketStream

from .standin_http import HttpRequest, Reply, serve_http

MAX_WAIT_MS = 30_000
MS_PER_S = 1000


@dataclass
class PlatformStore:
    """Topics of keyed records, with faults that tests can switch on.

    Attributes
    ----------
    records : dict
        Keys and values by topic and partition; the offset is the index.
    is_down : bool
        Whether all calls are answered with 503.
    is_silent : bool
        Whether calls are read and never answered.
    delay_s : float
        Pause before each answer.
    append_gap_s : float
        Pause before each byte of the answer to an append; 0 sends it at once.
    calls : int
        Calls that were received so far.
    era : int
        How often it has come back from an older copy of itself.
    changed : anyio.Event
        Set when records are added, and then replaced.
    """

    records: dict[tuple[str, int], list[tuple[str, bytes | None]]] = field(
        default_factory=dict,
    )
    is_down: bool = False
    is_silent: bool = False
    delay_s: float = 0
    append_gap_s: float = 0
    calls: int = 0
    era: int = 0
    changed: anyio.Event = field(default_factory=anyio.Event)

    async def answer_call(self, request: HttpRequest) -> Reply | None:
        """Answer one call, or return None to leave it without an answer."""
        self.calls += 1
        await anyio.sleep(self.delay_s)
        if self.is_silent:
            return None
        reply = Reply(503) if self.is_down else await self._serve(request)
        reply.headers['Store-Era'] = str(self.era)
        return None if self.is_silent else reply

    def copy_records(self) -> dict[tuple[str, int], int]:
        """Return the ends of all partitions, to roll back to."""
        return {key: len(records) for key, records in self.records.items()}

    def roll_back(self, copy: dict[tuple[str, int], int]) -> None:
        """Lose what hosts have written since a copy was made.

        What the operator and the replicas wrote since is written again.
        """
        self.era += 1
        for (topic, part), records in self.records.items():
            if not topic.startswith('keyed.'):
                del records[copy.get((topic, part), 0) :]
        self._notify_readers()

    def put(self, topic: str, key: str, value: Any) -> None:
        """Append a record, as the operator or a replica would."""
        body = None if value is None else json.dumps(value).encode()
        self.records.setdefault((topic, 0), []).append((key, body))
        self._notify_readers()

    def newest(self, partition: tuple[str, int]) -> Reply:
        """Return the newest record of each key."""
        records = self.records.get(partition, [])
        newest = {
            key: (value, offset) for offset, (key, value) in enumerate(records)
        }
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (value, offset) in newest.items()
            if value is not None
        ]
        return Reply.json(
            {'items': items, 'hasMore': False, 'end': len(records)},
        )

    async def read(
        self, partition: tuple[str, int], query: dict[str, str]
    ) -> Reply:
        """Return encoded records; wait until there are any, or time out."""
        start = int(query['from'])
        if start > len(self.records.get(partition, [])):
            return Reply(410)
        wait_ms = min(int(query.get('waitMs', '0')), MAX_WAIT_MS)
        with anyio.move_on_after(wait_ms / MS_PER_S):
            while len(self.records.get(partition, [])) <= start:
                await self.changed.wait()
        if self.is_down:
            return Reply(503)
        records = self.records.get(partition, [])
        encoded = b''.join(
            _encode_record(*record) for record in records[start:]
        )
        head = len(records).to_bytes(8, 'big') + bytes(8)
        return Reply(200, head + encoded)

    def append(
        self,
        partition: tuple[str, int],
        query: dict[str, str],
        body: bytes,
    ) -> Reply:
        """Append records, only at the expected offset if the query has one."""
        records = self.records.setdefault(partition, [])
        end = len(records)
        if 'at' in query and int(query['at']) != end:
            return Reply.json({'end': end}, 412)
        records.extend(_decode_records(body))
        self._notify_readers()
        done = Reply.json({'offset': end, 'end': len(records)})
        if self.append_gap_s:
            single_bytes = tuple(bytes((one,)) for one in done.body)
            return Reply(200, events=single_bytes, gap_s=self.append_gap_s)
        return done

    async def _serve(self, request: HttpRequest) -> Reply:
        parts = urlsplit(request.path)
        query = {
            name: values[0] for name, values in parse_qs(parts.query).items()
        }
        partition = (query.get('topic', ''), int(query.get('part', '0')))
        match parts.path:
            case '/log-newest':
                return self.newest(partition)
            case '/log-read':
                return await self.read(partition, query)
            case '/log-append':
                return self.append(partition, query, request.body)
        return Reply(404)

    def _notify_readers(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()


async def serve_store(store: PlatformStore, stream: SocketStream) -> None:
    """Serve one connection to the store."""
    await serve_http(stream, store.answer_call)


def _encode_record(key: str, value: bytes | None) -> bytes:
    content = bytes((len(key),)) + key.encode() + (value or b'')
    return len(content).to_bytes(4, 'big') + content


def _decode_records(body: bytes) -> list[tuple[str, bytes | None]]:
    records = []
    position = 0
    while position < len(body):
        size = int.from_bytes(body[position : position + 4], 'big')
        record = body[position + 4 : position + 4 + size]
        split = 1 + record[0]
        records.append((record[1:split].decode(), record[split:] or None))
        position += 4 + size
    return records
