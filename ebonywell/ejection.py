"""Outlier ejection: takes failing targets out of use for a while.

A target is ejected after `FAILURES_TO_EJECT` consecutive failures. Each further
ejection lasts twice as long, up to `MAX_EJECTION_S`. After an ejection the
target's traffic grows linearly over `RAMP_UP_S`.
"""

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
    """Failures of one target, as seen by this process.

    Attributes
    ----------
    failures : int
        Consecutive failures.
    ejections : int
        Ejections since the last success that came at least `RAMP_UP_S` after
        an ejection.
    ejected_until : float
        When the latest ejection ends, in seconds by the process's clock.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = -math.inf


@dataclass(slots=True)
class Ejector:
    """Decides which targets are ejected.

    Attributes
    ----------
    by_name : dict of str to TargetHistory
    """

    by_name: dict[str, TargetHistory] = field(default_factory=dict)

    def observe(self, name: str, now: float, *, is_good: bool) -> None:
        """Record whether an exchange with a target succeeded."""
        history = self.by_name.setdefault(name, TargetHistory())
        if is_good:
            history.failures = 0
            if now >= history.ejected_until + RAMP_UP_S:
                history.ejections = 0
            return
        history.failures += 1
        is_ejection_over = now >= history.ejected_until
        if is_ejection_over and history.failures >= FAILURES_TO_EJECT:
            history.ejections += 1
            history.failures = FAILURES_TO_EJECT - 1
            history.ejected_until = now + _ejection_s(history.ejections)

    def ejected(self, names: frozenset[str], now: float) -> frozenset[str]:
        """Return which of the targets of one entry get no new requests.

        At most `MAX_EJECTED_SHARE` of the targets are ejected: those that
        failed most, whose ejections end last. A single target is never
        ejected.
        """
        failing = [name for name in names if self._ends_at(name) > now]
        failing.sort(key=lambda name: (-self._ends_at(name), name))
        return frozenset(failing[: int(len(names) * MAX_EJECTED_SHARE)])

    def share(self, name: str, now: float) -> float:
        """Return the fraction of its normal traffic that a target gets.

        The fraction grows from `MIN_SHARE` at the end of an ejection to 1.0
        after `RAMP_UP_S`.
        """
        since_s = now - self._ends_at(name)
        if since_s >= RAMP_UP_S:
            return 1
        return max(MIN_SHARE, since_s / RAMP_UP_S)

    def retain(self, names: frozenset[str]) -> None:
        """Drop the history of all targets but these."""
        for name in set(self.by_name) - names:
            self.by_name.pop(name)

    def _ends_at(self, name: str) -> float:
        history = self.by_name.get(name)
        return -math.inf if history is None else history.ejected_until


def _ejection_s(ejections: int) -> float:
    return min(MAX_EJECTION_S, math.ldexp(FIRST_EJECTION_S, ejections - 1))
