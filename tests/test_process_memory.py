"""Memory of requests and answers, within the limit of the process."""

import asyncio
import contextlib

import pytest

from ebonywell.answerbuffers import AnswerBuffers
from ebonywell.callermemory import MEMORY_SHARE
from ebonywell.framing.bodies import MAX_JOINED_BYTES
from ebonywell.processmemory.allocator import return_freed_blocks
from ebonywell.processmemory.shares import (
    POOL_SHARE,
    WHOLE_ANSWERS_SHARE,
    bound_buffers,
)
from ebonywell.upstream import AnswerHead, ConnectionPool, PoolBuffers

HEAD = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
LARGE_BYTES = 4_000_000


class SlowTarget:
    """Reads a request only when it is told to."""

    def __init__(self, *, answers_early=False):
        self.answers_early = answers_early
        self.may_read = asyncio.Event()
        self.body = b''

    async def serve(self, reader, writer):
        with contextlib.suppress(EOFError, ConnectionError):
            head = await reader.readuntil(b'\r\n\r\n')
            if self.answers_early:
                writer.write(ANSWER)
            await self.may_read.wait()
            length = int(head.rpartition(b': ')[2])
            self.body = await reader.readexactly(length)
            if not self.answers_early:
                writer.write(ANSWER)
            await reader.read()
        writer.close()

    @contextlib.asynccontextmanager
    async def connected(self):
        server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            with ConnectionPool() as pool:
                yield await pool.acquire(f'127.0.0.1:{port}')
                self.may_read.set()


# Guards against copies of large bodies for as long as their targets don't read
# them, which took hosts over their memory limit (review 6).
@pytest.mark.parametrize('size', [0, 10, MAX_JOINED_BYTES + 1, LARGE_BYTES])
def test_a_body_is_sent_whole_without_a_copy(size):
    body = bytes(range(256)) * (size // 256) + b'x' * (size % 256)

    async def play():
        target = SlowTarget()
        async with target.connected() as connection:
            exchange = connection.send(HEAD % size, body)
            await asyncio.sleep(0.05)
            unsent = connection.transport.get_write_buffer_size()
            assert unsent <= 2 * MAX_JOINED_BYTES
            target.may_read.set()
            head = await asyncio.wait_for(connection.receive(exchange), 5)
            assert isinstance(head, AnswerHead)
            await connection.receive(exchange)
            assert connection.release()
        assert target.body == body

    asyncio.run(play())


def test_a_connection_with_a_part_of_a_body_is_not_used_again():
    async def play():
        target = SlowTarget(answers_early=True)
        async with target.connected() as connection:
            exchange = connection.send(HEAD % LARGE_BYTES, bytes(LARGE_BYTES))
            await connection.receive(exchange)
            await connection.receive(exchange)
            assert not connection.release()
            assert not connection.unwritten

    asyncio.run(play())


# Guards against bounds that are each kept while their sum exceeds the limit.
@pytest.mark.parametrize('limit_mb', [100, 300, 2000])
def test_the_bounds_of_all_buffers_leave_room_within_the_limit(limit_mb):
    process_bytes = limit_mb * 1024 * 1024
    whole = AnswerBuffers()
    pools = (PoolBuffers(), PoolBuffers())
    bound_buffers(process_bytes, whole, pools)
    total = whole.max_bytes + sum(one.max_bytes for one in pools)
    assert total + process_bytes * MEMORY_SHARE <= 0.55 * process_bytes
    assert whole.max_bytes == int(process_bytes * WHOLE_ANSWERS_SHARE)
    assert pools[0].max_bytes == int(process_bytes * POOL_SHARE)


def test_an_unknown_limit_leaves_the_defaults():
    whole = AnswerBuffers()
    bound_buffers(0, whole, (PoolBuffers(),))
    assert whole.max_bytes == AnswerBuffers().max_bytes


def test_the_allocator_takes_its_setting_or_has_none():
    assert return_freed_blocks() in {True, False}
