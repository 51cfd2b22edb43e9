"""How far each workspace is above its usual share of the recent work.

Made for workspaces that send several times their usual load, within their
limits. A limit is not a share: it may allow more than the targets can do.

The module is plain state; it takes times and the rates of the work that all
hosts admit, which hosts report for the workspaces' limits anyway.
"""

import collections
import math
import statistics
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..sharedlimits import RECENT_S, SharedLimits

# Interval between two looks at the rates.
REFRESH_S = 0.5
# Half-life of the recent rates, so that a burst of a few requests is no excess.
RECENT_HALF_LIFE_S = 3.0
# Half-life of the usual rates. They grow slowly under a multiple of the load:
# one that is above the usual rate counts for at most so much more.
USUAL_HALF_LIFE_S = 60.0
MAX_GROWTH = 1.5
# Time from its first request for which a workspace's usual rate is the mean.
WARM_UP_S = 15.0
# A workspace with less than this share of its usual rate pauses. Its usual rate
# is kept, so that it has no excess when it goes on.
PAUSING_SHARE = 0.05
# Excess that counts as usual.
IGNORED_EXCESS = 1.5
# Workspaces whose rates are kept.
MAX_WORKSPACES = 2000

Rates = Callable[[float], Mapping[str, float]]


@dataclass(slots=True)
class Share:
    """Rates of one workspace's work, in units of its limit per second.

    Attributes
    ----------
    recent, usual : float
        Moving averages, over a few seconds and over minutes.
    seen_s : float
        Time for which the rates have been averaged.
    """

    recent: float
    usual: float
    seen_s: float = REFRESH_S


@dataclass(slots=True)
class FairShares:
    """Recent and usual rates of the work of all workspaces.

    The unit of the rates differs among workspaces, so that a share is not
    computed from their sum: a workspace is above its share by how much it has
    grown over how much most others have.

    Attributes
    ----------
    rates_of : callable
        Returns the rate of each workspace's work on all hosts, now.
    shares : dict of str to Share
    refreshed_at : float
    usual_growth : float
        Growth of the recent over the usual rates, at the median workspace.
    """

    rates_of: Rates
    shares: dict[str, Share] = field(default_factory=dict)
    refreshed_at: float = -math.inf
    usual_growth: float = 1

    def excess(self, workspace: str, now: float) -> float:
        """Return how far a workspace is over its usual share, at least 1."""
        if now - self.refreshed_at >= REFRESH_S:
            self._refresh(now)
        share = self.shares.get(workspace)
        if share is None or share.usual <= 0:
            return 1
        growth = share.recent / share.usual / self.usual_growth
        return growth if growth > IGNORED_EXCESS else 1

    def _refresh(self, now: float) -> None:
        passed_s = min(now - self.refreshed_at, USUAL_HALF_LIFE_S)
        self.refreshed_at = now
        rates = self.rates_of(now)
        for name in set(rates) | set(self.shares):
            self._note_rate(name, rates.get(name, 0), passed_s)
        growths = [
            one.recent / one.usual
            for one in self.shares.values()
            if one.usual > 0
        ]
        median = statistics.median_low(growths) if growths else 1
        self.usual_growth = max(median, 1)

    def _note_rate(self, name: str, rate: float, passed_s: float) -> None:
        share = self.shares.get(name)
        if share is None:
            if rate > 0 and len(self.shares) < MAX_WORKSPACES:
                self.shares[name] = Share(rate, rate)
            return
        share.recent += _weight(passed_s, RECENT_HALF_LIFE_S) * (
            rate - share.recent
        )
        if share.recent < share.usual * PAUSING_SHARE:
            return
        share.seen_s += passed_s
        if share.seen_s < WARM_UP_S:
            share.usual += passed_s / share.seen_s * (rate - share.usual)
            return
        counted = min(rate, share.usual * MAX_GROWTH)
        share.usual += _weight(passed_s, USUAL_HALF_LIFE_S) * (
            counted - share.usual
        )


def rates_from(limits: SharedLimits) -> Rates:
    """Return a function that sums up the rates that all hosts report."""

    def rates(now: float) -> Mapping[str, float]:
        total: collections.Counter[str] = collections.Counter()
        for name, window in limits.windows.items():
            total[name] += int(window.since(now - RECENT_S) / RECENT_S)
        for digest in limits.fleet.recent_digests(now):
            for share in digest.usage:
                total[share.workspace] += share.recent_rate
        return total

    return rates


def _weight(passed_s: float, half_life_s: float) -> float:
    return -math.expm1(-math.log(2) * passed_s / half_life_s)
