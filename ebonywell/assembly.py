"""Puts the services of an entry process together, each under its name.

A service is given what it needs by name from the kernel. Services start in
the order in which they are added here and stop in reverse.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from .calls import Calls
from .checkpointer import Checkpointer
from .config import Settings
from .fleet import Announcer, Fleet
from .gauges import add_sources, note_calls
from .kernel import Kernel
from .logclient import LogClient
from .logs import Logger, bind, write_event
from .metrics import Metrics
from .moves import make_pace
from .operations import Operations
from .peers import Peers
from .planner import Planner
from .replica import Replica
from .requests import Requests
from .targets import Targets
from .timeline import Timeline
from .types import HostId
from .usage import Usage
from .web import Web
from .withdrawals import Withdrawals

TIMELINE = 'timeline'
METRICS = 'metrics'
TARGETS = 'targets'
PEERS = 'peers'
REPLICA = 'replica'
USAGE = 'usage'
PLANNER = 'planner'
CHECKPOINTER = 'checkpointer'
CALLS = 'calls'
WEB = 'web'
ANNOUNCER = 'announcer'


def build(settings: Settings, host: HostId) -> Kernel:
    """Return a kernel with all services of an entry process.

    Parameters
    ----------
    settings : Settings
        Already checked.
    host : HostId
        This life of the host.
    """
    kernel = Kernel()
    log = bind(write_event, host=host.name)
    timeline = Timeline(str(host), log)
    kernel.add(TIMELINE, timeline)
    kernel.add(METRICS, Metrics())
    kernel.add(TARGETS, Targets(settings.host_list_url, timeline.record))
    replica = Replica(LogClient(settings.log_url), host, timeline.record)
    fleet = _add_fleet(kernel, settings, host, replica)
    _add_control(kernel, settings)
    _add_requests(kernel, settings, fleet)
    _add_metrics(kernel)
    _add_edge(kernel, settings, fleet)
    return kernel


def find_log(kernel: Kernel) -> Logger:
    """Return what writes an event to the log and the time line."""
    return kernel.find(TIMELINE, Timeline).record


def _add_fleet(
    kernel: Kernel,
    settings: Settings,
    host: HostId,
    replica: Replica,
) -> Fleet:
    targets = kernel.find(TARGETS, Targets)
    fleet = Fleet(
        settings,
        host,
        replica,
        lambda: targets.listed,
        find_log(kernel),
    )
    fleet.add_to(kernel)
    replica.appender.fleet_size = lambda: max(
        1,
        len(replica.state.registry.members),
    )
    return fleet


def _add_control(kernel: Kernel, settings: Settings) -> None:
    replica = kernel.find(REPLICA, Replica)
    log = find_log(kernel)

    def count_running() -> Mapping[str, float]:
        return _count_running(kernel.find(CALLS, Calls))

    usage = Usage(replica, kernel.find(PEERS, Peers), count_running, log)
    kernel.add(USAGE, usage)
    targets = kernel.find(TARGETS, Targets)
    planner = Planner(replica, targets, usage.observe, log)
    planner.notes.pace = make_pace(settings.loads_per_s, settings.load_s)
    kernel.add(PLANNER, planner)
    kernel.add(
        CHECKPOINTER,
        Checkpointer(
            replica,
            settings.log_retention_s,
            lambda: _rank(replica),
            log,
        ),
    )


def _add_requests(kernel: Kernel, settings: Settings, fleet: Fleet) -> None:
    replica = kernel.find(REPLICA, Replica)
    log = find_log(kernel)
    requests = Requests(
        replica,
        kernel.find(TARGETS, Targets),
        fleet,
        str(replica.host),
        settings.zone,
        log,
    )
    for name, service in requests.services():
        kernel.add(name, service)


def _add_metrics(kernel: Kernel) -> None:
    timeline = kernel.find(TIMELINE, Timeline)
    metrics = kernel.find(METRICS, Metrics)
    calls = kernel.find(CALLS, Calls)
    calls.note_ended = note_calls(timeline, metrics)
    add_sources(
        metrics,
        timeline,
        kernel.find(REPLICA, Replica),
        kernel.find(PEERS, Peers),
        calls,
    )


def _add_edge(kernel: Kernel, settings: Settings, fleet: Fleet) -> None:
    replica = kernel.find(REPLICA, Replica)
    withdrawals = Withdrawals(
        replica,
        kernel.find(PEERS, Peers),
        kernel.find(CALLS, Calls),
        find_log(kernel),
    )
    operations = Operations(
        replica,
        settings.operator_token,
        kernel.find(TIMELINE, Timeline),
        kernel.find(METRICS, Metrics),
        withdraw=withdrawals.block_on_all_hosts,
        end_host=fleet.membership.confirm_ended,
    )

    def list_hosts() -> Any:
        zones = fleet.membership.hosts()
        return {'zones': zones, 'ttl_s': settings.hosts_ttl_s}

    web = Web(
        settings,
        replica,
        kernel.find(CALLS, Calls),
        fleet.check_fresh,
        list_hosts,
        find_log(kernel),
        [*operations.routes(), *fleet.routes()],
    )
    web.check_call = withdrawals.check
    kernel.add(WEB, web)
    kernel.add(ANNOUNCER, Announcer(fleet.membership))


def _rank(replica: Replica) -> int:
    """Return this host's place among those registered, from 0."""
    names = sorted(replica.state.registry.members)
    name = replica.host.name
    return names.index(name) if name in names else len(names)


def _count_running(calls: Calls) -> Mapping[str, float]:
    return Counter(
        opened.call.entry.name
        for opened in calls.open.values()
        if opened.call.is_model
    )
