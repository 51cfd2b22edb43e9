"""Decides which requests are to blame for crashes of targets.

A request is known by its traits: numbers that it shares with every repeat of
it, and with other requests that have a part of the prompt in common. Each crash
is evidence against the traits of all requests that were in flight on the
target, and most of them are innocent. If the target had just begun to answer
some of them, the others are left out.

A trait is blamed only if it explains several crashes, and if one of these was a
trial or they came at several moments, each as the target began to answer:
targets that fail together are no evidence against what ran on all of them, for
they may have been cut off or shut down. A trait is cleared
by a request that has it and is answered. All functions are pure; hosts that
know the same crashes blame the same traits.
"""

import enum
import math
from collections.abc import Set
from dataclasses import dataclass, field

# Crashes that one trait explains before requests with it are rejected.
CRASHES_TO_QUARANTINE = 2
# Strength of the evidence that convicts. A crash counts as one if the target
# had just begun to answer, as this much if it was a trial, and else as nothing.
CONVICTING_STRENGTH = 2
# Strength of the evidence that proves: there was a trial after the crashes that
# convicted. Until then, targets that crash for reasons of their own may have
# convicted a sound request.
PROVING_STRENGTH = 4
# Crashes within this time of each other may have one cause outside of the
# targets. They are noticed up to a connection's time-out apart.
SAME_CAUSE_S = 2.0
TRIAL_STRENGTH = 2
# A quarantine ends with a trial. It is short while the guilt is only presumed.
PRESUMED_S = 20.0
# Each crash of a trial makes the next quarantine longer by this factor.
QUARANTINE_S = 60.0
QUARANTINE_FACTOR = 4
# After this many crashes there are no more trials while the requests come.
CRASHES_TO_BAN = 5
# A crash that is not explained by a quarantined trait is forgotten after this
# time.
SUSPECT_TTL_S = 600.0
# A quarantine is forgotten after this time without a request that it rejects.
QUARANTINE_TTL_S = 86_400.0
# Bounds of the memory for evidence, whatever callers send: 64-bit numbers of
# one crash, and crashes.
MAX_TRAITS = 128
MAX_CRASHES = 64

# A target's name and incarnation, which together identify its crash.
CrashId = tuple[str, int]
Traits = frozenset[int]
NO_TRAITS: Traits = frozenset()


class Standing(enum.StrEnum):
    """Whether a request may be sent to a target.

    Attributes
    ----------
    clear
        Nothing is held against it.
    suspect
        It may have crashed a target; it may run only in a trial.
    quarantined
        It crashes targets and is rejected.
    retrial
        Its quarantine has ended; it may run only in a trial.
    """

    clear = 'clear'
    suspect = 'suspect'
    quarantined = 'quarantined'
    retrial = 'retrial'


@dataclass(slots=True)
class Crash:
    """A crash of a target, as evidence.

    Attributes
    ----------
    noted_at : float
        When it was noted, in seconds by the clock of this process.
    traits : set of int
        Traits of the requests that may have caused it.
    tried : set of int
        Those of `traits` whose request was in a trial.
    begun : set of int
        Those of `traits` whose request the target had just begun to answer.
    cleared : set of int
        Those of `traits` that have been cleared since.
    """

    noted_at: float
    traits: set[int] = field(default_factory=set)
    tried: set[int] = field(default_factory=set)
    begun: set[int] = field(default_factory=set)
    cleared: set[int] = field(default_factory=set)

    @property
    def candidates(self) -> set[int]:
        """Traits that may still be to blame."""
        return (self.begun or self.traits) - self.cleared

    def merge(self, other: 'Crash') -> bool:
        """Add what another host knows; return whether anything is new."""
        before = self._size()
        strong = other.begun | other.tried
        room = MAX_TRAITS - len(self.traits)
        self._drop_weak(len(strong - self.traits) - room)
        for found in strong, other.traits:
            room = MAX_TRAITS - len(self.traits)
            self.traits.update(sorted(found - self.traits)[:room])
        self.tried |= other.tried & self.traits
        self.begun |= other.begun & self.traits
        self.cleared |= other.cleared & self.traits
        return before != self._size()

    def _drop_weak(self, count: int) -> None:
        """Drop traits with weak evidence, to make room for stronger."""
        weak = sorted(self.traits - self.tried - self.begun)
        self.traits.difference_update(weak[: max(0, count)])
        self.cleared &= self.traits

    def _size(self) -> tuple[int, ...]:
        sets = (self.traits, self.tried, self.begun, self.cleared)
        return tuple(map(len, sets))


@dataclass(slots=True)
class Conviction:
    """Traits that explain the same crashes; at least one of them is to blame.

    Attributes
    ----------
    traits : frozenset of int
    crashes : set of CrashId
    last_crash_at : float
    is_proven : bool
        Whether a trial has confirmed the guilt; until then the crashes may
        have had other causes.
    """

    traits: Traits
    crashes: set[CrashId]
    last_crash_at: float
    is_proven: bool

    @property
    def ends_at(self) -> float:
        """Time from which a request with all its traits may run in a trial."""
        if not self.is_proven:
            return self.last_crash_at + PRESUMED_S
        return self.last_crash_at + quarantine_s(len(self.crashes))

    def is_quarantined(self, now: float) -> bool:
        """Return whether requests with all its traits are rejected."""
        return now < self.ends_at


@dataclass(slots=True)
class BlameTable:
    """The known crashes, and the traits that are to blame for them.

    Attributes
    ----------
    crashes : dict of CrashId to Crash
        The oldest comes first.
    convictions : list of Conviction
    suspects : set of int
        Traits that may be to blame for a crash that no conviction explains.
    wanted_at : dict of int to float
        When a request was last rejected for a trait.
    is_judged : bool
        Whether convictions and suspects follow from all known evidence.
    """

    crashes: dict[CrashId, Crash] = field(default_factory=dict)
    convictions: list[Conviction] = field(default_factory=list)
    suspects: set[int] = field(default_factory=set)
    wanted_at: dict[int, float] = field(default_factory=dict)
    is_judged: bool = True

    @property
    def is_empty(self) -> bool:
        """Whether nothing is held against any request."""
        return not self.crashes

    def note_crash(self, crash_id: CrashId, found: Crash) -> bool:
        """Merge what a host knows of a crash; return whether it is new."""
        crash = self.crashes.setdefault(crash_id, Crash(found.noted_at))
        is_changed = crash.merge(found)
        if is_changed:
            self.is_judged = False
            self._drop_excess()
        return is_changed

    def clear(self, traits: Set[int]) -> set[CrashId]:
        """Clear the traits of a request that was answered.

        Returns
        -------
        set of CrashId
            Crashes for which some of the traits are no longer to blame.
        """
        touched = set()
        for crash_id, crash in self.crashes.items():
            found = crash.candidates & traits
            if found:
                crash.cleared |= found
                touched.add(crash_id)
        if touched:
            self.is_judged = False
        return touched

    def standing(self, traits: Traits, now: float) -> Standing:
        """Return whether a request with these traits may be sent."""
        self.judge()
        standing = Standing.clear
        if traits & self.suspects:
            standing = Standing.suspect
        for conviction in self.convictions:
            if conviction.traits <= traits:
                if conviction.is_quarantined(now):
                    return Standing.quarantined
                standing = Standing.retrial
            elif conviction.traits & traits and standing is Standing.clear:
                # Another of the conviction's traits may be the one to blame.
                standing = Standing.suspect
        return standing

    def conviction_of(self, traits: Traits) -> Conviction | None:
        """Return the conviction that holds longest against these traits."""
        self.judge()
        return max(
            (one for one in self.convictions if one.traits <= traits),
            key=lambda one: one.ends_at,
            default=None,
        )

    def blamed(self, traits: Traits) -> Traits:
        """Return those traits of a request that are held against it."""
        self.judge()
        found = set(traits & self.suspects)
        for conviction in self.convictions:
            found |= conviction.traits & traits
        return frozenset(found)

    def is_convicted(self, traits: Traits) -> bool:
        """Return whether a conviction names one of the traits."""
        self.judge()
        return any(one.traits & traits for one in self.convictions)

    def note_rejected(self, traits: Traits, now: float) -> None:
        """Record that a request was rejected, which renews its quarantine."""
        for trait in self.blamed(traits):
            self.wanted_at[trait] = now

    def expire(self, now: float) -> None:
        """Forget crashes that no longer matter."""
        self.judge()
        explained = {one for each in self.convictions for one in each.crashes}
        expired = [
            crash_id
            for crash_id, crash in self.crashes.items()
            if now - self._last_use(crash) >= _ttl_s(crash_id in explained)
        ]
        for crash_id in expired:
            self.crashes.pop(crash_id)
        if expired:
            self.is_judged = False
            self.judge()

    def judge(self) -> None:
        """Find the fewest traits that explain the crashes, greedily.

        A crash that one trait explains is no evidence against the others.
        Nothing is done unless there is new evidence, since the loss of many
        targets in a large fleet makes thousands of reports at once.
        """
        if self.is_judged:
            return
        self.is_judged = True
        unexplained = dict(self.crashes)
        self.convictions = []
        while True:
            conviction = _find_conviction(unexplained)
            if conviction is None:
                break
            self.convictions.append(conviction)
            for crash_id in conviction.crashes:
                unexplained.pop(crash_id)
        self.suspects = {
            trait for one in unexplained.values() for trait in one.candidates
        }
        known = {one for each in self.crashes.values() for one in each.traits}
        for trait in self.wanted_at.keys() - known:
            self.wanted_at.pop(trait)

    def _last_use(self, crash: Crash) -> float:
        wanted = (self.wanted_at.get(one, -math.inf) for one in crash.traits)
        return max(crash.noted_at, *wanted)

    def _drop_excess(self) -> None:
        """Drop old crashes over the bound, those that convict nobody first."""
        if len(self.crashes) <= MAX_CRASHES:
            return
        self.judge()
        explained = {one for each in self.convictions for one in each.crashes}
        while len(self.crashes) > MAX_CRASHES:
            unexplained = (one for one in self.crashes if one not in explained)
            self.crashes.pop(next(unexplained, next(iter(self.crashes))))


def quarantine_s(crashes: int) -> float:
    """Return how long after its last crash a proven trait is quarantined."""
    if crashes < CRASHES_TO_QUARANTINE:
        return 0
    if crashes >= CRASHES_TO_BAN:
        return math.inf
    steps = crashes - CRASHES_TO_QUARANTINE
    return float(QUARANTINE_S * QUARANTINE_FACTOR**steps)


def _find_conviction(crashes: dict[CrashId, Crash]) -> Conviction | None:
    """Return the traits that explain the most crashes, None if there are none.

    One crash convicts no trait, nor do several without strong evidence.
    """
    explained: dict[int, set[CrashId]] = {}
    for crash_id, crash in crashes.items():
        for candidate in crash.candidates:
            explained.setdefault(candidate, set()).add(crash_id)
    convictable = {
        trait: found
        for trait, found in explained.items()
        if len(found) >= CRASHES_TO_QUARANTINE
        and _strength(trait, [crashes[one] for one in found])
        >= CONVICTING_STRENGTH
    }
    if not convictable:
        return None
    most = max(convictable.values(), key=len)
    alike = frozenset(
        trait for trait, found in convictable.items() if found == most
    )
    explaining = [crashes[one] for one in most]
    last_crash_at = max(one.noted_at for one in explaining)
    strength = min(_strength(trait, explaining) for trait in alike)
    return Conviction(alike, most, last_crash_at, strength >= PROVING_STRENGTH)


def _strength(trait: int, crashes: list[Crash]) -> int:
    """Return the strength of the evidence of crashes against a trait."""
    trials = sum(1 for crash in crashes if trait in crash.tried)
    begun_at = [
        crash.noted_at
        for crash in crashes
        if trait in crash.begun and trait not in crash.tried
    ]
    return trials * TRIAL_STRENGTH + _count_causes(begun_at)


def _count_causes(noted_at: list[float]) -> int:
    """Return how many of several crashes must have causes of their own."""
    count = 0
    last_at = -math.inf
    for at in sorted(noted_at):
        if at - last_at >= SAME_CAUSE_S:
            count += 1
            last_at = at
    return count


def _ttl_s(is_explained: bool) -> float:
    return QUARANTINE_TTL_S if is_explained else SUSPECT_TTL_S
