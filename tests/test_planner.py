"""Tests of planners that share a log, with fake engines and virtual time."""

import anyio
import pytest
from trio.testing import MockClock

from ebonywell import changes, kernel, logs
from ebonywell.leasetiming import LEASE_S
from ebonywell.planner import Planner
from ebonywell.replica import Replica
from ebonywell.types import EntryKind, HostId

from .engines import FakeEngine, FakeTargets
from .fakes import MemoryLog


class World:
    """Entry hosts that share a log and some engines."""

    def __init__(self, engines):
        self.engines = engines
        self.log = MemoryLog()
        self.planners = {}
        self.events = []

    def record_event(self, event, /, **fields):
        self.events.append((event, fields))

    async def start(self, group, name):
        replica = Replica(self.log, HostId(name, '1'), logs.discard_event)
        targets = FakeTargets(self.engines, anyio.current_time)
        planner = Planner(
            replica,
            targets,
            dict,
            self.record_event,
            poll=targets.visit,
        )
        core = kernel.Kernel()
        core.add('replica', replica)
        core.add('planner', planner)
        stopping = anyio.Event()
        group.start_soon(core.run, stopping)
        self.planners[name] = planner
        return planner, stopping

    async def set_models(self, planner, count, size):
        for number in range(count):
            entry = changes.Entry(f'm{number}', EntryKind.model, bytes=size)
            await planner.replica.append(changes.EntrySet(entry))

    def serving(self):
        return {
            model
            for engine in self.engines
            if not engine.is_dead
            for model in engine.models
        }

    def check_memory(self):
        for engine in self.engines:
            assert engine.peak <= engine.size


@pytest.fixture
def world():
    """Three engines, one of which ignores fencing numbers."""
    return World(
        [
            FakeEngine('t', 'z1'),
            FakeEngine('u', 'z2', checks=False),
            FakeEngine('v', 'z3'),
        ]
    )


def run_scenario(scenario, world):
    async def main():
        async with anyio.create_task_group() as group:
            await scenario(world, group)
            group.cancel_scope.cancel()

    clock = MockClock(autojump_threshold=0)
    anyio.run(main, backend='trio', backend_options={'clock': clock})
    world.check_memory()


def test_every_model_of_the_catalogue_is_loaded_with_few_appends(world):
    async def scenario(world, group):
        planner, _ = await world.start(group, 'a')
        await world.set_models(planner, 8, 20)
        await anyio.sleep(20)
        assert len(world.serving()) == 8
        before = len(world.log.records)
        await anyio.sleep(100)
        # Only renewals of the lease, one every 2 seconds.
        assert len(world.log.records) - before <= 51

    run_scenario(scenario, world)


def test_lost_orders_are_sent_again(world):
    async def scenario(world, group):
        for engine in world.engines:
            engine.drops = 2
        planner, _ = await world.start(group, 'a')
        await world.set_models(planner, 8, 20)
        await anyio.sleep(30)
        assert len(world.serving()) == 8

    run_scenario(scenario, world)


def test_models_of_a_lost_target_are_loaded_elsewhere(world):
    async def scenario(world, group):
        planner, _ = await world.start(group, 'a')
        await world.set_models(planner, 8, 20)
        await anyio.sleep(20)
        world.engines[0].is_dead = True
        await anyio.sleep(20)
        assert len(world.serving()) == 8
        world.engines[0].is_dead = False
        world.engines[0].restart('2')
        await anyio.sleep(20)
        assert world.engines[0].models

    run_scenario(scenario, world)


def test_a_planned_stop_releases_the_lease_at_once(world):
    async def scenario(world, group):
        first, stopping = await world.start(group, 'a')
        await anyio.sleep(5)
        second, _ = await world.start(group, 'b')
        await anyio.sleep(5)
        assert first.is_holder
        stopping.set()
        await anyio.sleep(LEASE_S / 2)
        assert second.is_holder
        await world.set_models(second, 4, 20)
        await anyio.sleep(10)
        assert len(world.serving()) == 4

    run_scenario(scenario, world)


def test_a_log_outage_stops_orders_until_it_ends(world):
    async def scenario(world, group):
        planner, _ = await world.start(group, 'a')
        await world.set_models(planner, 4, 20)
        world.log.is_cut = True
        await anyio.sleep(30)
        loaded = {engine.name: dict(engine.models) for engine in world.engines}
        await anyio.sleep(30)
        assert loaded == {one.name: one.models for one in world.engines}
        world.log.is_cut = False
        await anyio.sleep(20)
        assert len(world.serving()) == 4

    run_scenario(scenario, world)


def test_a_target_that_loses_all_orders_delays_no_model(world):
    async def scenario(world, group):
        world.engines[0].drops = 10**6
        planner, _ = await world.start(group, 'a')
        await world.set_models(planner, 8, 20)
        await anyio.sleep(60)
        assert len(world.serving()) == 8

    run_scenario(scenario, world)


def test_a_missed_report_causes_no_moves(world):
    async def scenario(world, group):
        planner, _ = await world.start(group, 'a')
        await world.set_models(planner, 10, 20)
        await anyio.sleep(20)
        before = [dict(engine.models) for engine in world.engines]
        world.engines[1].is_dead = True
        await anyio.sleep(1.5)
        world.engines[1].is_dead = False
        await anyio.sleep(2)
        assert before == [engine.models for engine in world.engines]

    run_scenario(scenario, world)
