"""Tests of the demand estimate: fast rise, slow fall, removal when low."""

import pytest

from ebonywell.demand import (
    FALL_TIME_CONSTANT_S,
    RISE_TIME_CONSTANT_S,
    Demand,
    update,
)


def estimate(*observations):
    demand = Demand()
    update(demand, {}, 0)
    for now, slots in observations:
        update(demand, {'m': slots}, now)
    return demand.slots.get('m', 0)


def test_the_estimate_rises_fast_and_falls_slowly():
    risen = estimate((RISE_TIME_CONSTANT_S, 10))
    assert risen == pytest.approx(6.32, rel=0.01)
    assert (
        estimate((RISE_TIME_CONSTANT_S, 10), (2 * RISE_TIME_CONSTANT_S, 0))
        > risen * 0.8
    )
    assert (
        estimate(
            (RISE_TIME_CONSTANT_S, 10),
            (RISE_TIME_CONSTANT_S + 20 * FALL_TIME_CONSTANT_S, 0),
        )
        == 0
    )


def test_the_first_observation_is_used_unsmoothed():
    demand = Demand()
    update(demand, {'m': 4}, 100)
    assert demand.slots == {'m': 4}
