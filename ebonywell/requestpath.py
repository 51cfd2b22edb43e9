"""Builds the request path of a host from its components."""

import random
from dataclasses import dataclass

from .attempts import Attempts
from .charging import make_charge
from .crashdetector import CrashDetector
from .crashguard import CrashGuard
from .gateway import Gateway
from .hostknowledge import Knowledge
from .hostsettings import HostSettings
from .loadrequests import LoadRequests
from .logs import Logger
from .metrics import Metrics
from .prefixes import PrefixIndex
from .proxying import Proxy
from .retries import RetryBudgets
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


def make_gateway(
    settings: HostSettings,
    known: Knowledge,
    pool: ConnectionPool,
    wants: LoadRequests,
    guard: CrashGuard,
    limits: TargetLimits,
    translators: Translators,
    observers: Observers,
) -> Gateway:
    """Return the gateway of one host with all of its components."""
    bounds = settings.bounds
    targeting = TargetSelector(
        settings.zone,
        known.inventory,
        known.board,
        known.health,
        PrefixIndex(),
        known.engine_of,
        limits,
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
        guard,
        limits,
        observers.log,
    )
    guard.detector = CrashDetector(
        pool.count_open, pool.is_refused, guard.note_crash, observers.log
    )
    proxy = Proxy(
        attempts,
        budgets.for_service,
        targeting,
        guard,
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
        observers.log,
        observers.metrics,
    )
    guard.on_quarantine = gateway.stop_quarantined
    return gateway
