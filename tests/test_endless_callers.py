"""Real hosts before callers that send, or leave unread, without end."""

import contextlib
import time

import anyio
import pytest

from lab.platform_world import API_KEY, configuration, run_scenario

KEYED = (
    'Host: app.example\r\nDeadline-Ms: 4000\r\n'
    f'Authorization: Bearer {API_KEY}\r\n'
)
# Sent far beyond every limit, and within a few seconds.
SENT_BYTES = 24_000_000
PART_BYTES = 16_384
# A host that keeps what is sent takes several times as much.
MAX_GROWTH_BYTES = 16_000_000
ANSWER_S = 6.0
MS_PER_S = 1000


def head(method, path, *lines, number=1):
    more = ''.join(f'{line}\r\n' for line in lines)
    return (
        f'{method} {path} HTTP/1.1\r\n{KEYED}Request-Id: raw-{number}\r\n{more}'
        '\r\n'
    ).encode()


def resident_bytes(host):
    with open(f'/proc/{host.process.pid}/statm', encoding='ascii') as opened:
        return int(opened.read().split()[1]) * 4096


async def wait_line(world, text):
    """Return the first line of a log with a text."""
    host = await world.wait_logged(text)
    return next(line for line in host.log().splitlines() if text in line)


async def send_endlessly(stream, part):
    """Send a part again and again until the host closes."""
    repeated = part * (PART_BYTES // len(part) + 1)
    with contextlib.suppress(
        anyio.BrokenResourceError, anyio.ClosedResourceError
    ):
        for _ in range(SENT_BYTES // len(repeated)):
            await stream.send(repeated)


async def read_all(stream, answer):
    with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while True:
            answer.extend(await stream.receive())


async def exchange(port, beginning, part, is_read=True):
    """Return what a host answers to a caller that never stops sending."""
    answer = bytearray()
    stream = await anyio.connect_tcp('127.0.0.1', port)
    async with stream, anyio.create_task_group() as group:
        with anyio.move_on_after(ANSWER_S):
            await stream.send(beginning)
            if part:
                group.start_soon(send_endlessly, stream, part)
            if is_read:
                await read_all(stream, answer)
            else:
                await anyio.sleep(ANSWER_S)
        group.cancel_scope.cancel()
    return bytes(answer)


def check_growth(host, before):
    assert resident_bytes(host) - before < MAX_GROWTH_BYTES


CHUNKED = head('POST', '/book/1', 'Transfer-Encoding: chunked')
ENDLESS = (
    ('head', b'POST /book/1 HTTP/1.1\r\n', b'a: b\r\n', b'431'),
    ('line', b'POST /book/1 HTTP/1.1\r\na: ', b'b', b'431'),
    ('path', b'POST /book/', b'1', b'431'),
    ('trailers', b'%s0\r\n' % CHUNKED, b'a: b\r\n', b'400'),
    ('chunk extension', b'%s1;a' % CHUNKED, b'b', b'400'),
    ('body', CHUNKED, b'400\r\n%s\r\n' % (b'x' * 1024), b'413'),
    ('small chunks', CHUNKED, b'1\r\nx\r\n', b'413'),
)


@pytest.mark.parametrize(
    ('beginning', 'part', 'status'),
    [one[1:] for one in ENDLESS],
    ids=[one[0] for one in ENDLESS],
)
def test_a_request_without_end_is_rejected(tmp_path, beginning, part, status):
    # Guards against callers that fill a host's memory without any key.
    async def scenario(world):
        host = world.hosts['host-1']
        before = resident_bytes(host)
        answer = await exchange(host.front, beginning, part)
        assert answer.startswith(b'HTTP/1.1 %s ' % status)
        assert b'connection: close' in answer.lower()
        check_growth(host, before)
        assert (await world.ask(host, '/look/1')).status == 200

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize('offset', [22, 21, 15])
def test_other_ports_reject_a_head_without_end(tmp_path, offset):
    # Guards against the same on the ports of the directory, of the readiness
    # checks and of the metrics.
    async def scenario(world):
        host = world.hosts['host-1']
        before = resident_bytes(host)
        answer = await exchange(
            host.first_port + offset, b'GET /ready HTTP/1.1\r\n', b'a: b\r\n'
        )
        assert answer.startswith(b'HTTP/1.1 431 ')
        check_growth(host, before)

    run_scenario(tmp_path, scenario)


def test_requests_ahead_of_their_answers_are_not_read(tmp_path):
    # Guards against callers that ask faster than they read their answers.
    async def scenario(world):
        host = world.hosts['host-1']
        before = resident_bytes(host)
        asked = b''.join(head('GET', '/look/1', number=n) for n in range(50))
        await exchange(host.front, asked, asked, is_read=False)
        check_growth(host, before)
        assert (await world.ask(host, '/look/1')).status == 200

    run_scenario(tmp_path, scenario)


def test_requests_ahead_of_their_answers_are_all_answered_in_order(tmp_path):
    # Guards against a request that is lost while its connection is not read.
    async def scenario(world):
        host = world.hosts['host-1']
        body = b'Content-Length: 3\r\n\r\nabc'
        asked = b''.join(
            one
            for number in range(0, 600, 3)
            for one in (
                head('GET', '/look/1', number=number),
                head('POST', '/book/1', number=number + 1)[:-2] + body,
                head(
                    'POST', '/none/', 'Transfer-Encoding: chunked',
                    number=number + 2,
                ) + b'2\r\nab\r\n1\r\nc\r\n0\r\n\r\n',
            )
        )  # fmt: skip
        answer = bytearray()
        stream = await anyio.connect_tcp('127.0.0.1', host.front)
        async with stream, anyio.create_task_group() as group:
            group.start_soon(stream.send, asked)
            with anyio.fail_after(20):
                while answer.count(b'HTTP/1.1 ') < 600:
                    answer.extend(await stream.receive())
            group.cancel_scope.cancel()
        statuses = [one[:3] for one in bytes(answer).split(b'HTTP/1.1 ')[1:]]
        assert statuses == list((b'200', b'200', b'404') * 200)
        runs = [
            count
            for each in world.replicas.values()
            for count in each.ran.values()
        ]
        assert (len(runs), set(runs)) == (400, {1})

    run_scenario(tmp_path, scenario)


async def trickle(port, beginning):
    """Send a byte now and then; return the answer and how long it took."""
    answer = bytearray()
    stream = await anyio.connect_tcp('127.0.0.1', port)
    started_at = time.monotonic()
    async with stream, anyio.create_task_group() as group:
        group.start_soon(read_all, stream, answer)
        await stream.send(beginning)
        while not answer and time.monotonic() - started_at < ANSWER_S:
            await anyio.sleep(0.2)
            await stream.send(b'b')
        group.cancel_scope.cancel()
    return bytes(answer), time.monotonic() - started_at


def test_a_head_that_takes_too_long_is_rejected(tmp_path):
    # Guards against callers that hold connections by a byte now and then.
    async def scenario(world):
        host = world.hosts['host-1']
        answer, took_s = await trickle(
            host.front, b'GET /look/1 HTTP/1.1\r\na: '
        )
        assert answer.startswith(b'HTTP/1.1 408 ')
        limits = configuration()['limits']
        assert took_s > limits['headerTimeoutMs'] / MS_PER_S
        line = await wait_line(world, 'event=caller_ended')
        assert 'reason=head_timeout' in line

    run_scenario(tmp_path, scenario)


def test_a_body_that_takes_too_long_is_rejected(tmp_path):
    # Guards against callers that hold requests by a byte now and then.
    async def scenario(world):
        host = world.hosts['host-1']
        answer, _ = await trickle(
            host.front,
            head('POST', '/book/1', 'Content-Length: 9000', number=7),
        )
        assert answer.startswith(b'HTTP/1.1 408 ')
        line = await wait_line(world, 'event=caller_ended')
        assert 'reason=body_timeout' in line
        assert 'request=raw-7' in line
        assert not any(one.ran for one in world.replicas.values())

    run_scenario(tmp_path, scenario)


def test_a_trailer_is_no_header(tmp_path):
    # Guards against a key, or anything else, that is stated behind a body.
    async def scenario(world):
        host = world.hosts['host-1']
        asked = (
            b'POST /look/1 HTTP/1.1\r\nHost: app.example\r\nRequest-Id: raw\r\n'
            b'Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n'
            b'1\r\nx\r\n0\r\nAuthorization: Bearer %s\r\n\r\n'
        ) % API_KEY.encode()
        stream = await anyio.connect_tcp('127.0.0.1', host.front)
        async with stream:
            await stream.send(asked)
            answer = await stream.receive()
        assert answer.startswith(b'HTTP/1.1 401 ')

    run_scenario(tmp_path, scenario)


def test_many_unfinished_bodies_take_no_room_from_sound_requests(tmp_path):
    # Guards against bounds on each connection that add up to all memory.
    async def scenario(world):
        host = world.hosts['host-1']
        before = resident_bytes(host)
        part = b'x' * 99_000
        asked = head('POST', '/book/1', 'Content-Length: 99999')
        answers = []
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(1200):
                stream = await anyio.connect_tcp('127.0.0.1', host.front)
                await stack.enter_async_context(stream)
                answers.append(stream)
                with contextlib.suppress(anyio.BrokenResourceError):
                    await stream.send(asked + part)
            for _ in range(5):
                answer = await world.ask(host, '/look/1')
                assert answer.status == 200
            # A quarter of the memory limit of 300 MB, and some fragmentation.
            assert resident_bytes(host) - before < 120_000_000
        line = await wait_line(world, 'event=caller_ended')
        assert 'reason=memory_full' in line
        assert 'status=503' in line

    run_scenario(tmp_path, scenario)
