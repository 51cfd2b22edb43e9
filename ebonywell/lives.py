"""What the other entry processes' heartbeats prove about claims."""

from collections.abc import Collection

from .freshness import STALE_AFTER_S, Freshness


def is_alive(fresh: Freshness, own_life: str, life: str, now: float) -> bool:
    """Return whether a life of a host is known to be alive.

    Parameters
    ----------
    fresh : Freshness
    own_life : str
        This host's own life, written ``name/incarnation``.
    life : str
    now : float
        In seconds by the process's clock.
    """
    if life == own_life:
        return True
    touch = fresh.evidence.get(life)
    return touch is not None and now - touch.echoed_at <= STALE_AFTER_S


def knows_all(
    fresh: Freshness,
    own_life: str,
    members: Collection[str],
    applied: int,
    since: float,
) -> bool:
    """Return whether every claim that may have been run is known here.

    A host runs a claim as soon as it has read it back itself, so that the
    word of a majority is not enough: either the log has been read to its end,
    or every member has said that it knows of no record unknown here.

    Parameters
    ----------
    fresh : Freshness
    own_life : str
        This host's own life.
    members : collection of str
        The lives of all registered hosts.
    applied : int
        The offset that this host has applied.
    since : float
        Claims made before this time count, by the process's clock.
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
    touch = fresh.evidence.get(member)
    if touch is None or touch.echoed_at < since:
        return False
    return touch.applied <= applied
