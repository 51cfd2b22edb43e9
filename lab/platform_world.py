"""Small deployment on loopback: real hosts in front of stand-in back ends."""

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

from .platform_caller import Answer, Caller, request_once
from .ports import allocate_ports
from .standin_platform import PlatformStore, serve_store
from .standin_replica import Replica, listen, serve_replica

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
API_KEY = 'key-of-team'
MB_PER_GB = 1000
MODEL_SIZES_GB = {'m1': 70, 'm2': 70, 'm3': 70, 'm4': 70}
START_TIMEOUT_S = 10
BOUNDS = {
    'drainMs': 2000, 'configMs': 2000, 'revokeMs': 5000, 'graceS': 8,
    'leaseMs': 1000, 'requireFence': True, 'retryBudgetRatio': 0.2,
    'budgetWindowS': 10, 'budgetSlack': 56, 'quotaWindowS': 8,
    'quotaOvershoot': 0.1, 'quotaSlack': 17000, 'ceilingWindowS': 5,
    'ceilingOvershoot': 1.1, 'ttl_max_s': 5,
}  # fmt: skip


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return one route of a configuration; `fields` replace its defaults."""
    return {
        'name': name, 'host': 'app.example', 'pathPrefix': f'/{name}/',
        'kind': kind, 'timeoutMs': 4000, 'goalMs': 500, 'priority': 1,
        'service': service, 'maxAttempts': 2, 'anonymous': False, **fields,
    }  # fmt: skip


def configuration(
    version: int = 1,
    keys: Iterable[str] = (API_KEY,),
    rate: float = 10_000,
    timeout_ms: int = 4000,
) -> dict[str, Any]:
    """Return a configuration with two services and one workspace."""
    models = [
        {
            'name': name,
            'weightsMb': size * MB_PER_GB,
            'loadS': 0.2,
            'diskS': 0.1,
            'warmS': 0.1,
            'adapters': 9,
            'adapterMb': 1,
        }  # fmt: skip
        for name, size in MODEL_SIZES_GB.items()
    ]
    engine = {
        'slots': 4, 'kvCapacityTokens': 100_000, 'weightsMb': 200 * MB_PER_GB,
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
            'headerTimeoutMs': 1_500, 'idleTimeoutMs': 15_000,
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
        Start of the port range that the host uses.
    process : subprocess.Popen
    log_path : str
        Log file, to which all processes of this host append.
    log_start : int
        Offset in the log file where this process's output begins, in bytes.
    started_at : float
    stop_requested_at, killed_at : float or None
        When the first signal to stop was sent, and when it was killed.
    """

    name: str
    first_port: int
    process: subprocess.Popen[bytes]
    log_path: str
    log_start: int = 0
    started_at: float = field(default_factory=time.monotonic)
    stop_requested_at: float | None = None
    killed_at: float | None = None

    @property
    def front(self) -> int:
        """The port that callers send requests to."""
        return self.first_port + 20

    @property
    def directory_port(self) -> int:
        """The port of the directory, which lists the addresses for callers."""
        return self.first_port + 22

    def log(self) -> str:
        """Return the log of all processes of this host."""
        with open(self.log_path, encoding='utf-8') as opened:
            return opened.read()

    def process_log(self) -> str:
        """Return the log of this process only."""
        with open(self.log_path, 'rb') as opened:
            opened.seek(self.log_start)
            return opened.read().decode(errors='replace')


@dataclass
class World:
    """Stand-ins of the platform, and the hosts in front of them.

    Attributes
    ----------
    folder : str
        Holds the hosts' settings and logs.
    group : TaskGroup
        Runs the stand-ins.
    store : PlatformStore
    replicas : dict of str to Replica
    listeners : dict of str to CancelScope
        Cancelling one closes the listening socket of that replica.
    hosts : dict of str to Host
        The last process of each host.
    hosts_by_port : dict of int to Host
        Hosts by the port for callers, including ended processes.
    store_address : str
    ids : int
        Number of the last request id.
    bounds : dict of str to Any
        Bounds in the hosts' settings.
    """

    folder: str
    group: TaskGroup
    store: PlatformStore = field(default_factory=PlatformStore)
    replicas: dict[str, Replica] = field(default_factory=dict)
    listeners: dict[str, anyio.CancelScope] = field(default_factory=dict)
    hosts: dict[str, Host] = field(default_factory=dict)
    hosts_by_port: dict[int, Host] = field(default_factory=dict)
    store_address: str = ''
    ids: int = 0
    bounds: dict[str, Any] = field(default_factory=lambda: dict(BOUNDS))

    async def start_store(self) -> None:
        """Start the store and write a configuration into it."""

        async def serve(stream: SocketStream) -> None:
            await serve_store(self.store, stream)

        self.store_address = await listen(serve, self.group)
        self.store.put('keyed.op', 'config', configuration())

    async def add_replica(
        self,
        name: str,
        service: str,
        models: Iterable[str] | None = None,
    ) -> Replica:
        """Start a replica: an engine if it has models, else a plain service."""
        loaded: dict[str, set[str]] | None = None
        if models is not None:
            loaded = {model: set() for model in models}
        replica = Replica(
            name, service, models=loaded, sizes=dict(MODEL_SIZES_GB)
        )

        self.replicas[name] = replica
        await self._start_replica(replica)
        return replica

    def crash_replica(self, replica: Replica, down_s: float) -> None:
        """End a replica's process; it starts again empty after `down_s`.

        Its port refuses connections until then.
        """
        replica.crash()
        self.listeners.pop(replica.name).cancel()
        self.group.start_soon(self._restart_replica, replica, down_s)

    def launch(self, name: str, root: str = ROOT, **environment: str) -> Host:
        """Start a host process, of the code in a folder, on free ports."""
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
                cwd=root,
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
        self.hosts_by_port[host.front] = host
        return host

    def set_log(self, host: Host, **log: Any) -> None:
        """Write a host's log settings, which it reads at its next reload."""
        path = os.path.join(self.folder, f'{host.name}.yaml')
        with open(path, encoding='utf-8') as opened:
            settings = yaml.safe_load(opened)
        with open(path, 'w', encoding='utf-8') as opened:
            yaml.safe_dump({**settings, 'log': log}, opened)

    async def wait_ready(self) -> None:
        """Wait until all hosts report that they are ready for callers."""
        for host in self.hosts.values():
            with anyio.fail_after(START_TIMEOUT_S):
                while await self.ready(host) != 200:
                    await anyio.sleep(0.05)

    async def wait_logged(
        self,
        text: str,
        hosts: Iterable[Host] | None = None,
    ) -> Host:
        """Wait until a host has logged a text, and return that host."""
        watched = tuple(hosts or self.hosts.values())
        with anyio.fail_after(START_TIMEOUT_S):
            while True:
                matching = [host for host in watched if text in host.log()]
                if matching:
                    return matching[0]
                await anyio.sleep(0.05)

    async def wait_ended(self, host: Host) -> int:
        """Wait until a host's process has exited; return its exit code.

        Fails after the grace period, when the platform would kill it.
        """
        with anyio.fail_after(self.bounds['graceS']):
            while host.process.poll() is None:
                await anyio.sleep(0.05)
        return host.process.returncode

    async def ready(self, host: Host) -> int:
        """Return the status of a readiness check, or 0 without an answer."""
        try:
            answer = await request_once(
                host.first_port + 21, 'GET', '/ready', {}
            )
        except OSError:
            return 0
        return answer.status

    async def ask(
        self,
        host: Host,
        path: str,
        *,
        key: str | None = API_KEY,
        body: bytes = b'',
        caller: Caller | None = None,
        **headers: str,
    ) -> Answer:
        """Send a request to a host and return its answer.

        It is sent on the connection of `caller`, or on a new one if that is
        None. Underscores in the names of `headers` become hyphens.
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
        return await request_once(host.front, 'POST', path, sent, body)

    async def chat(
        self,
        host: Host,
        model: str = 'm1',
        path: str = '/chat/x',
        **headers: str,
    ) -> Answer:
        """Request a stream from a model."""
        all_headers: dict[str, Any] = {
            'Model': model,
            'Token_Count': '100,20',
            **headers,
        }
        return await self.ask(host, path, **all_headers)

    def stop_hosts(self) -> None:
        """Kill all hosts that are still running."""
        for host in self.hosts.values():
            if host.process.poll() is None:
                host.process.send_signal(signal.SIGKILL)
            host.process.wait()

    async def _restart_replica(self, replica: Replica, down_s: float) -> None:
        await anyio.sleep(down_s)
        replica.restart()
        _, _, port = replica.address.partition(':')
        await self._start_replica(replica, int(port))

    async def _start_replica(self, replica: Replica, port: int = 0) -> None:
        """Serve connections to a replica, and announce it."""

        async def serve(stream: SocketStream) -> None:
            with contextlib.suppress(
                anyio.BrokenResourceError, anyio.ClosedResourceError
            ):
                await serve_replica(replica, stream)

        scope = anyio.CancelScope()
        replica.address = await listen(serve, self.group, port, scope)
        self.listeners[replica.name] = scope
        self.store.put('keyed.servers', replica.name, replica.entry())


def run_scenario(
    folder: object,
    scenario: Callable[[World], Awaitable[None]],
    hosts: Iterable[str] = ('host-1',),
    **bounds: Any,
) -> None:
    """Run a scenario on a deployment of four replicas and the named hosts."""

    async def run() -> None:
        async with anyio.create_task_group() as group:
            world = World(str(folder), group)
            world.bounds.update(bounds)
            await world.start_store()
            await world.add_replica('desk-1', 'desk')
            await world.add_replica('desk-2', 'desk')
            await world.add_replica('pool-1', 'pool', ['m1', 'm2'])
            await world.add_replica('pool-2', 'pool', ['m1', 'm3'])
            for name in hosts:
                world.launch(name)
            try:
                await world.wait_ready()
                await scenario(world)
            finally:
                world.stop_hosts()
                group.cancel_scope.cancel()

    anyio.run(run)


def events_of(body: bytes) -> list[int]:
    """Return the event numbers in a stream's body."""
    return [
        int(line[4:]) for line in body.splitlines() if line.startswith(b'id: ')
    ]


def releases_of(body: bytes) -> frozenset[int]:
    """Return the releases of the replicas that made a stream's events."""
    return frozenset(
        int(line.rpartition(b' ')[2])
        for line in body.splitlines()
        if line.startswith(b'data: release ')
    )


def decode(answer: Answer) -> Any:
    """Return an answer's JSON body."""
    return json.loads(answer.body)
