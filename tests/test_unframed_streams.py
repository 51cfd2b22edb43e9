"""Streams without a length, which end with their connection."""

import pytest

from lab.platform_world import events_of, run_scenario
from lab.standin_http import Reply

HEAD = (
    'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
    'Response-Seal: {replica}\r\nContent-Type: text/event-stream\r\n\r\n'
)
EVENTS = tuple(b'id: %d\ndata: token\n\n' % number for number in range(1, 6))


def answer_once_with(world, body):
    """Make the first answer of any engine unframed, with the given body."""
    cut = []

    def behave_as(replica):
        async def behave(request):
            if cut:
                return replica.run(request)
            cut.append(replica.name)
            head = HEAD.format(
                request_id=request.headers['request-id'], replica=replica.name
            )
            return Reply(200, raw=head.encode() + body)

        return behave

    for name in 'pool-1', 'pool-2':
        replica = world.replicas[name]
        replica.behave = behave_as(replica)


@pytest.mark.parametrize(
    'body', [b''.join(EVENTS), b''.join(EVENTS).replace(b'\n', b'\r\n')]
)
def test_an_unframed_stream_that_ends_between_events_is_whole(tmp_path, body):
    async def scenario(world):
        answer_once_with(world, body)
        answer = await world.chat(world.hosts['host-1'])
        assert answer.is_whole
        assert events_of(answer.body) == [1, 2, 3, 4, 5]

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    'body', [b'', b''.join(EVENTS[:3])[:-1], b''.join((*EVENTS[:3], b'id: 4'))]
)
def test_an_unframed_stream_that_ends_inside_an_event_never_looks_whole(
    tmp_path, body
):
    async def scenario(world):
        host = world.hosts['host-1']
        answer_once_with(world, body)
        assert not (await world.chat(host, path='/chat/x')).is_whole
        answer_once_with(world, body)
        resumed = await world.chat(host, path='/batch/x')
        assert resumed.is_whole
        assert events_of(resumed.body) == [1, 2, 3, 4, 5]

    run_scenario(tmp_path, scenario)
