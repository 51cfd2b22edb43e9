"""Counts tokens in a sliding window."""

import collections
import itertools
from dataclasses import dataclass, field

# Tokens are counted in steps of this length, and reported by this many equal
# parts of the window.
STEP_S = 0.1
REPORTED_PARTS = 8


@dataclass(slots=True)
class Window:
    """Tokens admitted in a sliding window.

    Attributes
    ----------
    span_s : float
        Length of the window.
    steps : deque of [float, float]
        Start of each step and the tokens admitted in it.
    total : float
    """

    span_s: float
    steps: collections.deque[list[float]] = field(
        default_factory=collections.deque,
    )
    total: float = 0

    def add(self, tokens: float, now: float) -> None:
        """Count tokens as admitted now."""
        if not self.steps or now - self.steps[-1][0] >= STEP_S:
            self.steps.append([now, 0])
        self.steps[-1][1] += tokens
        self.total += tokens

    def subtract(self, tokens: float, counted_at: float) -> None:
        """Subtract tokens counted at a time, if still in the window."""
        for step in reversed(self.steps):
            if step[0] <= counted_at:
                taken = min(tokens, step[1])
                step[1] -= taken
                self.total -= taken
                return

    def count(self, now: float) -> float:
        """Return the tokens in the window that ends now."""
        while self.steps and self.steps[0][0] + STEP_S <= now - self.span_s:
            self.total -= self.steps.popleft()[1]
        return self.total

    def since(self, start: float) -> float:
        """Return the tokens counted since a time."""
        recent = itertools.takewhile(
            lambda step: step[0] >= start,
            reversed(self.steps),
        )
        return sum(step[1] for step in recent)

    def parts(self, now: float) -> tuple[int, ...]:
        """Return the tokens in each part of the window, newest first."""
        tokens: collections.Counter[int] = collections.Counter()
        for begin, counted in self.steps:
            age = int((now - begin) * REPORTED_PARTS / self.span_s)
            tokens[min(max(age, 0), REPORTED_PARTS - 1)] += int(counted)
        return tuple(tokens[part] for part in range(REPORTED_PARTS))
