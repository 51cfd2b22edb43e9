"""Targets that ask hosts for no more requests, before real hosts."""

import anyio
import pytest

from ebonywell.platform.exchange import read_notice
from ebonywell.statements import MAX_PAUSE_S, Notice
from ebonywell.upstream import AnswerHead
from lab.platform_world import run_scenario
from lab.standin_http import Reply


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
                    'Retry-After': '1.5',
                },
            )

        paused.behave = refuse
        before = len(paused.seen)
        # No other target holds this model.
        for _ in range(10):
            assert (await world.chat(host, 'm2')).status == 503
        assert len(paused.seen) == before + 1
        paused.behave = None
        await anyio.sleep(1.6)
        assert (await world.chat(host, 'm2')).status == 200

    run_scenario(tmp_path, scenario, ('host-1',))


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
        (head_with(503, retry_after='1e9'), Notice(pause_s=MAX_PAUSE_S)),
        (head_with(429, retry_after='3'), Notice()),
    ],
)
def test_notices_are_read_from_answers(head, notice):
    assert read_notice(head) == notice


@pytest.mark.parametrize('value', ['-1', 'nan', 'inf', '', 'soon'])
def test_unreadable_pauses_are_rejected(value):
    with pytest.raises(ValueError):
        read_notice(head_with(503, retry_after=value))
