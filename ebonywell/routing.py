"""Chooses among the replicas that could run a call."""

import random
import statistics
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import xxhash

AFFINITY_BOUND = 1.25
PREFERENCE_SLACK = 2.0
REPORT_MAX_AGE_S = 3.0
MIN_ASSUMED_FRACTION = 0.5
MAX_PLAUSIBLE_LOAD = 4096


@dataclass(slots=True, frozen=True)
class Candidate:
    """A replica as the choice sees it.

    Attributes
    ----------
    name : str
    load : float
        Calls that run or wait on it, by `estimate_loads`.
    share : float
        The part of its usual calls that it gets, above 0 and at most 1.
    is_same_zone : bool
        Whether it is in this host's availability zone.
    has_adapter : bool
        Whether the adapter that the call needs is there.
    """

    name: str
    load: float
    share: float = 1.0
    is_same_zone: bool = True
    has_adapter: bool = True

    @property
    def weighted_load(self) -> float:
        """The load, with one more call, by the share that it should get."""
        return (self.load + 1) / self.share


@dataclass(slots=True, frozen=True)
class LoadObservation:
    """What is known of a replica's load.

    Attributes
    ----------
    own : int
        Calls of this process that run on it now; exact.
    own_at_report : int
        The same when the report came.
    reported : int or None
        Running and queued by its report, None without one.
    age_s : float
        The report's age, in seconds.
    """

    own: int
    own_at_report: int = 0
    reported: int | None = None
    age_s: float = 0


ReplicaChooser = Callable[
    [Sequence[Candidate], bytes, random.Random],
    Candidate,
]


def estimate_loads(sights: Sequence[LoadObservation]) -> list[float]:
    """Return each replica's load: own calls, and others' by the reports.

    A missing, old or impossible report is replaced by the median of the
    others. A report that shows too few calls of other hosts is corrected: for
    each own call on a replica there are about as many of other hosts as on
    the replicas altogether, and at least `MIN_ASSUMED_FRACTION` of that is assumed.
    """
    known = [_other_load(one, 0) for one in sights if _is_usable(one)]
    usual = statistics.median(known) if known else 0
    others = [_other_load(sight, usual) for sight in sights]
    own = sum(sight.own for sight in sights)
    expected = MIN_ASSUMED_FRACTION * sum(others) / max(own, 1)
    return [
        sight.own + max(other, expected * sight.own)
        for sight, other in zip(sights, others, strict=True)
    ]


def _is_usable(sight: LoadObservation) -> bool:
    if sight.reported is None or sight.age_s > REPORT_MAX_AGE_S:
        return False
    return 0 <= sight.reported <= MAX_PLAUSIBLE_LOAD


def _other_load(sight: LoadObservation, usual: float) -> float:
    if sight.reported is None or not _is_usable(sight):
        return usual
    return max(0, sight.reported - sight.own_at_report)


def prefix_key(prefix: bytes) -> bytes:
    """Return the key of a prompt's prefix, as engines name it."""
    return xxhash.xxh64_hexdigest(prefix).encode()


def choose_random(
    candidates: Sequence[Candidate],
    prefix: bytes,
    rng: random.Random,
) -> Candidate:
    """Return any candidate."""
    return rng.choice(candidates)


def choose_least_loaded(
    candidates: Sequence[Candidate],
    prefix: bytes,
    rng: random.Random,
) -> Candidate:
    """Return a candidate with the least load."""
    least = min(one.weighted_load for one in candidates)
    ties = [one for one in candidates if one.weighted_load <= least]
    return rng.choice(ties)


def choose_of_two(
    candidates: Sequence[Candidate],
    prefix: bytes,
    rng: random.Random,
) -> Candidate:
    """Return the less loaded of two random candidates."""
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda one: one.weighted_load)


def choose_by_prefix(
    candidates: Sequence[Candidate],
    prefix: bytes,
    rng: random.Random,
) -> Candidate:
    """Return the replica that caches the prefix, unless it is loaded.

    Rendezvous hashing orders the replicas for each prefix alike on every
    host. The first within `AFFINITY_BOUND` of the mean load is taken, so that
    a popular prefix spills over to the next one.
    """
    if not prefix:
        return choose_of_two(candidates, prefix, rng)
    mean = statistics.fmean(one.weighted_load for one in candidates)
    ranked = sorted(
        candidates,
        key=lambda one: xxhash.xxh64_intdigest(prefix + one.name.encode()),
    )
    for candidate in ranked:
        if candidate.weighted_load <= AFFINITY_BOUND * mean:
            return candidate
    return choose_of_two(candidates, prefix, rng)


def apply_preferences(candidates: Sequence[Candidate]) -> Sequence[Candidate]:
    """Return the candidates left by the preferences that load allows.

    Those with the adapter go first, then those in the same availability
    zone, as long as the best of them has hardly more load than the best.
    """
    left = _prefer_where(candidates, lambda one: one.has_adapter)
    return _prefer_where(left, lambda one: one.is_same_zone)


def _prefer_where(
    candidates: Sequence[Candidate],
    is_preferred: Callable[[Candidate], bool],
) -> Sequence[Candidate]:
    preferred = [one for one in candidates if is_preferred(one)]
    if not preferred:
        return candidates
    least = min(one.weighted_load for one in candidates)
    best = min(one.weighted_load for one in preferred)
    is_near_least = best <= PREFERENCE_SLACK + least * AFFINITY_BOUND
    return preferred if is_near_least else candidates
