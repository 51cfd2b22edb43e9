"""Links between entry processes on loopback, and malformed frames."""

import random
from contextlib import asynccontextmanager
from functools import partial

import anyio
import msgspec
import pytest

from ebonywell import wire
from ebonywell.exceptions import MalformedFrameError
from ebonywell.logs import discard_event
from ebonywell.misc import split_address
from ebonywell.peers import Peers
from ebonywell.targets import ListedHost
from ebonywell.types import HostId

SECRET = 'fleet'
HEARTBEAT = wire.Heartbeat('az', 'a', 'p', False, 5, 1.5, 1, 'x', 0.1, 0.2)
TRANSFERS = wire.Transfers(5, (wire.Transfer('w', 1, 2, 3, True, 4),))


def frame_content(message):
    return wire.encode(message)[4:]


@pytest.mark.parametrize(
    'message',
    [
        HEARTBEAT,
        TRANSFERS,
        wire.LogRecords((wire.LogRecord(7, b'{}'),)),
        wire.StateCopy(b'\0' * 9),
        wire.Note('kind', b''),
    ],
)
def test_every_message_survives_encoding(message):
    assert wire.decode(frame_content(message)) == message


def test_damaged_frames_are_rejected_and_do_not_abort_the_process():
    rng = random.Random(1)
    rejected = 0
    for _ in range(20000):
        damaged = bytearray(frame_content(rng.choice((HEARTBEAT, TRANSFERS))))
        for _ in range(rng.randint(0, 4)):
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
        length = rng.choice((len(damaged), rng.randrange(len(damaged))))
        try:
            wire.decode(bytes(damaged[:length]))
        except MalformedFrameError:
            rejected += 1
    assert rejected > 5000


@asynccontextmanager
async def running(name, listed, secret=SECRET):
    peers = Peers(HostId(name, 'i'), '127.0.0.1:0', secret, discard_event)
    peers.listed = lambda: [one for one in listed if one.name != name]
    peers.heartbeat = lambda _: msgspec.structs.replace(
        HEARTBEAT,
        peer_address=peers.address,
    )
    started = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(peers.run, started.set)
        await started.wait()
        listed.append(
            ListedHost(name, 'entry', '', peer_address=peers.address),
        )
        yield peers
        group.cancel_scope.cancel()


async def wait_until(condition):
    with anyio.fail_after(5):
        while not condition():
            await anyio.sleep(0.02)


async def exchange_messages():
    listed = []
    async with running('a', listed) as one, running('b', listed) as other:
        received = []
        other.add_handler(wire.Note, lambda *pair: received.append(pair))
        await wait_until(lambda: 'b' in one.links and 'a' in other.known)
        one.broadcast(wire.Note('k', b'1'))
        await wait_until(lambda: received)
        assert received == [(one.host, wire.Note('k', b'1'))]
        other.cuts.drop.add('a')
        one.broadcast(wire.Note('k', b'2'))
        one.broadcast(wire.Note('k', b'3'))
        await anyio.sleep(0.2)
        assert len(received) == 1


async def reject_other_secret():
    listed = []
    async with running('a', listed) as one, running('b', listed, '?') as other:
        await anyio.sleep(1.2)
        assert not one.known
        assert not other.known


async def survive_malformed_frame(content):
    listed = []
    async with running('a', listed) as one:
        stream = await anyio.connect_tcp(*split_address(one.address))
        async with stream:
            await stream.send(content)
            await wait_until(lambda: one.traffic.frames_malformed)
        async with running('b', listed):
            await wait_until(lambda: 'b' in one.known)


@pytest.mark.parametrize(
    'story',
    [
        exchange_messages,
        reject_other_secret,
        partial(survive_malformed_frame, b'\xff' * 99),
        partial(survive_malformed_frame, (8).to_bytes(4, 'big') + b'\xff' * 8),
    ],
)
def test_links(story):
    anyio.run(story)
