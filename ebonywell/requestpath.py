"""Builds the request path of a host from its components."""

import functools
import random
from dataclasses import dataclass

from .attempts import Attempts
from .charging import make_charge
from .coordination import Coordination
from .crashguard import detect_crashes
from .gateway import Gateway
from .headroom.assembly import make_gate
from .hostknowledge import Knowledge
from .hostsettings import HostSettings
from .loadrequests import LoadRequests
from .logs import Logger
from .metrics import Metrics
from .pace.firstbytes import make_observer
from .pace.gauges import add_pace_gauges
from .peerforwarding import PeerForwarder
from .prefixcache.index import PrefixCacheIndex
from .processmemory.shares import bound_buffers
from .proxying import Proxy
from .retries import RetryBudgets
from .targeting import TargetSelector, pause_target
from .translators import Translators
from .upstream import ConnectionPool


@dataclass(slots=True, frozen=True)
class Observers:
    """Log, metrics and random number generator of the request path."""

    log: Logger
    metrics: Metrics
    rng: random.Random


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
    prefixes = PrefixCacheIndex(observers.log, observers.metrics)
    targeting = TargetSelector(
        settings.zone,
        known.inventory,
        known.board,
        known.health,
        prefixes,
        known.engine_of,
        coordination.limits,
        observers.log,
        observers.rng,
        known.observations.paces,
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
    prefixes.memory_of = targeting.find_memory
    attempts.buffers = forwarder.buffers
    pools = (pool.buffers, forwarder.pool.buffers)
    bound_buffers(settings.memory_bytes, forwarder.buffers, pools)
    known.observations.log = observers.log
    known.observations.metrics = observers.metrics
    attempts.observer = make_observer(known.observations)
    add_pace_gauges(observers.metrics, known.observations)
    known.observations.listeners.append(prefixes.note_observation)
    attempts.prefixes = prefixes
    coordination.pause_target = functools.partial(pause_target, targeting)
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
    gateway.gate = make_gate(
        known.limits,
        targeting,
        observers.log,
        observers.metrics,
        observers.rng,
    )
    guard.on_quarantine = gateway.stop_quarantined
    return gateway
