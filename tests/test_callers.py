"""Connections of callers: pieces, time-outs and what is kept together."""

import asyncio
import contextlib
import json
from dataclasses import replace

import httptools
import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell import server
from ebonywell.callermemory import CallerMemory, callers_memory_bytes
from ebonywell.callers import DEFAULT_LIMITS, Callers, max_caller_connections
from ebonywell.requestprogress import RequestProgress, Stage
from ebonywell.requestsplitter import RequestSplitter, stated_length

REQUESTS = (
    b'GET / HTTP/1.1\r\nhost: x\r\n\r\n',
    b'POST / HTTP/1.1\r\ncontent-length: 5\r\n\r\n\r\n\r\nx',
    b'POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n',
    b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
    b'4\r\n\r\n\r\n\r\n2;e\r\nab\r\n0\r\nt: r\r\n\r\n',
    b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
)


class Parser:
    """Counts the requests that end, and keeps their bodies."""

    def __init__(self):
        self.splitter = RequestSplitter()
        self.parser = httptools.HttpRequestParser(self)
        self.ended = 0
        self.bodies = []

    def on_message_begin(self):
        self.headers = []
        self.body = b''

    def on_header(self, name, content):
        self.headers.append((name.lower(), content))

    def on_headers_complete(self):
        self.splitter.body_left = stated_length(self.headers)

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.ended += 1
        self.bodies.append(self.body)


@given(
    st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=6),
    st.lists(st.integers(1, 40), min_size=1, max_size=40),
)
def test_at_most_one_request_ends_in_a_piece(requests, sizes):
    # Guards against requests that are parsed, and kept, before their turn.
    sent = b''.join(requests)
    found = Parser()
    ended = 0
    start = 0
    while sent:
        size = sizes[start % len(sizes)]
        start += 1
        received, sent = sent[:size], sent[size:]
        position = 0
        while position < len(received):
            piece = found.splitter.take(received, position)
            assert piece
            position += len(piece)
            found.parser.feed_data(piece)
            assert found.ended - ended <= 1
            ended = found.ended
    assert ended == len(requests)
    expected = [b'', b'\r\n\r\nx', b'', b'\r\n\r\nab', b'']
    assert found.bodies == [expected[REQUESTS.index(one)] for one in requests]


def test_the_largest_unfinished_request_is_given_up():
    # Guards against one caller without end that takes room from sound ones.
    memory = CallerMemory(100)
    given_up = []

    def open_holding(name):
        def give_up():
            given_up.append(name)
            memory.update(holdings[name], 0, is_optional=False)

        return memory.open(give_up)

    holdings = {name: open_holding(name) for name in ('a', 'b', 'whole')}
    memory.update(holdings['whole'], 60, is_optional=False)
    memory.update(holdings['a'], 30, is_optional=True)
    memory.update(holdings['b'], 10, is_optional=True)
    assert not given_up
    memory.update(holdings['b'], 11, is_optional=True)
    assert given_up == ['a']
    assert memory.total_bytes == 71
    # Whole requests are kept, even if they are all that is left.
    memory.update(holdings['whole'], 200, is_optional=False)
    assert given_up == ['a', 'b']
    memory.close(holdings['whole'])
    assert memory.total_bytes == 0


def test_an_idle_connection_is_never_given_up():
    # Guards against an unasked answer, which its caller would take for that to
    # the next request.
    memory = CallerMemory(100)
    given_up = []
    memory.open(lambda: given_up.append('idle')).is_optional = True
    whole = memory.open(lambda: given_up.append('whole'))
    memory.update(whole, 200, is_optional=False)
    assert not given_up


def test_a_connection_that_has_ended_takes_no_memory():
    # Guards against a count that grows by each connection that ends late.
    memory = CallerMemory(100)
    ended = memory.open(dict)
    memory.update(ended, 50, is_optional=True)
    memory.close(ended)
    memory.update(ended, 60, is_optional=True)
    assert memory.total_bytes == 0


def test_idle_connections_get_nothing_when_memory_is_full():
    # Guards against the same on real connections.
    async def scenario(address):
        async with contextlib.AsyncExitStack() as stack:
            idle = [
                await stack.enter_async_context(connect(address))
                for _ in range(3)
            ]
            reader, writer = await stack.enter_async_context(connect(address))
            writer.write(b'POST / HTTP/1.1\r\ncontent-length: 9000\r\n\r\n')
            writer.write(b'x' * 8000)
            answer = await reader.read()
            assert answer.startswith(b'HTTP/1.1 503 ')
            for reader, writer in idle:
                writer.write(REQUESTS[0])
                answer = await reader.readuntil(b'done')
                assert answer.startswith(b'HTTP/1.1 200 ')

    async def wait_for_body(scope, receive, send):
        body = b''
        is_whole = False
        while not is_whole:
            message = await receive()
            if message['type'] == 'http.disconnect':
                return
            body += message['body']
            is_whole = not message['more_body']
        await door(scope, receive, send)

    door = Door(memory=CallerMemory(20_000))
    door.app = wait_for_body
    door.run(scenario)
    assert door.reasons() == ['memory_full']


def test_the_bounds_follow_the_limits_of_the_process():
    assert callers_memory_bytes(400) == 100
    assert callers_memory_bytes(0) > 0
    assert max_caller_connections(1000) == 600
    assert max_caller_connections(0) > 0


@pytest.mark.parametrize(
    ('stage', 'limit', 'reason'),
    [
        (Stage.idle, 'idle_timeout_s', 'idle'),
        (Stage.head, 'header_timeout_s', 'head_timeout'),
        (Stage.body, 'body_timeout_s', 'body_timeout'),
        (Stage.answering, None, None),
    ],
)
def test_a_caller_may_take_so_long_for_each_part(stage, limit, reason):
    limits = replace(DEFAULT_LIMITS, idle_timeout_s=60, body_timeout_s=50)
    progress = RequestProgress(0)
    progress.enter(stage, 100)
    allowed_s = getattr(limits, limit) if limit else 1e6
    assert progress.find_overdue(100 + allowed_s, limits) is None
    assert progress.find_overdue(100.1 + allowed_s, limits) == reason


class Door:
    """A server in this process, with an answer for each request."""

    def __init__(self, **bounds):
        self.body = b'done'
        self.app = self
        self.lines = []
        self.callers = Callers(log=self.log, **bounds)

    async def __call__(self, scope, receive, send):
        length = str(len(self.body)).encode()
        headers = [(b'content-length', length)]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body', 'body': self.body})

    def log(self, event, **fields):
        self.lines.append((event, fields))

    def run(self, scenario, stopping=None):
        """Run a scenario; stop after it, or once `stopping` is set."""

        async def main():
            listener = server.bind('127.0.0.1:0')
            web = server.Server(server.server_config(self.app, self.callers))
            serving = asyncio.ensure_future(web.serve([listener]))
            async with asyncio.timeout(20):
                while not web.started:
                    await asyncio.sleep(0.01)
                running = asyncio.ensure_future(
                    scenario(listener.getsockname())
                )
                await (stopping.wait() if stopping else running)
                web.should_exit = True
                await running
                await serving

        asyncio.run(main())

    def reasons(self):
        return [fields['reason'] for event, fields in self.lines]


@contextlib.asynccontextmanager
async def connect(address):
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()
        await asyncio.sleep(0)


def limited(**limits):
    found = replace(DEFAULT_LIMITS, **limits)
    return lambda: found


def test_the_products_own_door_rejects_in_its_own_form():
    # Guards against a head without end there, and errors that are not JSON.
    async def scenario(address):
        async with connect(address) as (reader, writer):
            writer.write(b'GET / HTTP/1.1\r\n%s' % (b'a: b\r\n' * 20_000))
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 431 ')
            assert b'content-type: application/json' in head
            error = json.loads(await reader.read())['error']
            assert error['code'] == 'head_too_long'
            assert error['run_state'] == 'not_run'

    door = Door()
    door.callers = server.make_callers(1000, 5, door.log)
    door.run(scenario)
    assert door.reasons() == ['head_too_long']


def test_idle_connections_are_closed_after_the_operators_time():
    # Guards against connections that hold descriptors for longer.
    async def scenario(address):
        async with connect(address) as (reader, writer):
            writer.write(REQUESTS[0])
            await reader.readuntil(b'done')
            assert await reader.read() == b''

    Door(limits=limited(idle_timeout_s=0.5)).run(scenario)


def test_a_caller_that_reads_no_answer_is_cut_off():
    # Guards against answers that are kept for as long as their caller likes.
    async def scenario(address):
        async with connect(address) as (_, writer):
            writer.transport.pause_reading()
            writer.write(REQUESTS[0])
            while not door.lines:
                await asyncio.sleep(0.05)

    door = Door(limits=limited(idle_timeout_s=0.5))
    door.body = b'x' * 30_000_000
    door.run(scenario)
    assert door.reasons() == ['answer_unread']


def test_unread_answers_are_bounded_together():
    # Guards against many callers that do not read, each within its bound.
    async def scenario(address):
        async with contextlib.AsyncExitStack() as stack:
            for _ in range(8):
                _, writer = await stack.enter_async_context(connect(address))
                writer.transport.pause_reading()
                writer.write(REQUESTS[0])
            while len(door.lines) < 4:
                await asyncio.sleep(0.05)
            assert door.callers.memory.total_bytes <= 100_000_000
            # Guards against cutting all of them for one that is too many.
            await asyncio.sleep(0.3)
            assert len(door.lines) < 6

    door = Door(memory=CallerMemory(100_000_000))
    door.body = b'x' * 30_000_000
    door.run(scenario)
    assert set(door.reasons()) == {'memory_full'}


def test_the_connection_that_waits_longest_gives_way_to_a_new_one():
    # Guards against callers that take all descriptors of a host.
    async def scenario(address):
        async with contextlib.AsyncExitStack() as stack:
            opened = []
            for _ in range(12):
                opened.append(await stack.enter_async_context(connect(address)))
                await asyncio.sleep(0.01)
            reader, writer = opened[-1]
            writer.write(REQUESTS[0])
            await reader.readuntil(b'done')
            assert await opened[0][0].read() == b''

    door = Door(max_connections=10)
    door.run(scenario)
    assert door.reasons() == [
        'too_many_connections',
        'too_many_connections',
    ]


def test_a_stop_does_not_wait_for_a_rejected_caller():
    # Guards against callers without end that delay a planned stop.
    async def scenario(address):
        reader, writer = await stack.enter_async_context(connect(address))
        writer.write(b'GET / HTTP/1.1\r\n%s' % (b'a: b\r\n' * 60_000))
        answer = await reader.readuntil(b'\r\n\r\n')
        assert answer.startswith(b'HTTP/1.1 431 ')

    async def run():
        async with stack:
            listener = server.bind('127.0.0.1:0')
            web = server.Server(server.server_config(door, door.callers))
            serving = asyncio.ensure_future(web.serve([listener]))
            while not web.started:
                await asyncio.sleep(0.01)
            await scenario(listener.getsockname())
            web.should_exit = True
            async with asyncio.timeout(0.8):
                await serving

    door = Door()
    stack = contextlib.AsyncExitStack()
    asyncio.run(run())


def test_a_connection_is_freed_as_soon_as_it_is_closed():
    # Guards against memory that waits for the garbage collector.
    async def scenario(address):
        async with connect(address) as (reader, writer):
            writer.write(REQUESTS[0])
            await reader.readuntil(b'done')
            assert len(door.callers.connections) == 1
        await asyncio.sleep(0.1)
        assert not door.callers.connections
        assert not door.callers.memory.holdings

    door = Door()
    door.run(scenario)
    assert door.callers.memory.total_bytes == 0
