"""A simulation of entry hosts whose targets crash, under a virtual clock."""

import random
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from trio.testing import MockClock

from ebonywell import changes, logs
from ebonywell.admission import Admission
from ebonywell.backgroundappender import BackgroundAppender
from ebonywell.bufferedanswer import BufferedAnswer
from ebonywell.callattempts import CallAttempts, OpenCall
from ebonywell.dispatch import Exchange
from ebonywell.exceptions import TargetBrokenError, TargetUnreachableError
from ebonywell.messages import Call
from ebonywell.quarantine import Quarantine
from ebonywell.replica import Replica
from ebonywell.targets import ListedHost, Report, Target, TargetTable
from ebonywell.targetselector import TargetSelector
from ebonywell.types import EntryKind, HostId

from .fakelog import FakeLog, FakeLogClient

RUN_S = 0.5
CRASH_S = 0.1
RESTART_S = 3.0


class _Body:
    def __init__(self, target):
        self.target = target

    async def aiter_stream(self):
        yield b'fine'


@dataclass
class Machine:
    """A simulated target, its running calls and its crashes."""

    name: str
    max_running: int = 16
    incarnation: int = 1
    is_up: bool = True
    crashes: int = 0
    draining: bool = False
    cuts: bool = False
    queue_depth: int = 0
    running: set = field(default_factory=set)
    runs: list = field(default_factory=list)

    def crash(self):
        self.crashes += 1
        self.is_up = False
        for scope in self.running:
            scope.cancel()

    async def run(self, body):
        """Run a call to its end; crash if its body contains ``killer``."""
        if not self.is_up:
            raise TargetUnreachableError(self.name)
        self.runs.append(body)
        if self.cuts:
            raise TargetBrokenError(self.name)
        with anyio.CancelScope() as scope:
            self.running.add(scope)
            try:
                if b'killer' in body:
                    await anyio.sleep(CRASH_S)
                    self.crash()
                await anyio.sleep(RUN_S)
            finally:
                self.running.discard(scope)
        if scope.cancel_called:
            raise TargetBrokenError(self.name)


class Fleet:
    """Targets, a log, and hosts with the services that a call passes."""

    def __init__(self, machines=4, hosts=2, entry=None):
        self.entry = entry or changes.Entry(
            'quote',
            EntryKind.service,
            targets=tuple(f't{number}' for number in range(machines)),
        )
        self.machines = {name: Machine(name) for name in self.entry.targets}
        self.log = FakeLog()
        self.dead = set()
        self.hosts = [Host(self, f'h{number}') for number in range(hosts)]

    async def run(self):
        async with anyio.create_task_group() as group:
            for host in self.hosts:
                await group.start(host.run)
            while True:
                await anyio.sleep(0.1)
                for machine in self.machines.values():
                    if not machine.is_up:
                        group.start_soon(self._restart, machine)
                for host in self.hosts:
                    host.poll()

    @property
    def crashes(self):
        return sum(one.crashes for one in self.machines.values())

    async def _restart(self, machine):
        await anyio.sleep(RESTART_S)
        if not machine.is_up:
            machine.incarnation += 1
            machine.is_up = True


class Host:
    """One entry host with the real services on top of the fakes."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.connects = 0
        self.client = FakeLogClient(fleet.log)
        self.replica = Replica(
            self.client, HostId(name, '1'), logs.discard_event
        )
        self.settler = BackgroundAppender(self.replica.append)
        self.table = TargetTable()
        for number, target in enumerate(fleet.machines):
            address = f'127.0.0.1:{number + 1}'
            self.table.by_name[target] = Target(
                ListedHost(target, 'service', address)
            )
        rng = random.Random(name)
        self.placer = TargetSelector(self.table, '', anyio.current_time, rng)
        self.quarantine = Quarantine(
            self.replica,
            f'{name}/1',
            self.settler.enqueue,
            lambda incarnation: incarnation not in fleet.dead,
            self.probe,
            logs.discard_event,
        )
        self.admission = Admission(
            self.placer,
            lambda workspace: 1,
            self.quarantine.trial_targets,
            anyio.current_time,
            logs.discard_event,
        )
        self.tries = CallAttempts(
            self,
            self.admission.slot,
            self.placer.observe,
            self.quarantine,
            logs.discard_event,
            rng,
        )
        self.poll()

    async def run(self, *, task_status):
        async with anyio.create_task_group() as group:
            group.start_soon(self.settler.run, _ignore)
            group.start_soon(self.admission.run, _ignore)
            group.start_soon(self.quarantine.run, _ignore)
            await self.replica.run(task_status.started)

    def poll(self):
        for target in self.table.by_name.values():
            machine = self.fleet.machines[target.name]
            target.failing = not machine.is_up
            if machine.is_up:
                target.reported_at = anyio.current_time()
                target.report = Report(
                    target.name,
                    str(machine.incarnation),
                    running=len(machine.running),
                    max_running=machine.max_running,
                    draining=machine.draining,
                    queue_depth=machine.queue_depth,
                )

    async def probe(self, target):
        await anyio.sleep(0.01)
        machine = self.fleet.machines[target.name]
        return str(machine.incarnation) if machine.is_up else None

    @asynccontextmanager
    async def exchange(self, address, outgoing):
        self.connects += 1
        await anyio.sleep(0.001)
        number = int(address.rpartition(':')[2]) - 1
        machine = list(self.fleet.machines.values())[number]
        await machine.run(outgoing.body)
        yield Exchange(200, [], _Body(machine))

    async def ask(
        self, body, workspace='counter', deadline_s=30, is_started=False
    ):
        """Return the status, run state and retry-after that a caller gets."""
        call = make_call(self.fleet.entry, body, workspace, deadline_s)
        answer = BufferedAnswer(is_started)
        try:
            await self.tries.run(OpenCall(call), answer)
        except Exception as error:
            refusal = error.refusal
            return refusal.status, refusal.run_state, refusal.retry_after_s
        return answer.status, 'ran', None


def make_call(entry, body, workspace='counter', deadline_s=30, tokens=100):
    """Return a call to an entry."""
    return Call(
        request_id=body.decode(),
        workspace=workspace,
        key_digest='',
        entry=entry,
        adapter='',
        method='POST',
        path='/',
        headers=[],
        body=body,
        is_streamed=False,
        tokens=tokens,
        prompt_tokens=1,
        idempotency_key='',
        digest=body.hex(),
        deadline=anyio.current_time() + deadline_s,
    )


def _ignore():
    """Ignore that a service is ready."""


def simulate(scenario, **fields):
    """Run a scenario on a fleet under a virtual clock; return the fleet."""
    fleets = []

    async def main():
        fleet = Fleet(**fields)
        fleets.append(fleet)
        async with anyio.create_task_group() as group:
            group.start_soon(fleet.run)
            await anyio.sleep(0.5)
            await scenario(fleet)
            group.cancel_scope.cancel()

    anyio.run(
        main,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
    return fleets[0]
