"""Stand-in for the platform's log service."""

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import cyclopts
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .standin_common import (
    AbortedResponse,
    Faults,
    answer,
    bind,
    failure,
    serve,
)

app = cyclopts.App()
_GONE = 410
_TOO_MANY_REQUESTS = 429
_UNAVAILABLE = 503


@dataclass(slots=True)
class StoredRecord:
    """Record with the time at which it was stored."""

    kept_at: float
    record: Any


@dataclass(slots=True)
class LogService:
    """Append-only log with limited retention and append rate.

    Attributes
    ----------
    retention_s : float
        How long a record is kept, in seconds.
    appends_a_second : float
        The rate and the burst of the token bucket that limits appends.
    first_offset : int
        The offset of the oldest record that is kept.
    kept : list of StoredRecord
    changed : Event
        Set and replaced at every append.
    allowance : float
        The tokens in the bucket; one append takes one token.
    allowed_at : float
        When the allowance was last refilled.
    appends : int
        The number of accepted appends.
    """

    retention_s: float
    appends_a_second: float
    first_offset: int = 0
    kept: list[StoredRecord] = field(default_factory=list)
    faults: Faults = field(default_factory=Faults)
    changed: anyio.Event = field(default_factory=anyio.Event)
    allowance: float = 0
    allowed_at: float = field(default_factory=time.monotonic)
    appends: int = 0

    @property
    def end_offset(self) -> int:
        """The offset of the next record."""
        return self.first_offset + len(self.kept)

    def expire(self) -> None:
        """Drop the records that are older than the retention time."""
        oldest = time.monotonic() - self.retention_s
        before = self.faults.field('expire', 'before', 0)
        self.faults.by_name.pop('expire', None)
        while self.kept and (
            self.kept[0].kept_at < oldest or self.first_offset < before
        ):
            self.kept.pop(0)
            self.first_offset += 1

    async def append(self, request: Request) -> Response:
        """Answer ``POST /append``."""
        records = msgspec.json.decode(await request.body())['records']
        await anyio.sleep(self.faults.field('slow', 'seconds', 0))
        if self.faults.is_set('outage'):
            return failure(_UNAVAILABLE, 'outage')
        if not self._consume_token():
            return failure(_TOO_MANY_REQUESTS, 'too_fast')
        first = self.end_offset
        now = time.monotonic()
        self.kept.extend(StoredRecord(now, record) for record in records)
        self.appends += 1
        self.changed.set()
        self.changed = anyio.Event()
        if self.faults.consume('lose_reply'):
            return AbortedResponse()
        return answer({'first_offset': first})

    async def read(self, request: Request) -> Response:
        """Answer ``GET /read``."""
        offset = int(request.query_params['offset'])
        limit = int(request.query_params.get('limit', '500'))
        wait_s = float(request.query_params.get('wait', '0'))
        await anyio.sleep(self.faults.field('slow', 'seconds', 0))
        with anyio.move_on_after(wait_s):
            while offset >= self.end_offset and not self._is_down():
                await self.changed.wait()
        if self._is_down():
            return failure(_UNAVAILABLE, 'outage')
        self.expire()
        if offset < self.first_offset:
            return answer(
                {
                    'error': {'code': 'expired', 'message': ''},
                    'first_offset': self.first_offset,
                    'end_offset': self.end_offset,
                },
                _GONE,
            )
        start = offset - self.first_offset
        page = [
            {'offset': offset + index, 'record': kept.record}
            for index, kept in enumerate(self.kept[start : start + limit])
        ]
        return self._answer_page(page)

    async def bounds(self, request: Request) -> Response:
        """Answer ``GET /bounds``."""
        if self._is_down():
            return failure(_UNAVAILABLE, 'outage')
        self.expire()
        return self._answer_page([])

    def _answer_page(self, page: list[Any]) -> Response:
        return answer(
            {
                'first_offset': self.first_offset,
                'end_offset': self.end_offset,
                'records': page,
                'appends': self.appends,
            }
        )

    def _is_down(self) -> bool:
        return self.faults.is_set('outage')

    def _consume_token(self) -> bool:
        now = time.monotonic()
        refilled = (now - self.allowed_at) * self.appends_a_second
        self.allowed_at = now
        self.allowance = min(self.appends_a_second, self.allowance + refilled)
        if self.allowance < 1:
            return False
        self.allowance -= 1
        return True


@app.default
def main(
    *,
    listen: str = '127.0.0.1:0',
    retention_s: float = 3600,
    appends_a_second: float = 400,
) -> None:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    listen
        The ip:port to listen on.
    retention_s
        How long a record is kept, in seconds.
    appends_a_second
        The maximum number of appends per second.
    """
    anyio.run(_run, listen, retention_s, appends_a_second)


async def _run(listen: str, retention_s: float, rate: float) -> None:
    service = LogService(retention_s, rate, allowance=rate)
    routes = [
        Route('/append', service.append, methods=['POST']),
        Route('/read', service.read),
        Route('/bounds', service.bounds),
        *service.faults.routes(),
    ]
    await serve(Starlette(routes=routes), bind(listen))


if __name__ == '__main__':
    app()
