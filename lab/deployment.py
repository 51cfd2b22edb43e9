"""Runs a deployment of entry processes and stand-ins on loopback."""

import secrets
import tempfile
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import ExitStack
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import anyio

from .client import Client, ClientError
from .commands import Operator
from .processes import Member, ProcessError, start, stop
from .shape import (
    SAMPLE_CATALOGUE,
    EntryAddresses,
    PlatformUrls,
    Shape,
    engine_arguments,
    entry_arguments,
    log_arguments,
    service_arguments,
)

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
# Covers two rounds of polls that an entry process makes of its targets.
TARGET_DISCOVERY_S = 1.5
_STATUS_OK = 200
_MAX_REASON_CHARACTERS = 500
_StartFunction = Callable[[str, list[str]], Coroutine[Any, Any, None]]


class Deployment:
    """Processes of one deployment, which stop when the context exits.

    Attributes
    ----------
    shape : Shape
    platform : dict of str to Member
        The stand-ins ``log``, ``hosts`` and ``weights``, by name.
    targets : dict of str to Member
        Stand-ins for engines and plain services, by name.
    entries : dict of str to Member
        The entry processes ``entry-1``, ``entry-2`` and so on, by name. A
        process that has exited stays here until it is replaced.
    addresses : dict of str to EntryAddresses
        The addresses of each entry process, by name. A restarted process
        uses the same addresses, unless it is started with new ones.
    replaced_entries : list of Member
        Entry processes that have been replaced by new ones.
    client : Client
    logs : Path
        The directory that holds one log file for each process.
    secrets : dict of str to str
        Environment variables that hold the operator token and the fleet
        secret. They are not passed as arguments, because arguments appear
        in the process list.
    operator : Operator
    """

    def __init__(self, shape: Shape | None = None) -> None:
        self.shape = shape or Shape()
        self.platform: dict[str, Member] = {}
        self.targets: dict[str, Member] = {}
        self.entries: dict[str, Member] = {}
        self.addresses: dict[str, EntryAddresses] = {}
        self.replaced_entries: list[Member] = []
        self.client = Client()
        self.logs = Path()
        self.secrets = {
            'EBONYWELL_OPERATOR_TOKEN': secrets.token_hex(16),
            'EBONYWELL_FLEET_SECRET': secrets.token_hex(16),
        }
        self.operator = Operator(self.entry_urls, self.secrets)
        self.exit_stack = ExitStack()

    async def __aenter__(self) -> Self:
        directory = tempfile.TemporaryDirectory(prefix='ebonywell-')
        self.logs = Path(self.exit_stack.enter_context(directory))
        await self.client.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._stop()

    @property
    def members(self) -> list[Member]:
        """All current processes, entry processes first."""
        parts = (self.entries, self.targets, self.platform)
        return [member for part in parts for member in part.values()]

    def find(self, name: str) -> Member:
        """Return a process by its name.

        Raises
        ------
        ProcessError
            If no process has this name.
        """
        for member in self.members:
            if member.name == name:
                return member
        raise ProcessError(f'no process {name}')

    def entry_urls(self) -> list[str]:
        """Return the URLs of the running entry processes."""
        return [
            member.url
            for member in self.entries.values()
            if member.is_running()
        ]

    async def start_entry(
        self,
        name: str,
        *,
        has_new_addresses: bool = False,
    ) -> Member:
        """Start an entry process and wait until it is ready.

        Parameters
        ----------
        name : str
            The host id. A process that has exited under the same name is
            replaced.
        has_new_addresses : bool
            Whether the process listens on new addresses, as on a replaced
            machine.

        Raises
        ------
        ProcessError
            If the process does not become ready.
        """
        before = self.entries.get(name)
        if before is not None:
            self.replaced_entries.append(before)
        if has_new_addresses or name not in self.addresses:
            self.addresses[name] = EntryAddresses()
        addresses = self.addresses[name]
        arguments = entry_arguments(
            self.shape,
            self._platform_urls(),
            name,
            addresses,
        )
        member = await start(
            name,
            arguments,
            self.logs,
            self.secrets,
            addresses.listen,
        )
        self.entries[name] = member
        await wait_until(lambda: self._is_ready(member), f'{name} ready')
        return member

    async def apply_catalogue(self, catalogue: Path = SAMPLE_CATALOGUE) -> None:
        """Apply a catalogue and wait until its models are loaded."""
        await self.operator.run_json('catalogue', 'apply', str(catalogue))
        models = set(entry_names(catalogue, 'model'))
        await wait_until(
            lambda: _are_models_loaded(self, models), 'models loaded'
        )
        await anyio.sleep(TARGET_DISCOVERY_S)

    async def set_fault(self, name: str, fault: str, **fields: Any) -> None:
        """Inject a fault into a stand-in."""
        await self.client.ask(
            'POST',
            f'{self.find(name).url}/fault',
            body={'name': fault, **fields},
        )

    async def clear_faults(self, name: str) -> None:
        """Clear all faults of a stand-in."""
        await self.client.ask('DELETE', f'{self.find(name).url}/fault')

    async def read_journal(self, name: str) -> list[dict[str, Any]]:
        """Return the requests of callers that a target has received."""
        url = f'{self.targets[name].url}/journal'
        answer = await self.client.ask('GET', url)
        journal: list[dict[str, Any]] = answer.json()
        return journal

    async def _start(self) -> None:
        start_platform = self._starter(self.platform)
        async with anyio.create_task_group() as group:
            group.start_soon(start_platform, 'log', log_arguments(self.shape))
            group.start_soon(start_platform, 'hosts', ['lab.standin_hosts'])
            group.start_soon(start_platform, 'weights', ['lab.standin_weights'])
        urls = self._platform_urls()
        start_target = self._starter(self.targets)
        async with anyio.create_task_group() as group:
            for engine in self.shape.engines:
                arguments = engine_arguments(self.shape, urls, engine)
                group.start_soon(start_target, engine, arguments)
            for service in self.shape.services:
                arguments = service_arguments(self.shape, urls, service)
                group.start_soon(start_target, service, arguments)
        async with anyio.create_task_group() as group:
            for number in range(1, self.shape.entries + 1):
                group.start_soon(self.start_entry, f'entry-{number}')

    def _starter(
        self,
        members: dict[str, Member],
    ) -> _StartFunction:
        async def start_member(name: str, arguments: list[str]) -> None:
            members[name] = await start(name, arguments, self.logs, {})

        return start_member

    async def _stop(self) -> None:
        with anyio.CancelScope(shield=True):
            await stop([*self.replaced_entries, *self.entries.values()])
            await stop([*self.targets.values(), *self.platform.values()])
            await self.client.__aexit__(None, None, None)
        self.exit_stack.close()

    def _platform_urls(self) -> PlatformUrls:
        return PlatformUrls(
            self.platform['log'].url,
            self.platform['hosts'].url,
            self.platform['weights'].url,
        )

    async def _is_ready(self, member: Member) -> bool:
        if not member.is_running():
            reason = member.read_log()[-_MAX_REASON_CHARACTERS:]
            raise ProcessError(f'{member.name} exited early: {reason}')
        try:
            answer = await self.client.ask('GET', f'{member.url}/readyz')
        except ClientError:
            return False
        return answer.status == _STATUS_OK


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    description: str,
    timeout_s: float = READY_TIMEOUT_S,
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    ProcessError
        If the condition does not hold within the time-out.
    """
    with anyio.move_on_after(timeout_s):
        while not await condition():
            await anyio.sleep(POLL_INTERVAL_S)
        return
    raise ProcessError(f'timed out waiting for: {description}')


def entry_names(catalogue: Path, kind: str) -> list[str]:
    """Return the names of the entries of one kind in a catalogue file."""
    parsed = tomllib.loads(catalogue.read_text())
    return [one['name'] for one in parsed['entry'] if one['kind'] == kind]


async def _are_models_loaded(deployment: Deployment, models: set[str]) -> bool:
    loaded: set[str] = set()
    for name in deployment.shape.engines:
        url = f'{deployment.targets[name].url}/report'
        report = (await deployment.client.ask('GET', url)).json()
        loaded |= {
            one['model'] for one in report['models'] if one['state'] == 'ready'
        }
    return models <= loaded
