"""Tests of load balancing among replicas with good and bad reports."""

import collections
import random

import pytest

from ebonywell.routing import (
    AFFINITY_BOUND,
    Candidate,
    LoadObservation,
    apply_preferences,
    choose_by_prefix,
    choose_least_loaded,
    choose_of_two,
    estimate_loads,
    prefix_key,
)


@pytest.fixture
def rng():
    return random.Random(1)


def _replicas(loads):
    return [Candidate(f't{index}', load) for index, load in enumerate(loads)]


@pytest.mark.parametrize(
    ('odd', 'expected'),
    [
        (LoadObservation(2, 1, 8, 0.5), 9),
        (LoadObservation(2, 0, None), 9),
        (LoadObservation(2, 0, 50, age_s=60), 9),
        (LoadObservation(2, 0, -5), 9),
        (LoadObservation(2, 0, 10**9), 9),
        # The other replicas show about 2 requests of other hosts for each own
        # request; half of that is assumed.
        (LoadObservation(4, 4, 4), 4 + 4 * 0.5 * 21 / 11),
    ],
)
def test_bad_reports_neither_attract_nor_repel_requests(odd, expected):
    """Reports that lag, are missing, stale, negative, absurd or too low."""
    usual = [
        LoadObservation(2, 2, 9),
        LoadObservation(2, 2, 9),
        LoadObservation(3, 3, 10),
    ]
    assert estimate_loads([*usual, odd])[-1] == pytest.approx(expected)


def test_a_prefix_stays_on_its_replica_until_that_is_overloaded(rng):
    prefix = prefix_key(b'quote for galvanised strip')
    even = _replicas(3 for _ in range(9))
    home = choose_by_prefix(even, prefix, rng)
    assert choose_by_prefix(even, prefix, random.Random(2)) is home
    uneven = _replicas(9 if one is home else 3 for one in even)
    assert choose_by_prefix(uneven, prefix, rng).load == 3


def test_a_popular_prefix_loads_no_replica_beyond_the_bound(rng):
    loads = collections.Counter({f't{number}': 0 for number in range(10)})
    for _ in range(500):
        candidates = [Candidate(name, load) for name, load in loads.items()]
        loads[choose_by_prefix(candidates, b'same', rng).name] += 1
        mean = sum(loads.values()) / len(loads)
        assert max(loads.values()) <= AFFINITY_BOUND * (mean + 1) + 1


def test_a_replica_returning_from_ejection_gets_its_share_only(rng):
    slow = Candidate('slow', 0, share=0.1)
    usual = Candidate('usual', 3)
    for choose in (choose_least_loaded, choose_of_two):
        assert choose([slow, usual], b'', rng) is usual


def test_adapter_and_zone_are_preferred_unless_overloaded():
    far = Candidate('far', 2, is_same_zone=False)
    near = Candidate('near', 3, has_adapter=False)
    both = Candidate('both', 4)
    assert list(apply_preferences([far, near, both])) == [both]
    overloaded = Candidate('both', 40)
    left = apply_preferences([far, near, overloaded])
    assert choose_least_loaded(left, b'', random.Random(1)) is far
