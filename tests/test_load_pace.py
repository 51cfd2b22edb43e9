"""Rate and concurrency of weight store loads in several deployment sizes."""

import random

import pytest

from ebonywell.loadpace import LoadPace, LoadWindow, full_speed_loads
from tests.engineworld import LOAD_S, make_spec, simulate

WINDOW_S = 5.0
OVERSHOOT = 1.1
SPARE_LOADS = 3
# Engines, models, loads per second.
SIZES = [(9, 21, 2.4), (9, 31, 2.1), (30, 74, 9.0), (70, 242, 21.0)]


def request_all_models(world):
    world.request_models(world.spec.models)


@pytest.mark.parametrize(('engines', 'models', 'loads_per_s'), SIZES)
def test_requested_models_are_loaded_as_fast_as_the_weight_store_allows(
    monkeypatch, engines, models, loads_per_s
):
    spec = make_spec(models, loads_per_s)
    seconds = min(models, 2 * engines) / loads_per_s
    world = simulate(
        monkeypatch, spec, engines, seconds + 2, request_all_models
    )
    assert len(world.loaded_models()) >= 0.8 * seconds * loads_per_s
    allowed = loads_per_s * WINDOW_S * OVERSHOOT + SPARE_LOADS
    assert world.store.max_begun_within(WINDOW_S) <= allowed
    assert world.store.max_under_way <= world.store.full_speed


@pytest.mark.parametrize(
    ('loads_per_s', 'at_once'), [(2.1, 3), (2.4, 3), (9.0, 11), (21.0, 25)]
)
def test_concurrent_loads_are_those_that_begin_during_one_load(
    loads_per_s, at_once
):
    assert full_speed_loads(make_spec(31, loads_per_s)) == at_once
    assert full_speed_loads(make_spec(31, loads_per_s, 2 * LOAD_S)) >= at_once
    assert full_speed_loads(make_spec(0, loads_per_s)) == 1


@pytest.mark.parametrize('loads_per_s', [0.3, 2.1, 21.0, 80.0])
@pytest.mark.parametrize('seed', range(5))
def test_no_window_has_more_loads_than_its_tolerance(loads_per_s, seed):
    rng = random.Random(seed)
    spec = make_spec(9, loads_per_s)
    pace = LoadPace(LoadWindow(WINDOW_S, OVERSHOOT), 0)
    begun = []
    now = 0.0
    while now < 40:
        now += rng.choice((0.06, 0.25, rng.expovariate(1)))
        for _ in range(pace.refill(spec, now)):
            with pace.reserving(LOAD_S) as load:
                if rng.random() < 0.9:
                    load.begin(now)
                    load.begin(now)
                    begun.append(now)
    allowed = loads_per_s * WINDOW_S * OVERSHOOT + SPARE_LOADS
    for start in begun:
        assert sum(start <= at < start + WINDOW_S for at in begun) <= allowed
    assert len(begun) >= min(0.5 * loads_per_s * 40, 30)
