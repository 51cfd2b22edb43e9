"""Streams that run for longer than those of the usual deployments."""

import anyio
import msgspec
import pytest

from ebonywell.digests import Digest
from ebonywell.origins.granted import CONFIGURATION_LAG_S, MIN_LIFE_S, RETURN_S
from ebonywell.origins.memory import Origin, OriginMemory

from .test_stream_origins import make_digest, simulate

TIMEOUTS_S = (20.0, 25.0, 60.0, 600.0)
LONG_S = 60.0


async def begin_at_both(world, host='a'):
    await world.begin_upgrade()
    assert await world.hosts[host].begin('old', '1')
    assert await world.hosts[host].begin('new', '2')


async def write_another(world, host='a'):
    """Have a host write its record again, without what it has forgotten."""
    await world.hosts[host].begin('another', '2')
    await anyio.sleep(0.5)


async def send_digests(world, name, seconds, *, remembers_granted):
    """Let a host without a part of its own report to all others."""
    for number in range(int(seconds * 2)):
        digest = make_digest(name, number, remembers_granted=remembers_granted)
        for host in world.hosts.values():
            host.fleet.note_digest(digest, anyio.current_time())
        await anyio.sleep(0.5)


# Guards against streams that are taken up after 20 s and go on at another
# release, since a constant stood for what the operator grants (review 9).
@pytest.mark.parametrize('survivors', [('a', 'b'), ('b',), ('c', 'd')])
@pytest.mark.parametrize('timeout_s', TIMEOUTS_S)
def test_a_stream_is_resumed_at_its_release_until_its_end(
    monkeypatch, timeout_s, survivors
):
    """At its own host, and after the loss of one or all of them."""

    async def scenario(world):
        await begin_at_both(world)
        await anyio.sleep(timeout_s - 3)
        await write_another(world)
        world.start_all(survivors)
        await anyio.sleep(1)
        host = world.hosts[survivors[-1]]
        assert await host.resume('new') == '2'
        assert await host.resume('old') == '1'

    simulate(monkeypatch, scenario, timeout_s=timeout_s)


# Guards against the newest configuration in place of the one that was in force
# when the stream began.
@pytest.mark.parametrize('later_s', [8.0, 600.0])
@pytest.mark.parametrize('is_killed', [False, True])
def test_a_changed_timeout_is_not_that_of_streams_that_run(
    monkeypatch, later_s, is_killed
):
    async def scenario(world):
        await begin_at_both(world)
        world.timeout_s = later_s
        await anyio.sleep(LONG_S - 5)
        await write_another(world)
        if is_killed:
            world.start_all(('b', 'c'))
            await anyio.sleep(1)
        assert await world.hosts['b'].resume('new') == '2'
        assert await world.hosts['b'].resume('old') == '1'

    simulate(monkeypatch, scenario, timeout_s=LONG_S)


def test_longer_timeouts_take_effect_at_once(monkeypatch):
    async def scenario(world):
        world.timeout_s = LONG_S
        await anyio.sleep(3)
        await begin_at_both(world)
        await anyio.sleep(LONG_S - 10)
        await write_another(world)
        world.start_all(('b', 'c'))
        await anyio.sleep(1)
        assert await world.hosts['b'].resume('new') == '2'
        assert await world.hosts['b'].resume('old') == '1'

    simulate(monkeypatch, scenario)


# Guards against a default release that is replaced while its streams run.
def test_a_default_release_lasts_as_long_as_its_streams(monkeypatch):
    async def scenario(world):
        await begin_at_both(world)
        world.timeout_s = 8.0
        world.releases = ['2']
        await anyio.sleep(LONG_S - 5)
        for host in world.hosts.values():
            assert await host.resume('old') == 'origin_gone'
        world.start_all(('b', 'c'))
        await anyio.sleep(2)
        for host in world.hosts.values():
            assert await host.resume('old') == 'origin_gone'

    simulate(monkeypatch, scenario, timeout_s=LONG_S)


# Guards against a stream that is taken up twice, the second time after its
# first host has forgotten it.
def test_a_stream_that_is_taken_up_is_remembered_anew(monkeypatch):
    async def scenario(world):
        await begin_at_both(world)
        for _ in range(4):
            await anyio.sleep(LONG_S - 10)
            await write_another(world)
            assert await world.hosts['b'].resume('new') == '2'
        await anyio.sleep(LONG_S - 10)
        world.start_all(('c', 'd'))
        await anyio.sleep(1)
        assert await world.hosts['c'].resume('new') == '2'

    simulate(monkeypatch, scenario, timeout_s=LONG_S)


# Guards against taking a stream for one of the default release that a host of
# an earlier build has forgotten while it ran.
def test_what_an_earlier_build_may_have_forgotten_is_unknown(monkeypatch):
    async def scenario(world):
        await begin_at_both(world)
        await send_digests(world, 'z', 2, remembers_granted=False)
        wait_s = LONG_S + RETURN_S + CONFIGURATION_LAG_S
        for left_s in (wait_s - 10, 10, 0):
            host = world.hosts['b']
            assert await host.resume('forgotten') == 'origin_unknown'
            assert await host.resume('new') == '2'
            # A host that has not seen it knows from the statement.
            world.start_all(('b', 'c'))
            await anyio.sleep(1)
            host = world.hosts['c']
            assert await host.resume('forgotten') == 'origin_unknown'
            assert await host.resume('new') == '2'
            await anyio.sleep(left_s)
        await anyio.sleep(wait_s)
        assert await world.hosts['b'].resume('forgotten') == '1'

    simulate(monkeypatch, scenario, timeout_s=LONG_S)


def test_earlier_builds_are_trusted_with_streams_that_they_remember(
    monkeypatch,
):
    async def scenario(world):
        await begin_at_both(world)
        await send_digests(world, 'z', 2, remembers_granted=False)
        assert await world.hosts['b'].resume('forgotten') == '1'

    simulate(monkeypatch, scenario, timeout_s=MIN_LIFE_S)


def test_earlier_builds_read_the_digests_of_this_one():
    fields = Digest.__struct_fields__[:-1]
    earlier = msgspec.defstruct('Digest', fields, array_like=True)
    encoded = msgspec.msgpack.encode(make_digest('a'))
    assert msgspec.msgpack.decode(encoded, type=earlier).name == 'a'
    encoded = msgspec.msgpack.encode(
        msgspec.json.decode(msgspec.json.encode(make_digest('a')))[:-1]
    )
    assert not msgspec.msgpack.decode(encoded, type=Digest).remembers_granted


def test_an_invented_stream_takes_no_place(monkeypatch):
    async def scenario(world):
        host = world.hosts['b']
        for number in range(20):
            assert await host.resume(f'invented {number}') == '1'
        assert not host.origins.streams.origins

    simulate(monkeypatch, scenario, timeout_s=LONG_S)


def test_a_full_memory_drops_what_ends_first_and_no_more():
    memory = OriginMemory(3)
    for number, ends_at in enumerate((50, 10, 30, 40)):
        memory.put(b'%d' % number, Origin('1', ends_at))
    assert set(memory.origins) == {b'0', b'2', b'3'}
    memory.prolong(b'2', 60)
    memory.prolong(b'3', 20)
    memory.expire(50)
    assert set(memory.origins) == {b'2'}
    memory.expire(60)
    assert not memory.origins
    assert not memory.ends


# Guards against a stream at another release that is taken for one of the
# default, once more streams run than a host remembers.
def test_streams_beyond_the_memory_keep_their_release(monkeypatch):
    async def scenario(world):
        await begin_at_both(world)
        host = world.hosts['a']
        host.origins.streams.limit = 4
        for number in range(8):
            assert await host.begin(f'more {number}', '1')
        assert await host.resume('new') == '2'
        assert await world.hosts['b'].resume('new') == '2'
        assert await host.resume('old') == '1'

    simulate(monkeypatch, scenario, timeout_s=LONG_S)
