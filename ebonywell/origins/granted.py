"""For how long any stream may still be resumed, by recent configurations."""

import math
from dataclasses import dataclass, field

# Hosts of earlier builds remember each stream for this long, and this one at
# least as long.
MIN_LIFE_S = 20.0
# Time after its end in which a caller may take up what an attempt left.
RETURN_S = 5.0
# How much later than another one a host may learn of a configuration.
CONFIGURATION_LAG_S = 5.0


@dataclass(slots=True)
class GrantedLives:
    """The longest durations that were granted to streams lately.

    Attributes
    ----------
    last_granted_at : dict of float to float
        When each duration, in seconds, was last the longest, if it was longer
        than `MIN_LIFE_S`.
    since : float
        Since when such durations are granted without a gap; infinite if none
        is, and negative infinity if they were when this host first looked.
    """

    last_granted_at: dict[float, float] = field(default_factory=dict)
    since: float = -math.inf

    def note(self, longest_s: float, now: float) -> None:
        """Record the longest duration that a stream may be granted now."""
        if longest_s > MIN_LIFE_S:
            if math.isinf(self.since) and self.since > 0:
                self.since = now
            self.last_granted_at[longest_s] = now
        for life_s, granted_at in list(self.last_granted_at.items()):
            if now - granted_at >= life_s + RETURN_S + CONFIGURATION_LAG_S:
                self.last_granted_at.pop(life_s)
        if not self.last_granted_at:
            self.since = math.inf

    @property
    def longest_s(self) -> float:
        """Longest duration of a stream that may still be resumed."""
        return max(self.last_granted_at, default=MIN_LIFE_S)

    @property
    def outlasts_earlier_builds(self) -> bool:
        """Whether hosts of earlier builds forget streams that still run."""
        return bool(self.last_granted_at)


@dataclass(slots=True, frozen=True)
class LifeStatement:
    """States that hosts remember each stream for as long as was granted.

    The lease holder writes it to the shared store. Where it is missing, hosts
    of an earlier build may have forgotten streams that still run.

    Attributes
    ----------
    era : int
        Era of the store in which it was made.
    longest_s : float
        Longest duration of a stream that may still be resumed.
    """

    era: int
    longest_s: float

    def encode(self) -> str:
        """Return the statement as text."""
        return ' '.join((str(self.era), str(self.longest_s)))


def read_statement(text: str) -> LifeStatement | None:
    """Return a statement; None if it was withdrawn or cannot be read."""
    try:
        era, longest_s = text.split()
        return LifeStatement(int(era), float(longest_s))
    except ValueError:
        return None


@dataclass(slots=True, frozen=True)
class Witness:
    """What the lease holder has seen of the other hosts.

    Attributes
    ----------
    watched_since : float
        Since when it knows all hosts.
    forgetful_at : float
        When it last saw a host of a build that forgets streams early.
    is_first : bool
        Whether no host has ever begun a stream.
    """

    watched_since: float
    forgetful_at: float
    is_first: bool


def choose_statement(
    stated: LifeStatement | None,
    lives: GrantedLives,
    era: int,
    witness: Witness,
    now: float,
) -> str | None:
    """Return what the lease holder has to state, None to leave it as it is."""
    wait_s = lives.longest_s + RETURN_S + CONFIGURATION_LAG_S
    is_valid = stated is not None and stated.era == era
    if now - witness.forgetful_at < wait_s:
        return '' if is_valid else None
    if not lives.outlasts_earlier_builds:
        return None
    since = max(witness.watched_since, witness.forgetful_at)
    is_proven = (
        is_valid
        or witness.is_first
        or since < lives.since
        or now - since >= wait_s
    )
    wanted = LifeStatement(era, lives.longest_s)
    return wanted.encode() if is_proven and stated != wanted else None
