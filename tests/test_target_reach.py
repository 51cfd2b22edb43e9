"""When a host takes itself to be cut off from the targets."""

from ebonywell.targetreach import MAX_FAILURE_AGE_S, TargetReach

KNOWN = 12


def fail(reach, *names, sent_at=9.0, now=10.0):
    for name in names:
        reach.note_failure(name, sent_at, now)


def test_targets_that_fail_in_a_row_are_a_cut():
    reach = TargetReach()
    fail(reach, 'a', 'b')
    assert not reach.is_cut(KNOWN, 10.0)
    fail(reach, 'c')
    assert reach.is_cut(KNOWN, 10.0)


def test_one_ill_target_is_no_cut():
    reach = TargetReach()
    for _ in range(9):
        fail(reach, 'a')
    assert not reach.is_cut(KNOWN, 10.0)


def test_a_target_that_answers_shows_sound_links():
    reach = TargetReach()
    fail(reach, 'a', 'b')
    reach.note_answer(10.1)
    fail(reach, 'c', now=10.2)
    assert not reach.is_cut(KNOWN, 10.2)
    fail(reach, 'a', 'b', 'c', sent_at=10.2, now=11.0)
    assert reach.is_cut(KNOWN, 11.0)


def test_requests_sent_before_an_answer_prove_nothing():
    reach = TargetReach()
    reach.note_answer(10.0)
    fail(reach, 'a', 'b', 'c', sent_at=9.9, now=11.0)
    assert not reach.is_cut(KNOWN, 11.0)


def test_with_few_targets_all_of_them_have_to_fail():
    reach = TargetReach()
    fail(reach, 'a')
    assert not reach.is_cut(2, 10.0)
    assert reach.is_cut(1, 10.0)
    assert not TargetReach().is_cut(0, 10.0)


def test_old_failures_do_not_count():
    reach = TargetReach()
    fail(reach, 'a', 'b', 'c')
    assert not reach.is_cut(KNOWN, 10.0 + MAX_FAILURE_AGE_S)
