"""Once-only calls run at most once and get true answers despite faults."""

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


def _scenario(repeat_at, *, double=False, leaves_after=None):
    """Return a scenario: a call at A, and repeats at B, C and A.

    The first repeat is sent at B from step `repeat_at` on, the others after
    the first call has ended. The last call has the same key and another body.
    """

    async def scenario(world, group):
        hosts = start_hosts(world, group, double=double)

        def repeat():
            group.start_soon(hosts['B'].ask, 'k', ORDER)

        world.hooks.append((repeat_at, repeat))
        await hosts['A'].ask('k', ORDER, leaves_after=leaves_after)
        for name in ('B', 'C', 'A'):
            await anyio.sleep(1)
            await hosts[name].ask('k', ORDER)
        await hosts['C'].ask('k', b'cut 41 coils')

    return scenario


def _pairs(first):
    return itertools.product(range(first + 1), range(STEPS + 1))


def _summaries(world):
    return [
        (answer.host, answer.status, answer.run_state)
        for answer in world.answers
    ]


def test_a_repeat_gets_the_recorded_answer_and_another_body_a_conflict():
    world = simulate(_scenario(repeat_at=99))
    assert _summaries(world) == [
        ('A', 200, 'ran'),
        ('B', 200, 'ran'),
        ('C', 200, 'ran'),
        ('A', 200, 'ran'),
        ('C', 409, 'not_run'),
    ]
    assert {answer.content for answer in world.answers[:4]} == {b'run 1'}
    assert find_violations(world) == []
    # A takes this many steps, so the tests below cover each of them.
    assert [host for host, _ in world.steps].index('B') == STEPS


def test_a_caller_that_disconnects_gets_its_answer_by_a_repeat():
    world = simulate(_scenario(repeat_at=99, leaves_after=0.001))
    assert len(world.journal) == 1
    assert find_violations(world) == []


@pytest.mark.parametrize('seed', range(2))
def test_killed_at_every_step_with_a_repeat_at_every_step(seed):
    for kill_at, repeat_at in _pairs(STEPS):
        world = simulate(_scenario(repeat_at), seed, kill_at=kill_at)
        assert find_violations(world) == [], (kill_at, repeat_at, world.steps)


@pytest.mark.parametrize('fault', FAULTS)
def test_every_fault_at_every_step_with_a_repeat_at_every_step(fault):
    for fault_at, repeat_at in _pairs(FAULT_STEPS):
        world = simulate(
            _scenario(repeat_at), 1, fault_at=fault_at, fault=fault
        )
        assert find_violations(world) == [], (fault_at, repeat_at, world.steps)


@pytest.mark.parametrize('fault', FAULTS)
def test_every_fault_at_every_step_with_a_kill_at_every_step(fault):
    for fault_at, kill_at in _pairs(FAULT_STEPS):
        world = simulate(
            _scenario(repeat_at=kill_at),
            2,
            fault_at=fault_at,
            fault=fault,
            kill_at=kill_at,
        )
        assert find_violations(world) == [], (fault_at, kill_at, world.steps)


def test_an_outage_of_the_log_from_every_step_on():
    for outage_at, repeat_at in _pairs(FAULT_STEPS):
        world = simulate(_scenario(repeat_at), 3, outage_at=outage_at)
        assert find_violations(world) == [], (outage_at, repeat_at, world.steps)


def test_a_duplicate_dispatch_is_detected():
    world = simulate(_scenario(repeat_at=99, double=True))
    assert 'k ran 2 times' in find_violations(world)


async def _concurrent_callers(world, group):
    """Send three orders, each several times, to randomly chosen hosts."""
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


def _simulate_callers(seed):
    draw = random.Random(seed)
    return simulate(
        _concurrent_callers,
        seed,
        kill_at=draw.choice((NEVER, draw.randrange(40))),
        fault_at=draw.randrange(60),
        fault=draw.choice(FAULTS),
        outage_at=draw.choice((NEVER, draw.randrange(80))),
    )


@pytest.mark.parametrize('seed', [743])
def test_a_lagging_host_reports_no_conflict_for_a_call_that_may_have_run(seed):
    assert find_violations(_simulate_callers(seed)) == []


def test_concurrent_callers_under_random_faults():
    ran = 0
    for seed in range(200):
        world = _simulate_callers(seed)
        assert find_violations(world) == [], seed
        ran += len(world.journal)
    # Guards against schedules with so many faults that hardly any call runs.
    assert ran > 200


class _DownLog:
    """A replica whose log is down."""

    def __init__(self):
        self.state = state.State()
        self.watchers = []

    async def append(self, body):
        raise LogOutageError('down', is_sent=False)


@pytest.mark.parametrize(
    ('current_after_s', 'run_state'),
    [(0.5, RunState.not_run), (math.inf, RunState.unknown)],
)
def test_in_an_outage_the_peers_show_whether_a_call_may_have_run(
    current_after_s, run_state
):
    async def scenario():
        began = anyio.current_time()
        once = OnceCalls(
            _DownLog(),
            'h/1',
            bool,
            lambda since: anyio.current_time() - began >= current_after_s,
            lambda record: anyio.Event(),
            discard_event,
        )
        with pytest.raises(RefusedError) as caught:
            await once.claim(OnceRequest('w', 'orders', 'k', 'digest'))
        assert caught.value.refusal.run_state == run_state

    clock = MockClock(autojump_threshold=0)
    anyio.run(scenario, backend='trio', backend_options={'clock': clock})
