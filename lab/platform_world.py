"""A small deployment on loopback: real hosts before stand-ins."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

import anyio
import yaml
from anyio.abc import SocketStream, TaskGroup

from .platform_caller import Answer, Caller, get
from .ports import allocate_ports
from .standin_platform import PlatformStore, serve_store
from .standin_replica import Replica, listen, serve_replica

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
KEY = 'key-of-team'
GB = 1000
SIZES = {'m1': 70, 'm2': 70, 'm3': 70, 'm4': 70}
START_S = 10
BOUNDS = {
    'drainMs': 2000, 'configMs': 2000, 'revokeMs': 5000, 'graceS': 8,
    'leaseMs': 1000, 'requireFence': True, 'retryBudgetRatio': 0.2,
    'budgetWindowS': 10, 'budgetSlack': 56, 'quotaWindowS': 8,
    'quotaOvershoot': 0.1, 'quotaSlack': 17000, 'ceilingWindowS': 5,
    'ceilingOvershoot': 1.1, 'ttl_max_s': 5,
}  # fmt: skip


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of a configuration."""
    return {
        'name': name, 'host': 'app.example', 'pathPrefix': f'/{name}/',
        'kind': kind, 'timeoutMs': 4000, 'goalMs': 500, 'priority': 1,
        'service': service, 'maxAttempts': 2, 'anonymous': False, **more,
    }  # fmt: skip


def configuration(
    version: int = 1,
    keys: Iterable[str] = (KEY,),
    rate: float = 10_000,
    timeout_ms: int = 4000,
) -> dict[str, Any]:
    """Return a configuration of two services and one workspace."""
    models = [
        {
            'name': name,
            'weightsMb': size * GB,
            'loadS': 0.2,
            'diskS': 0.1,
            'warmS': 0.1,
            'adapters': 9,
            'adapterMb': 1,
        }  # fmt: skip
        for name, size in SIZES.items()
    ]
    engine = {
        'slots': 4, 'kvCapacityTokens': 100_000, 'weightsMb': 200 * GB,
        'adapterSlots': 2, 'loadsPerS': 20, 'models': models,
    }  # fmt: skip
    routes = [
        route('look', 'idempotent', 'desk'),
        route('book', 'non_idempotent', 'desk'),
        route('open', 'idempotent', 'desk', anonymous=True),
        route('chat', 'streaming', 'pool'),
        route('batch', 'streaming', 'pool', allowResume=True),
    ]
    return {
        'version': version,
        'routes': [{**one, 'timeoutMs': timeout_ms} for one in routes],
        'services': [
            {'name': 'desk', 'maxConns': 100},
            {'name': 'pool', 'maxConns': 100, 'engine': engine},
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 100_000,
            'idleTimeoutMs': 15_000,
        },
        'tenants': [
            {
                'name': 'team', 'apiKeys': list(keys), 'unit': 'tokens',
                'plainTokens': 10, 'ratePerS': rate, 'burst': rate,
            },
        ],
    }  # fmt: skip


@dataclass
class Host:
    """A real host process.

    Attributes
    ----------
    name : str
    first_port : int
    process : subprocess.Popen
    log_path : str
    log_start : int
        Where in its log this process began, in bytes.
    began_at : float
    stop_at, kill_at : float or None
        When it was first told to stop, and when it was killed.
    """

    name: str
    first_port: int
    process: subprocess.Popen[bytes]
    log_path: str
    log_start: int = 0
    began_at: float = field(default_factory=time.monotonic)
    stop_at: float | None = None
    kill_at: float | None = None

    @property
    def front(self) -> int:
        """The port for callers."""
        return self.first_port + 20

    @property
    def directory(self) -> int:
        """The port that tells callers where to connect."""
        return self.first_port + 22

    def log(self) -> str:
        """Return what the host has written."""
        with open(self.log_path, encoding='utf-8') as opened:
            return opened.read()

    def own_log(self) -> str:
        """Return what this process has written."""
        with open(self.log_path, 'rb') as opened:
            opened.seek(self.log_start)
            return opened.read().decode(errors='replace')


@dataclass
class World:
    """The stand-ins and the hosts before them."""

    folder: str
    group: TaskGroup
    store: PlatformStore = field(default_factory=PlatformStore)
    replicas: dict[str, Replica] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    fronts: dict[int, Host] = field(default_factory=dict)
    store_address: str = ''
    ids: int = 0
    bounds: dict[str, Any] = field(default_factory=lambda: dict(BOUNDS))

    async def start_store(self) -> None:
        """Start the store with a configuration in it."""

        async def serve(stream: SocketStream) -> None:
            await serve_store(self.store, stream)

        self.store_address = await listen(serve, self.group)
        self.store.put('keyed.op', 'config', configuration())

    async def add(
        self,
        name: str,
        service: str,
        models: Iterable[str] | None = None,
    ) -> Replica:
        """Start a replica, an engine if it holds models."""
        held: dict[str, set[str]] | None = None
        if models is not None:
            held = {model: set() for model in models}
        replica = Replica(name, service, models=held, sizes=dict(SIZES))

        async def serve(stream: SocketStream) -> None:
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.ClosedResourceError
            ):
                await serve_replica(replica, stream)

        replica.address = await listen(serve, self.group)
        self.replicas[name] = replica
        self.store.put('keyed.servers', name, replica.entry())
        return replica

    def launch(self, name: str, **environment: str) -> Host:
        """Start a host on ports of its own."""
        first = allocate_ports(24)
        path = os.path.join(self.folder, f'{name}.yaml')
        settings = {
            'node': name, 'ip': '127.0.0.1', 'zone': 'z1', 'region': 'r',
            'listen': {
                'front': f'127.0.0.1:{first + 20}',
                'ready': f'127.0.0.1:{first + 21}',
                'directory': f'127.0.0.1:{first + 22}',
            },
            'portRange': [first, first + 15],
            'limits': {'memoryMb': 300},
            'bounds': self.bounds,
            'platform': {'address': self.store_address},
        }  # fmt: skip
        with open(path, 'w', encoding='utf-8') as opened:
            yaml.safe_dump({'host': settings}, opened)
        log_path = os.path.join(self.folder, f'{name}.log')
        with open(log_path, 'a', encoding='utf-8') as log:
            log_start = log.tell()
            process = subprocess.Popen(
                [sys.executable, '-m', 'ebonywell.platform'],
                cwd=ROOT,
                env={
                    **os.environ,
                    'EBONYWELL_NODE_FILE': path,
                    **environment,
                },
                stdout=log,
                stderr=log,
            )
        host = Host(name, first, process, log_path, log_start)
        self.hosts[name] = host
        self.fronts[host.front] = host
        return host

    def set_log(self, host: Host, **log: Any) -> None:
        """Change a host's own settings; it reads them at a reload."""
        path = os.path.join(self.folder, f'{host.name}.yaml')
        with open(path, encoding='utf-8') as opened:
            settings = yaml.safe_load(opened)
        with open(path, 'w', encoding='utf-8') as opened:
            yaml.safe_dump({**settings, 'log': log}, opened)

    async def wait_ready(self) -> None:
        """Wait until all hosts take callers."""
        for host in self.hosts.values():
            with anyio.fail_after(START_S):
                while await self.ready(host) != 200:
                    await anyio.sleep(0.05)

    async def wait_logged(
        self,
        text: str,
        hosts: Iterable[Host] | None = None,
    ) -> Host:
        """Wait until some host has logged a text, and return that host."""
        watched = tuple(hosts or self.hosts.values())
        with anyio.fail_after(START_S):
            while True:
                named = [host for host in watched if text in host.log()]
                if named:
                    return named[0]
                await anyio.sleep(0.05)

    async def wait_ended(self, host: Host) -> int:
        """Wait until a host has ended by itself; return its exit code.

        The platform would end it after the grace period.
        """
        with anyio.fail_after(self.bounds['graceS']):
            while host.process.poll() is None:
                await anyio.sleep(0.05)
        return host.process.returncode

    async def ready(self, host: Host) -> int:
        """Return the status of a readiness check, 0 for no answer."""
        try:
            answer = await get(host.first_port + 21, 'GET', '/ready', {})
        except OSError:
            return 0
        return answer.status

    async def ask(
        self,
        host: Host,
        path: str,
        *,
        key: str | None = KEY,
        body: bytes = b'',
        caller: Caller | None = None,
        **headers: str,
    ) -> Answer:
        """Send a caller's request and return its answer.

        It goes on the caller's connection, else on one of its own.
        """
        self.ids += 1
        sent = {
            'Host': 'app.example',
            'Request-Id': f'id-{self.ids}',
            'Deadline-Ms': '4000',
            **{name.replace('_', '-'): one for name, one in headers.items()},
        }
        if key:
            sent['Authorization'] = f'Bearer {key}'
        if caller is not None:
            return await caller.ask('POST', path, sent, body)
        return await get(host.front, 'POST', path, sent, body)

    async def chat(
        self,
        host: Host,
        model: str = 'm1',
        path: str = '/chat/x',
        **headers: str,
    ) -> Answer:
        """Ask for a stream."""
        named: dict[str, Any] = {
            'Model': model,
            'Token_Count': '100,20',
            **headers,
        }
        return await self.ask(host, path, **named)

    def stop_hosts(self) -> None:
        """Kill all hosts that still run."""
        for host in self.hosts.values():
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGKILL)
            host.process.wait()


def play(
    folder: object,
    story: Callable[[World], Awaitable[None]],
    hosts: Iterable[str] = ('host-1',),
    **bounds: Any,
) -> None:
    """Run a story in a world with some replicas and hosts."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            world = World(str(folder), group)
            world.bounds.update(bounds)
            await world.start_store()
            await world.add('desk-1', 'desk')
            await world.add('desk-2', 'desk')
            await world.add('pool-1', 'pool', ['m1', 'm2'])
            await world.add('pool-2', 'pool', ['m1', 'm3'])
            for name in hosts:
                world.launch(name)
            try:
                await world.wait_ready()
                await story(world)
            finally:
                world.stop_hosts()
                group.cancel_scope.cancel()

    anyio.run(run)


def events_of(body: bytes) -> list[int]:
    """Return the numbers of the events in a stream."""
    return [
        int(line[4:]) for line in body.splitlines() if line.startswith(b'id: ')
    ]


def decode(answer: Answer) -> Any:
    """Return an answer's JSON body."""
    return json.loads(answer.body)
