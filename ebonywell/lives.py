"""Checks on claims that rely on the heartbeats of other entry processes."""

from collections.abc import Collection

from .freshness import STALE_AFTER_S, Freshness


def is_alive(fresh: Freshness, own_life: str, life: str, now: float) -> bool:
    """Return whether a life of a host is known to be alive.

    Parameters
    ----------
    fresh : Freshness
    own_life : str
        Life of this host, written ``name/incarnation``.
    life : str
    now : float
        Time in seconds, by the clock of the process.
    """
    if life == own_life:
        return True
    evidence = fresh.evidence.get(life)
    return evidence is not None and now - evidence.echoed_at <= STALE_AFTER_S


def knows_all(
    fresh: Freshness,
    own_life: str,
    members: Collection[str],
    applied: int,
    since: float,
) -> bool:
    """Return whether this host knows every claim that may have been run.

    A host runs a claim as soon as it has read the claim back itself, so a
    report from a majority is not enough. Either the log has been read to its
    end, or every member has reported that it has no record unknown here.

    Parameters
    ----------
    fresh : Freshness
    own_life : str
        Life of this host.
    members : collection of str
        Lives of all registered hosts.
    applied : int
        Offset that this host has applied.
    since : float
        Time before which the claims in question were made, by the clock of
        the process.
    """
    if fresh.log_at >= since:
        return True
    return all(
        member == own_life or _knows_no_more(fresh, member, applied, since)
        for member in members
    )


def _knows_no_more(
    fresh: Freshness,
    member: str,
    applied: int,
    since: float,
) -> bool:
    evidence = fresh.evidence.get(member)
    if evidence is None or evidence.echoed_at < since:
        return False
    return evidence.applied <= applied
