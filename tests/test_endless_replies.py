"""Tests endless answers of targets, engines and the store.

Faulty peers may send heads or bodies without end; the host must stop reading
them and close the connection.
"""

import asyncio
import contextlib
import socket
import time
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.answerbuffers import (
    MAX_BUFFERED_ANSWERS_BYTES,
    AnswerBuffers,
)
from ebonywell.attempts import MAX_ANSWER_BYTES, MAX_REJECTION_BYTES, Attempts
from ebonywell.coordination import Coordination
from ebonywell.crashguard import CrashGuard
from ebonywell.events import (
    MAX_EVENT_BYTES,
    EventBoundary,
    EventSplitter,
)
from ebonywell.exceptions import EventTooLongError, TransportError
from ebonywell.health import HealthTracker, TargetHealth
from ebonywell.inbound import AdmittedRequest
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.loadboard import LoadBoard, TargetLoad
from ebonywell.logs import discard_event
from ebonywell.metrics import Metrics
from ebonywell.peerforwarding import BrokenAnswerError, read_whole_body
from ebonywell.platform.exchange import target_format
from ebonywell.progress import AttemptError, Progress
from ebonywell.routetable import RequestKind, Route, WeightedService
from ebonywell.selection import Candidate, Choice
from ebonywell.targetreach import TargetReach
from ebonywell.transport import MAX_CONTENT_BYTES, HttpClient
from ebonywell.upstream import MAX_BYTES_WITHOUT_PART, ConnectionPool

from .limitless import no_limits

FILLER = b'x' * 65536
# Far above every limit on what a host reads.
MAX_SENT_BYTES = 200_000_000
HEAD = b'HTTP/1.1 200 OK\r\nrequest-id: id\r\n'
CHUNKED = b'%stransfer-encoding: chunked\r\n\r\n' % HEAD
REJECTION = CHUNKED.replace(b'200 OK', b'503 Full\r\nnot-executed: 1')
FAILURE = CHUNKED.replace(b'200 OK', b'500 Failed')
FILLED_LINE = b'fill: %s\r\n' % FILLER
CHUNK = b'%x\r\n%s\r\n' % (len(FILLER), FILLER)


class Server:
    """Sends a beginning, then repeated bytes until the caller closes."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.sent = 0
        self.closed = asyncio.Event()
        self.writers = []

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, EOFError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.beginning)
            while self.sent < MAX_SENT_BYTES:
                writer.write(self.repeated)
                self.sent += len(self.repeated)
                await writer.drain()
        self.closed.set()
        writer.close()

    @contextlib.asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield f'{host}:{port}'
        finally:
            server.close()
            await self.abort_connections()

    async def abort_connections(self):
        """Close what is open before the event loop ends.

        A writer that outlives its event loop raises an error when it is
        collected, in whatever test runs then.
        """
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)


class Flood(Server):
    """Sends to each of many callers for as long as it reads."""

    async def serve(self, reader, writer):
        self.sent = -100 * MAX_SENT_BYTES
        sock = writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        await super().serve(reader, writer)


class Trickle(Server):
    """Sends a few bytes every 50 ms."""

    async def serve(self, reader, writer):
        self.writers.append(writer)
        await reader.readuntil(b'\r\n\r\n')
        writer.write(self.beginning)
        with contextlib.suppress(ConnectionError):
            for number in range(200):
                writer.write(self.repeated % number)
                await writer.drain()
                await asyncio.sleep(0.05)


class Responder:
    async def start(self, status, headers):
        self.status = status

    async def send(self, body):
        """Ignore the call."""

    async def finish(self):
        """Ignore the call."""


def make_call(kind):
    route = Route(
        'r', 'host', '/a/', kind, (WeightedService('pool', 1),),
        30, 1, 1, 1, True, False,
    )  # fmt: skip
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    return AdmittedRequest(
        'id', 'POST', b'/a/', (), b'', route, 'pool', None, None, now, now + 30
    )


async def run_attempt(address, kind):
    target = KnownTarget(
        Announcement('t', 1, 'pool', address, 'z', TargetState.ready, 8), {}
    )
    candidate = Candidate('t', TargetLoad(), TargetHealth(), 8)
    guard = CrashGuard('host-1', None, discard_event, Metrics())
    with ConnectionPool() as pool:
        attempts = Attempts(
            pool, LoadBoard(), HealthTracker(), target_format(),
            SimpleNamespace(is_closed=lambda known: False),
            Coordination(guard, no_limits(), None), TargetReach(),
                discard_event,
        )  # fmt: skip
        return await attempts.run(
            make_call(kind), Responder(), Progress(),
            (target, Choice('t', 0, 0, candidate)),
        )  # fmt: skip


ENDLESS_HEADS = {
    'one line': (b'HTTP/1.1 200 OK\r\nfill: ', FILLER),
    'many lines': (b'HTTP/1.1 200 OK\r\n', FILLED_LINE),
    'interim answers': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 1000),
    'trailers': (b'%s0\r\n' % CHUNKED, FILLED_LINE),
    'chunk extension': (b'%s5;' % CHUNKED, FILLER),
}
ENDLESS_BODIES = {
    'chunks': (CHUNKED, CHUNK),
    'length': (b'%scontent-length: 99999999999\r\n\r\n' % HEAD, FILLER),
    'until the close': (b'%s\r\n' % HEAD, FILLER),
    'a rejection': (REJECTION, CHUNK),
    'a failure': (FAILURE, CHUNK),
}  # fmt: skip


def run_server(beginning, repeated, ask):
    """Return the bytes sent until the caller closed, and its error."""

    async def run():
        server = Server(beginning, repeated)
        async with server.running() as address:
            with anyio.fail_after(20):
                with pytest.raises((AttemptError, TransportError)) as caught:
                    await ask(address)
                await server.closed.wait()
        return server.sent, caught.value

    return anyio.run(run)


@pytest.mark.parametrize('kind', RequestKind)
@pytest.mark.parametrize('name', ENDLESS_HEADS)
def test_an_answer_with_an_endless_head_is_abandoned(name, kind):
    sent, error = run_server(
        *ENDLESS_HEADS[name], lambda address: run_attempt(address, kind)
    )
    assert sent < MAX_BYTES_WITHOUT_PART + 20_000_000
    assert error.has_run


@pytest.mark.parametrize('kind', [RequestKind.idempotent, RequestKind.once])
@pytest.mark.parametrize('name', ENDLESS_BODIES)
def test_an_answer_with_an_endless_body_is_abandoned(name, kind):
    sent, error = run_server(
        *ENDLESS_BODIES[name], lambda address: run_attempt(address, kind)
    )
    assert sent < MAX_ANSWER_BYTES + 20_000_000
    assert error.has_run == (name != 'a rejection')


def test_a_rejected_stream_with_an_endless_body_may_be_retried():
    sent, error = run_server(
        *ENDLESS_BODIES['a rejection'],
        lambda address: run_attempt(address, RequestKind.stream),
    )
    assert sent < MAX_REJECTION_BYTES + 20_000_000
    assert not error.has_run


@pytest.mark.parametrize('name', [*ENDLESS_HEADS, *ENDLESS_BODIES])
def test_an_endless_answer_to_the_host_s_own_request_is_abandoned(name):
    async def ask(address):
        async with HttpClient() as client:
            await client.request('GET', f'http://{address}/report', 1.0)

    cases = {**ENDLESS_HEADS, **ENDLESS_BODIES}
    sent, _ = run_server(*cases[name], ask)
    assert sent < MAX_CONTENT_BYTES + 20_000_000


@pytest.mark.parametrize('beginning', [b'HTTP/1.1 200 OK\r\n', CHUNKED])
def test_a_trickling_answer_to_the_host_s_own_request_is_abandoned(beginning):
    async def run():
        repeated = b'1\r\n%c\r\n' if beginning == CHUNKED else b'a: %d\r\n'
        server = Trickle(beginning, repeated)
        async with server.running() as address:
            async with HttpClient() as client:
                with anyio.fail_after(4), pytest.raises(TransportError):
                    await client.request('GET', f'http://{address}/report', 0.5)

    anyio.run(run)


@pytest.mark.parametrize(
    'event', [b'x', b'x' * 256, b'data: x\n', b'\r', FILLER]
)
def test_an_event_without_end_is_abandoned(event):
    boundary = EventBoundary()
    boundary.feed(b'id: 1\ndata: whole\r\n\r\n')
    splitter = EventSplitter()
    fed = 0
    with pytest.raises(EventTooLongError):
        while fed < 10 * MAX_EVENT_BYTES:
            boundary.feed(event)
            splitter.feed(event)
            fed += len(event)
    assert fed <= MAX_EVENT_BYTES
    assert len(splitter.partial_event) <= MAX_EVENT_BYTES


def test_a_long_stream_of_whole_events_goes_on():
    boundary = EventBoundary()
    event = b'data: %s\r\n\r\n' % (b'x' * 50_000)
    for _ in range(4 * MAX_EVENT_BYTES // len(event)):
        for byte in range(0, len(event), 1000):
            boundary.feed(event[byte : byte + 1000])
        assert boundary.is_reached


@pytest.mark.parametrize('size', [1, 256])
def test_a_stream_of_small_chunks_without_end_lets_other_requests_go_on(size):
    """The host would answer nothing for seconds (CONFIG)."""
    chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
    longest_s = 0

    async def watch():
        nonlocal longest_s
        before = time.monotonic()
        while True:
            await anyio.sleep(0.01)
            longest_s = max(longest_s, time.monotonic() - before)
            before = time.monotonic()

    async def ask(address):
        watching = asyncio.create_task(watch())
        try:
            await run_attempt(address, RequestKind.stream)
        finally:
            watching.cancel()

    _, error = run_server(CHUNKED, chunk * 20_000, ask)
    assert error.reason == 'event_too_long'
    # The users allow an answer to be late by as much.
    assert longest_s < 0.5


def test_answers_without_end_take_no_room_from_sound_ones():
    buffers = AnswerBuffers()
    with contextlib.ExitStack() as stack:
        sound = stack.enter_context(buffers.open())
        buffers.add(sound, b'sound')
        endless = [stack.enter_context(buffers.open()) for _ in range(40)]
        for _ in range(60):
            for one in endless:
                buffers.add(one, FILLER)
                held = sum(len(each.body) for each in buffers.in_use)
                assert held == buffers.total_bytes
                assert held <= MAX_BUFFERED_ANSWERS_BYTES
        assert any(one.is_dropped for one in endless)
        assert not sound.is_dropped
        assert sound.body == b'sound'
    assert not buffers.total_bytes
    assert not buffers.in_use


def test_streams_that_their_callers_do_not_read_are_bounded_together():
    # Guards against many such streams, each within its own bound.
    async def run():
        async with Flood(CHUNKED, CHUNK).running() as address:
            with ConnectionPool() as pool:
                exchanges = []
                connections = []
                for _ in range(150):
                    connection = await pool.acquire(address)
                    connections.append(connection)
                    exchanges.append(connection.send(b'GET / HTTP/1.1\r\n\r\n'))
                await asyncio.sleep(2)
                buffered = sum(one.buffered_bytes for one in exchanges)
                for connection in connections:
                    pool.release(address, connection)
                return buffered

    buffered = anyio.run(run)
    # 16 MB together, and 32 KB for each beyond that.
    assert buffered <= 16_777_216 + 150 * 32_768


def test_answers_of_other_hosts_without_end_are_bounded_together():
    # Guards against answers that are passed on between hosts, each within its
    # own bound.
    buffers = AnswerBuffers()
    most = 0

    async def read(pool, address):
        connection = await pool.acquire(address)
        exchange = connection.send(b'GET / HTTP/1.1\r\n\r\n')
        await connection.receive(exchange)
        with pytest.raises(BrokenAnswerError):
            await read_whole_body(connection, buffers)
        pool.release(address, connection)

    async def watch():
        nonlocal most
        while True:
            most = max(most, buffers.total_bytes)
            await asyncio.sleep(0.001)

    async def run():
        async with Server(CHUNKED, CHUNK).running() as address:
            with ConnectionPool() as pool:
                watching = asyncio.create_task(watch())
                await asyncio.gather(*(read(pool, address) for _ in range(8)))
                watching.cancel()

    anyio.run(run)
    assert 0 < most <= MAX_BUFFERED_ANSWERS_BYTES
    assert not buffers.total_bytes
