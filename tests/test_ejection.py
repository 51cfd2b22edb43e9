"""Failing targets are left out, few at once, and come back slowly."""

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


def test_only_failures_in_a_row_eject(ejector):
    for _ in range(5):
        _fail(ejector, 't0', times=2)
        ejector.observe('t0', 0, is_good=True)
    assert not ejector.ejected(NAMES, 1)
    _fail(ejector, 't0')
    assert ejector.ejected(NAMES, 1) == {'t0'}


def test_no_more_than_a_third_are_out_and_one_alone_never(ejector):
    for name in NAMES:
        _fail(ejector, name)
    for count in range(1, 11):
        names = frozenset(sorted(NAMES)[:count])
        assert len(ejector.ejected(names, 1)) <= CAP * count


def test_a_return_is_slow_and_a_relapse_is_longer(ejector):
    _fail(ejector, 't0')
    back_at = ejector.by_name['t0'].ejected_until
    assert ejector.share('t0', back_at) == 0.1
    assert ejector.share('t0', back_at + RAMP_UP_S / 2) == 0.5
    assert ejector.share('t0', back_at + RAMP_UP_S) == 1
    # One failure is enough now, and each ejection doubles.
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


def test_evidence_goes_with_its_target(ejector):
    _fail(ejector, 't0')
    ejector.retain(frozenset(('t1',)))
    assert not ejector.by_name
