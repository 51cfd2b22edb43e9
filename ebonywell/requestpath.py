"""Puts together what carries callers' requests to targets."""

import random
from dataclasses import dataclass

from .attempts import Attempts
from .charging import make_charge
from .gateway import Gateway
from .hostknowledge import Knowledge
from .hostsettings import HostSettings
from .logs import Logger
from .metrics import Metrics
from .prefixes import PrefixBook
from .proxying import Proxy
from .retries import RetryBudgets
from .targeting import Targeting
from .translators import Translators
from .upstream import ConnectionPool
from .wants import Wants


@dataclass(slots=True, frozen=True)
class Observers:
    """Where the request path writes, and where its chance comes from."""

    log: Logger
    metrics: Metrics
    rng: random.Random


def make_gateway(
    settings: HostSettings,
    known: Knowledge,
    pool: ConnectionPool,
    wants: Wants,
    translators: Translators,
    observers: Observers,
) -> Gateway:
    """Return the request path of one host."""
    bounds = settings.bounds
    targeting = Targeting(
        settings.zone,
        known.inventory,
        known.board,
        known.health,
        PrefixBook(),
        known.engine_of,
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
        observers.log,
    )
    proxy = Proxy(
        attempts,
        budgets.for_service,
        targeting,
        observers.log,
    )
    return Gateway(
        known.intake,
        targeting,
        proxy,
        make_charge(known.limits, observers.log),
        wants,
        known.demand,
        observers.log,
        observers.metrics,
    )
