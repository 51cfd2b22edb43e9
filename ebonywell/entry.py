"""Assembles an entry process from its services and runs it."""

import signal
from collections import Counter
from collections.abc import Mapping
from typing import Any

import anyio

from . import changes, logs
from .checkpointer import Checkpointer
from .config import Settings
from .fleet import Announcer, Fleet
from .kernel import Kernel
from .logclient import LogClient
from .metrics import Metrics
from .operations import Operations
from .planner import Planner
from .records import Record
from .replica import Replica
from .requests import Requests
from .targets import Targets
from .timeline import Timeline
from .types import HostId, new_incarnation
from .web import Web, stopping_refusal


class Entry:
    """One entry process.

    Attributes
    ----------
    kernel : Kernel
    replica : Replica
    targets : Targets
    planner : Planner
    requests : Requests
    calls : Calls
    web : Web
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.host = HostId(settings.host_id, new_incarnation())
        self.log = logs.bind(logs.write_event, host=settings.host_id)
        self.kernel = Kernel()
        self.timeline = Timeline(str(self.host))
        self.metrics = Metrics()
        self.replica = Replica(
            LogClient(settings.log_url),
            self.host,
            self.log,
        )
        self.targets = Targets(settings.host_list_url, self.log)
        self.fleet = Fleet(
            settings,
            self.host,
            self.replica,
            lambda: self.targets.listed,
            self.log,
        )
        self.requests = Requests(
            self.replica,
            self.targets,
            self.fleet,
            str(self.host),
            settings.zone,
            self.log,
        )
        self.calls = self.requests.calls
        self.checkpointer = Checkpointer(
            self.replica,
            settings.log_retention_s,
            self.rank,
            self.log,
        )
        self.operations = Operations(
            self.replica,
            settings.operator_token,
            self.timeline,
            self.metrics,
        )
        self.web = Web(
            settings,
            self.replica,
            self.calls,
            self.check_serving,
            self.hosts,
            self.log,
            [
                *self.operations.routes(),
                *self.fleet.routes(),
            ],
        )
        self.planner = Planner(
            self.replica,
            self.targets,
            self.demand,
            self.log,
        )
        self.replica.watchers.append(self._cut_withdrawn)
        self.kernel.add('targets', self.targets)
        self.fleet.add_to(self.kernel)
        self.kernel.add('planner', self.planner)
        self.kernel.add('checkpointer', self.checkpointer)
        for name, service in self.requests.services():
            self.kernel.add(name, service)
        self.kernel.add('web', self.web)
        self.kernel.add('announcer', Announcer(self.fleet.membership))

    def check_serving(self) -> None:
        """Raise RefusedError while this process must not take calls."""
        self.fleet.check_fresh()

    def demand(self) -> Mapping[str, float]:
        """Return the requests of this process that run now, by model."""
        return Counter(
            opened.call.entry.name
            for opened in self.calls.open.values()
            if opened.call.is_model
        )

    def rank(self) -> int:
        """Return this host's place among the live entry hosts, from 0."""
        names = sorted(
            host.name
            for host in self.targets.listed
            if host.role == 'entry' and host.state == 'live'
        )
        name = self.settings.host_id
        return names.index(name) if name in names else len(names)

    def hosts(self) -> Any:
        """Return what ``GET /v1/hosts`` answers."""
        zones = self.fleet.membership.hosts()
        return {'zones': zones, 'ttl_s': self.settings.hosts_ttl_s}

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop gracefully.

        Raises
        ------
        ExceptionGroup
            What failing services raised.
        """
        stopping = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_signals, stopping)
            await self.kernel.run(stopping)
            group.cancel_scope.cancel()
        self.log('stopped')

    async def _watch_signals(self, stopping: anyio.Event) -> None:
        signals = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*signals) as received:
            async for number in received:
                self.log('signal', number=int(number))
                if stopping.is_set():
                    self.web.server.should_exit = True
                    self.calls.abort(stopping_refusal())
                stopping.set()

    def _cut_withdrawn(self, _: int, record: Record, counted: bool) -> None:
        if counted and isinstance(record.body, changes.CatalogueRecord):
            count = self.calls.cut_unapproved(self.replica.state.catalogue)
            if count:
                self.log('calls_cut', count=count)


def run(settings: Settings, backend_options: dict[str, Any]) -> None:
    """Run an entry process to its end."""
    logs.start_logging()
    anyio.run(_run, settings, backend_options=backend_options)


async def _run(settings: Settings) -> None:
    await Entry(settings).run()
