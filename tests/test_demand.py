"""The demand that the planner believes: quick up, slow down, forgotten."""

import pytest

from ebonywell.demand import FALL_S, RISE_S, Demand, update


def believed(*observed):
    demand = Demand()
    update(demand, {}, 0)
    for now, slots in observed:
        update(demand, {'m': slots}, now)
    return demand.slots.get('m', 0)


def test_it_rises_within_seconds_and_falls_slowly():
    risen = believed((RISE_S, 10))
    assert risen == pytest.approx(6.32, rel=0.01)
    assert believed((RISE_S, 10), (2 * RISE_S, 0)) > risen * 0.8
    assert believed((RISE_S, 10), (RISE_S + 20 * FALL_S, 0)) == 0


def test_a_first_look_is_believed_at_once():
    demand = Demand()
    update(demand, {'m': 4}, 100)
    assert demand.slots == {'m': 4}
