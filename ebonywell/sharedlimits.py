"""Keeps workspaces to their limits over all hosts together.

Each host counts what it admitted in the limits' window and tells the others
several times a second. What a host may admit is what the window leaves after
its own count and theirs. A host that is silent may be alive behind a cut, so
its even part of the limit is set aside for it, or what it last reported if
that is more. A host that hears nobody is thus left with its even part.

Pure: times and digests come in, verdicts come out. The load it answers: a
workspace that sends several times its limit through all hosts at once, while
the others stay below theirs.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass, field

from .digests import UsageShare
from .fleetview import FleetView
from .routetable import WorkspaceLimit

# Counts are kept in steps of this length.
STEP_S = 0.1
# What the others admitted since their last digests is not known; below this
# part of the limit each host takes no more than its part of the rest.
TIGHT_SHARE = 0.2
# How long a digest takes to be known everywhere: its period and a loss.
LAG_S = 0.4
# A host's part of the rest goes by what it admitted of late; this leaves room
# for a part that grows.
GROWTH = 1.5
RECENT_S = 1.0
MIN_RETRY_S = 0.2


@dataclass(slots=True)
class Window:
    """Tokens admitted in a sliding window.

    Attributes
    ----------
    span_s : float
    steps : deque of [float, int]
        The begin of each step and the tokens admitted in it.
    total : int
    """

    span_s: float
    steps: collections.deque[list[float]] = field(
        default_factory=collections.deque,
    )
    total: float = 0

    def add(self, tokens: float, now: float) -> None:
        """Count tokens."""
        if not self.steps or now - self.steps[-1][0] >= STEP_S:
            self.steps.append([now, 0])
        self.steps[-1][1] += tokens
        self.total += tokens

    def count(self, now: float) -> float:
        """Return the tokens in the window that ends now."""
        while self.steps and self.steps[0][0] + STEP_S <= now - self.span_s:
            self.total -= self.steps.popleft()[1]
        return self.total

    def since(self, start: float) -> float:
        """Return the tokens counted from a time on."""
        tokens = 0.0
        for begin, counted in reversed(self.steps):
            if begin < start:
                break
            tokens += counted
        return tokens


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


@dataclass(slots=True)
class SharedLimits:
    """The windows of all workspaces on this host.

    Attributes
    ----------
    span_s : float
    fleet : FleetView
    windows : dict of str to Window
    """

    span_s: float
    fleet: FleetView
    windows: dict[str, Window] = field(default_factory=dict)

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
        allowed = limit.rate * self.span_s + limit.burst
        silent = self.fleet.silent(now)
        used = own + self._used_by_peers(limit.name, allowed, now)
        rest = allowed - used
        fits = tokens <= rest
        if fits and rest < allowed * TIGHT_SHARE:
            fits = self._fits_own_part(limit.name, window, tokens, rest, now)
        if fits:
            window.add(tokens, now)
        missing = max(0, tokens - rest)
        return LimitVerdict(
            fits,
            allowed,
            used,
            len(silent),
            max(MIN_RETRY_S, min(missing / limit.rate, self.span_s)),
        )

    def usage(self, now: float) -> tuple[UsageShare, ...]:
        """Return this host's counts, for its digest."""
        shares = []
        for name, window in list(self.windows.items()):
            counted = window.count(now)
            if counted:
                lately = window.since(now - RECENT_S) / RECENT_S
                shares.append(UsageShare(name, int(counted), int(lately)))
            else:
                self.windows.pop(name)
        return tuple(shares)

    def _used_by_peers(
        self,
        workspace: str,
        allowed: float,
        now: float,
    ) -> float:
        part = allowed / self.fleet.size
        used = 0.0
        for peer in self.fleet.silent(now):
            last = peer.digest.usage if peer.digest else ()
            used += max(part, _find(last, workspace).in_window)
        for digest in self.fleet.heard(now):
            used += _find(digest.usage, workspace).in_window
        return used

    def _fits_own_part(
        self,
        workspace: str,
        window: Window,
        tokens: int,
        rest: float,
        now: float,
    ) -> bool:
        """Return whether a request fits this host's part of the rest."""
        lately = window.since(now - RECENT_S) / RECENT_S
        total = lately + sum(
            _find(digest.usage, workspace).lately
            for digest in self.fleet.heard(now)
        )
        share = 1 / self.fleet.size
        if total:
            share = min(1, max(share, GROWTH * lately / total))
        unknown = window.since(now - LAG_S)
        return unknown + tokens <= (rest + unknown) * share


_NOTHING = UsageShare('', 0, 0)


def _find(usage: Sequence[UsageShare], workspace: str) -> UsageShare:
    for share in usage:
        if share.workspace == workspace:
            return share
    return _NOTHING


def charge_of(limit: WorkspaceLimit, tokens: int | None) -> int:
    """Return what a request counts against its workspace's limit."""
    if not limit.is_in_tokens:
        return 1
    return limit.plain_tokens if tokens is None else tokens
