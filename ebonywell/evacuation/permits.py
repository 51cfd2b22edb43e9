"""Which host schedules the requests to a target, and whether it may.

Designed for hosts that start, die, freeze or are cut off while a target is
cold: a host that cannot know who else grants permits grants none.
"""

from collections.abc import Iterable

from ..fleetview import FleetView, Peer
from ..sendschedule import pick_scheduler
from ..statements import Incarnation
from .cold import Contact


def find_scheduler(
    fleet: FleetView, incarnation: Incarnation, now: float, *, is_ready: bool
) -> Peer | None:
    """Return the host that schedules the requests to a target.

    Parameters
    ----------
    fleet : FleetView
    incarnation : (str, int)
    now : float
    is_ready : bool
        Whether this host serves callers.

    Returns
    -------
    Peer or None
        None if it is this host.
    """
    names = _list_ready(fleet, now)
    if is_ready or not names:
        names.add(fleet.own_name)
    name = pick_scheduler(names, incarnation)
    return None if name == fleet.own_name else fleet.peers.get(name)


def may_grant_cold(
    fleet: FleetView, contact: Contact, scheduler: Peer | None, now: float
) -> bool:
    """Return whether this host may grant permits for a cold target.

    A host that reaches few others cannot know how many hosts are like it, and
    a host that has just started does not know the others.

    Parameters
    ----------
    fleet : FleetView
    contact : Contact
        This host's contact with the others.
    scheduler : Peer or None
        The host that schedules, None for this host.
    now : float
    """
    if scheduler is not None or fleet.is_minority(now):
        return False
    return contact.lasts(now)


def least_rate(rates: Iterable[float | None]) -> float | None:
    """Return the lowest of several limits, None if there is none."""
    return min((one for one in rates if one is not None), default=None)


def _list_ready(fleet: FleetView, now: float) -> set[str]:
    return {one.name for one in fleet.recent_digests(now) if one.is_ready}
