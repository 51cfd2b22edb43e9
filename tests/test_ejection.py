"""Tests of ejection: which targets, how many at once, and their return."""

import pytest

from ebonywell.ejection import MAX_EJECTION_S, RAMP_UP_S, Ejector

NAMES = frozenset(f't{number}' for number in range(10))
CAP = 0.34


@pytest.fixture
def ejector():
    return Ejector()


def _fail(ejector, name, now=0, times=3):
    for _ in range(times):
        ejector.observe(name, now, is_good=False)


def test_only_consecutive_failures_eject(ejector):
    for _ in range(5):
        _fail(ejector, 't0', times=2)
        ejector.observe('t0', 0, is_good=True)
    assert not ejector.ejected(NAMES, 1)
    _fail(ejector, 't0')
    assert ejector.ejected(NAMES, 1) == {'t0'}


def test_at_most_a_third_are_ejected_and_a_single_target_never(ejector):
    for name in NAMES:
        _fail(ejector, name)
    for count in range(1, 11):
        names = frozenset(sorted(NAMES)[:count])
        assert len(ejector.ejected(names, 1)) <= CAP * count


def test_traffic_returns_slowly_and_the_next_ejection_is_longer(ejector):
    _fail(ejector, 't0')
    back_at = ejector.by_name['t0'].ejected_until
    assert ejector.share('t0', back_at) == 0.1
    assert ejector.share('t0', back_at + RAMP_UP_S / 2) == 0.5
    assert ejector.share('t0', back_at + RAMP_UP_S) == 1
    # After an ejection one failure is enough, and each ejection lasts twice
    # as long as the one before.
    lengths = []
    now = back_at
    for _ in range(8):
        _fail(ejector, 't0', now, times=1)
        lengths.append(ejector.by_name['t0'].ejected_until - now)
        now = ejector.by_name['t0'].ejected_until
    assert lengths[1] == 2 * lengths[0]
    assert max(lengths) <= MAX_EJECTION_S
    ejector.observe('t0', now + RAMP_UP_S, is_good=True)
    _fail(ejector, 't0', now + RAMP_UP_S)
    assert ejector.by_name['t0'].ejections == 1


def test_the_history_of_a_removed_target_is_dropped(ejector):
    _fail(ejector, 't0')
    ejector.retain(frozenset(('t1',)))
    assert not ejector.by_name
