"""Faults and planned work of a day on replicas, and corrupt answers."""

import math
import time
from collections.abc import Callable
from dataclasses import replace

import anyio

from .platform_daystate import ENGINE_SLOTS, Day
from .platform_history import StatedLimit
from .standin_http import HttpRequest, Reply
from .standin_replica import Replica

FAULTY_ANSWER_SHARE = 0.5
ANSWER_FAULT_RANGE_S = (0.5, 2)
SHORT_IDLE_RANGE_S = (0.5, 3)
LATE_ANSWER_S = 1.5
SETTLE_S = 1.0
SHORT_IDLE_TIMEOUT_S = 0.1
FLAPS = 3
STATED_RATES = (0.5, 1.0, 3.0)
STATED_RANGE_S = (3.5, 9.0)
MAX_ENGINES = 4
CUT_AFTER = 2
REPEATED_REFUSAL = (
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n'
)
FLAP_RANGE_S = (0.2, 0.8)
# Answers a request in a faulty way. The function's name is written to the
# record of the day.
AnswerFault = Callable[[Replica, HttpRequest], Reply]


async def replace_replica(day: Day) -> None:
    """Replace a plain service's replica by a new one; the old one drains."""
    old = next(
        one
        for one in day.world.replicas.values()
        if one.service == 'desk' and one.address
    )
    day.log_event(f'{old.name} drains')
    await day.world.add_replica(f'desk-{len(day.world.replicas)}', 'desk')
    day.world.store.put('keyed.servers', old.name, old.entry('draining'))
    await anyio.sleep(SETTLE_S)
    day.world.store.put('keyed.servers', old.name, None)
    old.address = ''


async def state_limit(day: Day) -> None:
    """Make a replica state a limit in its answers for a while."""
    replica = _pick_replica(day)
    if replica.stated_rate:
        return
    rate = day.rng.choice(STATED_RATES)
    day.log_event(f'{replica.name} states a limit of {rate}')
    begin = time.monotonic()
    replica.stated_rate = str(rate)
    await anyio.sleep(day.rng.uniform(*STATED_RANGE_S))
    replica.stated_rate = ''
    end = time.monotonic()
    arrivals = tuple(at for at in replica.arrivals if begin <= at <= end)
    day.history.stated_limits.append(
        StatedLimit(replica.name, rate, begin, end, arrivals)
    )
    day.log_event(f'{replica.name} states no limit')


async def add_release(day: Day) -> None:
    """Add an engine of another release, which serves beside the others."""
    engines = [
        one for one in day.world.replicas.values() if one.service == 'pool'
    ]
    if len(engines) >= MAX_ENGINES:
        return
    name = f'pool-{len(engines) + 1}'
    day.log_event(f'{name} is added, of another release')
    engine = await day.world.add_replica(name, 'pool', ['m1', 'm2'])
    engine.slots = ENGINE_SLOTS
    engine.release = day.rng.choice((1, 2, 2))
    day.world.store.put('keyed.servers', name, engine.entry())


async def cut_streams(day: Day) -> None:
    """Make a replica break off some of its streams after a few events."""
    await _apply_answer_fault(day, _cut_stream, FAULTY_ANSWER_SHARE)


async def corrupt_answers(day: Day) -> None:
    """Make a replica corrupt or reject some of its answers for a while."""
    await _apply_answer_fault(
        day, day.rng.choice(ANSWER_FAULTS), FAULTY_ANSWER_SHARE
    )


async def silence_replica(day: Day) -> None:
    """Make a replica that reports it is ready answer late or not at all."""
    await _apply_answer_fault(
        day, day.rng.choice((_say_nothing, _answer_late)), 1
    )


async def drop_idle_connections(day: Day) -> None:
    """Make a replica drop idle connections early, without notice."""
    replica = _pick_replica(day)
    day.log_event(f'{replica.name} drops idle connections')
    usual_s = replica.idle_s
    replica.idle_s = SHORT_IDLE_TIMEOUT_S
    await anyio.sleep(day.rng.uniform(*SHORT_IDLE_RANGE_S))
    replica.idle_s = usual_s


async def flap_replica(day: Day) -> None:
    """Make a replica crash and recover several times."""
    replica = _pick_replica(day)
    for _ in range(FLAPS):
        day.log_event(f'{replica.name} crashes')
        replica.crash()
        await anyio.sleep(day.rng.uniform(*FLAP_RANGE_S))
        replica.is_down = False
        await anyio.sleep(day.rng.uniform(*FLAP_RANGE_S))


async def _apply_answer_fault(
    day: Day, answer_fault: AnswerFault, share: float
) -> None:
    replica = _pick_replica(day)
    day.log_event(f'{replica.name} {answer_fault.__name__}')

    async def answer_call(request: HttpRequest) -> Reply | None:
        if day.rng.random() > share:
            return replica.run(request)
        return answer_fault(replica, request)

    replica.behave = answer_call
    await anyio.sleep(day.rng.uniform(*ANSWER_FAULT_RANGE_S))
    replica.behave = None
    day.log_event(f'{replica.name} {answer_fault.__name__} over')


def _pick_replica(day: Day) -> Replica:
    return day.rng.choice(list(day.world.replicas.values()))


def _say_nothing(replica: Replica, request: HttpRequest) -> Reply:
    return replace(replica.run(request), delay_s=math.inf)


def _answer_late(replica: Replica, request: HttpRequest) -> Reply:
    return replace(replica.run(request), delay_s=LATE_ANSWER_S)


def _reject(replica: Replica, request: HttpRequest) -> Reply:
    return Reply(
        503,
        headers={
            'Request-Id': request.headers['request-id'],
            'Not-Executed': '1',
        },
    )


def _repeat_refusal(replica: Replica, request: HttpRequest) -> Reply:
    """Send a copy of an earlier refusal, then run the request."""
    return replace(replica.run(request), preceding=REPEATED_REFUSAL)


def _fail_resumed_stream(replica: Replica, request: HttpRequest) -> Reply:
    """Break off streams, and answer those that are resumed with an error."""
    if 'last-event-id' not in request.headers:
        return _cut_stream(replica, request)
    headers = {
        'Request-Id': request.headers['request-id'],
        'Response-Seal': replica.name,
        'Content-Type': 'text/plain',
    }
    return Reply(404, b'no such stream', headers)


def _cut_off(replica: Replica, request: HttpRequest) -> Reply:
    head = b'HTTP/1.1 200 OK\r\nContent-Len'
    return replace(replica.run(request), raw=head)


def _cut_stream(replica: Replica, request: HttpRequest) -> Reply:
    """Break off a stream; other answers stay whole."""
    reply = replica.run(request)
    return replace(reply, cut_after=CUT_AFTER) if reply.events else reply


def _add_answer(replica: Replica, request: HttpRequest) -> Reply:
    """Send a second answer that belongs to no request right after the first."""
    reply = replica.run(request)
    head = (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request.headers["request-id"]}\r\n'
        f'Response-Seal: {replica.name}\r\nContent-Length: 4\r\n\r\n'
    )
    other = 'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx'
    if 'model' in request.headers:
        return replace(reply, raw=head[:20].encode())
    return replace(reply, raw=f'{head}done{other}'.encode())


def _cross(replica: Replica, request: HttpRequest) -> Reply:
    return replace(
        replica.run(request),
        body=b'other',
        headers={'Request-Id': 'other', 'Response-Seal': 'x'},
        events=(),
    )


ANSWER_FAULTS: tuple[AnswerFault, ...] = (
    _reject,
    _cut_off,
    _add_answer,
    _cross,
    _repeat_refusal,
    _fail_resumed_stream,
)
