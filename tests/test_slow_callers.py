"""Callers that read a stream slowly, on real connections in this process."""

import asyncio
import contextlib
import socket

import pytest

from ebonywell.callermemory import CallerMemory
from ebonywell.slowcallers import backlog
from ebonywell.slowcallers.streamsends import note_streams

from .test_callers import REQUESTS, Door, connect

EVENT = b'id: %%06d\ndata: %s\n\n' % (b'x' * 1000)
EVENT_BYTES = len(EVENT) + 2
# Without these, the kernel's buffers take megabytes of each stream. What they
# still take of a stream is less than this.
SEGMENT_BYTES = 536
RECEIVED_BYTES = 4096
KERNEL_BYTES = 400_000
END = b'0\r\n\r\n'
REQUEST = REQUESTS[0]


class StreamDoor(Door):
    """A server whose answers are streams, as a target sends them."""

    def __init__(self, count, **bounds):
        super().__init__(**bounds)
        self.count = count
        self.pause_s = 0
        self.is_broken_off = False
        self.sent = []
        self.ended = 0
        self.cancelled = asyncio.Event()

    async def __call__(self, scope, receive, send):
        sending = asyncio.ensure_future(self.stream(note_streams(scope, send)))
        leaving = asyncio.ensure_future(wait_gone(receive))
        await asyncio.wait(
            (sending, leaving), return_when=asyncio.FIRST_COMPLETED
        )
        leaving.cancel()
        if not sending.done():
            sending.cancel()
            self.cancelled.set()

    async def stream(self, send):
        headers = [(b'content-type', b'text/event-stream')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        self.sent.append(0)
        index = len(self.sent) - 1
        for number in range(self.count):
            part = EVENT % number
            await send(
                {'type': 'http.response.body', 'body': part, 'more_body': True}
            )
            self.sent[index] += 1
            await asyncio.sleep(self.pause_s)
        if not self.is_broken_off:
            await send({'type': 'http.response.body', 'body': b''})
        self.ended += 1


async def wait_gone(receive):
    while (await receive())['type'] != 'http.disconnect':
        await asyncio.sleep(0)


class SlowCaller:
    """A caller that has asked for a stream and reads when told to."""

    def __init__(self, address):
        self.socket = socket.socket()
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVED_BYTES
        )
        self.socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        self.socket.setblocking(False)
        self.address = address
        self.received = b''

    async def ask(self, request):
        loop = asyncio.get_running_loop()
        await loop.sock_connect(self.socket, self.address)
        await loop.sock_sendall(self.socket, request)

    async def read(self, count):
        """Read some bytes; return whether there may be more."""
        loop = asyncio.get_running_loop()
        try:
            part = await loop.sock_recv(self.socket, count)
        except ConnectionError:
            return False
        self.received += part
        return bool(part)

    async def read_all(self):
        is_open = True
        while is_open:
            is_open = await self.read(65_536)

    async def read_to_end(self):
        """Read until the end of a stream that is whole."""
        is_open = True
        while is_open and not self.is_whole:
            is_open = await self.read(65_536)

    @property
    def is_whole(self):
        return self.received.endswith(END)

    @property
    def events(self):
        return self.received.count(b'\n\n')


@contextlib.asynccontextmanager
async def slow_caller(address, request=REQUEST):
    caller = SlowCaller(address)
    try:
        await caller.ask(request)
        yield caller
    finally:
        caller.socket.close()


@contextlib.asynccontextmanager
async def slow_callers(address, count):
    async with contextlib.AsyncExitStack() as stack:
        yield [
            await stack.enter_async_context(slow_caller(address))
            for _ in range(count)
        ]


async def until(is_true):
    while not is_true():
        await asyncio.sleep(0.01)


def test_a_byte_a_second_holds_up_no_target():
    # Guards against a slot and memory of a target that last as long as their
    # caller likes.
    async def scenario(address):
        async with slow_caller(address) as caller:
            await until(lambda: door.ended)
            for _ in range(2):
                await caller.read(1)
                await asyncio.sleep(1)
            assert not door.lines
            assert door.callers.memory.total_bytes > 300_000
            await caller.read_to_end()
            assert caller.events == door.count
            assert caller.is_whole

    door = StreamDoor(800)
    door.run(scenario)
    assert door.callers.memory.total_bytes == 0


def test_what_is_left_at_the_end_must_be_read_in_time(monkeypatch):
    # Guards against a byte a second that keeps a host's memory for days.
    async def scenario(address):
        async with slow_caller(address) as caller:
            while not door.lines:
                await caller.read(1)
                await asyncio.sleep(0.1)
            await caller.read_all()
            assert not caller.is_whole

    monkeypatch.setattr(backlog, 'MAX_DRAIN_S', 1.0)
    door = StreamDoor(800)
    door.run(scenario)
    assert door.reasons() == ['end_unread']
    assert door.callers.memory.total_bytes == 0


def test_a_target_waits_for_a_caller_for_a_bounded_time():
    # Guards against a stream without end whose caller does not read: it takes
    # the host's memory, or the target's slot.
    async def scenario(address):
        async with slow_caller(address):
            await door.cancelled.wait()

    door = StreamDoor(20_000)
    door.run(scenario)
    assert door.reasons() == ['target_waits']
    most = backlog.MAX_HELD_BYTES + KERNEL_BYTES
    assert backlog.MAX_HELD_BYTES < door.sent[0] * EVENT_BYTES < most


def test_a_quick_caller_is_not_cut_for_a_quicker_target():
    # Guards against cutting sound callers of streams above the bound.
    async def scenario(address):
        async with connect(address) as (reader, writer):
            writer.write(REQUEST)
            answer = bytearray()
            while not answer.endswith(END):
                answer += await reader.read(65_536)
            assert answer.count(b'\n\n') == door.count

    door = StreamDoor(20_000)
    door.run(scenario)
    assert not door.lines


def test_a_hundred_slow_callers_stay_within_the_memory():
    # Guards against many callers, each within its own bound, that end the host
    # process; and against the newest being cut instead of the slowest.
    async def scenario(address):
        async with slow_callers(address, 50) as slowest:
            await until(lambda: door.ended == 50)
            assert not door.lines
            async with slow_callers(address, 50) as newest:
                await until(lambda: door.ended == 100)
                assert door.most <= memory.max_bytes
                await asyncio.gather(*(one.read_to_end() for one in newest))
                assert {one.events for one in newest} == {door.count}
            await asyncio.gather(*(one.read_to_end() for one in slowest))
            whole = [one for one in slowest if one.is_whole]
            assert whole
            assert len(whole) == 50 - len(door.lines)
            assert {one.events for one in whole} == {door.count}

    memory = CallerMemory(50 * 400 * EVENT_BYTES)
    door = StreamDoor(400, memory=memory)
    door.most = 0
    update = memory.update

    def watch(*args, **options):
        update(*args, **options)
        door.most = max(door.most, memory.total_bytes)

    memory.update = watch
    door.run(scenario)
    assert set(door.reasons()) == {'memory_full'}
    assert memory.total_bytes == 0


def test_a_slow_caller_delays_no_event_of_sound_ones():
    # Guards against events that wait behind what another caller does not read.
    async def scenario(address):
        async with slow_caller(address) as slow:
            async with connect(address) as (reader, writer):
                writer.write(REQUEST)
                await reader.readuntil(b'\r\n\r\n')
                for number in range(door.count):
                    await reader.readuntil(b'\n\n')
                    # Nothing waits for further events: each arrives before the
                    # target has sent the next but one.
                    assert door.sent[1] <= number + 2
                await reader.readuntil(END)
            await slow.read_to_end()
            assert slow.events == door.count

    door = StreamDoor(300)
    door.pause_s = 0.005
    door.run(scenario)
    assert not door.lines


@pytest.mark.parametrize('is_reset', [True, False])
def test_a_caller_that_leaves_cancels_what_is_held_back_for_it(is_reset):
    # Guards against a request that goes on at its target until all that its
    # caller has not read is sent.
    async def scenario(address):
        async with slow_caller(address) as caller:
            await until(lambda: door.sent and door.sent[0] > 700)
            assert door.callers.memory.total_bytes > 200_000
            if is_reset:
                caller.socket.close()
            else:
                caller.socket.shutdown(socket.SHUT_WR)
            await door.cancelled.wait()
        await until(lambda: not door.callers.memory.total_bytes)

    door = StreamDoor(900)
    door.pause_s = 0.002
    door.run(scenario)
    assert door.sent[0] < door.count


@pytest.mark.parametrize('is_broken_off', [True, False])
def test_an_end_behind_unread_events_reaches_the_caller(is_broken_off):
    # Guards against a stream that broke off and looks complete, and events that
    # are lost with the connection to the target.
    async def scenario(address):
        async with slow_caller(address) as caller:
            await until(lambda: door.ended)
            assert door.callers.memory.total_bytes > 300_000
            if is_broken_off:
                await caller.read_all()
            else:
                await caller.read_to_end()
            assert caller.events == door.count
            assert caller.is_whole != is_broken_off

    door = StreamDoor(800)
    door.is_broken_off = is_broken_off
    door.run(scenario)
    assert not door.lines


def test_a_request_behind_an_unread_answer_waits():
    # Guards against requests that run for a caller that reads no answer.
    async def scenario(address):
        request = REQUEST * 3
        async with slow_caller(address, request) as caller:
            await until(lambda: door.ended)
            await asyncio.sleep(0.5)
            assert len(door.sent) == 1
            while caller.received.count(END) < 3:
                assert await caller.read(65_536)
            assert caller.events == 3 * door.count

    door = StreamDoor(800)
    door.run(scenario)


def test_a_stop_waits_for_what_is_left_to_read():
    # Guards against whole answers that a planned stop cuts off.
    async def scenario(address):
        async with slow_caller(address) as caller:
            await until(lambda: door.ended)
            stopping.set()
            await asyncio.sleep(0.3)
            await caller.read_all()
            assert caller.events == door.count
            assert caller.is_whole

    stopping = asyncio.Event()
    door = StreamDoor(800)
    door.run(scenario, stopping)
    assert not door.lines


def test_a_stream_whose_caller_caught_up_is_never_rejected():
    # Guards against a rejection that is written into the middle of a stream
    # when memory is short after its caller was behind once.
    async def scenario(address):
        async with slow_caller(address) as caller:
            await until(door.callers.memory.list_behind)
            while door.callers.memory.list_behind():
                await caller.read(65_536)
            reading = asyncio.ensure_future(caller.read_to_end())
            holding = door.callers.memory.open(dict)
            door.callers.memory.update(holding, 10**9, is_optional=False)
            await reading
            assert b'HTTP/1.1 503' not in caller.received
            assert caller.events == door.count

    door = StreamDoor(1500)
    door.pause_s = 0.002
    door.run(scenario)
    assert not door.lines
