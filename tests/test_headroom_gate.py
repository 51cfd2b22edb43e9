"""Tests how a host holds requests, on a virtual clock without targets."""

import random
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.headroom.fairness import FairShares
from ebonywell.headroom.gate import Gate
from ebonywell.headroom.holding import MAX_HELD, Holding
from ebonywell.headroom.room import Cause, Shortage, room_ms
from ebonywell.headroom.terms import fair_terms
from ebonywell.inbound import RejectionError
from ebonywell.metrics import Metrics
from ebonywell.routetable import EngineSpec
from tests.test_headroom import make_request
from tests.virtualclock import run_virtually

ENGINE = EngineSpec(64, 10**5, 0, 0, 1, {}, 4, 0.4, (0, 1, 2), 3)


class FakeSelector:
    """One target, with what it lacks and the expected wait."""

    def __init__(self, engine=ENGINE):
        self.engine = engine
        self.due_ms = 0.0
        self.wait_s = 0.2
        self.free_at = None
        self.is_gone = False
        self.asked = 0

    def engine_of(self, service):
        return self.engine

    def select(self, request, avoided, *, is_trial=False):
        self.asked += 1
        if self.is_gone:
            return None
        due_ms = self.due_ms
        if self.free_at is not None and anyio.current_time() >= self.free_at:
            due_ms = 0
        cause = Cause.work if due_ms else Cause.nothing
        shortage = Shortage(due_ms, cause)
        return 't', SimpleNamespace(shortage=shortage, wait_s=self.wait_s)


class World:
    """A gate, its lines, and what became of the requests sent to it."""

    def __init__(self, monkeypatch, engine=ENGINE):
        for module in 'gate', 'terms':
            monkeypatch.setattr(
                f'ebonywell.headroom.{module}.boot_time', anyio.current_time
            )
        self.selector = FakeSelector(engine)
        self.lines = []
        self.metrics = Metrics()
        self.gate = Gate(
            self.selector, Holding(lambda workspace: 1), self.log,
            self.metrics, random.Random(1),
        )  # fmt: skip
        self.results = {}

    def log(self, event, /, **fields):
        self.lines.append((event, fields))

    async def send(self, name, rank=0, **more):
        begun_at = anyio.current_time()
        request = make_request(name, rank, received_at=begun_at, **more)
        result = 'admitted'
        try:
            await self.gate.wait_for_room(request)
        except RejectionError as error:
            assert error.status == 503
            assert error.retry_after_s > 0
            result = error.reason
        self.results[name] = result, round(anyio.current_time() - begun_at, 3)


@pytest.fixture
def run(monkeypatch):
    """Return a function that runs a scenario with a world."""

    def run_scenario(scenario, engine=ENGINE):
        world = World(monkeypatch, engine)

        async def main():
            async with anyio.create_task_group() as group:
                await scenario(world, group)

        run_virtually(monkeypatch, main, 1)
        return world

    return run_scenario


def test_a_request_with_room_is_not_held(run):
    async def scenario(world, group):
        await world.send('a')

    world = run(scenario)
    assert world.results == {'a': ('admitted', 0)}
    assert not world.lines


def test_a_held_request_is_admitted_soon_after_there_is_room(run):
    async def scenario(world, group):
        world.selector.due_ms = 100
        world.selector.free_at = anyio.current_time() + 0.2
        await world.send('a', 1)

    world = run(scenario)
    result, held_s = world.results['a']
    assert result == 'admitted'
    assert 0.2 <= held_s < 0.24
    event, fields = world.lines[0]
    assert event == 'request_held'
    assert (fields['lacked'], fields['result']) == ('work', 'admitted')
    shown = world.metrics.expose()
    assert 'requests_held_total{rank="1",result="admitted"} 1' in shown


def test_the_end_of_a_request_admits_a_held_one_at_once(run):
    async def scenario(world, group):
        world.selector.due_ms = 100
        group.start_soon(world.send, 'a')
        await anyio.sleep(0.03)
        world.selector.due_ms = 0
        world.gate.note_ended()
        await anyio.sleep(0)

    assert run(scenario).results['a'] == ('admitted', 0.03)


def test_a_request_that_room_comes_too_late_for_is_rejected_at_once(run):
    async def scenario(world, group):
        world.selector.due_ms = 950
        world.selector.wait_s = 1.1
        await world.send('a', 1)

    assert run(scenario).results == {'a': ('no_room', 0)}


def test_a_request_that_cannot_be_served_is_not_held(run):
    async def scenario(world, group):
        world.selector.due_ms = 1900
        world.selector.wait_s = 2
        await world.send('a', 0)

    assert run(scenario).results == {'a': ('overloaded', 0)}


def test_requests_in_vain_are_soon_held_for_an_eighth_of_the_goal_at_most(run):
    """What holding costs the callers must stay small when it helps nobody."""

    async def scenario(world, group):
        world.selector.due_ms = 60
        for number in range(20):
            await world.send(f'r{number}', 1)

    world = run(scenario)
    results = world.results
    held = {fields['result'] for _, fields in world.lines}
    assert held == {'without_room'}
    assert max(held_s for _, held_s in results.values()) < 0.6
    later = [results[f'r{number}'][1] for number in range(5, 20)]
    assert max(later) <= 0.125


def test_the_most_urgent_held_requests_go_first(run):
    async def scenario(world, group):
        world.selector.due_ms = 100
        for name, rank in ('low', 2), ('mid', 1), ('urgent', 0):
            group.start_soon(world.send, name, rank)
            await anyio.sleep(0.001)
        await anyio.sleep(0.1)
        world.selector.due_ms = 0

    assert list(run(scenario).results) == ['urgent', 'mid', 'low']


def test_a_caller_that_leaves_is_no_longer_held(run):
    async def scenario(world, group):
        world.selector.due_ms = 100
        with anyio.move_on_after(0.1):
            await world.send('a')
        assert not world.gate.holding.requests

    world = run(scenario)
    assert not world.results
    assert world.lines[0][1]['result'] == 'withdrawn'
    assert world.gate.holding.admitted_shares == {}


def test_the_number_of_held_requests_is_bounded(run):
    async def scenario(world, group):
        world.selector.due_ms = 100
        for number in range(MAX_HELD + 5):
            group.start_soon(world.send, f'r{number}', 1)
        await anyio.sleep(0.01)
        assert len(world.gate.holding.requests) == MAX_HELD
        world.selector.due_ms = 0

    world = run(scenario)
    results = [result for result, _ in world.results.values()]
    assert results.count('no_room') == 5
    assert results.count('admitted') == MAX_HELD


def test_held_requests_are_examined_at_a_bounded_rate(run):
    """A host with a third of a core must not spend it on held requests."""

    async def scenario(world, group):
        world.selector.due_ms = 50
        world.selector.free_at = anyio.current_time() + 1.5
        for number in range(20):
            group.start_soon(world.send, f'r{number}', 1)
        await anyio.sleep(0.3)
        # 20 requests at first, and 20 at each examination.
        assert world.selector.asked <= 20 + 20 * 0.3 / 0.01

    run(scenario)


def test_a_held_request_whose_targets_are_gone_waits_for_others_as_before(run):
    async def scenario(world, group):
        world.selector.due_ms = 100
        group.start_soon(world.send, 'a')
        await anyio.sleep(0.03)
        world.selector.is_gone = True

    assert run(scenario).results['a'][0] == 'admitted'


def test_services_with_few_levels_of_priority_are_judged_as_before(run):
    async def scenario(world, group):
        world.selector.due_ms = 900
        await world.send('a')

    plain = EngineSpec(64, 10**5, 0, 0, 1, {}, 4, 0.4, (0, 1, 2), 2)
    for engine in plain, None:
        world = run(scenario, engine)
        assert world.results == {'a': ('admitted', 0)}
        assert world.selector.asked == 0


def test_a_workspace_above_its_share_gives_way_while_others_find_no_room(run):
    async def scenario(world, group):
        world.gate.holding.excess_of = {'flood': 7, 'team': 1}.get
        world.selector.due_ms = 950
        for number in range(20):
            await world.send(f'r{number}', 1)
        world.selector.due_ms = 0
        for number in range(20):
            await world.send(f'f{number}', 1, workspace='flood')
        await world.send('usual', 1)

    world = run(scenario)
    flooding = [world.results[f'f{number}'][0] for number in range(20)]
    assert flooding.count('no_room') > 10
    assert 'admitted' in flooding
    assert world.results['usual'] == ('admitted', 0)
    cut = [fields for event, fields in world.lines if event == 'request_cut']
    assert len(cut) == flooding.count('no_room')
    assert 'requests_cut_total{rank="1"}' in world.metrics.expose()


def test_terms_leave_less_room_to_a_workspace_above_its_share(monkeypatch):
    monkeypatch.setattr('ebonywell.headroom.terms.boot_time', lambda: 70.0)
    rates = {'a': 20, 'b': 20, 'c': 20}
    shares = FairShares(lambda now: rates)
    for at in range(0, 60):
        shares.excess('a', at)
    rates['a'] = 140
    for at in range(60, 70):
        shares.excess('a', at)
    terms = fair_terms(shares)
    usual = terms(make_request(workspace='b', received_at=70), ENGINE)
    flood = terms(make_request(workspace='a', received_at=70), ENGINE)
    assert usual.room_ms == room_ms(0, ENGINE.ranks, 400)
    assert flood.room_ms < usual.room_ms / 2
