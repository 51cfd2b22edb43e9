"""Plays a small day with faults on the stand-ins, and checks the rules.

Real host processes serve callers before stand-ins of the platform, while
hosts are killed, suspended and stopped, the store is away, replicas spoil
their answers, and a key and a limit change. All of it is drawn from a seed.
"""

import random
import signal
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import cyclopts
from anyio.abc import TaskGroup

from .platform_caller import Answer
from .platform_history import (
    Call,
    DayHistory,
    ReplicaRun,
    Terms,
    Window,
    count_outcomes,
    find_faults,
)
from .platform_world import (
    KEY,
    Host,
    World,
    configuration,
    events_of,
)
from .standin_http import HttpRequest, Reply
from .standin_replica import Replica

app = cyclopts.App(help=__doc__)
HOSTS = ('host-1', 'host-2', 'host-3')
SECOND_KEY = 'second-key'
RATE = 1500
LOWER_RATE = 700
CALLS_PER_S = 40
STREAM_TOKENS = 120
PLAIN_TOKENS = 10
# A caller that has no answer by then has left.
CALL_TIMEOUT_S = 5.0
LEAVES_AFTER_S = 0.03
LEAVING_SHARE = 0.04
# After a fault a host needs that long before it counts as undisturbed.
CONTACT_S = 3.0
STOP_S = 12.0
SETTLE_S = 1.0
FAULT_GAP_S = (0.4, 1.6)
SPOIL_SHARE = 0.5
KINDS = (
    ('look', True),
    ('book', False),
    ('open', True),
    ('chat', False),
    ('batch', True),
)
STREAMS = frozenset(('chat', 'batch'))
MODELS = ('m1', 'm2', 'm3', 'm4')
_OK = 200


@dataclass(slots=True, eq=False)
class Day:
    """A day that is being played.

    Attributes
    ----------
    world : World
    history : DayHistory
    rng : random.Random
    ends_at : float
        When callers stop.
    group : TaskGroup
    version : int
        Of the configuration.
    keys : list of str
    rate : int
    """

    world: World
    history: DayHistory
    rng: random.Random
    ends_at: float
    group: TaskGroup
    version: int = 1
    keys: tuple[str, ...] = (KEY, SECOND_KEY)
    rate: int = RATE
    calls: int = 0

    def configure(self) -> None:
        """Put the next configuration into the store."""
        self.version += 1
        content = configuration(self.version, self.keys, self.rate)
        self.world.store.put('keyed.op', 'config', content)

    @contextmanager
    def fault(self, what: str) -> Iterator[None]:
        """Note a fault while it lasts, and what it takes to get over it."""
        begin = time.monotonic()
        try:
            yield
        finally:
            end = time.monotonic() + CONTACT_S
            self.history.faults.append(Window(what, begin, end))


@dataclass(slots=True, frozen=True)
class Draft:
    """A request that is about to be sent.

    Attributes
    ----------
    request_id, kind, key : str
    is_repeatable : bool
    host : Host
    patience_s : float
        After which its caller leaves.
    """

    request_id: str
    kind: str
    is_repeatable: bool
    key: str
    host: Host
    patience_s: float

    @property
    def is_stream(self) -> bool:
        """Whether it asks for a stream."""
        return self.kind in STREAMS

    @property
    def path(self) -> str:
        """The path that it is sent to."""
        return f'/{self.kind}/{self.request_id}'


def draw_call(day: Day) -> Draft:
    """Draw the next request."""
    rng = day.rng
    day.calls += 1
    kind, is_repeatable = rng.choice(KINDS)
    patience_s = CALL_TIMEOUT_S
    if rng.random() < LEAVING_SHARE:
        patience_s = LEAVES_AFTER_S
    return Draft(
        f'call-{day.calls}',
        kind,
        is_repeatable,
        '' if kind == 'open' else rng.choice((KEY, SECOND_KEY)),
        _pick_host(day),
        patience_s,
    )


async def call(day: Day, draft: Draft) -> None:
    """Send a request as a caller would, and note what came of it."""
    named: dict[str, Any] = {'Request_Id': draft.request_id}
    if draft.is_stream:
        named['Model'] = day.rng.choice(MODELS)
        named['Token_Count'] = f'{STREAM_TOKENS - 20},20'
    sent_at = time.monotonic()
    answer = Answer(0, {}, b'', is_whole=False)
    left_at: float | None = time.monotonic()
    with anyio.move_on_after(draft.patience_s):
        try:
            answer = await day.world.ask(
                draft.host,
                draft.path,
                key=draft.key or None,
                **named,
            )
        except OSError:
            # Nobody listens; the request was not sent.
            return
        except anyio.BrokenResourceError:
            answer = Answer(0, {}, b'', is_whole=False)
        left_at = None
    ended_at = time.monotonic()
    day.history.calls.append(
        _make_call(draft, answer, (sent_at, ended_at), left_at),
    )


def _make_call(
    draft: Draft,
    answer: Answer,
    span: tuple[float, float],
    left_at: float | None,
) -> Call:
    events: tuple[int, ...] = ()
    tokens = PLAIN_TOKENS
    if draft.is_stream:
        events = tuple(events_of(answer.body))
        tokens = STREAM_TOKENS
    return Call(
        draft.request_id,
        draft.path,
        draft.key,
        draft.host.name,
        draft.is_repeatable,
        tokens,
        *span,
        answer.status,
        answer.headers.get('response-seal', ''),
        answer.headers.get('request-id', ''),
        answer.body,
        events,
        draft.is_stream and answer.status == _OK,
        answer.is_whole,
        left_at,
    )


async def call_around(day: Day) -> None:
    """Send requests at random moments until the day ends."""
    while time.monotonic() < day.ends_at:
        day.group.start_soon(call, day, draw_call(day))
        await anyio.sleep(day.rng.expovariate(CALLS_PER_S))


async def kill_host(day: Day) -> None:
    """Kill a host, and start it again at other ports."""
    host = _pick_host(day)
    with day.fault(host.name):
        host.process.kill()
        await _wait_ended(host)
        day.world.launch(host.name)
        await anyio.sleep(SETTLE_S)


async def suspend_host(day: Day) -> None:
    """Suspend a host for some seconds."""
    host = _pick_host(day)
    with day.fault(host.name):
        host.process.send_signal(signal.SIGSTOP)
        await anyio.sleep(day.rng.uniform(0.5, 4))
        if host.process.poll() is None:
            host.process.send_signal(signal.SIGCONT)


async def stop_host(day: Day) -> None:
    """Stop a host as planned, and start it again."""
    host = _pick_host(day)
    begin = time.monotonic()
    host.process.terminate()
    await _wait_ended(host)
    day.history.stops.append(Window(host.name, begin, time.monotonic()))
    day.world.launch(host.name)


async def lose_store(day: Day) -> None:
    """Have the store refuse all calls for a while."""
    with day.fault('store'):
        day.world.store.is_down = True
        await anyio.sleep(day.rng.uniform(0.3, 2))
        day.world.store.is_down = False


async def withdraw_key(day: Day) -> None:
    """Take the second key away."""
    if SECOND_KEY not in day.keys:
        return
    day.keys = (KEY,)
    day.configure()
    day.history.withdrawn[SECOND_KEY] = time.monotonic()


async def move_replica(day: Day) -> None:
    """Replace a plain replica by another one; the old one drains."""
    old = next(
        one
        for one in day.world.replicas.values()
        if one.service == 'desk' and one.address
    )
    await day.world.add(f'desk-{len(day.world.replicas)}', 'desk')
    day.world.store.put('keyed.servers', old.name, old.entry('draining'))
    await anyio.sleep(SETTLE_S)
    day.world.store.put('keyed.servers', old.name, None)
    old.address = ''


async def spoil_answers(day: Day) -> None:
    """Have a replica spoil or reject some of its answers for a while."""
    replica = day.rng.choice(list(day.world.replicas.values()))
    spoil = day.rng.choice(SPOILERS)

    async def behave(request: HttpRequest) -> Reply | None:
        if day.rng.random() > SPOIL_SHARE:
            return replica.run(request)
        return spoil(replica, request)

    replica.behave = behave
    await anyio.sleep(day.rng.uniform(0.5, 2))
    replica.behave = None


def _reject(replica: Replica, request: HttpRequest) -> Reply | None:
    return Reply(503, headers={'Not-Executed': '1'})


def _cut_off(replica: Replica, request: HttpRequest) -> Reply | None:
    replica.run(request)
    return Reply(200, raw=b'HTTP/1.1 200 OK\r\nContent-Len')


def _add_answer(replica: Replica, request: HttpRequest) -> Reply | None:
    """Send a second answer, of nobody's, right behind the first."""
    replica.run(request)
    head = (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request.headers["request-id"]}\r\n'
        f'Response-Seal: {replica.name}\r\nContent-Length: 4\r\n\r\n'
    )
    other = 'HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 1\r\n\r\nx'
    if 'model' in request.headers:
        return Reply(200, raw=head[:20].encode())
    return Reply(200, raw=f'{head}done{other}'.encode())


def _cross(replica: Replica, request: HttpRequest) -> Reply | None:
    replica.run(request)
    return Reply(200, b'other', {'Request-Id': 'other', 'Response-Seal': 'x'})


SPOILERS = (_reject, _cut_off, _add_answer, _cross)
Fault = Callable[[Day], Coroutine[Any, Any, None]]
FAULTS: tuple[Fault, ...] = (
    kill_host,
    suspend_host,
    stop_host,
    lose_store,
    withdraw_key,
    move_replica,
    spoil_answers,
    spoil_answers,
)


async def trouble(day: Day) -> None:
    """Begin faults one after the other; they overlap."""
    while time.monotonic() < day.ends_at:
        await anyio.sleep(day.rng.uniform(*FAULT_GAP_S))
        day.group.start_soon(day.rng.choice(FAULTS), day)


async def play_day(seed: int, seconds: float, folder: str) -> DayHistory:
    """Play a day and return what was seen."""
    terms = Terms('team', RATE, RATE, slack=0)
    services = {'look': 'desk', 'book': 'desk', 'open': 'desk'}
    services |= dict.fromkeys(STREAMS, 'pool')
    history = DayHistory(terms, services=services)
    async with anyio.create_task_group() as outer:
        world = World(folder, outer)
        await world.start_store()
        content = configuration(1, (KEY, SECOND_KEY), RATE)
        world.store.put('keyed.op', 'config', content)
        for name in ('desk-1', 'desk-2'):
            await world.add(name, 'desk')
        for name, models in (('pool-1', 'm1 m2'), ('pool-2', 'm1 m3')):
            await world.add(name, 'pool', models.split())
        for name in HOSTS:
            world.launch(name)
        try:
            await world.wait_ready()
            async with anyio.create_task_group() as group:
                ends_at = time.monotonic() + seconds
                day = Day(world, history, random.Random(seed), ends_at, group)
                group.start_soon(call_around, day)
                group.start_soon(trouble, day)
            await anyio.sleep(SETTLE_S)
        finally:
            world.stop_hosts()
            outer.cancel_scope.cancel()
    for replica in world.replicas.values():
        _note_replica(history, replica)
    return history


def _note_replica(history: DayHistory, replica: Replica) -> None:
    for at, request in replica.runs:
        headers = request.headers
        history.runs.append(
            ReplicaRun(
                headers['request-id'],
                replica.name,
                replica.service,
                at,
                request.path,
                headers.get('tenant', ''),
                'authorization' in headers,
            ),
        )
    if replica.overfull:
        history.overfull.append(replica.name)
    history.fences[replica.name] = [
        (order['fence'], order['holder']) for order in replica.orders
    ]


def _pick_host(day: Day) -> Host:
    return day.rng.choice(list(day.world.hosts.values()))


async def _wait_ended(host: Host) -> None:
    with anyio.move_on_after(STOP_S):
        while host.process.poll() is None:
            await anyio.sleep(0.02)
        return
    host.process.kill()
    host.process.wait()


@app.default
def main(
    *,
    seed: int = 1,
    seconds: float = 12,
    logs: Path | None = None,
) -> None:
    """Play a day; print how calls ended and each broken rule.

    Parameters
    ----------
    seed
        Of callers and faults. The machine's timing is not in it.
    seconds
        For which callers call.
    logs
        Folder that keeps the hosts' settings and logs.
    """
    with tempfile.TemporaryDirectory() as folder:
        if logs is not None:
            logs.mkdir(parents=True, exist_ok=True)
        kept = str(logs or folder)
        history = anyio.run(play_day, seed, seconds, kept)
    ended = sorted(count_outcomes(history).items())
    outcomes = ' '.join(f'{status}:{count}' for status, count in ended)
    sys.stdout.write(f'seed {seed}: {len(history.calls)} calls, {outcomes}\n')
    faults = find_faults(history)
    for fault in faults:
        sys.stdout.write(f'BROKEN {fault}\n')
    sys.exit(1 if faults else 0)


if __name__ == '__main__':
    app()
