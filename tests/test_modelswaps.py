"""Decisions about swapping models on engines as demand shifts."""

import random

import pytest

from ebonywell.modelswaps import (
    Budget,
    EnginePool,
    EngineState,
    ModelState,
    spread_work,
)

GB = 10**9
NOW = 100.0


def engine(name, models, cached=(), free=0, busy=False):
    return EngineState(
        name,
        free * GB,
        {model: NOW - 60 for model in models},
        frozenset(cached),
        busy,
    )


def model(name, work=0.0, waiting=0, size=70, requested_at=0.0):
    return ModelState(name, size * GB, work, waiting, requested_at)


def decide(engines, models, loads=0):
    return EnginePool(engines, models, NOW).decide(Budget(loads))


def test_work_goes_to_the_least_loaded_engines_until_loads_are_even():
    assert spread_work({'a': 0.0, 'b': 1.0}, 0.5) == {'a': 0.5, 'b': 0.0}
    assert spread_work({'a': 0.0, 'b': 1.0}, 2.0) == {'a': 1.5, 'b': 0.5}
    assert spread_work({}, 1.0) == {}


def test_a_slow_engine_gets_less_work_than_a_fast_one():
    """Engines that took 1.7 times as long were loaded like all others."""
    shares = spread_work({'a': 0.0, 'b': 0.0}, 1.0, {'a': 1.7, 'b': 0.7})
    assert shares['a'] * 1.7 == pytest.approx(shares['b'] * 0.7)
    assert sum(shares.values()) == pytest.approx(1)


def test_a_model_on_a_slow_engine_gets_another_copy_sooner():
    models = [model('busy', 0.7), model('idle')]
    swaps = []
    for factor in 1.0, 1.7:
        slow = engine('a', ['busy'])
        slow.time_factor = factor
        spare = engine('b', ['idle'], cached=['busy'], free=70)
        pool = EnginePool([slow, spare], models, NOW)
        assert pool.engines['a'].load == pytest.approx(0.7 * factor)
        swaps.append(pool._gain_bound(models[0]))
    assert swaps[1] > swaps[0]


def test_shares_of_the_work_sum_to_all_of_it():
    rng = random.Random(3)
    for _ in range(200):
        loads = {str(n): rng.random() for n in range(rng.randint(1, 9))}
        work = rng.random() * 5
        assert sum(spread_work(loads, work).values()) == pytest.approx(work)


def test_a_busy_model_gets_another_copy_in_place_of_an_idle_model():
    engines = [
        engine('a', ['busy', 'rare-1']),
        engine('b', ['idle', 'rare-2'], cached=['busy']),
    ]
    models = [
        model('busy', 1.5),
        model('idle'),
        model('rare-1', 0.1, requested_at=NOW),
        model('rare-2', 0.1, requested_at=NOW),
    ]
    swap = decide(engines, models)[0]
    assert (swap.target, swap.unloads, swap.load) == ('b', ['idle'], 'busy')


def test_copies_of_the_busiest_model_are_kept_if_all_engines_are_full():
    """Guards against evicting a busy model copy by copy for rare models."""
    engines = [
        engine(f'e{n}', ['busy', f'rare-{n}'], cached=['asked'])
        for n in range(4)
    ]
    models = [model('busy', 6.0), model('asked', 0.05, waiting=1)]
    models += [model(f'rare-{n}', 0.0) for n in range(4)]
    for swap in decide(engines, models):
        assert 'busy' not in swap.unloads


def test_a_waiting_request_causes_a_load_of_its_model():
    engines = [engine('a', ['x', 'y'], cached=['asked'])]
    models = [
        model('x', 0.1, requested_at=NOW),
        model('y', requested_at=NOW - 30),
        model('asked', 0.05, waiting=2, requested_at=NOW),
    ]
    swap = decide(engines, models)[0]
    assert (swap.unloads, swap.load) == (['y'], 'asked')


@pytest.mark.parametrize('busy', [4, 9])
def test_busy_models_without_gain_do_not_block_the_load_of_an_absent_model(
    busy,
):
    names = [f'busy-{number}' for number in range(busy)]
    engines = [engine(f'e{n}', [*names, 'idle']) for n in range(12)]
    models = [model(name, 21 / busy, size=15) for name in names]
    models += [model('idle', size=15), model('asked', waiting=1, size=15)]
    swap = decide(engines, models, loads=1)[0]
    assert (swap.unloads, swap.load) == (['idle'], 'asked')


def test_engines_without_room_do_not_use_up_the_candidate_limit():
    crowded = [
        EngineState(f'e{n}', 0, {'x': NOW - 1}, frozenset()) for n in range(9)
    ]
    engines = [*crowded, engine('last', ['idle'])]
    models = [model('x'), model('idle', 0.01), model('asked', waiting=1)]
    assert [one.target for one in decide(engines, models, 1)] == ['last']


def test_without_the_weight_store_only_cached_weights_are_loaded():
    engines = [engine('a', ['x']), engine('b', ['y'], cached=['asked'])]
    models = [model('x'), model('y'), model('asked', 0.3, waiting=1)]
    assert [one.target for one in decide(engines, models)] == ['b']


def test_an_engine_that_executes_an_order_gets_no_other():
    engines = [engine('a', ['x'], cached=['asked'], busy=True)]
    models = [model('x'), model('asked', 0.3, waiting=1)]
    assert decide(engines, models) == []


def test_a_model_loaded_a_moment_ago_is_not_unloaded():
    fresh = EngineState('a', 0, {'x': NOW - 0.5}, frozenset(('asked',)))
    models = [model('x'), model('asked', 0.3, waiting=1)]
    assert decide([fresh], models) == []


def test_absent_models_are_loaded_into_free_memory():
    engines = [engine('a', ['x'], free=80)]
    models = [model('x'), model('absent')]
    assert decide(engines, models, loads=1) == []
    swap = decide([engine('a', ['x'], free=80)], models, loads=3)[0]
    assert (swap.unloads, swap.load) == ([], 'absent')


def test_no_swap_needs_more_memory_than_it_frees():
    rng = random.Random(7)
    for _ in range(200):
        names = [f'm{n}' for n in range(12)]
        models = [
            model(
                name, rng.random() * 2, rng.randint(0, 2), rng.choice([34, 72])
            )
            for name in names
        ]
        sizes = {one.name: one.bytes for one in models}
        engines = [
            EngineState(
                f'e{n}',
                rng.randint(0, 60) * GB,
                dict.fromkeys(rng.sample(names, 2), 0.0),
                frozenset(rng.sample(names, 5)),
                rng.random() < 0.2,
            )
            for n in range(5)
        ]
        free = {one.name: one.free_bytes for one in engines}
        held = {one.name: set(one.models) for one in engines}
        busy = {one.name for one in engines if one.is_busy}
        targets = set()
        for swap in EnginePool(engines, models, NOW).decide(Budget(2)):
            assert swap.target not in targets | busy
            targets.add(swap.target)
            assert set(swap.unloads) <= held[swap.target]
            assert swap.load not in held[swap.target]
            room = free[swap.target]
            room += sum(sizes[name] for name in swap.unloads)
            assert sizes[swap.load] <= room


class SimulatedEngines:
    """Engines that execute swaps at once, to simulate shifting demand."""

    def __init__(self, engines, per_engine, names):
        self.held = {}
        for number in range(engines):
            first = number * per_engine
            self.held[f'e{number}'] = [
                names[(first + n) % len(names)] for n in range(per_engine)
            ]
        self.names = names
        self.requested_at = dict.fromkeys(names, 0.0)

    def unserved_and_worst(self, demand):
        engines = [engine(name, held) for name, held in self.held.items()]
        pool = EnginePool(engines, self.states(demand, NOW), NOW)
        unserved = sum(
            work for name, work in demand.items() if not pool.engines_with(name)
        )
        return unserved, max(one.load for one in pool.engines.values())

    def states(self, demand, now):
        for name in self.names:
            if demand.get(name):
                self.requested_at[name] = now
            waiting = any(name in held for held in self.held.values())
            yield model(
                name,
                demand.get(name, 0.0),
                0 if waiting or not demand.get(name) else 1,
                requested_at=self.requested_at[name],
            )

    def step(self, demand, now):
        engines = [
            EngineState(
                name, 0, dict.fromkeys(held, 0.0), frozenset(self.names)
            )
            for name, held in self.held.items()
        ]
        pool = EnginePool(engines, list(self.states(demand, now)), now)
        for swap in pool.decide(Budget(0)):
            held = self.held[swap.target]
            for gone in swap.unloads:
                held.remove(gone)
            held.append(swap.load)


def test_a_shift_of_demand_is_followed_within_a_few_swaps():
    """No engine stays overloaded, unlike with an even static placement."""
    names = [f'm{n}' for n in range(18)]
    simulated = SimulatedEngines(9, 2, names)
    static = SimulatedEngines(9, 2, names)
    rare = {name: 0.02 for name in names[6:10]}
    for phase, hot in enumerate((('m0', 'm1'), ('m2', 'm3'), ('m4', 'm5'))):
        demand = {hot[0]: 2.5, hot[1]: 1.5, **rare}
        for tick in range(8):
            simulated.step(demand, NOW + phase * 8 + tick)
        unserved, worst = simulated.unserved_and_worst(demand)
        assert unserved == 0
        assert worst <= 0.9
        assert static.unserved_and_worst(demand)[1] >= 2.5
