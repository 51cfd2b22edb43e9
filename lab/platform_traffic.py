"""Callers of a day: they query a directory and send requests at random times.

Some open a connection for each request. Others keep a connection until its
host closes it; some of these don't query the directory again while it lasts.
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
from .platform_checks import RESUMABLE_PATH
from .platform_daystate import (
    LONG_ROUTE,
    LONG_ROUTE_TIMEOUT_S,
    ROUTE_TIMEOUT_S,
    SECOND_KEY,
    Day,
)
from .platform_history import Call
from .platform_world import API_KEY, Host, events_of, releases_of
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
# Pauses between two requests on a kept connection.
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
# A caller leaves if it has no whole answer this long after its deadline.
LEAVE_MARGIN_S = 1.0
EARLY_LEAVE_S = 0.03
EARLY_LEAVE_SHARE = 0.04
DIRECTORY_TIMEOUT_S = 1.0
DIRECTORY_ATTEMPTS = 3
# Callers use the directory's answer for a multiple of its time to live.
TTL_FACTOR_RANGE = (1, 3)
# Routes, and whether their requests may be repeated.
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
# Times that a caller resumes a stream that breaks off.
MAX_RESUMPTIONS = 3
_OK = 200
_CLOSE = 'close'


@dataclass(slots=True, frozen=True)
class PlannedRequest:
    """A request that has not been sent yet.

    Attributes
    ----------
    request_id, route, key : str
    is_repeatable : bool
    event_count : int
        Events of the requested stream; 0 if it requests no stream.
    limit_s : float
    leave_after_s : float
        How long its caller waits for the whole answer.
    upload_time_s : float
        Pause before the last byte of its body is sent.
    headers : dict of str to str
    resumes : str
        Id of the request that began the stream; empty for a new request.
    resumed_after : int
        Number of the last event that its caller has.
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
    resumes: str = ''
    resumed_after: int = 0

    @property
    def path(self) -> str:
        """The path of the request."""
        return f'/{self.route}/{self.request_id}'


@dataclass(slots=True, eq=False)
class Client:
    """A client and the host addresses that it knows.

    Attributes
    ----------
    day : Day
    rng : random.Random
    addresses : list of str
        The hosts' addresses, without those that refused a connection.
    addresses_expire_at : float
        When the directory is queried again.
    """

    day: Day
    rng: random.Random
    addresses: list[str] = field(default_factory=list)
    addresses_expire_at: float = 0

    async def find_hosts(self) -> list[str]:
        """Return host addresses; queries the directory if they have expired."""
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
        """Connect to a random host; return None if that failed."""
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
        resolution = msgspec.json.decode(answer.body)
        self.addresses = resolution['addresses']
        ttl_s = resolution['ttlS'] * self.rng.uniform(*TTL_FACTOR_RANGE)
        self.addresses_expire_at = time.monotonic() + ttl_s
        return bool(self.addresses)


def draw_request(day: Day, rng: random.Random) -> PlannedRequest:
    """Return the next request, with a random route and properties."""
    day.call_count += 1
    route, is_repeatable = rng.choice(ROUTES)
    headers = {}
    event_count = 0
    if route in STREAM_ROUTES:
        event_count = STREAM_EVENTS
        headers['Model'] = rng.choice(MODELS)
        headers['Token-Count'] = f'{STREAM_TOKENS - 20},20'
    else:
        is_long = rng.random() < LONG_WORK_SHARE
        work_s = rng.uniform(*(LONG_WORK_RANGE_S if is_long else WORK_RANGE_S))
        headers[WORK_HEADER] = f'{work_s:.3f}'
    limit_s = ROUTE_TIMEOUT_S
    if route == LONG_ROUTE:
        limit_s = LONG_ROUTE_TIMEOUT_S
        event_count = rng.randint(*LONG_STREAM_EVENTS_RANGE)
        gap_s = rng.uniform(*LONG_STREAM_RANGE_S) / event_count
        headers[EVENT_COUNT_HEADER] = str(event_count)
        headers[EVENT_INTERVAL_HEADER] = f'{gap_s:.4f}'
    is_slow_upload = rng.random() < UPLOAD_SHARE
    leaves_early = rng.random() < EARLY_LEAVE_SHARE
    return PlannedRequest(
        f'call-{day.call_count}',
        route,
        '' if route == 'open' else rng.choice(API_KEYS),
        is_repeatable,
        event_count,
        limit_s,
        EARLY_LEAVE_S if leaves_early else limit_s + LEAVE_MARGIN_S,
        rng.uniform(*UPLOAD_RANGE_S) if is_slow_upload else 0,
        headers,
    )


async def send_request(
    day: Day,
    planned: PlannedRequest,
    host: Host,
    caller: Caller,
) -> bool:
    """Send and record a request; return whether its connection can be kept."""
    call, answer = await _exchange(day, planned, host, caller)
    if _can_resume(call):
        day.group.start_soon(resume_stream, day, planned, call)
    if not call.status or not call.is_whole:
        return False
    return answer.headers.get('connection', '').lower() != _CLOSE


async def resume_stream(day: Day, begun: PlannedRequest, call: Call) -> None:
    """Resume a stream that has broken off, at any host, a few times."""
    client = Client(day, random.Random(begun.request_id))
    last_event = call.events[-1]
    for attempt in range(1, MAX_RESUMPTIONS + 1):
        connected = await client.connect()
        if connected is None:
            continue
        planned = replace(
            begun,
            request_id=f'{begun.request_id}-{attempt}',
            leave_after_s=begun.limit_s + LEAVE_MARGIN_S,
            upload_time_s=0,
            headers={
                **begun.headers,
                'Last-Event-Id': str(last_event),
                'Resumes': begun.request_id,
            },
            resumes=begun.request_id,
            resumed_after=last_event,
        )
        host, caller = connected
        try:
            resumed, _ = await _exchange(day, planned, host, caller)
        finally:
            await caller.close()
        if resumed.status == _OK and resumed.is_whole:
            return
        last_event += len(resumed.events)


def _can_resume(call: Call) -> bool:
    is_broken = not call.is_whole and call.left_at is None
    is_resumable = call.path.startswith(RESUMABLE_PATH)
    is_unfinished = 0 < len(call.events) < call.event_count
    return is_broken and is_resumable and is_unfinished


def _has_spare_target(day: Day, call: Call) -> bool:
    """Return whether two replicas serve that can go on with a stream."""
    began = [one for one in day.history.calls if one.request_id == call.resumes]
    releases = began[0].releases if began else frozenset()
    serving = [
        one
        for one in day.world.replicas.values()
        if one.service == 'pool' and not one.is_down and one.release in releases
    ]
    return len(serving) > 1


async def _exchange(
    day: Day,
    planned: PlannedRequest,
    host: Host,
    caller: Caller,
) -> tuple[Call, Answer]:
    """Send and record a request; return the record and its answer."""
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
    reuses_connection = caller.request_count > 0
    sent_at = time.monotonic()
    left_at: float | None = time.monotonic()
    with anyio.move_on_after(planned.leave_after_s):
        answer = await caller.ask('POST', planned.path, headers, BODY)
        left_at = None
    span = (sent_at, time.monotonic())
    call = replace(
        _make_call(planned, host, answer, span),
        left_at=left_at,
        reuses_connection=reuses_connection,
        fully_sent_at=caller.fully_sent_at,
        is_reset=caller.is_reset,
    )
    if planned.resumes:
        has_spare_target = _has_spare_target(day, call)
        call = replace(call, has_spare_target=has_spare_target)
    day.history.calls.append(call)
    return call, answer


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
        resumes=planned.resumes,
        resumed_after=planned.resumed_after,
        releases=releases_of(answer.body),
    )


async def call_on_new_connections(day: Day, rng: random.Random) -> None:
    """Send each request on a new connection until the day ends."""
    client = Client(day, rng)

    async def call_once() -> None:
        connected = await client.connect()
        if connected is None:
            return
        host, caller = connected
        try:
            await send_request(day, draw_request(day, rng), host, caller)
        finally:
            await caller.close()

    while not day.is_over:
        day.group.start_soon(call_once)
        await anyio.sleep(rng.expovariate(CALLS_PER_S))


async def call_on_kept_connection(day: Day, rng: random.Random) -> None:
    """Send one request after the other on a kept connection."""
    client = Client(day, rng)
    ignores_directory = rng.random() < IGNORES_DIRECTORY_SHARE
    pause = _make_pause(rng)
    while not day.is_over:
        await anyio.sleep(pause())
        connected = await client.connect()
        if connected is None:
            continue
        host, caller = connected
        try:
            while await send_request(day, draw_request(day, rng), host, caller):
                await anyio.sleep(pause())
                if day.is_over or await caller.is_closed():
                    break
                address = f'127.0.0.1:{host.front}'
                if (
                    not ignores_directory
                    and address not in await client.find_hosts()
                ):
                    break
        finally:
            await caller.close()


def _make_pause(rng: random.Random) -> Callable[[], float]:
    has_short_pauses = rng.random() < SHORT_PAUSE_SHARE

    def pause() -> float:
        if has_short_pauses:
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
