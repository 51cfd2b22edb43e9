"""Targets that ask hosts for no more requests, before real hosts."""

import time

import anyio
import pytest

from ebonywell.platform.exchange import read_notice
from ebonywell.statements import (
    MAX_PAUSE_S,
    MAX_SHARED_PAUSE_S,
    Notice,
    brittle_pause_s,
    shared_pause_s,
)
from ebonywell.upstream import AnswerHead
from lab.platform_world import run_scenario
from lab.standin_http import Reply

PAUSE_S = 5.0


def test_a_target_that_says_that_it_leaves_gets_no_more_requests(tmp_path):
    """Discovery still calls it ready."""

    async def scenario(world):
        host = world.hosts['host-1']
        leaving = world.replicas['pool-1']
        leaving.notices = {'Server-Leaving': '1'}
        # No other target holds this model.
        assert (await world.chat(host, 'm2')).status == 200
        told = len(leaving.seen)
        assert told
        for _ in range(5):
            assert (await world.chat(host, 'm2')).status in {200, 503}
        assert len(leaving.seen) == told
        assert 'event=target_leaving' in host.log()

    run_scenario(tmp_path, scenario, ('host-1',))


def test_a_target_that_names_a_pause_gets_no_request_in_it(tmp_path):
    async def scenario(world):
        host = world.hosts['host-1']
        paused = world.replicas['pool-1']

        async def refuse(request):
            return Reply(
                503,
                headers={
                    'Request-Id': request.headers['request-id'],
                    'Not-Executed': '1',
                    'Retry-After': str(PAUSE_S),
                },
            )

        paused.behave = refuse
        before = len(paused.seen)
        # No other target holds this model.
        began_at = time.monotonic()
        # Each may wait for a load of the model elsewhere.
        for _ in range(5):
            assert (await world.chat(host, 'm2')).status == 503
        assert time.monotonic() < began_at + PAUSE_S
        assert len(paused.seen) == before + 1
        paused.behave = None
        await anyio.sleep(began_at + PAUSE_S + 0.5 - time.monotonic())
        assert (await world.chat(host, 'm2')).status == 200

    run_scenario(tmp_path, scenario, ('host-1',))


def test_a_target_that_must_not_reject_gets_what_it_has_room_for(tmp_path):
    """More than it bears would arrive at once otherwise."""

    async def scenario(world):
        host = world.hosts['host-1']
        brittle = world.replicas['desk-1']
        rejected = []

        async def reject_when_full(request):
            running = len(brittle.runs) - len(brittle.ends)
            if running < brittle.slots:
                return brittle.run(request)
            rejected.append(time.monotonic())
            return Reply(
                503,
                headers={
                    'Request-Id': request.headers['request-id'],
                    'Not-Executed': '1',
                },
            )

        for name in 'desk-1', 'desk-2':
            world.replicas[name].notices = {'Server-Brittle': '2'}
            world.replicas[name].behave = reject_when_full
        for _ in range(6):
            await world.ask(host, '/look/x')

        async def ask():
            await world.ask(host, '/look/x', work_s='0.3')

        async with anyio.create_task_group() as group:
            for _ in range(60):
                group.start_soon(ask)
                await anyio.sleep(0.02)
        busiest = max(
            (sum(at <= one < at + 1 for one in rejected) for at in rejected),
            default=0,
        )
        assert busiest <= 2

    run_scenario(tmp_path, scenario, ('host-1',))


@pytest.mark.parametrize(
    ('max_rejections', 'hosts', 'pause_s'),
    [(None, 8, 0), (20, 8, 1), (2, 8, 4), (0, 8, 30)],
)
def test_hosts_together_are_rejected_no_more_than_a_target_bears(
    max_rejections, hosts, pause_s
):
    assert brittle_pause_s(max_rejections, hosts) == pause_s


# Guards against hosts that each have a first request rejected by a brittle
# target in the same second (review 10).
def test_a_host_leaves_a_target_alone_that_rejected_another_one(tmp_path):
    async def scenario(world):
        hosts = [world.hosts[name] for name in ('host-1', 'host-2')]
        brittle = world.replicas['pool-1']
        brittle.notices = {'Server-Brittle': '1'}

        rejected_at = []
        # Until the hosts have heard of each other.
        await anyio.sleep(1.5)

        async def refuse(request):
            rejected_at.append(time.monotonic())
            return Reply(
                503,
                headers={
                    'Request-Id': request.headers['request-id'],
                    'Not-Executed': '1',
                },
            )

        brittle.behave = refuse
        # No other target holds this model.
        assert (await world.chat(hosts[0], 'm2')).status == 503
        brittle.behave = None
        before = len(brittle.seen)
        while time.monotonic() < rejected_at[0] + 0.7:
            await world.chat(hosts[1], 'm2', Deadline_Ms='200')
        assert len(brittle.seen) == before
        await anyio.sleep(1.5)
        assert (await world.chat(hosts[1], 'm2')).status == 200

    run_scenario(tmp_path, scenario, ('host-1', 'host-2'))


@pytest.mark.parametrize('max_rejections', [0, 0.5, 1, 2, 20])
def test_a_shared_pause_bounds_rejections_by_what_a_target_bears(
    max_rejections,
):
    pause_s = shared_pause_s(max_rejections)
    assert 1 / pause_s <= max(1, max_rejections)
    assert pause_s <= MAX_SHARED_PAUSE_S


def head_with(status, **named):
    pairs = [
        (name.replace('_', '-').encode(), value.encode())
        for name, value in named.items()
    ]
    return AnswerHead(status, pairs)


@pytest.mark.parametrize(
    ('head', 'notice'),
    [
        (head_with(200), Notice()),
        (head_with(200, server_leaving='1'), Notice(is_leaving=True)),
        (head_with(200, server_leaving='0'), Notice()),
        (head_with(503, retry_after='0.25'), Notice(pause_s=0.25)),
        # Guards against pauses that end before the target wants requests again.
        (head_with(503, retry_after='90'), Notice(pause_s=90)),
        (head_with(503, retry_after='1e9'), Notice(pause_s=MAX_PAUSE_S)),
        (head_with(429, retry_after='3'), Notice()),
        (head_with(200, server_brittle='3'), Notice(max_rejections=3)),
    ],
)
def test_notices_are_read_from_answers(head, notice):
    assert read_notice(head) == notice


@pytest.mark.parametrize('value', ['-1', 'nan', 'inf', '', 'soon'])
def test_unreadable_pauses_are_rejected(value):
    with pytest.raises(ValueError):
        read_notice(head_with(503, retry_after=value))
