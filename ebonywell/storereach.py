"""Tells an outage of the shared store from a cut on the way to it.

A target's entry expires unless the target writes it again, which it cannot do
while the store is away. So for some time after an outage a missing entry does
not show that its target has left. A host whose own path is cut sees the same
errors as in an outage. The store was not away if another host was in touch with
it all the while.
"""

import math
from dataclasses import dataclass, field

# A host that had no proof for longer than this may have missed an outage.
MAX_PROOF_GAP_S = 2.0
# Outages that are remembered.
MAX_OUTAGES = 8


@dataclass(slots=True, frozen=True)
class Witness:
    """How long another host has been in touch with the store.

    Both times are by the clock of the host that was told.

    Attributes
    ----------
    since : float
        Latest time at which that may have begun.
    until : float
        Earliest time of its last freshness proof.
    """

    since: float
    until: float


@dataclass(slots=True, frozen=True)
class Outage:
    """A time in which the store may have been away.

    Attributes
    ----------
    last_proof_at : float
        Time of the last freshness proof before it.
    noticed_at : float
        When a call failed, or was overdue.
    ended_at : float
        When the store answered again.
    """

    last_proof_at: float
    noticed_at: float
    ended_at: float

    def is_refuted(self, witness: Witness) -> bool:
        """Return whether another host was in touch with the store then."""
        is_before = witness.since <= self.last_proof_at
        return is_before and witness.until >= self.noticed_at


@dataclass(slots=True)
class StoreReach:
    """Whether a host is in touch with the store, and since when.

    Attributes
    ----------
    first_answer_at : float
    proven_at : float
        Time of the freshness proof: nothing newer than what was applied
        existed then, by the clock of the process.
    failing_since : float or None
        When calls began to fail; None if the last one succeeded.
    outages : list of Outage
        Those that were not refuted, the latest one last.
    era : int
        Era of the store in which the host read last.
    """

    first_answer_at: float = math.inf
    proven_at: float = -math.inf
    failing_since: float | None = None
    outages: list[Outage] = field(default_factory=list)
    era: int = 0

    @property
    def recovered_at(self) -> float:
        """When the store answered again after the last outage."""
        return self.outages[-1].ended_at if self.outages else -math.inf

    @property
    def reached_since(self) -> float:
        """When the time without interruption began that lasts till now."""
        if self.outages:
            return self.outages[-1].ended_at
        return self.first_answer_at

    def note_failure(self, now: float) -> bool:
        """Record a failed call, and return whether it is the first one."""
        if self.failing_since is not None:
            return False
        self.failing_since = now
        return True

    def note_answer(
        self, proven_at: float, now: float, witness: Witness | None = None
    ) -> None:
        """Record an answer before what it tells is applied.

        Parameters
        ----------
        proven_at : float
            Time of the proof that the answer holds.
        now : float
        witness : Witness or None
            The host that gave the answer, None if the store did.
        """
        if math.isinf(self.first_answer_at):
            self.first_answer_at = now
            self.failing_since = None
            return
        noticed_at = self.failing_since
        if noticed_at is None:
            if proven_at - self.proven_at <= MAX_PROOF_GAP_S:
                return
            noticed_at = self.proven_at + MAX_PROOF_GAP_S
        elif proven_at < noticed_at:
            return
        self.failing_since = None
        outage = Outage(self.proven_at, noticed_at, now)
        if witness is not None:
            if outage.is_refuted(witness):
                return
            ended_at = min(now, max(witness.since, noticed_at))
            outage = Outage(self.proven_at, noticed_at, ended_at)
        self._add_outage(outage)

    def note_era(self, era: int, now: float) -> None:
        """Record that the store has come back from an older copy.

        It was away, whatever other hosts have noticed.
        """
        self.era = era
        self._add_outage(Outage(-math.inf, now, now))

    def refute_outage(self, witness: Witness) -> bool:
        """Forget the last outage if another host saw none; return whether."""
        if not self.outages or not self.outages[-1].is_refuted(witness):
            return False
        self.outages.pop()
        return True

    def _add_outage(self, outage: Outage) -> None:
        self.outages = [*self.outages, outage][-MAX_OUTAGES:]
