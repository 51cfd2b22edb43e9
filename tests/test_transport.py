"""The HTTP client with several servers."""

import asyncio
import contextlib

import anyio
import pytest

from ebonywell.exceptions import LogOutageError
from ebonywell.platform.store import StoreClient
from ebonywell.transport import POOL_IDLE_TIMEOUT_S, HttpClient

ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
# An empty page of records that ends at offset 0.
PAGE = b'HTTP/1.1 200 OK\r\ncontent-length: 16\r\n\r\n%b' % bytes(16)


class Servers:
    """Servers that answer every request and count their connections."""

    def __init__(self):
        self.opened = 0
        self.closed = 0

    async def serve(self, reader, writer):
        self.opened += 1
        with contextlib.suppress(ConnectionError, EOFError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                writer.write(ANSWER)
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        self.closed += 1

    @contextlib.asynccontextmanager
    async def running(self, count):
        servers = [
            await asyncio.start_server(self.serve, '127.0.0.1', 0)
            for _ in range(count)
        ]
        try:
            yield [
                'http://{}:{}/'.format(*one.sockets[0].getsockname())
                for one in servers
            ]
        finally:
            for one in servers:
                one.close()
            # A writer that outlives its event loop raises an error when it is
            # collected, in whatever test runs then.
            with anyio.fail_after(5):
                while self.closed < self.opened:
                    await anyio.sleep(0.01)


@pytest.mark.parametrize('count', [1, 40])
def test_each_server_has_its_own_connection_pool(count):
    # A shared pool examines the connections to all servers at each request.
    async def run_client():
        servers = Servers()
        async with servers.running(count) as urls, HttpClient() as client:
            for _ in range(3):
                for url in urls:
                    answer = await client.request('GET', url, 5)
                    assert answer.content == b'ok'
            sizes = [
                len(known.client.pool.connections)
                for known in client.pools.values()
            ]
        return servers.opened, sizes

    opened, sizes = anyio.run(run_client)
    assert opened == len(sizes) == count
    assert set(sizes) == {1}


def test_idle_connections_are_closed(monkeypatch):
    async def run_client():
        servers = Servers()
        async with servers.running(3) as urls, HttpClient() as client:
            for url in urls[:2]:
                await client.request('GET', url, 5)
            clock.append(clock[-1] + POOL_IDLE_TIMEOUT_S + 1)
            await client.request('GET', urls[2], 5)
            with anyio.fail_after(5):
                while servers.closed < 2:
                    await anyio.sleep(0.01)
            assert len(client.pools) == 1
        assert not client.pools

    clock = [100.0]
    monkeypatch.setattr('ebonywell.transport.boot_time', lambda: clock[-1])
    anyio.run(run_client)


class ForgettingServer(Servers):
    """Answers the first request of each connection only, and stays silent."""

    async def serve(self, reader, writer):
        self.opened += 1
        with contextlib.suppress(ConnectionError, EOFError):
            await reader.readuntil(b'\r\n\r\n')
            # Long enough for requests that come together to open one each.
            await anyio.sleep(0.05)
            writer.write(PAGE)
            while await reader.read(1000):
                """Read on, so that the client sees no reset."""
        writer.close()
        with contextlib.suppress(ConnectionError):
            await writer.wait_closed()
        self.closed += 1


def test_one_silent_connection_costs_one_call_to_the_store(monkeypatch):
    monkeypatch.setattr('ebonywell.platform.store.CALL_TIMEOUT_S', 0.3)

    async def run_client():
        servers = ForgettingServer()
        async with servers.running(1) as urls, HttpClient() as client:
            store = StoreClient(urls[0].split('/')[2], client)

            async def read():
                return await store.read_since('topic', 0, 0, 0)

            async with anyio.create_task_group() as group:
                for _ in range(3):
                    group.start_soon(read)
            assert servers.opened == 3
            with pytest.raises(LogOutageError):
                await read()
            assert (await read()).next_offset == 0

    anyio.run(run_client)


def test_a_connection_that_was_idle_for_long_is_not_used_again():
    async def run_client():
        servers = ForgettingServer()
        async with (
            servers.running(1) as urls,
            HttpClient(max_idle_s=0.1) as client,
        ):
            await client.request('GET', urls[0], 1)
            await anyio.sleep(0.2)
            await client.request('GET', urls[0], 1)

    anyio.run(run_client)
