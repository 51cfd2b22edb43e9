"""How recently a host is known to have seen all that the log held.

All times are by the host's own monotonic clock, so a host that was frozen
finds itself stale when it resumes, whatever waits in its sockets.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

STALE_AFTER_S = 4.0
OUTAGE_LIMIT_S = 3600.0
EXPELLED_WAIT_S = STALE_AFTER_S + 1.0


@dataclass(slots=True)
class PeerEvidence:
    """What a peer's latest heartbeat proves.

    Attributes
    ----------
    echoed_at : float
        When this host sent what the peer had heard as it wrote the heartbeat.
    fresh_at : float
        When the peer was fresh, no later than this by this host's clock.
    log_at : float
        The same for its knowledge of the log alone.
    applied : int
        The offset that the peer had applied.
    """

    echoed_at: float
    fresh_at: float
    log_at: float
    applied: int


@dataclass(slots=True)
class Freshness:
    """The evidence of one host.

    Attributes
    ----------
    fresh_at : float
        The host had all that the log or a majority knew at that time.
    log_at : float
        The host had all that the log held at that time.
    evidence : dict of str to PeerEvidence
        The latest of each peer, by life.
    """

    fresh_at: float = -math.inf
    log_at: float = -math.inf
    evidence: dict[str, PeerEvidence] = field(default_factory=dict)


def note_read(fresh: Freshness, sent_at: float) -> None:
    """Note that the log was read to its end.

    Parameters
    ----------
    fresh : Freshness
    sent_at : float
        When the read was asked for, not when its answer was seen.
    """
    fresh.log_at = max(fresh.log_at, sent_at)
    fresh.fresh_at = max(fresh.fresh_at, sent_at)


def note_evidence(
    fresh: Freshness,
    peer: str,
    evidence: PeerEvidence,
    applied: int,
) -> None:
    """Note a peer's heartbeat.

    A peer that has applied more than this host proves nothing until this
    host has caught up, because its freshness covers records unseen here.
    """
    apply_evidence(fresh, applied)
    known = fresh.evidence.get(peer)
    if known is None or evidence.echoed_at >= known.echoed_at:
        fresh.evidence[peer] = evidence
    apply_evidence(fresh, applied)


def apply_evidence(fresh: Freshness, applied: int) -> None:
    """Take over the freshness of peers that know no more than this host."""
    for touch in fresh.evidence.values():
        if touch.applied <= applied:
            fresh.fresh_at = max(fresh.fresh_at, touch.fresh_at)
            fresh.log_at = max(fresh.log_at, touch.log_at)


def apply_majority(
    fresh: Freshness,
    own_life: str,
    members: Collection[str],
    applied: int,
    now: float,
) -> None:
    """Take the majority's word for freshness, so that a log outage passes.

    Any record that expels a host takes effect only once a majority of the
    members has acknowledged it. A majority that knows of nothing newer at
    time t therefore proves that nothing had taken effect at t.
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
    touch = fresh.evidence.get(member)
    if touch is None or touch.applied > applied:
        return -math.inf
    return touch.echoed_at


def is_stale(fresh: Freshness, now: float) -> bool:
    """Return whether the host must refuse, because it may be out of date."""
    return (
        now - fresh.fresh_at > STALE_AFTER_S
        or now - fresh.log_at > OUTAGE_LIMIT_S
    )


def expire_evidence(fresh: Freshness, now: float) -> None:
    """Drop peers whose word is too old to prove anything."""
    for peer, touch in list(fresh.evidence.items()):
        if now - touch.echoed_at > STALE_AFTER_S:
            fresh.evidence.pop(peer)
