"""Tests of the planner's lease: one holder by log order, expiry by clock."""

from ebonywell import leases
from ebonywell.leasetiming import LEASE_S, LeaseStep, LeaseWatch, lease_step


def test_the_first_of_racing_claims_wins_and_ends_the_old_lease():
    lease = leases.Lease()
    assert leases.apply(lease, 5, leases.LeaseClaimed('a'))
    assert leases.apply(lease, 6, leases.LeaseClaimed('b', replaces=5))
    assert not leases.apply(lease, 7, leases.LeaseClaimed('c', replaces=5))
    assert not leases.apply(lease, 8, leases.LeaseRenewed(5))
    assert not leases.apply(lease, 9, leases.LeaseReleased(5))
    assert lease == leases.Lease(6, 'b', 6)
    assert leases.apply(lease, 10, leases.LeaseReleased(6))
    assert not leases.is_held(lease, 6)


def test_a_silent_holder_is_replaced_when_the_lease_expires():
    lease, watch = leases.Lease(5, 'a', 5), LeaseWatch()
    assert lease_step(lease, watch, 'b', 100, True) is LeaseStep.idle
    soon, late = 100 + LEASE_S - 1, 100 + LEASE_S
    assert lease_step(lease, watch, 'b', soon, True) is LeaseStep.idle
    assert lease_step(lease, watch, 'b', late, True) is LeaseStep.claim


def test_a_log_outage_does_not_count_towards_expiry():
    lease, watch = leases.Lease(5, 'a', 5), LeaseWatch()
    for now in range(100, 200):
        assert lease_step(lease, watch, 'b', now, False) is LeaseStep.idle
    assert lease_step(lease, watch, 'b', 201, True) is LeaseStep.idle


def test_a_released_lease_is_claimed_at_once():
    watch = LeaseWatch(renewed=9, seen_at=100)
    lease = leases.Lease(5, '', 9)
    assert lease_step(lease, watch, 'b', 100, True) is LeaseStep.claim
