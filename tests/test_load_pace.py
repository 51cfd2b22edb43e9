"""Loads from the weight store on deployments of several sizes."""

import pytest

from tests.engineworld import make_spec, play

WINDOW_S = 5.0
OVERSHOOT = 1.1
SPARE_LOADS = 3
# Engines, models, loads a second.
SIZES = [(9, 21, 2.4), (9, 31, 2.1), (30, 74, 9.0), (70, 242, 21.0)]


def ask_for_all(world):
    world.ask_for(world.spec.models)


@pytest.mark.parametrize(('engines', 'models', 'loads_per_s'), SIZES)
def test_models_asked_for_come_as_fast_as_the_weight_store_allows(
    monkeypatch, engines, models, loads_per_s
):
    spec = make_spec(models, loads_per_s)
    seconds = min(models, 2 * engines) / loads_per_s
    world = play(monkeypatch, spec, engines, seconds + 2, ask_for_all)
    assert len(world.served()) >= 0.8 * seconds * loads_per_s
    allowed = loads_per_s * WINDOW_S * OVERSHOOT + SPARE_LOADS
    assert world.store.most_in(WINDOW_S) <= allowed
    assert world.store.most_under_way <= world.store.full_speed
