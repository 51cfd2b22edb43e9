"""Measures the longest pause of a stream, as it arrives from its target.

Made for targets that read several long prompts in a row, while which all the
streams that run there get hardly an event.
"""

from dataclasses import dataclass

from ..metrics import Metrics


@dataclass(slots=True)
class Arrivals:
    """When the parts of one answer arrived, in seconds by `boot_time`.

    Attributes
    ----------
    parts : int
        Number of parts with bytes of the body. Parts that were read from the
        connection at once count as one.
    first_at, last_at : float
        When the first and the newest part arrived.
    longest_s : float
        Longest time between two successive parts.
    longest_from : float
        When that pause began.
    goal_s : float
        Goal for the longest pause; 0 for none.
    is_suspended : bool
        Whether this host reads nothing for now, so that the time until the
        next part is no pause of the target.
    """

    parts: int = 0
    first_at: float = 0
    last_at: float = 0
    longest_s: float = 0
    longest_from: float = 0
    goal_s: float = 0
    is_suspended: bool = False

    def note(self, now: float) -> None:
        """Record that a part has arrived."""
        if not self.parts:
            self.first_at = now
        elif not self.is_suspended:
            self._note_pause(self.last_at, now)
        self.is_suspended = False
        self.parts += 1
        self.last_at = now

    def take_up(self, before: 'Arrivals | None', goal_s: float) -> None:
        """Go on with the measurement of a stream.

        Parameters
        ----------
        before : Arrivals or None
            The parts of the stream that another target sent before it broke.
        goal_s : float
            Goal for the longest pause; 0 for none.
        """
        self.goal_s = goal_s
        if before is None or not before.parts:
            return
        if before.longest_s > self.longest_s:
            self.longest_s = before.longest_s
            self.longest_from = before.longest_from
        if self.parts:
            self._note_pause(before.last_at, self.first_at)
        else:
            self.last_at = before.last_at
        self.first_at = before.first_at
        self.parts += before.parts

    def _note_pause(self, begin: float, end: float) -> None:
        if end - begin > self.longest_s:
            self.longest_s = end - begin
            self.longest_from = begin


def describe_pauses(arrivals: Arrivals | None) -> dict[str, float | int]:
    """Return what `request_ended` says about the pauses of a stream."""
    if arrivals is None or not arrivals.parts:
        return {}
    return {
        'parts': arrivals.parts,
        'longest_pause_s': arrivals.longest_s,
        'longest_pause_after_s': arrivals.longest_from - arrivals.first_at,
        'pause_goal_s': arrivals.goal_s,
    }


def count_pauses(metrics: Metrics, arrivals: Arrivals | None) -> None:
    """Count a stream by whether its longest pause was over the goal."""
    if arrivals is None or not arrivals.parts or not arrivals.goal_s:
        return
    is_over = arrivals.longest_s > arrivals.goal_s
    metrics.count('stream_pauses_total', is_over_goal=str(is_over).lower())
