"""What a host that has restarted may not know of its workspaces' usage.

The module is pure. It is designed for hosts that are killed together while a
workspace uses too little of its limit for a summary, or while the summary
can't be written or read.
"""

from dataclasses import dataclass

from .digests import DIGEST_PERIOD_S
from .fleetview import FleetView

# The summary in the store covers workspaces that use at least this share of
# their limits.
SUMMARY_MIN_SHARE = 0.6


@dataclass(slots=True)
class RestartGap:
    """Time before this host's start that is still in the limits' window.

    Attributes
    ----------
    started_at : float
        Time of the start, unless no host has been started before.
    summarized : frozenset of str or None
        Workspaces in the summary from before the start; None before it has
        been read.
    """

    started_at: float = float('-inf')
    summarized: frozenset[str] | None = None

    def note_start(self, now: float) -> None:
        """Record that this host starts, perhaps not for the first time."""
        self.started_at = now

    def note_first_start(self) -> None:
        """Record that no host has been started before."""
        self.started_at = float('-inf')

    def forgotten_share(
        self, workspace: str, span_s: float, fleet: FleetView, now: float
    ) -> float:
        """Return the share of a limit that may have been used and forgotten.

        Hosts that run for longer tell what they have admitted themselves.

        Parameters
        ----------
        workspace : str
        span_s : float
            Length of the limits' window.
        fleet : FleetView
        now : float
        """
        if now >= self.started_at + span_s:
            return 0
        if self.summarized is None:
            share = 1.0
        elif workspace in self.summarized:
            return 0
        else:
            share = SUMMARY_MIN_SHARE
        digests_a_window = span_s / DIGEST_PERIOD_S
        restarted = sum(
            peer.digest is None or peer.digest.number < digests_a_window
            for peer in fleet.peers.values()
        )
        return share * (1 + restarted) / fleet.size
