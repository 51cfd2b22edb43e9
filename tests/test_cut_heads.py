"""Targets that stop in the middle of an answer's head and close."""

import pytest

from lab.platform_world import run_scenario
from lab.standin_http import Reply

HEAD = b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n'
STREAM = b'Content-Type: text/event-stream\r\n'
# Where the head stops; the last one lacks only the empty line.
CUTS = ('status', 'name', 'field', 'fields')


def cut_head(head, where):
    ends = {
        'status': head.index(b'\r\n') - 3,
        'name': head.rindex(b':') - 2,
        'field': len(head) - 2,
        'fields': len(head),
    }
    return head[: ends[where]]


@pytest.mark.parametrize('where', CUTS)
def test_a_head_that_is_cut_off_is_no_answer(tmp_path, where):
    async def scenario(world):
        host = world.hosts['host-1']

        async def cut(request):
            named = request.headers['request-id'].encode()
            head = HEAD % named
            if 'model' in request.headers:
                head += STREAM
            return Reply(200, raw=cut_head(head, where))

        for replica in world.replicas.values():
            replica.behave = cut
        for path in '/look/x', '/book/x', '/open/x':
            answer = await world.ask(host, path)
            assert answer.status in {502, 504}, path
        for path in '/chat/x', '/batch/x':
            answer = await world.chat(host, 'm1', path)
            assert answer.status in {502, 504}, path

    run_scenario(tmp_path, scenario)
