"""Real hosts whose callers read their streams slowly."""

import signal
from dataclasses import replace

import anyio
import pytest

from lab.platform_caller import request_once
from lab.platform_world import events_of, run_scenario

from .test_endless_callers import head
from .test_slow_callers import END, EVENT, slow_caller

COUNT = 600
BROKEN_AFTER = 400
STREAM = ('Model: m1', 'Token-Count: 100,20', 'Content-Length: 0')


def send_large_events(world, gap_s=0, broken_id=None):
    """Let engines send streams that exceed what the kernel takes.

    The first of them is broken off if `broken_id` is given.
    """

    def behave_as(replica):
        async def behave(request):
            first = int(request.headers.get('last-event-id', '0'))
            numbers = range(first + 1, COUNT + 1)
            is_broken = first == 0 and request.headers['request-id'] == (
                broken_id
            )
            return replace(
                replica.run(request),
                events=tuple(EVENT % number for number in numbers),
                gap_s=gap_s,
                cut_after=BROKEN_AFTER if is_broken else None,
            )

        return behave

    for name in 'pool-1', 'pool-2':
        world.replicas[name].behave = behave_as(world.replicas[name])


def running(world):
    engines = world.replicas['pool-1'], world.replicas['pool-2']
    return sum(sum(one.in_use.values()) for one in engines)


async def is_behind(host):
    metrics = await request_once(host.first_port + 15, 'GET', '/metrics', {})
    return b'ebonywell_callers_behind 1\n' in metrics.body


async def until(is_true):
    with anyio.fail_after(10):
        while not is_true():
            await anyio.sleep(0.02)


def ask(world, path='/chat/x'):
    return slow_caller(
        ('127.0.0.1', world.hosts['host-1'].front), head('POST', path, *STREAM)
    )


def test_a_byte_a_second_frees_the_slot_of_a_target(tmp_path):
    # Guards against slots that last as long as their callers like, and a count
    # of the host that says so.
    async def scenario(world):
        send_large_events(world)
        host = world.hosts['host-1']
        async with ask(world) as caller:
            await world.wait_logged('event=request_ended')
            assert not running(world)
            assert 'reason=answered' in host.log()
            for _ in range(2):
                await caller.read(1)
                await anyio.sleep(1)
            await caller.read_to_end()
            assert events_of(caller.received) == list(range(1, COUNT + 1))

    run_scenario(tmp_path, scenario)


def test_a_caller_that_leaves_ends_the_run_at_its_target(tmp_path):
    # Guards against a run that goes on for a caller that has left with a full
    # buffer.
    async def scenario(world):
        send_large_events(world, gap_s=0.004)
        async with ask(world):
            while not await is_behind(world.hosts['host-1']):
                await anyio.sleep(0.02)
            assert running(world)
        # It would say `answered` once all that is held back was sent.
        await world.wait_logged('reason=caller_gone')
        await until(lambda: not running(world))

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('path', ['/chat/x', '/batch/x'])
def test_a_target_that_breaks_off_behind_unread_events(tmp_path, path):
    # Guards against a truncated stream that looks complete, and a resumed one
    # with events that are missing or doubled where it was held back.
    async def scenario(world):
        is_resumed = path == '/batch/x'
        send_large_events(world, broken_id='raw-1')
        async with ask(world, path) as caller:
            await world.wait_logged('event=request_ended')
            assert not running(world)
            await caller.read_to_end()
            assert caller.is_whole == is_resumed
            last = COUNT if is_resumed else BROKEN_AFTER
            assert events_of(caller.received) == list(range(1, last + 1))

    run_scenario(tmp_path, scenario)


def test_a_planned_stop_lets_callers_read_what_is_held_back(tmp_path):
    # Guards against whole answers that a planned stop cuts off, and a stop that
    # takes longer than its grace period.
    async def scenario(world):
        send_large_events(world)
        host = world.hosts['host-1']
        async with ask(world) as caller:
            await world.wait_logged('event=request_ended')
            host.process.send_signal(signal.SIGTERM)
            # Longer than the host accepts connections.
            await anyio.sleep(4)
            assert host.process.poll() is None
            await caller.read_to_end()
            assert caller.received.endswith(END)
        assert await world.wait_ended(host) == 0

    run_scenario(tmp_path, scenario)


def test_a_planned_stop_does_not_wait_for_a_byte_a_second(tmp_path):
    # Guards against a stop that a slow caller delays beyond its grace period.
    async def scenario(world):
        send_large_events(world)
        host = world.hosts['host-1']
        async with ask(world):
            await world.wait_logged('event=request_ended')
            host.process.send_signal(signal.SIGTERM)
            assert await world.wait_ended(host) == 0

    run_scenario(tmp_path, scenario)
