"""Ejects failing targets by evidence, few at once, and lets them return."""

import math
from dataclasses import dataclass, field

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
RAMP_UP_S = 10.0
MIN_SHARE = 0.1
MAX_EJECTED_SHARE = 0.34


@dataclass(slots=True)
class TargetHistory:
    """What this process saw of one target.

    Attributes
    ----------
    failures : int
        In a row.
    ejections : int
        Without a whole `RAMP_UP_S` of success after.
    ejected_until : float
        When its ejection ends, in seconds by the process's clock.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf


@dataclass(slots=True)
class Ejector:
    """The evidence against all targets, by name."""

    by_name: dict[str, TargetHistory] = field(default_factory=dict)

    def observe(self, name: str, now: float, *, is_good: bool) -> None:
        """Note how an exchange with a target ended."""
        found = self.by_name.setdefault(name, TargetHistory())
        if is_good:
            found.failures = 0
            if now >= found.ejected_until + RAMP_UP_S:
                found.ejections = 0
            return
        found.failures += 1
        is_back = now >= found.ejected_until
        if is_back and found.failures >= FAILURES_TO_EJECT:
            found.ejections += 1
            found.failures = FAILURES_TO_EJECT - 1
            found.ejected_until = now + _ejection_s(found.ejections)

    def ejected(self, names: frozenset[str], now: float) -> frozenset[str]:
        """Return which of the targets of one entry get no new calls.

        No more than `MAX_EJECTED_SHARE` of them; those stay out that failed
        most. A single target is never ejected.
        """
        out = [name for name in names if self._ends_at(name) > now]
        out.sort(key=lambda name: (-self._ends_at(name), name))
        return frozenset(out[: int(len(names) * MAX_EJECTED_SHARE)])

    def share(self, name: str, now: float) -> float:
        """Return the part of its usual calls that a target gets.

        From `MIN_SHARE` right after an ejection to 1.0 after `RAMP_UP_S`.
        """
        since_s = now - self._ends_at(name)
        if since_s >= RAMP_UP_S:
            return 1
        return max(MIN_SHARE, since_s / RAMP_UP_S)

    def retain(self, names: frozenset[str]) -> None:
        """Drop the evidence against all targets but these."""
        for name in set(self.by_name) - names:
            self.by_name.pop(name)

    def _ends_at(self, name: str) -> float:
        found = self.by_name.get(name)
        return -math.inf if found is None else found.ejected_until


def _ejection_s(ejections: int) -> float:
    return min(MAX_EJECTION_S, math.ldexp(FIRST_EJECTION_S, ejections - 1))
