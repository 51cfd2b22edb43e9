"""Decides whether this host is cut off from the targets.

A host whose links to the targets fail looks healthy otherwise: callers, the
store and other hosts reach it. It knows first, by its own requests. One target
that fails is ill; many that fail in a row, with no sign of life from any
other, are unlikely to be.

The module is pure. It is designed for cuts in which connections hang, are
refused, or live on while new ones are refused.
"""

import math
from dataclasses import dataclass, field

# Targets that have to fail in a row, or all known ones if there are fewer.
MIN_FAILED_TARGETS = 3
# Failures that are further apart are not taken for one cut.
MAX_FAILURE_AGE_S = 5.0


@dataclass(slots=True)
class TargetReach:
    """What this host's requests tell of its links to the targets.

    Attributes
    ----------
    failed_at : dict of str to float
        Targets that failed since any target last gave a sign of life, with the
        time of their last failure.
    answered_at : float
        When a target last gave a sign of life.
    """

    failed_at: dict[str, float] = field(default_factory=dict)
    answered_at: float = -math.inf

    def note_answer(self, now: float) -> None:
        """Record that a target answered, or accepted a connection."""
        self.answered_at = now
        self.failed_at.clear()

    def note_failure(self, target: str, sent_at: float, now: float) -> None:
        """Record that a target did not answer, or not at all in time.

        Parameters
        ----------
        target : str
        sent_at : float
            When it was addressed. A target that answered since then shows that
            the links were sound.
        now : float
        """
        if sent_at >= self.answered_at:
            self.failed_at[target] = now

    def is_cut(self, known_targets: int, now: float) -> bool:
        """Return whether the links to the targets seem to be cut."""
        recent = sum(
            now - at < MAX_FAILURE_AGE_S for at in self.failed_at.values()
        )
        return recent >= max(1, min(MIN_FAILED_TARGETS, known_targets))
