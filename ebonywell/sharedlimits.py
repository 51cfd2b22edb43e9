"""Keeps workspaces to their limits over all hosts together.

Each host counts what it admitted in the limits' window and tells the others
several times a second. What a host may admit is what the window leaves after
its own count and theirs.

- A host that is silent may be alive behind a cut. What it last reported is
  set aside for it, and a small part of what was free then. A host that is cut
  off from half of the others keeps to the same figures.
- A limit that is lowered binds what comes after. What was admitted before
  counts against what was allowed then.
- A host that starts again has forgotten its count. The others remember it; so
  does a summary in the store, for the case that all start again.

Pure: times and digests come in, verdicts come out. The load it answers: a
workspace that sends several times its limit through all hosts at once, while
hosts die, are cut off or start again, and the others stay below their limits.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .digests import UsageShare
from .fleetview import FleetView, Peer
from .limitusage import (
    FormerUsage,
    HostUsage,
    Summary,
    find_share,
    last_reported,
)
from .limitwindow import REPORTED_PARTS, STEP_S, Window
from .routetable import WorkspaceLimit

# What the others admitted since their last digests is not known; below this
# part of the limit each host takes no more than its part of the rest.
SCARCE_SHARE = 0.2
# How long a digest takes to be known everywhere: its period and a loss.
DIGEST_LAG_S = 0.4
# A host's part of the rest goes by what it admitted of late; this leaves room
# for a part that grows.
GROWTH_FACTOR = 1.5
RECENT_S = 1.0
# What all hosts together may admit at once without knowing of each other;
# half of the overshoot that the users bear.
SMALL_REQUESTS_SHARE = 0.05
# The part of its even share of what is free by which a host that is cut off
# may grow. The bounds on overshoot leave no room for more on both sides.
CUT_OFF_GROWTH_SHARE = 0.25
# A restart is known a digest late.
RESTART_LAG_S = 0.3
MIN_RETRY_AFTER_S = 0.2
# The summary in the store is for workspaces near their limits; it is written
# anew when so much of a limit has been used since.
SUMMARY_MIN_SHARE = 0.6
SUMMARY_CHANGE_SHARE = 0.06
MIN_SUMMARY_INTERVAL_S = 0.3


@dataclass(slots=True, frozen=True)
class LimitVerdict:
    """Whether tokens may be admitted, and the figures that decided it.

    Attributes
    ----------
    is_admitted : bool
    allowed, used : float
        Tokens in the window, over all hosts.
    silent : int
        Hosts for which a part was set aside.
    retry_after_s : float
    """

    is_admitted: bool
    allowed: float
    used: float
    silent: int
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class FormerLimit:
    """What a workspace was allowed in a window before its limit was lowered.

    Attributes
    ----------
    allowed : float
        Tokens in the whole window.
    lowered_at : float
        When the limit was lowered.
    """

    allowed: float
    lowered_at: float


@dataclass(slots=True)
class SharedLimits:
    """The windows of all workspaces on this host.

    Attributes
    ----------
    span_s : float
    fleet : FleetView
    windows : dict of str to Window
    former_usage : dict of str to FormerUsage
        By host that has started again.
    counts_before_cut : dict of str to float
        This host's counts when it was last in touch with most others.
    limits : dict of str to WorkspaceLimit
        The limits in force.
    former_limits : dict of str to FormerLimit
        By workspace, for one window.
    """

    span_s: float
    fleet: FleetView
    windows: dict[str, Window] = field(default_factory=dict)
    former_usage: dict[str, FormerUsage] = field(default_factory=dict)
    counts_before_cut: dict[str, float] = field(default_factory=dict)
    limits: dict[str, WorkspaceLimit] = field(default_factory=dict)
    former_limits: dict[str, FormerLimit] = field(default_factory=dict)
    summary_at: float = float('-inf')
    summarized: dict[str, float] = field(default_factory=dict)

    def admit(
        self,
        limit: WorkspaceLimit,
        tokens: int,
        now: float,
    ) -> LimitVerdict:
        """Count a request against its workspace's limit, if it fits."""
        window = self.windows.setdefault(limit.name, Window(self.span_s))
        own = window.count(now)
        if limit.rate <= 0:
            window.add(tokens, now)
            return LimitVerdict(True, 0, own, 0, 0)
        allowed = self.allowed(limit, now)
        silent = self.fleet.silent(now)
        used = own + self._used_by_others(limit.name, own, allowed, now)
        former = self.former_limits.get(limit.name)
        if former is not None:
            # Whichever of the two leaves less decides, and is reported.
            whole = self._full_allowance(limit)
            lately = used - self._used_before(
                limit.name, former.lowered_at, now
            )
            if whole - lately < allowed - used:
                allowed, used = whole, lately
        rest = allowed - used
        fits = tokens <= rest
        if fits and self.fleet.is_minority(now):
            fits = self._fits_cut_off(limit.name, own, tokens, allowed, now)
        elif fits and rest < allowed * SCARCE_SHARE:
            fits = self._fits_own_share(
                limit.name,
                window,
                tokens,
                rest,
                allowed,
                now,
            )
        if fits:
            window.add(tokens, now)
        missing = max(0, tokens - rest)
        return LimitVerdict(
            fits,
            allowed,
            used,
            len(silent),
            max(MIN_RETRY_AFTER_S, min(missing / limit.rate, self.span_s)),
        )

    def note_limits(
        self,
        limits: Iterable[WorkspaceLimit],
        now: float,
    ) -> None:
        """Take over the limits in force; call it when they change."""
        for limit in limits:
            before = self.limits.get(limit.name)
            self.limits[limit.name] = limit
            if before is None or before.rate <= 0:
                continue
            allowed = self.allowed(before, now)
            if 0 < self._full_allowance(limit) < self._full_allowance(before):
                self.former_limits[limit.name] = FormerLimit(allowed, now)

    def allowed(self, limit: WorkspaceLimit, now: float) -> float:
        """Return what a workspace may use in the window that ends now.

        The part of the window before the limit was lowered has what was
        allowed then.
        """
        whole = self._full_allowance(limit)
        former = self.former_limits.get(limit.name)
        if former is None:
            return whole
        share = 1 - (now - former.lowered_at) / self.span_s
        if share <= 0 or former.allowed <= whole:
            self.former_limits.pop(limit.name)
            return whole
        return whole + share * (former.allowed - whole)

    def refund(
        self,
        limit: WorkspaceLimit,
        tokens: int,
        admitted_at: float,
    ) -> None:
        """Uncount a request that has not run and never will."""
        window = self.windows.get(limit.name)
        if window is not None:
            window.subtract(tokens, admitted_at)

    def usage(self, now: float) -> tuple[UsageShare, ...]:
        """Return this host's counts, for its digest."""
        is_cut = self.fleet.is_minority(now)
        shares = []
        for name, window in list(self.windows.items()):
            counted = window.count(now)
            if not is_cut:
                self.counts_before_cut[name] = counted
            if counted:
                lately = window.since(now - RECENT_S) / RECENT_S
                shares.append(UsageShare(name, window.parts(now), int(lately)))
            else:
                self.windows.pop(name)
        return tuple(shares)

    def note_restart(self, peer: Peer) -> None:
        """Remember what a host had admitted before it started again."""
        if peer.digest is not None and peer.digest.usage:
            told_at = peer.last_seen_at + RESTART_LAG_S
            self.former_usage[peer.name] = FormerUsage(
                peer.digest.usage, told_at
            )

    def apply_summary(self, summary: Summary, now: float) -> None:
        """Take over what hosts had admitted before this one started.

        When it was written is not known here, so it counts as of now.
        """
        for host in summary.hosts:
            self.former_usage[host.name] = FormerUsage(host.usage, now)

    def expire(self, now: float) -> None:
        """Forget what no longer counts or is known better."""
        for name, former in list(self.former_usage.items()):
            if now - former.reported_at >= self.span_s:
                self.former_usage.pop(name)

    def note_same_life(self, name: str) -> None:
        """Take over that a host of the summary has not started again."""
        self.former_usage.pop(name, None)

    def summarize(
        self,
        limits: Iterable[WorkspaceLimit],
        own_life: int,
        now: float,
    ) -> Summary | None:
        """Return a summary for the store if there is news worth its price."""
        if now - self.summary_at < MIN_SUMMARY_INTERVAL_S:
            return None
        totals = {}
        is_news = False
        for limit in limits:
            allowed = self.allowed(limit, now)
            window = self.windows.get(limit.name)
            own = window.count(now) if window else 0
            total = own + self._used_by_others(limit.name, own, allowed, now)
            if allowed and total >= allowed * SUMMARY_MIN_SHARE:
                totals[limit.name] = total
                change = abs(total - self.summarized.get(limit.name, 0))
                is_news = is_news or change >= allowed * SUMMARY_CHANGE_SHARE
                # A total that stays alike is made of newer tokens.
                is_old = now - self.summary_at >= self.span_s / REPORTED_PARTS
                is_news = is_news or is_old
        if not is_news:
            return None
        self.summary_at = now
        self.summarized = totals
        hosts = [HostUsage(self.fleet.own_name, own_life, self.usage(now))]
        for digest in self.fleet.recent_digests(now):
            hosts.append(HostUsage(digest.name, digest.life, digest.usage))
        return Summary(tuple(hosts))

    def _used_before(self, workspace: str, until: float, now: float) -> float:
        """Return tokens in the window that were surely admitted before."""
        window = self.windows[workspace]
        own = window.count(now) - window.since(until - STEP_S)
        # A part that may hold later tokens counts as later.
        first_part = int((now - until) * REPORTED_PARTS / self.span_s) + 1
        heard = sum(
            sum(find_share(digest.usage, workspace).parts[first_part:])
            for digest in self.fleet.recent_digests(now)
        )
        return own + heard

    def _full_allowance(self, limit: WorkspaceLimit) -> float:
        return limit.rate * self.span_s + limit.burst

    def _used_by_others(
        self,
        workspace: str,
        own: float,
        allowed: float,
        now: float,
    ) -> float:
        former = sum(
            one.count(workspace, self.span_s, now)
            for one in self.former_usage.values()
        )
        heard = sum(
            find_share(digest.usage, workspace).in_window
            for digest in self.fleet.recent_digests(now)
        )
        silent = self.fleet.silent(now)
        told = sum(last_reported(peer, workspace) for peer in silent)
        used = former + heard + told
        growth = self._cut_off_growth(allowed, own + used)
        return used + growth * len(silent)

    def _cut_off_growth(self, allowed: float, used: float) -> float:
        free = max(0, allowed - used)
        return CUT_OFF_GROWTH_SHARE * free / self.fleet.size

    def _fits_cut_off(
        self,
        workspace: str,
        own: float,
        tokens: int,
        allowed: float,
        now: float,
    ) -> bool:
        """Return whether a request fits what the others set aside."""
        before = self.counts_before_cut.get(workspace, 0)
        others = sum(
            last_reported(peer, workspace) for peer in self.fleet.peers.values()
        )
        growth = self._cut_off_growth(allowed, before + others)
        return own + tokens <= before + growth

    def _fits_own_share(
        self,
        workspace: str,
        window: Window,
        tokens: int,
        rest: float,
        limit_total: float,
        now: float,
    ) -> bool:
        """Return whether a request fits this host's part of the rest."""
        lately = window.since(now - RECENT_S) / RECENT_S
        others = sum(
            find_share(digest.usage, workspace).recent_rate
            for digest in self.fleet.recent_digests(now)
        )
        share = 1 / self.fleet.size
        if lately:
            share = min(
                1, max(share, GROWTH_FACTOR * lately / (lately + others))
            )
        untold = window.since(now - DIGEST_LAG_S)
        if untold + tokens <= (rest + untold) * share:
            return True
        # One small request at a time does no harm, though all hosts admit one.
        is_small = (
            tokens * self.fleet.size <= SMALL_REQUESTS_SHARE * limit_total
        )
        return (
            not untold and is_small and tokens + others * DIGEST_LAG_S <= rest
        )
