"""Replies of targets, engines and the store that never end."""

import asyncio
import contextlib
import time

import anyio
import pytest

from ebonywell.attempts import MAX_ANSWER_BYTES, MAX_REJECTION_BYTES, Attempts
from ebonywell.exceptions import TransportError
from ebonywell.health import HealthBook, TargetHealth
from ebonywell.inbound import InboundCall
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.loadboard import LoadBoard, TargetLoad
from ebonywell.logs import discard_event
from ebonywell.platform.exchange import target_format
from ebonywell.progress import Progress, TryError
from ebonywell.routetable import RequestKind, Route, WeightedService
from ebonywell.selection import Candidate, Choice
from ebonywell.transport import MAX_CONTENT_BYTES, HttpClient
from ebonywell.upstream import MAX_BYTES_WITHOUT_PART, ConnectionPool

FILLER = b'x' * 65536
# Far more than anybody has to read.
MOST_SENT = 200_000_000
HEAD = b'HTTP/1.1 200 OK\r\nrequest-id: id\r\n'
CHUNKED = b'%stransfer-encoding: chunked\r\n\r\n' % HEAD
REJECTION = CHUNKED.replace(b'200 OK', b'503 Full\r\nnot-executed: 1')
FAILURE = CHUNKED.replace(b'200 OK', b'500 Failed')
FILLED_LINE = b'fill: %s\r\n' % FILLER
CHUNK = b'%x\r\n%s\r\n' % (len(FILLER), FILLER)


class Server:
    """Sends a beginning and then the same bytes until its caller closes."""

    def __init__(self, beginning, repeated):
        self.beginning = beginning
        self.repeated = repeated
        self.sent = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, EOFError):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.beginning)
            while self.sent < MOST_SENT:
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


class Trickle(Server):
    """Sends a few bytes at a time."""

    async def serve(self, reader, writer):
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
        """Take it."""

    async def finish(self):
        """Take it."""


def make_call(kind):
    route = Route(
        'r', 'host', '/a/', kind, (WeightedService('pool', 1),),
        30, 1, 1, 1, True, False,
    )  # fmt: skip
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    return InboundCall(
        'id', 'POST', b'/a/', (), b'', route, 'pool', None, None, now, now + 30
    )


async def try_once(address, kind):
    target = KnownTarget(
        Announcement('t', 1, 'pool', address, 'z', TargetState.ready, 8), {}
    )
    candidate = Candidate('t', TargetLoad(), TargetHealth(), 8)
    with ConnectionPool() as pool:
        attempts = Attempts(
            pool, LoadBoard(), HealthBook(), target_format(), None,
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


def play(beginning, repeated, ask):
    """Return the bytes sent until the caller closed, and its error."""

    async def run():
        server = Server(beginning, repeated)
        async with server.running() as address:
            with anyio.fail_after(20):
                with pytest.raises((TryError, TransportError)) as caught:
                    await ask(address)
                await server.closed.wait()
        return server.sent, caught.value

    return anyio.run(run)


@pytest.mark.parametrize('kind', RequestKind)
@pytest.mark.parametrize('name', ENDLESS_HEADS)
def test_a_reply_whose_head_never_ends_is_given_up(name, kind):
    sent, error = play(
        *ENDLESS_HEADS[name], lambda address: try_once(address, kind)
    )
    assert sent < MAX_BYTES_WITHOUT_PART + 20_000_000
    assert error.has_run


@pytest.mark.parametrize('kind', [RequestKind.idempotent, RequestKind.once])
@pytest.mark.parametrize('name', ENDLESS_BODIES)
def test_a_reply_whose_body_never_ends_is_given_up(name, kind):
    sent, error = play(
        *ENDLESS_BODIES[name], lambda address: try_once(address, kind)
    )
    assert sent < MAX_ANSWER_BYTES + 20_000_000
    assert error.has_run == (name != 'a rejection')


def test_a_rejected_stream_whose_body_never_ends_may_go_elsewhere():
    sent, error = play(
        *ENDLESS_BODIES['a rejection'],
        lambda address: try_once(address, RequestKind.stream),
    )
    assert sent < MAX_REJECTION_BYTES + 20_000_000
    assert not error.has_run


@pytest.mark.parametrize('name', [*ENDLESS_HEADS, *ENDLESS_BODIES])
def test_an_answer_to_this_host_that_never_ends_is_given_up(name):
    async def ask(address):
        async with HttpClient() as client:
            await client.request('GET', f'http://{address}/report', 1.0)

    cases = {**ENDLESS_HEADS, **ENDLESS_BODIES}
    sent, _ = play(*cases[name], ask)
    assert sent < MAX_CONTENT_BYTES + 20_000_000


@pytest.mark.parametrize('beginning', [b'HTTP/1.1 200 OK\r\n', CHUNKED])
def test_an_answer_to_this_host_that_trickles_for_ever_is_given_up(beginning):
    async def run():
        repeated = b'1\r\n%c\r\n' if beginning == CHUNKED else b'a: %d\r\n'
        server = Trickle(beginning, repeated)
        async with server.running() as address:
            async with HttpClient() as client:
                with anyio.fail_after(4), pytest.raises(TransportError):
                    await client.request('GET', f'http://{address}/report', 0.5)

    anyio.run(run)
