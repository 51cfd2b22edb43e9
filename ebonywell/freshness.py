"""Freshness proofs: when a host last had the whole content of the log.

All times are by the host's own monotonic clock. A host that was frozen is
therefore stale when it resumes, whatever its sockets have buffered.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

STALE_AFTER_S = 4.0
OUTAGE_LIMIT_S = 3600.0
EXPELLED_WAIT_S = STALE_AFTER_S + 1.0


@dataclass(slots=True)
class PeerEvidence:
    """Freshness proof in the latest heartbeat of a peer.

    Attributes
    ----------
    echoed_at : float
        Time at which this host sent the latest heartbeat that the peer had
        received when it wrote its own.
    fresh_at : float
        Lower bound of the time at which the peer was fresh, by this host's
        clock.
    log_at : float
        The same for the peer's knowledge from the log alone.
    applied : int
        Offset that the peer had applied.
    """

    echoed_at: float
    fresh_at: float
    log_at: float
    applied: int


@dataclass(slots=True)
class Freshness:
    """Freshness proofs that one host holds.

    Attributes
    ----------
    fresh_at : float
        Latest time at which the host is known to have had all records that
        the log held or a majority knew.
    log_at : float
        Latest time at which the host is known to have had all records that
        the log held.
    evidence : dict of str to PeerEvidence
        Latest evidence of each peer, by life.
    """

    fresh_at: float = -math.inf
    log_at: float = -math.inf
    evidence: dict[str, PeerEvidence] = field(default_factory=dict)


def note_read(fresh: Freshness, sent_at: float) -> None:
    """Record that the log was read to its end.

    Parameters
    ----------
    fresh : Freshness
    sent_at : float
        Time at which the read was requested, not that of its answer.
    """
    fresh.log_at = max(fresh.log_at, sent_at)
    fresh.fresh_at = max(fresh.fresh_at, sent_at)


def note_evidence(
    fresh: Freshness,
    peer: str,
    evidence: PeerEvidence,
    applied: int,
) -> None:
    """Record the evidence in the heartbeat of a peer.

    A peer that has applied more than this host proves nothing until this host
    has caught up, because its freshness covers records that this host lacks.
    """
    apply_evidence(fresh, applied)
    known = fresh.evidence.get(peer)
    if known is None or evidence.echoed_at >= known.echoed_at:
        fresh.evidence[peer] = evidence
    apply_evidence(fresh, applied)


def apply_evidence(fresh: Freshness, applied: int) -> None:
    """Apply the freshness of peers that have no records unknown here."""
    for evidence in fresh.evidence.values():
        if evidence.applied <= applied:
            fresh.fresh_at = max(fresh.fresh_at, evidence.fresh_at)
            fresh.log_at = max(fresh.log_at, evidence.log_at)


def apply_majority(
    fresh: Freshness,
    own_life: str,
    members: Collection[str],
    applied: int,
    now: float,
) -> None:
    """Count the host as fresh if a majority of the members knows no more.

    Hosts thereby stay fresh through an outage of the log. A record that
    expels a host takes effect only after a majority of the members has
    acknowledged it. A majority that knows of no newer record at time t
    therefore proves that none had taken effect at t.
    """
    times = sorted(
        (_confirmed_at(fresh, own_life, one, applied, now) for one in members),
        reverse=True,
    )
    needed = len(members) // 2
    if len(times) > needed:
        fresh.fresh_at = max(fresh.fresh_at, times[needed])


def _confirmed_at(
    fresh: Freshness,
    own_life: str,
    member: str,
    applied: int,
    now: float,
) -> float:
    if member == own_life:
        return now
    evidence = fresh.evidence.get(member)
    if evidence is None or evidence.applied > applied:
        return -math.inf
    return evidence.echoed_at


def is_stale(fresh: Freshness, now: float) -> bool:
    """Return whether the host may be stale and must reject requests."""
    return (
        now - fresh.fresh_at > STALE_AFTER_S
        or now - fresh.log_at > OUTAGE_LIMIT_S
    )


def expire_evidence(fresh: Freshness, now: float) -> None:
    """Drop evidence that is too old to prove freshness."""
    for peer, evidence in list(fresh.evidence.items()):
        if now - evidence.echoed_at > STALE_AFTER_S:
            fresh.evidence.pop(peer)
