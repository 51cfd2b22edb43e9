"""Callers of a day: they ask a directory and call hosts at random moments.

Some open a connection for each request. Others keep one until its host ends
it, and of these some never look at the directory again while it lasts.
"""

import functools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
import msgspec

from .platform_caller import Answer, Caller, request_once
from .platform_daystate import (
    LONG_ROUTE,
    LONG_ROUTE_TIMEOUT_S,
    ROUTE_TIMEOUT_S,
    SECOND_KEY,
    Day,
)
from .platform_history import Call
from .platform_world import API_KEY, Host, events_of
from .standin_replica import (
    EVENT_COUNT_HEADER,
    EVENT_INTERVAL_HEADER,
    WORK_HEADER,
)

RECONNECTING_CALLERS = 8
CALLS_PER_S = 2.5
KEEP_ALIVE_CALLERS = 32
IGNORES_DIRECTORY_SHARE = 0.5
SHORT_PAUSE_SHARE = 0.25
# Between two requests on a kept connection.
MEAN_PAUSE_S = 0.6
MEAN_SHORT_PAUSE_S = 0.05
LONG_PAUSE_RANGE_S = (1.0, 7.0)
LONG_PAUSE_SHARE = 0.3
STREAM_TOKENS = 120
PLAIN_TOKENS = 10
STREAM_EVENTS = 5
LONG_STREAM_EVENTS_RANGE = (6, 40)
LONG_STREAM_RANGE_S = (0.3, 6.5)
WORK_RANGE_S = (0.005, 0.1)
LONG_WORK_RANGE_S = (0.5, 3.0)
LONG_WORK_SHARE = 0.1
BODY = b'body'
UPLOAD_RANGE_S = (0.2, 3.0)
UPLOAD_SHARE = 0.08
# A caller that has no answer so long after its deadline has left.
LEAVE_MARGIN_S = 1.0
EARLY_LEAVE_S = 0.03
EARLY_LEAVE_SHARE = 0.04
DIRECTORY_TIMEOUT_S = 1.0
DIRECTORY_ATTEMPTS = 3
# How many times the directory's own time its answer is kept.
TTL_FACTOR_RANGE = (1, 3)
ROUTES = (
    ('look', True),
    ('book', False),
    ('open', True),
    ('chat', False),
    ('batch', True),
    (LONG_ROUTE, False),
)
API_KEYS = (API_KEY, API_KEY, API_KEY, SECOND_KEY)
STREAM_ROUTES = frozenset(('chat', 'batch', LONG_ROUTE))
MODELS = ('m1', 'm2', 'm3', 'm4')
_OK = 200
_CLOSE = 'close'


@dataclass(slots=True, frozen=True)
class PlannedRequest:
    """A request that is about to be sent.

    Attributes
    ----------
    request_id, kind, key : str
    is_repeatable : bool
    event_count : int
        Of the stream that it asks for; 0 for none.
    limit_s : float
    leave_after_s : float
        After which its caller leaves.
    upload_time_s : float
        Before its last byte is sent.
    headers : dict of str to str
    """

    request_id: str
    route: str
    key: str
    is_repeatable: bool
    event_count: int
    limit_s: float
    leave_after_s: float
    upload_time_s: float
    headers: dict[str, str]

    @property
    def path(self) -> str:
        """The path that it is sent to."""
        return f'/{self.route}/{self.request_id}'


@dataclass(slots=True, eq=False)
class Client:
    """A client and what it knows of the hosts.

    Attributes
    ----------
    day : Day
    rng : random.Random
    addresses : list of str
        Of the hosts' sockets, without those that failed.
    addresses_expire_at : float
        When the directory is to be asked again.
    """

    day: Day
    rng: random.Random
    addresses: list[str] = field(default_factory=list)
    addresses_expire_at: float = 0

    async def find_hosts(self) -> list[str]:
        """Return addresses, from the directory if the last ones are old."""
        if time.monotonic() < self.addresses_expire_at and self.addresses:
            return self.addresses
        hosts = list(self.day.world.hosts.values())
        self.rng.shuffle(hosts)
        for host in hosts[:DIRECTORY_ATTEMPTS]:
            with anyio.move_on_after(DIRECTORY_TIMEOUT_S):
                if await self._query_directory(host):
                    break
        return self.addresses

    async def connect(self) -> tuple[Host, Caller] | None:
        """Connect to one of the hosts; None if that failed."""
        addresses = await self.find_hosts()
        if not addresses:
            return None
        address = self.rng.choice(addresses)
        port = int(address.rpartition(':')[2])
        try:
            caller = await Caller.open(port)
        except OSError:
            self.addresses = [one for one in addresses if one != address]
            return None
        return self.day.world.hosts_by_port[port], caller

    async def _query_directory(self, host: Host) -> bool:
        path = '/resolution?name=app.example&region=r&zone=z1'
        try:
            answer = await request_once(host.directory_port, 'GET', path, {})
        except (OSError, anyio.BrokenResourceError):
            return False
        if answer.status != _OK or not answer.is_whole:
            return False
        found = msgspec.json.decode(answer.body)
        self.addresses = found['addresses']
        kept_s = found['ttlS'] * self.rng.uniform(*TTL_FACTOR_RANGE)
        self.addresses_expire_at = time.monotonic() + kept_s
        return bool(self.addresses)


def draw_request(day: Day, rng: random.Random) -> PlannedRequest:
    """Draw the next request."""
    day.call_count += 1
    kind, is_repeatable = rng.choice(ROUTES)
    headers = {}
    event_count = 0
    if kind in STREAM_ROUTES:
        event_count = STREAM_EVENTS
        headers['Model'] = rng.choice(MODELS)
        headers['Token-Count'] = f'{STREAM_TOKENS - 20},20'
    else:
        is_long = rng.random() < LONG_WORK_SHARE
        work_s = rng.uniform(*(LONG_WORK_RANGE_S if is_long else WORK_RANGE_S))
        headers[WORK_HEADER] = f'{work_s:.3f}'
    limit_s = ROUTE_TIMEOUT_S
    if kind == LONG_ROUTE:
        limit_s = LONG_ROUTE_TIMEOUT_S
        event_count = rng.randint(*LONG_STREAM_EVENTS_RANGE)
        gap_s = rng.uniform(*LONG_STREAM_RANGE_S) / event_count
        headers[EVENT_COUNT_HEADER] = str(event_count)
        headers[EVENT_INTERVAL_HEADER] = f'{gap_s:.4f}'
    is_slow = rng.random() < UPLOAD_SHARE
    is_leaving = rng.random() < EARLY_LEAVE_SHARE
    return PlannedRequest(
        f'call-{day.call_count}',
        kind,
        '' if kind == 'open' else rng.choice(API_KEYS),
        is_repeatable,
        event_count,
        limit_s,
        EARLY_LEAVE_S if is_leaving else limit_s + LEAVE_MARGIN_S,
        rng.uniform(*UPLOAD_RANGE_S) if is_slow else 0,
        headers,
    )


async def send_request(
    day: Day,
    planned: PlannedRequest,
    host: Host,
    caller: Caller,
) -> bool:
    """Send a request, note what came of it, tell if its caller goes on."""
    headers: dict[str, Any] = {
        'Host': 'app.example',
        'Request-Id': planned.request_id,
        'Deadline-Ms': f'{planned.limit_s * 1000:.0f}',
        **planned.headers,
    }
    if planned.key:
        headers['Authorization'] = f'Bearer {planned.key}'
    caller.before_end = None
    if planned.upload_time_s:
        caller.before_end = functools.partial(
            anyio.sleep, planned.upload_time_s
        )
    answer = Answer(0, {}, b'', is_whole=False)
    is_kept = caller.request_count > 0
    sent_at = time.monotonic()
    left_at: float | None = time.monotonic()
    with anyio.move_on_after(planned.leave_after_s):
        answer = await caller.ask('POST', planned.path, headers, BODY)
        left_at = None
    span = (sent_at, time.monotonic())
    call = replace(
        _make_call(planned, host, answer, span),
        left_at=left_at,
        reuses_connection=is_kept,
        fully_sent_at=caller.fully_sent_at,
        is_reset=caller.is_reset,
    )
    day.history.calls.append(call)
    if not call.status or not call.is_whole:
        return False
    return answer.headers.get('connection', '').lower() != _CLOSE


def _make_call(
    planned: PlannedRequest,
    host: Host,
    answer: Answer,
    span: tuple[float, float],
) -> Call:
    is_stream = planned.event_count > 0
    return Call(
        planned.request_id,
        planned.path,
        planned.key,
        host.name,
        planned.is_repeatable,
        STREAM_TOKENS if is_stream else PLAIN_TOKENS,
        *span,
        answer.status,
        answer.headers.get('response-seal', ''),
        answer.headers.get('request-id', ''),
        answer.body,
        tuple(events_of(answer.body)) if is_stream else (),
        is_stream and answer.status == _OK,
        answer.is_whole,
        limit_s=planned.limit_s,
        event_count=planned.event_count,
    )


async def call_on_new_connections(day: Day, rng: random.Random) -> None:
    """Send requests on new connections until the day ends."""
    client = Client(day, rng)

    async def call_once() -> None:
        found = await client.connect()
        if found is None:
            return
        host, caller = found
        try:
            await send_request(day, draw_request(day, rng), host, caller)
        finally:
            await caller.close()

    while not day.is_over:
        day.group.start_soon(call_once)
        await anyio.sleep(rng.expovariate(CALLS_PER_S))


async def call_on_kept_connection(day: Day, rng: random.Random) -> None:
    """Send one request after the other on a connection that is kept."""
    client = Client(day, rng)
    is_stubborn = rng.random() < IGNORES_DIRECTORY_SHARE
    pause = _make_pause(rng)
    while not day.is_over:
        await anyio.sleep(pause())
        found = await client.connect()
        if found is None:
            continue
        host, caller = found
        try:
            while await send_request(day, draw_request(day, rng), host, caller):
                await anyio.sleep(pause())
                if day.is_over or await caller.is_closed():
                    break
                address = f'127.0.0.1:{host.front}'
                if not is_stubborn and address not in await client.find_hosts():
                    break
        finally:
            await caller.close()


def _make_pause(rng: random.Random) -> Callable[[], float]:
    is_eager = rng.random() < SHORT_PAUSE_SHARE

    def pause() -> float:
        if is_eager:
            return rng.expovariate(1 / MEAN_SHORT_PAUSE_S)
        if rng.random() < LONG_PAUSE_SHARE:
            return rng.uniform(*LONG_PAUSE_RANGE_S)
        return rng.expovariate(1 / MEAN_PAUSE_S)

    return pause


def start_callers(day: Day, seed: int) -> None:
    """Start all callers of a day."""
    for number in range(RECONNECTING_CALLERS):
        rng = random.Random(f'{seed} new {number}')
        day.group.start_soon(call_on_new_connections, day, rng)
    for number in range(KEEP_ALIVE_CALLERS):
        rng = random.Random(f'{seed} kept {number}')
        day.group.start_soon(call_on_kept_connection, day, rng)
