"""Decides when a host claims or renews the planner's lease, without I/O."""

import enum
from dataclasses import dataclass

from .leases import NO_FENCING, Lease

LEASE_S = 8.0
RENEW_S = 2.0


class LeaseStep(enum.StrEnum):
    """What a host does about the lease in this tick."""

    idle = 'idle'
    claim = 'claim'
    renew = 'renew'


@dataclass(slots=True)
class LeaseWatch:
    """What a host has observed of the lease, by its own clock.

    Attributes
    ----------
    stagger_s : float
        Additional time that this host waits before it claims.
    renewed : int
        Log offset of the latest record about the lease.
    seen_at : float
        When the host saw that record, or last had no fresh log, in seconds.
    written_at : float
        When this host last decided to claim or renew, in seconds.
    lease_s : float
        Time without a renewal after which the lease expires.
    renew_s : float
        Interval between renewals, and between attempts to claim.
    """

    stagger_s: float = 0
    renewed: int = NO_FENCING
    seen_at: float = 0
    written_at: float = 0
    lease_s: float = LEASE_S
    renew_s: float = RENEW_S


def lease_step(
    lease: Lease,
    watch: LeaseWatch,
    host: str,
    now: float,
    is_log_fresh: bool,
) -> LeaseStep:
    """Return what a host does about the lease now.

    Parameters
    ----------
    lease : Lease
    watch : LeaseWatch
        Changed in place.
    host : str
        Host id and incarnation of the caller.
    now : float
        Monotonic time, in seconds.
    is_log_fresh : bool
        Whether the log has been read recently. The holder can't renew while
        the log is unavailable, so this time doesn't count towards expiry.
    """
    if lease.renewed != watch.renewed or not is_log_fresh:
        watch.renewed = lease.renewed
        watch.seen_at = now
    if lease.holder == host:
        if now - watch.written_at < watch.renew_s:
            return LeaseStep.idle
        watch.written_at = now
        return LeaseStep.renew
    wait_s = watch.lease_s if lease.holder else 0
    if not is_log_fresh or now - watch.seen_at < wait_s + watch.stagger_s:
        return LeaseStep.idle
    if now - watch.written_at < watch.renew_s:
        return LeaseStep.idle
    watch.written_at = now
    return LeaseStep.claim
