"""Enforces the limits of workspaces over all hosts together.

Each host counts the tokens that it has admitted in the limits' window and
reports the counts to the other hosts several times a second. A host may admit
what its own count and the counts of the others leave of the window.

- A silent host may be alive but cut off. The usage that it last reported is
  reserved for it, and a small part of what was free then. A host that is cut
  off from half of the others keeps to the same figures.
- A lowered limit applies to requests that come later. Earlier admissions count
  against the limit that was in force then.
- A host that restarts has lost its counts. The other hosts keep them; so does
  a summary in the store, in case all hosts restart. Until a window has passed
  since its start, a host reserves what neither may tell it: all of a limit
  before it has read the summary, and what a summary leaves out after that, in
  proportion to the hosts that have restarted as lately.

The module is pure: it takes times and digests, and returns verdicts. It is
designed for a workspace that sends several times its limit through all hosts
at once, while hosts die, are cut off or restart, and the other workspaces stay
below their limits.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .digests import UsageShare
from .fleetview import FleetView, Peer
from .limitrestarts import SUMMARY_MIN_SHARE, RestartGap
from .limitusage import (
    FormerUsage,
    HostUsage,
    Summary,
    estimate_usage,
    find_share,
    last_reported,
)
from .limitwindow import REPORTED_PARTS, STEP_S, Window
from .routetable import WorkspaceLimit

# Admissions of the other hosts since their last digests are unknown. When less
# than this share of the limit is left, each host admits only its part of it.
SCARCE_SHARE = 0.2
# Time until a digest is known everywhere: its period and one lost datagram.
DIGEST_LAG_S = 0.4
# A host's part of the rest follows from what it admitted recently; this factor
# leaves room for growth.
GROWTH_FACTOR = 1.5
RECENT_S = 1.0
# Share of a limit that all hosts together may admit at once without knowing of
# each other; it is half of the overshoot that users accept.
SMALL_REQUESTS_SHARE = 0.05
# How far a host that is cut off may grow, as a share of its even part of what
# is free. The bounds on overshoot leave no room for more on both sides.
CUT_OFF_GROWTH_SHARE = 0.25
# A restart becomes known one digest late.
RESTART_LAG_S = 0.3
MIN_RETRY_AFTER_S = 0.2
# The summary is rewritten when usage has changed by this share of a limit.
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
        Silent hosts for which a part was reserved.
    retry_after_s : float
    """

    is_admitted: bool
    allowed: float
    used: float
    silent: int
    retry_after_s: float


@dataclass(slots=True, frozen=True)
class FormerLimit:
    """Tokens that a workspace was allowed before its limit was lowered.

    Attributes
    ----------
    allowed : float
        Tokens in the whole window.
    lowered_at : float
    """

    allowed: float
    lowered_at: float


@dataclass(slots=True)
class SharedLimits:
    """Windows and limits of all workspaces on this host.

    Attributes
    ----------
    span_s : float
        Length of the window.
    fleet : FleetView
    windows : dict of str to Window
        Keyed by workspace.
    former_usage : dict of str to FormerUsage
        Keyed by name of a host that has restarted.
    counts_before_cut : dict of str to float
        This host's counts when it last reached most other hosts.
    limits : dict of str to WorkspaceLimit
        Limits in force.
    former_limits : dict of str to FormerLimit
        Keyed by workspace, kept for one window.
    restart : RestartGap
        What this host may not know of the time before its start.
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
    restart: RestartGap = field(default_factory=RestartGap)

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
            # The figure that leaves less decides, and is reported.
            full = self._full_allowance(limit)
            used_since = used - self._used_before(
                limit.name, former.lowered_at, now
            )
            if full - used_since < allowed - used:
                allowed, used = full, used_since
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
        """Record the limits in force; to be called when they change."""
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

        For the part of the window before the limit was lowered, the former
        limit applies.
        """
        full = self._full_allowance(limit)
        former = self.former_limits.get(limit.name)
        if former is None:
            return full
        share = 1 - (now - former.lowered_at) / self.span_s
        if share <= 0 or former.allowed <= full:
            self.former_limits.pop(limit.name)
            return full
        return full + share * (former.allowed - full)

    def refund(
        self,
        limit: WorkspaceLimit,
        tokens: int,
        admitted_at: float,
    ) -> None:
        """Subtract the tokens of a request that has not run and never will."""
        window = self.windows.get(limit.name)
        if window is not None:
            window.subtract(tokens, admitted_at)

    def usage(self, now: float) -> tuple[UsageShare, ...]:
        """Return this host's counts, for its digest."""
        is_cut_off = self.fleet.is_minority(now)
        shares = []
        for name, window in list(self.windows.items()):
            counted = window.count(now)
            if not is_cut_off:
                self.counts_before_cut[name] = counted
            if counted:
                rate = window.since(now - RECENT_S) / RECENT_S
                shares.append(UsageShare(name, window.parts(now), int(rate)))
            else:
                self.windows.pop(name)
        return tuple(shares)

    def note_restart(self, peer: Peer) -> None:
        """Keep the usage of a host from before it restarted."""
        if peer.digest is not None and peer.digest.usage:
            reported_at = peer.last_seen_at + RESTART_LAG_S
            self.former_usage[peer.name] = FormerUsage(
                peer.digest.usage, reported_at
            )

    def apply_summary(self, summary: Summary | None, now: float) -> None:
        """Take the usage of all hosts from before this host started.

        It is None if there is no summary.

        The time at which the summary was written is unknown here, so the
        usage counts as of now.
        """
        hosts = () if summary is None else summary.hosts
        for host in hosts:
            self.former_usage[host.name] = FormerUsage(host.usage, now)
        usages = [one.usage for one in hosts]
        self.restart.summarized = frozenset(
            share.workspace for usage in usages for share in usage
        )

    def expire(self, now: float) -> None:
        """Remove former usage that has left the window."""
        for name, former in list(self.former_usage.items()):
            if now - former.reported_at >= self.span_s:
                self.former_usage.pop(name)

    def note_same_life(self, name: str) -> None:
        """Drop the former usage of a host that has not restarted."""
        self.former_usage.pop(name, None)

    def summarize(
        self,
        limits: Iterable[WorkspaceLimit],
        own_life: int,
        now: float,
    ) -> Summary | None:
        """Return a summary if the changes are worth the cost of a write."""
        if now - self.summary_at < MIN_SUMMARY_INTERVAL_S:
            return None
        totals = {}
        is_due = False
        for limit in limits:
            allowed = self.allowed(limit, now)
            window = self.windows.get(limit.name)
            own = window.count(now) if window else 0
            total = own + self._used_by_others(limit.name, own, allowed, now)
            if allowed and total >= allowed * SUMMARY_MIN_SHARE:
                totals[limit.name] = total
                change = abs(total - self.summarized.get(limit.name, 0))
                is_due = is_due or change >= allowed * SUMMARY_CHANGE_SHARE
                # Even a constant total consists of newer tokens by then.
                is_stale = now - self.summary_at >= self.span_s / REPORTED_PARTS
                is_due = is_due or is_stale
        if not is_due:
            return None
        self.summary_at = now
        self.summarized = totals
        hosts = [HostUsage(self.fleet.own_name, own_life, self.usage(now))]
        for digest in self.fleet.recent_digests(now):
            hosts.append(HostUsage(digest.name, digest.life, digest.usage))
        return Summary(tuple(hosts))

    def _used_before(self, workspace: str, until: float, now: float) -> float:
        """Return the tokens in the window certainly admitted before a time."""
        window = self.windows[workspace]
        own = window.count(now) - window.since(until - STEP_S)
        # A part that may contain later tokens counts as later.
        first_part = int((now - until) * REPORTED_PARTS / self.span_s) + 1
        reported = sum(
            sum(find_share(digest.usage, workspace).parts[first_part:])
            for digest in self.fleet.recent_digests(now)
        )
        return own + reported

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
        reported = sum(
            estimate_usage(peer, workspace, self.span_s, now)
            for peer in self.fleet.recent(now)
        )
        silent = self.fleet.silent(now)
        reserved = sum(last_reported(peer, workspace) for peer in silent)
        forgotten = allowed * self.restart.forgotten_share(
            workspace, self.span_s, self.fleet, now
        )
        used = former + reported + reserved + forgotten
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
        """Return whether a request fits what the other hosts reserve."""
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
        rate = window.since(now - RECENT_S) / RECENT_S
        others = sum(
            find_share(digest.usage, workspace).recent_rate
            for digest in self.fleet.recent_digests(now)
        )
        share = 1 / self.fleet.size
        if rate:
            share = min(1, max(share, GROWTH_FACTOR * rate / (rate + others)))
        unreported = window.since(now - DIGEST_LAG_S)
        if unreported + tokens <= (rest + unreported) * share:
            return True
        # One small request at a time does no harm, even if all hosts admit one.
        is_small = (
            tokens * self.fleet.size <= SMALL_REQUESTS_SHARE * limit_total
        )
        return (
            not unreported
            and is_small
            and tokens + others * DIGEST_LAG_S <= rest
        )
