"""Tests how far a workspace is found to be above its usual share."""

import random

from ebonywell.digests import Digest, UsageShare
from ebonywell.fleetview import FleetView
from ebonywell.headroom.fairness import FairShares, rates_from
from ebonywell.loadboard import LoadBoard
from ebonywell.routetable import WorkspaceLimit
from ebonywell.sharedlimits import SharedLimits


def watch(rates_at, until_s, shares=None):
    """Return shares that have seen the rates of a function of the time."""
    shares = shares or FairShares(rates_at)
    at = 0.0
    while at < until_s:
        shares.excess('a', at)
        at += 0.25
    return shares


def steady(now):
    return {'a': 20, 'b': 30, 'c': 25}


def test_usual_loads_have_no_excess():
    shares = watch(steady, 60)
    assert [shares.excess(name, 60) for name in 'abc'] == [1, 1, 1]
    assert shares.excess('unknown', 60) == 1


def test_a_workspace_at_seven_times_its_load_is_found_within_seconds():
    def rates(now):
        return {**steady(now), 'a': 140 if now >= 60 else 20}

    shares = watch(rates, 66)
    assert shares.excess('a', 66) > 4
    assert shares.excess('b', 66) == 1


def test_two_of_five_workspaces_at_seven_times_their_load_are_found():
    def rates(now):
        growth = 7 if now >= 60 else 1
        return {'a': 20 * growth, 'b': 9 * growth, 'c': 9, 'd': 9, 'e': 9}

    shares = watch(rates, 66)
    assert min(shares.excess('a', 66), shares.excess('b', 66)) > 4
    assert shares.excess('c', 66) == 1


def test_a_growth_of_all_workspaces_is_nobody_s_excess():
    """Callers come and go together over the day."""

    def rates(now):
        growth = 3 if now >= 60 else 1
        return {name: rate * growth for name, rate in steady(now).items()}

    shares = watch(rates, 70)
    assert [shares.excess(name, 70) for name in 'abc'] == [1, 1, 1]


def test_a_flood_does_not_soon_become_usual():
    def rates(now):
        return {**steady(now), 'a': 140 if now >= 60 else 20}

    assert watch(rates, 150).excess('a', 150) > 2.5


def test_a_workspace_that_paused_goes_on_without_excess():
    def rates(now):
        return {**steady(now), 'a': 0 if 60 <= now < 200 else 20}

    assert watch(rates, 204).excess('a', 204) == 1


def test_single_requests_and_small_bursts_are_no_excess():
    rng = random.Random(4)

    def rates(now):
        return {name: rng.choice((4, 5, 6, 9)) for name in 'abcdef'}

    shares = watch(rates, 60)
    assert [shares.excess(name, 60) for name in 'abcdef'] == [1, 1, 1, 1, 1, 1]


def test_the_rates_of_all_hosts_are_summed_and_silent_ones_left_out():
    fleet = FleetView('host-1', LoadBoard())
    limits = SharedLimits(8, fleet)
    limits.admit(WorkspaceLimit('a', 0, 0, 1, False, None), 5, 10)
    for number, name in enumerate(('host-2', 'host-3')):
        digest = Digest(
            name, 1, 1, name, name, 'z', True, 1, 0, False, False, 0,
            usage=(UsageShare('a', (7,), 7), UsageShare('b', (2,), 2)),
        )  # fmt: skip
        fleet.note_digest(digest, 10 - 9 * number)
    assert rates_from(limits)(10) == {'a': 12, 'b': 2}
