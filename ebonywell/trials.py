"""Claims by which at most one host runs a suspect request at a time.

A claim is a message to all hosts. If two hosts claim the same trait at the
same moment, the one whose name sorts first has the trial; the other hears of
it before it would send its request.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Time after which a claim no longer counts, unless it is released before. A
# suspect is sent where it begins within a fraction of this time.
CLAIM_TTL_S = 3.0


@dataclass(slots=True, frozen=True)
class Claim:
    """A host's claim to run requests with a trait."""

    host: str
    expires_at: float


@dataclass(slots=True)
class TrialClaims:
    """The newest claims of all hosts, by trait.

    Attributes
    ----------
    by_trait : dict of int to Claim
    """

    by_trait: dict[int, Claim] = field(default_factory=dict)

    def is_claimed(self, traits: Iterable[int], now: float) -> bool:
        """Return whether a trial of a request with one of the traits runs."""
        return any(self._holder(trait, now) for trait in traits)

    def claim(self, traits: Iterable[int], host: str, now: float) -> None:
        """Record a host's claim, unless another host's goes before it."""
        for trait in traits:
            holder = self._holder(trait, now)
            if not holder or host <= holder:
                self.by_trait[trait] = Claim(host, now + CLAIM_TTL_S)

    def is_held(self, traits: Iterable[int], host: str, now: float) -> bool:
        """Return whether a host holds the claims of all the traits."""
        return all(self._holder(trait, now) == host for trait in traits)

    def release(self, traits: Iterable[int], host: str) -> None:
        """Drop a host's claims."""
        for trait in traits:
            claim = self.by_trait.get(trait)
            if claim is not None and claim.host == host:
                self.by_trait.pop(trait)

    def expire(self, now: float) -> None:
        """Drop claims that no longer count."""
        for trait, claim in list(self.by_trait.items()):
            if now >= claim.expires_at:
                self.by_trait.pop(trait)

    def _holder(self, trait: int, now: float) -> str:
        claim = self.by_trait.get(trait)
        if claim is None or now >= claim.expires_at:
            return ''
        return claim.host
