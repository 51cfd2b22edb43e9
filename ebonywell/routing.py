"""Load balancing: chooses among the replicas that can serve a request."""

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
    """The properties of a replica that the choice depends on.

    Attributes
    ----------
    name : str
    load : float
        Requests that run or wait on it, by `estimate_loads`.
    share : float
        The fraction of its normal traffic that the replica gets while it
        returns from an ejection, above 0 and at most 1.
    is_same_zone : bool
        Whether it is in this host's availability zone.
    has_adapter : bool
        Whether it has loaded the adapter that the request needs.
    """

    name: str
    load: float
    share: float = 1.0
    is_same_zone: bool = True
    has_adapter: bool = True

    @property
    def weighted_load(self) -> float:
        """The load including this request, divided by the replica's share."""
        return (self.load + 1) / self.share


@dataclass(slots=True, frozen=True)
class LoadObservation:
    """The observed load of a replica.

    Attributes
    ----------
    own : int
        Requests of this process in flight on it; exact.
    own_at_report : int
        Requests of this process in flight when the report was received.
    reported : int or None
        Running and queued requests by its report, None without a report.
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


def estimate_loads(observations: Sequence[LoadObservation]) -> list[float]:
    """Return the estimated load of each replica.

    The load is the number of this process's requests, plus those of other
    hosts by the replica's report. A missing, stale or implausible report is
    replaced by the median of the others. A report that shows too few requests
    of other hosts is corrected upwards: the ratio of other hosts' requests to
    own requests is expected to be about the same on all replicas, and at
    least `MIN_ASSUMED_FRACTION` of it is assumed on each.
    """
    known = [_other_load(one, 0) for one in observations if _is_usable(one)]
    median = statistics.median(known) if known else 0
    others = [_other_load(observation, median) for observation in observations]
    own = sum(observation.own for observation in observations)
    expected = MIN_ASSUMED_FRACTION * sum(others) / max(own, 1)
    return [
        observation.own + max(other, expected * observation.own)
        for observation, other in zip(observations, others, strict=True)
    ]


def _is_usable(observation: LoadObservation) -> bool:
    if observation.reported is None or observation.age_s > REPORT_MAX_AGE_S:
        return False
    return 0 <= observation.reported <= MAX_PLAUSIBLE_LOAD


def _other_load(observation: LoadObservation, default: float) -> float:
    if observation.reported is None or not _is_usable(observation):
        return default
    return max(0, observation.reported - observation.own_at_report)


def prefix_key(prefix: bytes) -> bytes:
    """Return the key by which engines identify a prompt's prefix."""
    return xxhash.xxh64_hexdigest(prefix).encode()


def choose_random(
    candidates: Sequence[Candidate],
    prefix: bytes,
    rng: random.Random,
) -> Candidate:
    """Return a random candidate."""
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
    """Return the replica that caches the prefix, unless it is overloaded.

    Rendezvous hashing ranks the replicas for each prefix in the same order on
    every host. The first one whose load is at most `AFFINITY_BOUND` times the
    mean is chosen, so that a popular prefix spills over to the next replica.
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
    """Return the candidates that remain after applying the preferences.

    Candidates with the adapter are preferred, then those in the same
    availability zone. A preference is dropped if the least loaded preferred
    candidate has clearly more load than the least loaded of all.
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
    is_load_close = best <= PREFERENCE_SLACK + least * AFFINITY_BOUND
    return preferred if is_load_close else candidates
