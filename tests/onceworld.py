"""A simulation of once-only calls that is run step by step.

Hosts run the real pipeline. The log and the target are fakes that stop at
every step at which a process can die, until the schedule resumes them.
"""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from trio.testing import MockClock, wait_all_tasks_blocked

from ebonywell import changes, logs, records, state
from ebonywell.appender import Ticket
from ebonywell.backgroundappender import BackgroundAppender
from ebonywell.callattempts import CallAttempts
from ebonywell.calls import Calls
from ebonywell.dispatch import Exchange
from ebonywell.exceptions import (
    LogOutageError,
    TargetBrokenError,
    TargetUnreachableError,
)
from ebonywell.messages import Call
from ebonywell.oncecalls import OnceCalls
from ebonywell.quarantine import Quarantine
from ebonywell.reply import Reply
from ebonywell.targets import ListedHost, Target
from ebonywell.types import EntryKind

DESK = changes.Entry(
    'desk', EntryKind.service, idempotent=False, targets=('t1',)
)
DEADLINE_S = 30
NEVER = 10**9


class Killed(Exception):
    """The host's process has died."""


@dataclass
class Answer:
    """An answer that a caller received, and the step of its arrival."""

    host: str
    key: str
    body: bytes
    status: int
    run_state: str
    content: bytes
    step: int


@dataclass
class Run:
    """One run of a call in the target's journal."""

    key: str
    body: bytes
    step: int


@dataclass
class World:
    """The schedule and everything outside of the hosts."""

    rng: random.Random
    kill_at: int = NEVER
    fault_at: int = NEVER
    fault: str = ''
    outage_at: int = NEVER
    log: list = field(default_factory=list)
    journal: list = field(default_factory=list)
    answers: list = field(default_factory=list)
    gates: list = field(default_factory=list)
    steps: list = field(default_factory=list)
    hooks: list = field(default_factory=list)

    async def step(self, host, name):
        """Wait for the schedule; kill the host or return a fault if due."""
        gate = anyio.Event()
        entry = (host.name, name, gate)
        self.gates.append(entry)
        try:
            await gate.wait()
        finally:
            if entry in self.gates:
                self.gates.remove(entry)
        host.check_alive()
        number = len(self.steps)
        self.steps.append((host.name, name))
        own = [name for name, _ in self.steps].count(host.name)
        if host.name == 'A' and own > self.kill_at:
            host.is_dead = True
        host.check_alive()
        return self.fault if number == self.fault_at else ''

    def is_due(self, hook):
        return len(self.steps) >= hook[0]

    async def drive(self):
        """Resume one waiting task at a time, in an order set by the seed."""
        while True:
            await wait_all_tasks_blocked()
            due = [one for one in self.hooks if self.is_due(one)]
            for hook in due:
                self.hooks.remove(hook)
                hook[1]()
                await wait_all_tasks_blocked()
            if not self.gates:
                # Only timers are pending: let the clock skip to the next one.
                await anyio.sleep(0.01)
                continue
            self.gates.sort(key=lambda gate: gate[:2])
            gate = self.rng.choice(self.gates)
            self.gates.remove(gate)
            gate[2].set()


class FakeReplica:
    """A host's view of the log, which lags until the host appends."""

    def __init__(self, world, host):
        self.world = world
        self.host = host
        self.state = state.State()
        self.watchers = []

    def catch_up(self):
        while self.state.applied + 1 < len(self.world.log):
            offset = self.state.applied + 1
            record = self.world.log[offset]
            took_effect = state.apply_record(self.state, offset, record)
            for watcher in self.watchers:
                watcher(offset, record, took_effect)
            ticket = self.host.tickets.get(record.record_id)
            if ticket is not None:
                ticket.took_effect = took_effect

    async def append(self, body):
        kind = type(body).__name__
        record = records.make_record(body, self.host.name, 0)
        ticket = Ticket(record)
        fault = await self.world.step(self.host, f'{kind} sent')
        if fault == 'log_down' or len(self.world.steps) > self.world.outage_at:
            raise LogOutageError('down', ticket)
        ticket.sent = True
        self.host.tickets[record.record_id] = ticket
        self.world.log.append(record)
        if await self.world.step(self.host, f'{kind} kept') == 'lose_reply':
            raise LogOutageError('reply lost', ticket)
        self.catch_up()
        await self.world.step(self.host, f'{kind} read back')
        return ticket


class FakeDispatcher:
    """The connection of one host to the only target.

    With `double`, the target runs each call twice.
    """

    def __init__(self, world, host, double=False):
        self.world = world
        self.host = host
        self.double = double

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        """Close nothing."""

    @asynccontextmanager
    async def exchange(self, address, outgoing):
        step = self.world.step
        if await step(self.host, 'connect') == 'target_down':
            raise TargetUnreachableError('down')
        if await step(self.host, 'handed') == 'target_down':
            raise TargetBrokenError('before the run')
        for _ in range(2 if self.double else 1):
            key = dict(outgoing.headers)[b'x-key'].decode()
            self.world.journal.append(
                Run(key, outgoing.body, len(self.world.steps))
            )
        number = len(self.world.journal)
        if await step(self.host, 'ran') == 'target_down':
            raise TargetBrokenError('after the run')
        yield Exchange(200, [], _Body(b'run %d' % number))
        await step(self.host, 'answered')


class _Body:
    def __init__(self, content):
        self.content = content

    async def aiter_stream(self):
        yield self.content


def start_hosts(world, group, *, double=False):
    """Start three hosts that know immediately which of them is dead."""
    hosts = {}

    def is_alive(name):
        return not hosts[name].is_dead

    for name in ('A', 'B', 'C'):
        hosts[name] = Host(world, name, is_alive, double)
        group.start_soon(hosts[name].run)
    return hosts


class Host:
    """One entry process: the real services on top of the fakes."""

    def __init__(self, world, name, is_alive, double=False):
        self.world = world
        self.name = name
        self.is_dead = False
        self.tickets = {}
        self.replica = FakeReplica(world, self)
        self.settler = BackgroundAppender(self.replica.append)
        self.once = OnceCalls(
            self.replica,
            name,
            is_alive,
            lambda since: self.is_current(),
            self.settler.enqueue,
            logs.discard_event,
        )
        quarantine = Quarantine(
            self.replica,
            name,
            self.settler.enqueue,
            is_alive,
            _same_incarnation,
            logs.discard_event,
        )
        tries = CallAttempts(
            FakeDispatcher(world, self, double),
            _place,
            lambda target, ending: None,
            quarantine,
            logs.discard_event,
            world.rng,
        )
        self.calls = Calls(
            tries,
            self.once,
            _reserve,
            logs.discard_event,
        )

    def is_current(self):
        return self.replica.state.applied + 1 == len(self.world.log)

    def check_alive(self):
        if self.is_dead:
            raise Killed(self.name)

    async def run(self):
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self.settler.run, _ignore)
                group.start_soon(self.calls.run, _ignore)
                await anyio.sleep_forever()
        except* Killed:
            self.is_dead = True

    async def ask(self, key, body, *, leaves_after=None):
        """Send a call as a caller does and record the answer."""
        sent = []

        async def send(message):
            self.check_alive()
            sent.append(message)

        reply = Reply(send, 'r')
        call = _call(key, body)
        try:
            with anyio.move_on_after(leaves_after or DEADLINE_S * 2):
                await self.calls.answer(call, reply)
        except Killed:
            return
        if not sent or self.is_dead:
            return
        content = b''.join(part.get('body', b'') for part in sent)
        run_state = 'ran'
        for state_name in (b'not_run', b'unknown'):
            if b'"run_state":"%b"' % state_name in content:
                run_state = state_name.decode()
        self.world.answers.append(
            Answer(
                self.name,
                key,
                body,
                sent[0]['status'],
                run_state,
                content,
                len(self.world.steps),
            )
        )


def _call(key, body):
    return Call(
        request_id=f'{key}-{id(object())}',
        workspace='counter',
        key_digest='',
        entry=DESK,
        adapter='',
        method='POST',
        path='/orders',
        headers=[(b'x-key', key.encode())],
        body=body,
        is_streamed=False,
        tokens=1,
        prompt_tokens=1,
        idempotency_key=key,
        digest=body.hex(),
        deadline=anyio.current_time() + DEADLINE_S,
    )


@asynccontextmanager
async def _place(call, avoided, *, is_alone=False):
    yield Target(ListedHost('t1', 'service', '127.0.0.1:1'))


async def _reserve(call):
    return lambda used: None


async def _same_incarnation(target):
    return ''


def _ignore():
    """Ignore that a service is ready."""


def simulate(scenario, seed=0, **fields):
    """Run a scenario under a virtual clock and return the world."""
    world = World(random.Random(seed), **fields)

    async def main():
        async with anyio.create_task_group() as group:
            group.start_soon(world.drive)
            await scenario(world, group)
            group.cancel_scope.cancel()

    anyio.run(
        main,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
    return world


def find_violations(world):
    """Return all repeated runs and all answers that are not true."""
    found = []
    for key in sorted({run.key for run in world.journal}):
        runs = [run for run in world.journal if run.key == key]
        if len(runs) > 1:
            found.append(f'{key} ran {len(runs)} times')
    for answer in world.answers:
        runs = [run for run in world.journal if run.key == answer.key]
        same = [run for run in runs if run.body == answer.body]
        earlier = [run for run in same if run.step < answer.step]
        if answer.run_state == 'not_run' and earlier:
            found.append(f'{answer} but it ran')
        if answer.run_state == 'ran' and not earlier:
            found.append(f'{answer} but it never ran')
    return found
