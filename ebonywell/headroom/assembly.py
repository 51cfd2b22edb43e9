"""Creates and connects the parts that admit, hold or reject requests.

Made for hosts whose request path already selects targets by their load.
"""

import random

from ..clock import boot_time
from ..logs import Logger
from ..metrics import Metrics
from ..sharedlimits import SharedLimits
from ..targeting import TargetSelector
from .fairness import FairShares, rates_from
from .gate import Gate
from .holding import Holding
from .terms import fair_terms


def make_gate(
    limits: SharedLimits,
    targeting: TargetSelector,
    log: Logger,
    metrics: Metrics,
    rng: random.Random,
) -> Gate:
    """Return what admits, holds or rejects a host's requests."""
    shares = FairShares(rates_from(limits))
    targeting.terms_of = fair_terms(shares)
    holding = Holding(lambda workspace: shares.excess(workspace, boot_time()))
    return Gate(targeting, holding, log, metrics, rng)
