"""One exchange with a target: what was handed over, and whose answer it is."""

from contextlib import asynccontextmanager

import anyio
import pytest

from ebonywell.dispatch import Dispatcher, OutgoingRequest
from ebonywell.exceptions import TargetBrokenError, TargetUnreachableError

HEAD = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n'


def outgoing(path='/'):
    """Return a request as a target gets it."""
    headers = [(b'host', b'target'), (b'content-length', b'2')]
    return OutgoingRequest('POST', path, headers, b'hi', timeout_s=5)


@asynccontextmanager
async def target(handler):
    """Run a target that treats each connection as the handler says."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, handler)
        yield f'127.0.0.1:{port}'
        group.cancel_scope.cancel()


async def fetch(dispatcher, address, path='/'):
    """Return the whole answer of a target."""
    async with dispatcher.exchange(address, outgoing(path)) as exchange:
        return b''.join([chunk async for chunk in exchange.chunks()])


def test_a_target_that_is_not_there_was_handed_nothing():
    async def story():
        async with Dispatcher() as dispatcher:
            with pytest.raises(TargetUnreachableError):
                await fetch(dispatcher, '127.0.0.1:1')

    anyio.run(story)


def test_a_target_that_closes_unread_may_have_been_handed_bytes():
    async def handler(stream):
        await stream.aclose()

    async def story():
        async with Dispatcher() as dispatcher, target(handler) as address:
            with pytest.raises(TargetBrokenError):
                await fetch(dispatcher, address)

    anyio.run(story)


def test_half_an_answer_is_never_a_whole_one():
    async def handler(stream):
        async with stream:
            await stream.receive()
            await stream.send(b'%bhalf' % (HEAD % 10))

    async def story():
        async with Dispatcher() as dispatcher, target(handler) as address:
            with pytest.raises(TargetBrokenError):
                await fetch(dispatcher, address)

    anyio.run(story)


def test_an_exchange_given_up_in_mid_answer_is_never_reused():
    """The rest of the first answer must not become the second's."""
    connections = []

    async def handler(stream):
        connections.append(stream)
        async with stream:
            while True:
                try:
                    request = await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    return
                path = request.split(b' ')[1]
                await stream.send(b'%b%b' % (HEAD % (2 * len(path)), path))
                if path != b'/late':
                    await stream.send(path)

    async def story():
        async with Dispatcher() as dispatcher, target(handler) as address:
            late = outgoing('/late')
            async with dispatcher.exchange(address, late) as exchange:
                await anext(aiter(exchange.chunks()))
            assert await fetch(dispatcher, address, '/b') == b'/b/b'
            assert await fetch(dispatcher, address, '/c') == b'/c/c'
            assert len(connections) == 2

    anyio.run(story)
