"""Calls that may not be repeated: one run, and true answers, come what may."""

import functools
import itertools
import math
import random

import anyio
import pytest
from trio.testing import MockClock

from ebonywell import state
from ebonywell.answers import RefusedError
from ebonywell.exceptions import LogOutageError
from ebonywell.logs import discard_event
from ebonywell.oncecalls import OnceCalls, OnceRequest
from ebonywell.types import RunState

from .onceworld import NEVER, find_violations, simulate, start_hosts

ORDER = b'cut 40 coils'
STEPS = 10
FAULT_STEPS = 16
FAULTS = ('log_down', 'lose_reply', 'target_down')


def _story(repeat_at, *, double=False, leaves_after=None):
    """Ask at A, repeat at B from a step on, and again at B and C at last."""

    async def story(world, group):
        hosts = start_hosts(world, group, double=double)

        def repeat():
            group.start_soon(hosts['B'].ask, 'k', ORDER)

        world.hooks.append((repeat_at, repeat))
        await hosts['A'].ask('k', ORDER, leaves_after=leaves_after)
        for name in ('B', 'C', 'A'):
            await anyio.sleep(1)
            await hosts[name].ask('k', ORDER)
        await hosts['C'].ask('k', b'cut 41 coils')

    return story


def _pairs(first):
    return itertools.product(range(first + 1), range(STEPS + 1))


def _told(world):
    return [(said.host, said.status, said.run_state) for said in world.answers]


def test_a_repeat_gets_the_recorded_answer_and_another_body_a_conflict():
    world = simulate(_story(repeat_at=99))
    assert _told(world) == [
        ('A', 200, 'ran'),
        ('B', 200, 'ran'),
        ('C', 200, 'ran'),
        ('A', 200, 'ran'),
        ('C', 409, 'not_run'),
    ]
    assert {said.content for said in world.answers[:4]} == {b'run 1'}
    assert find_violations(world) == []
    # A takes this many steps, so that the walks below leave none out.
    assert [host for host, _ in world.steps].index('B') == STEPS


def test_a_caller_that_leaves_finds_its_answer_later():
    world = simulate(_story(repeat_at=99, leaves_after=0.001))
    assert len(world.journal) == 1
    assert find_violations(world) == []


@pytest.mark.parametrize('seed', range(2))
def test_killed_at_every_step_with_a_repeat_at_every_step(seed):
    for kill_at, repeat_at in _pairs(STEPS):
        world = simulate(_story(repeat_at), seed, kill_at=kill_at)
        assert find_violations(world) == [], (kill_at, repeat_at, world.steps)


@pytest.mark.parametrize('fault', FAULTS)
def test_every_fault_at_every_step_with_a_repeat_at_every_step(fault):
    for fault_at, repeat_at in _pairs(FAULT_STEPS):
        world = simulate(_story(repeat_at), 1, fault_at=fault_at, fault=fault)
        assert find_violations(world) == [], (fault_at, repeat_at, world.steps)


@pytest.mark.parametrize('fault', FAULTS)
def test_every_fault_at_every_step_with_a_kill_at_every_step(fault):
    for fault_at, kill_at in _pairs(FAULT_STEPS):
        world = simulate(
            _story(repeat_at=kill_at),
            2,
            fault_at=fault_at,
            fault=fault,
            kill_at=kill_at,
        )
        assert find_violations(world) == [], (fault_at, kill_at, world.steps)


def test_an_outage_of_the_log_from_every_step_on():
    for outage_at, repeat_at in _pairs(FAULT_STEPS):
        world = simulate(_story(repeat_at), 3, outage_at=outage_at)
        assert find_violations(world) == [], (outage_at, repeat_at, world.steps)


def test_the_walk_sees_a_duplicate_dispatch():
    world = simulate(_story(repeat_at=99, double=True))
    assert 'k ran 2 times' in find_violations(world)


async def _crowd(world, group):
    """Ask for three orders, each several times, at hosts picked at random."""
    hosts = start_hosts(world, group)
    async with anyio.create_task_group() as callers:
        for _ in range(12):
            key = world.rng.choice('klm')
            body = ORDER if world.rng.random() < 0.9 else b'other'
            host = hosts[world.rng.choice('ABC')]
            leaves = world.rng.choice((None, None, 0.02))
            ask = functools.partial(host.ask, leaves_after=leaves)
            callers.start_soon(ask, key, body)
            await anyio.sleep(world.rng.choice((0, 0.02, 2)))


def _play_crowd(seed):
    draw = random.Random(seed)
    return simulate(
        _crowd,
        seed,
        kill_at=draw.choice((NEVER, draw.randrange(40))),
        fault_at=draw.randrange(60),
        fault=draw.choice(FAULTS),
        outage_at=draw.choice((NEVER, draw.randrange(80))),
    )


@pytest.mark.parametrize('seed', [743])
def test_a_host_that_lags_calls_nothing_a_conflict_that_may_have_run(seed):
    assert find_violations(_play_crowd(seed)) == []


def test_histories_of_concurrent_callers_under_random_faults():
    ran = 0
    for seed in range(200):
        world = _play_crowd(seed)
        assert find_violations(world) == [], seed
        ran += len(world.journal)
    # The schedules must not be so harsh that hardly anything runs.
    assert ran > 200


class _DownLog:
    """A replica whose log is known to be down."""

    def __init__(self):
        self.state = state.State()
        self.watchers = []

    async def append(self, body):
        raise LogOutageError('down', is_sent=False)


@pytest.mark.parametrize(
    ('heard_after_s', 'told'),
    [(0.5, RunState.not_run), (math.inf, RunState.unknown)],
)
def test_in_an_outage_the_peers_tell_whether_a_call_has_run(
    heard_after_s, told
):
    async def story():
        began = anyio.current_time()
        once = OnceCalls(
            _DownLog(),
            'h/1',
            bool,
            lambda since: anyio.current_time() - began >= heard_after_s,
            lambda record: anyio.Event(),
            discard_event,
        )
        with pytest.raises(RefusedError) as caught:
            await once.claim(OnceRequest('w', 'orders', 'k', 'digest'))
        assert caught.value.refusal.run_state == told

    clock = MockClock(autojump_threshold=0)
    anyio.run(story, backend='trio', backend_options={'clock': clock})
