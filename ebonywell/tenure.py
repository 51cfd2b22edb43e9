"""When to claim and when to renew the planner's lease. Pure decisions."""

import enum
from dataclasses import dataclass

from .leases import NO_FENCING, Lease

LEASE_S = 8.0
RENEW_S = 2.0


class LeaseStep(enum.StrEnum):
    """What a host does about the lease now."""

    idle = 'idle'
    claim = 'claim'
    renew = 'renew'


@dataclass(slots=True)
class Watch:
    """What a host has seen of the lease, by its own clock.

    Attributes
    ----------
    stagger_s : float
        How much longer than others this host waits before it claims.
    renewed : int
        The offset of the latest record about the lease.
    seen_at : float
        When that record was seen, or the log could last not be read.
    tried_at : float
        When this host last wrote about the lease.
    lease_s : float
        How long a holder may be silent.
    renew_s : float
        How often a holder writes.
    """

    stagger_s: float = 0
    renewed: int = NO_FENCING
    seen_at: float = 0
    tried_at: float = 0
    lease_s: float = LEASE_S
    renew_s: float = RENEW_S


def lease_step(
    lease: Lease,
    watch: Watch,
    host: str,
    now: float,
    is_log_fresh: bool,
) -> LeaseStep:
    """Decide what a host does about the lease.

    Parameters
    ----------
    lease : Lease
    watch : Watch
        Changed in place.
    host : str
        Host id and incarnation of the caller.
    now : float
        In seconds, never going back.
    is_log_fresh : bool
        Whether the log has been read of late. Without it nobody can renew, so
        the time does not count against the holder.
    """
    if lease.renewed != watch.renewed or not is_log_fresh:
        watch.renewed = lease.renewed
        watch.seen_at = now
    if lease.holder == host:
        if now - watch.tried_at < watch.renew_s:
            return LeaseStep.idle
        watch.tried_at = now
        return LeaseStep.renew
    patience = watch.lease_s if lease.holder else 0
    if not is_log_fresh or now - watch.seen_at < patience + watch.stagger_s:
        return LeaseStep.idle
    if now - watch.tried_at < watch.renew_s:
        return LeaseStep.idle
    watch.tried_at = now
    return LeaseStep.claim
