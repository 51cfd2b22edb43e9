"""An outage of the store, or a cut on the way to it."""

import math

from ebonywell.storereach import MAX_PROOF_GAP_S, StoreReach, Witness

CALM = Witness(-1000.0, 110.0)


def make_reach(proven_at=100.0):
    reach = StoreReach()
    reach.note_answer(10.0, 10.0)
    reach.proven_at = proven_at
    return reach


def test_failed_calls_are_an_outage_until_another_host_saw_none():
    reach = make_reach()
    assert reach.note_failure(101.0)
    assert not reach.note_failure(102.0)
    reach.note_answer(104.0, 104.1)
    assert reach.recovered_at == 104.1
    assert reach.reached_since == 104.1
    assert reach.refute_outage(CALM)
    assert reach.recovered_at == -math.inf
    assert reach.reached_since == 10.0


def test_a_host_that_saw_the_outage_too_does_not_refute_it():
    reach = make_reach()
    reach.note_failure(101.0)
    reach.note_answer(104.0, 104.1)
    assert not reach.refute_outage(Witness(103.5, 104.0))
    assert not reach.refute_outage(Witness(-1000.0, 100.5))
    assert reach.recovered_at == 104.1


def test_a_host_whose_reader_was_in_touch_has_seen_no_outage():
    reach = make_reach()
    reach.note_failure(101.0)
    reach.note_answer(100.8, 101.2, CALM)
    assert reach.failing_since == 101.0
    reach.note_answer(101.1, 101.4, CALM)
    assert reach.failing_since is None
    assert reach.recovered_at == -math.inf


def test_an_outage_ends_when_the_first_host_reached_the_store_again():
    reach = make_reach()
    reach.note_failure(101.0)
    reach.note_answer(109.0, 109.1, Witness(103.5, 109.0))
    assert reach.recovered_at == 103.5


def test_a_long_time_without_proof_may_hide_an_outage():
    reach = make_reach()
    late = 100.0 + MAX_PROOF_GAP_S + 1
    reach.note_answer(late, late)
    assert reach.recovered_at == late
    assert reach.refute_outage(CALM)


def test_a_later_outage_that_is_refuted_leaves_the_earlier_one():
    reach = make_reach()
    reach.note_failure(101.0)
    reach.note_answer(102.0, 102.0)
    reach.proven_at = 102.0
    reach.note_failure(103.0)
    reach.note_answer(104.0, 104.0)
    assert reach.refute_outage(Witness(101.5, 104.0))
    assert reach.recovered_at == 102.0
