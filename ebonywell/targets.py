"""Polls the host list and the targets' reports."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar
from urllib.parse import urlsplit

import anyio
import msgspec

from .exceptions import SettingsError, TargetError, TransportError
from .logs import Logger
from .misc import split_address
from .transport import HttpClient, check_status, decode_answer
from .types import HostState

POLL_INTERVAL_S = 1.0
POLL_TIMEOUT_S = 1.0
_Answer = TypeVar('_Answer')


class ListedHost(msgspec.Struct, frozen=True):
    """A line of the platform's host list."""

    name: str
    role: str
    address: str
    zone: str = ''
    state: HostState = HostState.live
    peer_address: str = ''


class HostList(msgspec.Struct, frozen=True):
    """The platform's host list."""

    hosts: tuple[ListedHost, ...]


class ResidentModel(msgspec.Struct, frozen=True):
    """A model that is loading or ready in an engine's memory."""

    model: str
    bytes: int
    state: str
    adapters: tuple[str, ...] = ()


class Report(msgspec.Struct, frozen=True):
    """A target's report about itself. Its load figures may be out of date."""

    name: str
    incarnation: str
    role: str = 'engine'
    zone: str = ''
    memory_bytes: int = 0
    used_bytes: int = 0
    checks_fencing: bool = False
    fencing: int = 0
    draining: bool = False
    queue_depth: int = 0
    running: int = 0
    max_running: int = 0
    models: tuple[ResidentModel, ...] = ()


@dataclass(slots=True)
class Target:
    """A target with its newest report.

    Attributes
    ----------
    listed : ListedHost
    report : Report or None
        The newest report, None before the first.
    reported_at : float
        When the newest report was received, in seconds by this process's
        clock.
    failing : bool
        Whether the last poll failed.
    in_flight : int
        Requests that this process has in flight to the target.
    """

    listed: ListedHost
    report: Report | None = None
    reported_at: float = 0
    failing: bool = False
    in_flight: int = 0

    @property
    def name(self) -> str:
        """The target's name in the host list."""
        return self.listed.name

    @property
    def is_leaving(self) -> bool:
        """Whether the target is leaving, by the host list or its own report."""
        draining = self.report is not None and self.report.draining
        return draining or self.listed.state == HostState.leaving


@dataclass(slots=True)
class TargetTable:
    """All targets, by name."""

    by_name: dict[str, Target] = field(default_factory=dict)


class Targets:
    """Polls the host list and the targets' reports.

    Attributes
    ----------
    table : TargetTable
        Read by all services of the process, and changed only by this one.
    listed : tuple of ListedHost
        Usable lines of the newest host list, including entry hosts.
    unusable : set of ListedHost
        Lines of the newest host list with invalid addresses, which are
        ignored.
    """

    def __init__(
        self,
        host_list_url: str,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.host_list_url = host_list_url
        self.log = log
        self.clock = clock
        self.table = TargetTable()
        self.listed: tuple[ListedHost, ...] = ()
        self.unusable: set[ListedHost] = set()
        self.client = HttpClient()

    async def run(self, ready: Callable[[], None]) -> None:
        """Poll until cancelled. The service is ready after the first round."""
        async with self.client:
            await self._poll_host_list()
            await self._poll_all()
            ready()
            while True:
                await anyio.sleep(POLL_INTERVAL_S)
                await self._poll_all()

    async def stop(self) -> None:
        """Do nothing, because polling needs no cleanup."""

    async def probe(self, target: Target) -> str | None:
        """Poll a target and return its incarnation, None if the poll failed."""
        await self.poll_target(target)
        if target.failing or target.report is None:
            return None
        return target.report.incarnation

    async def poll_target(self, target: Target) -> None:
        """Request a target's report now."""
        address = target.listed.address
        try:
            report = await self._get(f'http://{address}/report', Report)
        except TargetError as error:
            if not target.failing:
                self.log('target_silent', target=target.name, reason=str(error))
            target.failing = True
            return
        target.report = report
        target.reported_at = self.clock()
        target.failing = False

    async def _poll_all(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._poll_host_list)
            for target in self.table.by_name.values():
                group.start_soon(self.poll_target, target)

    async def _poll_host_list(self) -> None:
        url = f'{self.host_list_url}/hosts'
        try:
            self._apply_host_list(await self._get(url, HostList))
        except TargetError as error:
            # Keep the previous list. An outage of the host list must not
            # remove targets.
            self.log('host_list_unreadable', reason=str(error))
        update_listed(self.table, self.listed)

    def _apply_host_list(self, answer: HostList) -> None:
        unusable = {line for line in answer.hosts if not _is_usable(line)}
        for line in unusable - self.unusable:
            self.log(
                'host_line_unusable',
                name=line.name,
                address=line.address,
                peer_address=line.peer_address,
            )
        self.unusable = unusable
        self.listed = tuple(
            host for host in answer.hosts if host not in unusable
        )

    async def _get(self, url: str, kind: type[_Answer]) -> _Answer:
        try:
            response = await self.client.request('GET', url, POLL_TIMEOUT_S)
            return decode_answer(check_status(response, url), kind)
        except TransportError as error:
            raise TargetError(str(error)) from error


def _is_usable(line: ListedHost) -> bool:
    try:
        split_address(line.address)
        if line.peer_address:
            split_address(line.peer_address)
        # An IPv6 address without brackets is not valid in a URL.
        return urlsplit(f'//{line.address}').port is not None
    except (SettingsError, ValueError):
        return False


def update_listed(
    table: TargetTable,
    listed: tuple[ListedHost, ...],
) -> None:
    """Add, update and remove targets so that the table matches the list."""
    targets = {host.name: host for host in listed if host.role != 'entry'}
    for gone in set(table.by_name) - set(targets):
        table.by_name.pop(gone)
    for name, host in targets.items():
        known = table.by_name.get(name)
        if known is None or known.listed.address != host.address:
            table.by_name[name] = Target(host)
        else:
            known.listed = host
