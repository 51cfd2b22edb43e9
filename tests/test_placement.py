"""Tests of placement: priorities, limits, safeguards and hysteresis."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from ebonywell.changes import Adapter
from ebonywell.layout import Copy, Layout, Need, Site
from ebonywell.moves import PlacementState, make_placement_state
from ebonywell.orders import Action
from ebonywell.placement import decide

ADAPTERS = (Adapter('x', 1), Adapter('y', 1))


def site(name, zone, models=(), size=30, **fields):
    copies = {model: Copy(ready=True, adapters={'x', 'y'}) for model in models}
    free = size - 10 * len(copies)
    return Site(name, zone, size, free, 10, copies=copies, **fields)


def need(model, demand=0):
    return Need(model, 8, ADAPTERS, demand)


def moves(sites, needs, state=None, now=100):
    decision = decide(Layout(sites, needs), state or PlacementState(), now)
    return [(one.action, one.target, one.model) for one in decision.moves]


def test_unserved_models_are_placed_first_by_demand():
    needs = [need('a'), need('b', 1), need('c', 2), need('d', 3)]
    planned = moves([site('t', 'z1'), site('u', 'z2', 'd')], needs)
    assert [model for _, _, model in planned] == ['c', 'b', 'a']


def test_the_copy_on_a_leaving_target_is_replaced():
    leaving = site('t', 'z1', 'a', is_open=False)
    assert moves([leaving, site('u', 'z2')], [need('a')]) == [
        (Action.load, 'u', 'a'),
    ]


def test_only_redundant_copies_are_evicted_for_an_unserved_model():
    full = [site('t', 'z1', 'abc'), site('u', 'z2', 'ade')]
    state = PlacementState()
    planned = moves(full, [need(model) for model in 'abcdef'], state)
    assert len(planned) == 1
    action, target, model = planned[0]
    assert (action, model) == (Action.unload, 'a')
    assert state.deferred_loads[target].model == 'f'


def test_a_busy_model_gets_a_copy_in_a_second_zone():
    sites = [site('t', 'z1', 'a'), site('u', 'z1', 'a'), site('v', 'z2')]
    assert moves(sites, [need('a', 12)]) == [(Action.load, 'v', 'a')]


def test_a_copy_on_an_idle_target_absorbs_overflow():
    sites = [site('t', 'z1', 'ab'), site('u', 'z2', 'ab'), site('v', 'z3')]
    planned = moves(sites, [need('a', 20), need('b', 0)])
    assert planned == [(Action.load, 'v', 'a')]


def test_steady_demand_causes_no_moves():
    sites = [site('t', 'z1', 'abc'), site('u', 'z2', 'abc')]
    state = PlacementState()
    rng = random.Random(7)
    for now in range(100, 200):
        needs = [need(model, 3 + rng.random()) for model in 'abc']
        assert not moves(sites, needs, state, now)


@pytest.mark.parametrize(
    'pace', [PlacementState(), make_placement_state(21.0, 1.2)]
)
def test_loads_stay_within_the_limits_of_the_weight_store(pace):
    started = []
    sites = [site(f't{number}', 'z1') for number in range(80)]
    needs = [need(str(number)) for number in range(240)]
    for now in range(10):
        planned = moves(sites, needs, pace, now)
        started.append(len(planned))
        for _, target, model in planned:
            placed = next(one for one in sites if one.name == target)
            placed.copies[model].ready = True
            placed.copies[model].adapters = {'x', 'y'}
    assert max(started) <= pace.loads_at_once
    assert sum(started) <= pace.loads_at_once + 9 * pace.loads_per_s
    assert sum(started) >= 9 * pace.loads_per_s


def test_adapters_that_no_target_has_are_loaded_first():
    sites = [site('t', 'z1', 'a'), site('u', 'z2', 'a')]
    sites[0].copies['a'].adapters = {'x'}
    sites[1].copies['a'].adapters = set()
    planned = decide(Layout(sites, [need('a')]), PlacementState(), 100).moves
    assert [(one.target, one.adapter) for one in planned] == [
        ('t', 'y'),
        ('u', 'x'),
        ('u', 'y'),
    ]


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.data())
def test_no_decision_unloads_a_last_copy_or_overcommits_memory(data):
    models = 'abcdefg'
    sites = [
        site(
            f't{number}',
            f'z{number % 3}',
            data.draw(st.sets(st.sampled_from(models), max_size=3)),
            is_open=data.draw(st.booleans()),
        )
        for number in range(4)
    ]
    demands = data.draw(st.lists(st.floats(0, 30), min_size=7, max_size=7))
    needs = [need(*pair) for pair in zip(models, demands, strict=True)]
    free = {one.name: one.free_bytes for one in sites}
    serving = {
        model: {
            one.name for one in sites if one.is_open and model in one.copies
        }
        for model in models
    }
    for move in decide(Layout(sites, needs), PlacementState(), 100).moves:
        if move.action is Action.unload:
            serving[move.model].discard(move.target)
            assert serving[move.model]
        elif move.action is Action.load:
            free[move.target] -= move.bytes
            assert free[move.target] >= 0


def test_a_sole_copy_is_relocated_to_make_room_for_overflow():
    resident_models = {'t': set('abg'), 'u': set('cde'), 'v': set('bgf')}
    needs = [need('a', 20), need('f', 12), *map(need, 'bcdeg')]
    state = PlacementState()
    for now in range(100, 120, 2):
        sites = [
            site(name, 'z1', sorted(resident_models[name]))
            for name in resident_models
        ]
        for action, target, model in moves(sites, needs, state, now):
            if action is Action.load:
                resident_models[target].add(model)
            else:
                resident_models[target].remove(model)
        assert set('abcdefg') <= set().union(*resident_models.values())
        assert all(len(models) <= 3 for models in resident_models.values())
    assert 'a' in resident_models['u']
