"""Which targets are cold, and at what rate all hosts may send to them.

Designed for targets that start or turn cold while all hosts send to them, for
hosts that are cut off from the store or from each other, and for two hosts
that both believe that they schedule the requests to one target.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..statements import Incarnation

# Longest time for which a target is taken for cold by one announcement.
MAX_COLD_S = 60.0
# Longest time between the writing of an announcement and its reading, as
# `inventory.MAX_ANNOUNCEMENT_AGE_S`.
ANNOUNCEMENT_AGE_S = 2.2
# Hosts that may schedule at the same time: the one before and the one after a
# change of the hosts that are heard.
SCHEDULERS = 2
# A request is sent up to this long after the time that it was scheduled for:
# the permit takes 0.1 s at most, and one that is used later is void.
PERMIT_LATE_S = 0.1
SENT_LATE_S = 0.1 + PERMIT_LATE_S
# A host schedules for cold targets once it has been heard by the others for
# this long, which is more than the time after which a host counts as silent.
CONTACT_S = 1.5
# Least rate of permits, so that settings without any room block no target.
MIN_PERMIT_RATE = 0.2


@dataclass(slots=True, frozen=True)
class ColdSpec:
    """How a service's targets start.

    Attributes
    ----------
    start_s : float
        Time for which a target is cold after its start.
    per_s : float
        Requests per second that a cold target takes from all hosts.
    """

    start_s: float
    per_s: float


@dataclass(slots=True, frozen=True)
class ColdBounds:
    """Requests that a cold target survives in any one second.

    Attributes
    ----------
    overshoot : float
        Multiple of the rate of its service.
    slack : float
        Requests beyond that.
    """

    overshoot: float = 1.5
    slack: float = 5

    def permit_rate(self, spec: ColdSpec) -> float:
        """Return at what rate one host may grant permits.

        Evenly spaced permits of all hosts that may schedule at the same time
        stay within the bound in any one second, however late they are used.
        """
        allowed = spec.per_s * self.overshoot + self.slack
        spaces = allowed / SCHEDULERS - 1
        rate = min(spec.per_s, spaces / (1 + SENT_LATE_S))
        return max(rate, MIN_PERMIT_RATE)


@dataclass(slots=True)
class ColdState:
    """What a host knows of one incarnation of a target.

    Attributes
    ----------
    service : str
    noted_at : float
        When this host last read an announcement of it.
    until : float
        When it is warm, by its announcements.
    first_at : float or None
        When it was first announced, if this host saw that.
    told_until : float
        When it is warm, by what other hosts tell. It is not passed on: each
        host would add the time that a message takes, and the end would recede.
    """

    service: str
    noted_at: float = -math.inf
    until: float = -math.inf
    first_at: float | None = None
    told_until: float = -math.inf

    def find_own_end(self, spec: ColdSpec | None) -> float:
        """Return when it is warm, by what this host has read itself."""
        if spec is None:
            return -math.inf
        if self.first_at is None:
            return self.until
        return max(self.until, self.first_at + spec.start_s)


@dataclass(slots=True, frozen=True)
class ColdChange:
    """A target that turned cold, or warm if `left_s` is 0."""

    target: str
    left_s: float


@dataclass(slots=True, frozen=True)
class ColdReport:
    """What a target says of itself, or one host tells others of it.

    Attributes
    ----------
    service : str
    left_s : float
        Time for which it is still cold; 0 if it is warm, or is not known.
    age_s : float
        Time since its announcement was read.
    """

    service: str = ''
    left_s: float = 0
    age_s: float = 0


NOT_COLD = ColdReport()


def _no_spec(service: str) -> ColdSpec | None:
    """Return None; for a host without a configuration."""


@dataclass(slots=True)
class ColdTargets:
    """The targets that may be cold, by incarnation.

    Attributes
    ----------
    spec_of : callable
        Returns how the targets of a service start, None if they take any rate.
    bounds : ColdBounds
    known : dict of (str, int) to ColdState
    ends : dict of (str, int) to float
        When each cold target is warm.
    logged : set of (str, int)
        Targets that were cold at the last `update`.
    odd : set of (str, int)
        Targets whose announcement said something odd about it.
    """

    spec_of: Callable[[str], ColdSpec | None] = _no_spec
    bounds: ColdBounds = ColdBounds()
    known: dict[Incarnation, ColdState] = field(default_factory=dict)
    ends: dict[Incarnation, float] = field(default_factory=dict)
    logged: set[Incarnation] = field(default_factory=set)
    odd: set[Incarnation] = field(default_factory=set)

    def note_announcement(
        self,
        incarnation: Incarnation,
        report: ColdReport,
        now: float,
        *,
        is_new: bool,
    ) -> None:
        """Record what a target announces.

        Parameters
        ----------
        incarnation : (str, int)
        report : ColdReport
            What it says of itself.
        now : float
            When the announcement was read.
        is_new : bool
            Whether it was not announced before.
        """
        found = self.known.get(incarnation)
        if found is None:
            found = ColdState(report.service)
            self.known[incarnation] = found
        if is_new:
            found.first_at = now
        found.noted_at = now
        found.told_until = -math.inf
        found.until = now
        if report.left_s > 0:
            found.until = now + report.left_s + ANNOUNCEMENT_AGE_S
        self._find_end(incarnation, found, now)

    def note_told(
        self, incarnation: Incarnation, report: ColdReport, now: float
    ) -> None:
        """Record what another host tells of a target."""
        left_s, age_s = report.left_s, report.age_s
        if not (math.isfinite(left_s) and math.isfinite(age_s)) or left_s <= 0:
            return
        found = self.known.get(incarnation)
        if found is None:
            found = ColdState(report.service)
            self.known[incarnation] = found
        elif now - max(0, age_s) <= found.noted_at:
            return
        longest_s = MAX_COLD_S + ANNOUNCEMENT_AGE_S
        found.told_until = max(found.told_until, now + min(left_s, longest_s))
        self._find_end(incarnation, found, now)

    def tell(self, incarnation: Incarnation, now: float) -> ColdReport:
        """Return what this host can tell others of a target."""
        found = self.known.get(incarnation)
        if found is None:
            return NOT_COLD
        left_s = found.find_own_end(self.spec_of(found.service)) - now
        if left_s <= 0:
            return NOT_COLD
        return ColdReport(found.service, left_s, now - found.noted_at)

    def list_own(self, now: float) -> list[Incarnation]:
        """Return the cold targets of which this host can tell others."""
        return [one for one in self.ends if self.tell(one, now).left_s]

    def rate_of(self, incarnation: Incarnation, now: float) -> float | None:
        """Return the rate of permits for a target, None if it is not cold."""
        if now >= self.ends.get(incarnation, now):
            return None
        spec = self.spec_of(self.known[incarnation].service)
        return None if spec is None else self.bounds.permit_rate(spec)

    def left_s(self, incarnation: Incarnation, now: float) -> float:
        """Return for how long a target is still cold, in seconds."""
        return max(0, self.ends.get(incarnation, now) - now)

    def update(self, now: float) -> list[ColdChange]:
        """Return which targets have turned cold or warm since the last call."""
        for incarnation, found in self.known.items():
            self._find_end(incarnation, found, now)
        changes = [
            ColdChange(cold[0], self.left_s(cold, now))
            for cold in self.ends.keys() - self.logged
        ]
        changes.extend(
            ColdChange(warm[0], 0) for warm in self.logged - self.ends.keys()
        )
        self.logged = set(self.ends)
        return changes

    def note_odd(self, incarnation: Incarnation) -> bool:
        """Return whether nothing odd was announced by a target before."""
        if incarnation in self.odd:
            return False
        self.odd.add(incarnation)
        return True

    def retain(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget all targets except these."""
        current = set(incarnations)
        for gone in self.known.keys() - current:
            self.known.pop(gone)
            self.ends.pop(gone, None)
        self.odd &= current

    def _find_end(
        self, incarnation: Incarnation, found: ColdState, now: float
    ) -> None:
        """Find when a target is warm."""
        spec = self.spec_of(found.service)
        end = found.find_own_end(spec)
        if spec is not None:
            end = max(end, found.told_until)
        if now < end:
            self.ends[incarnation] = end
        else:
            self.ends.pop(incarnation, None)


@dataclass(slots=True)
class Contact:
    """Since when a host has been in contact with most of the others.

    Attributes
    ----------
    since : float
        Infinite while it is not.
    """

    since: float = math.inf

    def update(self, *, is_sound: bool, now: float) -> None:
        """Record whether the host is in contact now."""
        self.since = min(self.since, now) if is_sound else math.inf

    def lasts(self, now: float) -> bool:
        """Return whether all others have heard of this host by now."""
        return now - self.since >= CONTACT_S


def read_cold_left(stated: object) -> tuple[float, bool]:
    """Return for how long a target says that it is still cold.

    Parameters
    ----------
    stated : object
        Time in milliseconds, or anything else that a target may announce.

    Returns
    -------
    (float, bool)
        Time in seconds, and whether the target stated it properly.
    """
    if not isinstance(stated, int | float) or isinstance(stated, bool):
        return 0, False
    bounded = min(max(stated, 0), MAX_COLD_S * 1000)
    if math.isnan(bounded):
        return 0, False
    return bounded / 1000, bounded == stated
