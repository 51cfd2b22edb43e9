"""Builds the request path of a host from its components."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from .attempts import Attempts
from .charging import make_charge
from .coordination import Coordination
from .crashguard import CrashGuard, detect_crashes
from .gateway import Gateway
from .gossip import Gossip
from .hostknowledge import Knowledge
from .hostsettings import HostSettings
from .loadrequests import LoadRequests
from .logs import Logger
from .metrics import Metrics
from .peerforwarding import PeerForwarder
from .prefixes import PrefixIndex
from .proxying import Proxy
from .retries import RetryBudgets
from .sharedstore import SharedStore
from .streamorigins import StreamOrigins
from .targeting import TargetSelector
from .targetlimits import TargetLimits
from .translators import Translators
from .upstream import ConnectionPool


@dataclass(slots=True, frozen=True)
class Observers:
    """Log, metrics and random number generator of the request path."""

    log: Logger
    metrics: Metrics
    rng: random.Random


def make_coordination(
    known: Knowledge,
    gossip: Gossip,
    store: SharedStore,
    own_topic: str,
    is_ready: Callable[[], bool],
    life: Callable[[], int | None],
    observers: Observers,
) -> Coordination:
    """Return what a host decides together with the other hosts.

    Parameters
    ----------
    known : Knowledge
    gossip : Gossip
    store : SharedStore
    own_topic : str
        Topic of the hosts' own records.
    is_ready : callable
        Returns whether this host serves callers.
    life : callable
        Returns the store offset of its start, None before it has joined.
    observers : Observers
    """
    log = observers.log
    name = known.fleet.own_name
    return Coordination(
        CrashGuard(name, gossip.broadcast, log, observers.metrics),
        TargetLimits(known.fleet, gossip, is_ready, log, observers.metrics),
        StreamOrigins(
            store,
            own_topic,
            known.fleet,
            known.inventory,
            gossip,
            life,
            known.list_resumable_services,
            log,
        ),
    )


def make_gateway(
    settings: HostSettings,
    known: Knowledge,
    pool: ConnectionPool,
    wants: LoadRequests,
    coordination: Coordination,
    translators: Translators,
    forwarder: PeerForwarder,
    observers: Observers,
) -> Gateway:
    """Return the gateway of one host with all of its components."""
    bounds = settings.bounds
    guard = coordination.guard
    targeting = TargetSelector(
        settings.zone,
        known.inventory,
        known.board,
        known.health,
        PrefixIndex(),
        known.engine_of,
        coordination.limits,
        observers.log,
        observers.rng,
    )
    budgets = RetryBudgets(
        bounds.retry_window_s,
        bounds.retry_ratio,
        bounds.retry_slack,
        lambda: known.fleet.size,
    )
    attempts = Attempts(
        pool,
        known.board,
        known.health,
        translators.target_format,
        targeting,
        coordination,
        forwarder.reach,
        observers.log,
    )
    detect_crashes(guard, pool)
    proxy = Proxy(
        attempts,
        budgets.for_service,
        targeting,
        guard,
        forwarder,
        observers.log,
    )
    gateway = Gateway(
        known.intake,
        targeting,
        proxy,
        make_charge(known.limits, observers.log),
        wants,
        known.demand,
        guard,
        forwarder,
        observers.log,
        observers.metrics,
    )
    guard.on_quarantine = gateway.stop_quarantined
    return gateway
