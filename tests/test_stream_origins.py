"""At which release streams began, as hosts and the store tell; simulated."""

import anyio
import msgspec
import pytest
from trio.testing import MockClock

from ebonywell.digests import Digest
from ebonywell.fingerprints import stream_key
from ebonywell.fleetview import FleetView
from ebonywell.inbound import AdmittedRequest, RejectionError
from ebonywell.inventory import Announcement, Inventory, TargetState
from ebonywell.loadboard import LoadBoard
from ebonywell.logs import discard_event
from ebonywell.origins.defaults import DefaultReleases
from ebonywell.origins.granted import MIN_LIFE_S
from ebonywell.releases import (
    DISCOVERY_LAG_S,
    MAX_ABSENCE_S,
    ReleaseHistory,
    choose_default,
    retire_after_s,
)
from ebonywell.streamorigins import MAX_RECORDED_STREAMS, StreamOrigins
from ebonywell.streamrecords import (
    DEFAULTS_PARTITION,
    MAX_WRITE_DELAY_S,
    STREAMS_PARTITION,
    StreamRecords,
)

from .memorystore import MemoryStore

SERVICE = 'pool'
MODULES = ('streamorigins', 'streamrecords', 'inventory', 'origins.defaults')
# Longest duration of a stream, unless a test sets another one.
TIMEOUT_S = 6.0
RETIRE_AFTER_S = retire_after_s(MIN_LIFE_S)
COMPLETE_AFTER_S = MIN_LIFE_S + DISCOVERY_LAG_S
# The largest record that the users' store takes.
MAX_RECORD_BYTES = 262_144


class OriginHost:
    """A host that begins and resumes streams."""

    def __init__(self, world, name):
        self.world = world
        self.fleet = FleetView(name, LoadBoard())
        self.inventory = Inventory()
        records = StreamRecords(
            world.store, 'own', name, lambda: world.lives, discard_event
        )
        defaults = DefaultReleases(
            records, self.fleet, self.inventory,
            lambda: {SERVICE: world.timeout_s}, discard_event,
        )  # fmt: skip
        self.origins = StreamOrigins(
            records, self.fleet, self.inventory, self, defaults, discard_event
        )

    def send(self, address, message):
        self.world.hosts[address].origins.receive(message)

    def broadcast(self, message):
        for name, host in tuple(self.world.hosts.items()):
            if host is not self and name in self.fleet.peers:
                host.origins.receive(message)

    async def begin(self, request_id, release):
        request = make_request(request_id, timeout_s=self.world.timeout_s)
        return await self.origins.note_begun(request, release)

    async def resume(self, request_id):
        """Return the release to resume at, or the reason of a rejection."""
        request = make_request('later', request_id, self.world.timeout_s)
        try:
            return (await self.origins.pin(request)).release
        except RejectionError as error:
            assert error.status == 503
            return error.reason


def make_request(request_id, resumes=None, timeout_s=TIMEOUT_S):
    now = anyio.current_time()
    return AdmittedRequest(
        request_id, 'POST', b'/a/', (), b'', None, SERVICE, None, None,
        now, now + timeout_s, 4, resumes,
    )  # fmt: skip


def make_digest(name, number=1, *, remembers_granted=True):
    return Digest(
        name, 1, number, name, name, 'z', True, 1, 0, False, False, 0,
        remembers_granted=remembers_granted,
    )  # fmt: skip


class OriginWorld:
    """The store, its hosts, and the releases whose targets serve."""

    def __init__(self, group, hosts, timeout_s):
        self.group = group
        self.store = MemoryStore()
        self.releases = ['1']
        self.timeout_s = timeout_s
        self.lives = 0
        self.hosts = {}
        self.scopes = []
        self.start_all(hosts)

    def start_all(self, names):
        """Start all hosts, with nothing of their past."""
        for scope in self.scopes:
            scope.cancel()
        self.lives += 1
        self.hosts = {name: OriginHost(self, name) for name in names}
        for name, host in self.hosts.items():
            self.group.start_soon(self._run, host, name == names[0])
            for other in names:
                host.fleet.note_digest(make_digest(other), anyio.current_time())

    def count_appends(self):
        return len(self.store.records.get(('own', STREAMS_PARTITION), ()))

    async def begin_upgrade(self):
        """Let targets of a second release serve beside the first."""
        self.releases = ['1', '2']
        await anyio.sleep(2)

    async def roll_back(self, *, seen_by):
        """Let the store lose its newest stream record; some hosts notice."""
        self.store.roll_back(1, (('own', STREAMS_PARTITION),))
        for name in seen_by:
            self.hosts[name].origins.note_era(self.store.era)
        await anyio.sleep(0.2)

    async def _run(self, host, is_holder):
        scope = anyio.CancelScope()
        self.scopes.append(scope)
        with scope:
            async with anyio.create_task_group() as group:
                host.origins.note_era(self.store.era)
                group.start_soon(host.origins.write_records)
                group.start_soon(
                    host.origins.defaults.maintain, lambda: is_holder
                )
                while True:
                    self._discover(host)
                    await anyio.sleep(0.5)

    def _discover(self, host):
        if self.store.is_down:
            return
        now = anyio.current_time()
        host.inventory.replace_all(
            [
                Announcement(
                    f't{release}', 1, SERVICE, 'a:1', 'z', TargetState.ready, 9,
                    release=release,
                )
                for release in self.releases
            ],
            now,
        )  # fmt: skip
        host.origins.note_targets(now, now)


def simulate(monkeypatch, scenario, hosts=('a', 'b', 'c'), timeout_s=TIMEOUT_S):
    for module in MODULES:
        name = f'ebonywell.{module}.boot_time'
        monkeypatch.setattr(name, anyio.current_time, raising=False)

    async def run():
        async with anyio.create_task_group() as group:
            world = OriginWorld(group, hosts, timeout_s)
            await anyio.sleep(8)
            await scenario(world)
            group.cancel_scope.cancel()

    anyio.run(
        run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


def test_a_retried_stream_is_resumed_where_its_first_event_came_from(
    monkeypatch,
):
    async def scenario(world):
        world.releases = ['1', '2']
        await anyio.sleep(2)
        assert await world.hosts['a'].begin('retried', '2')
        assert await world.hosts['a'].begin('retried', '1')
        world.start_all(('a', 'b'))
        await anyio.sleep(1)
        assert await world.hosts['b'].resume('retried') == '1'

    simulate(monkeypatch, scenario)


def test_one_release_alone_needs_no_record(monkeypatch):
    async def scenario(world):
        before = world.count_appends()
        for number in range(20):
            assert await world.hosts['a'].begin(f's{number}', '1')
        assert world.count_appends() == before
        assert await world.hosts['b'].resume('s3') == '1'

    simulate(monkeypatch, scenario)


@pytest.mark.parametrize('is_restarted', [False, True])
@pytest.mark.parametrize('is_old_gone', [False, True])
def test_streams_of_two_releases_are_told_apart(
    monkeypatch, is_restarted, is_old_gone
):
    async def scenario(world):
        world.releases = ['1', '2']
        await anyio.sleep(2)
        assert await world.hosts['a'].begin('old', '1')
        assert await world.hosts['a'].begin('new', '2')
        if is_old_gone:
            world.releases = ['2']
            await anyio.sleep(1)
        if is_restarted:
            world.start_all(('a', 'b', 'c'))
            await anyio.sleep(1)
        expected = 'origin_gone' if is_old_gone else '1'
        for host in world.hosts.values():
            assert await host.resume('old') == expected
            assert await host.resume('new') == '2'

    simulate(monkeypatch, scenario)


def test_the_release_that_replaced_another_becomes_the_default(monkeypatch):
    async def scenario(world):
        world.releases = ['2']
        await anyio.sleep(RETIRE_AFTER_S + MAX_ABSENCE_S)
        before = world.count_appends()
        assert await world.hosts['b'].begin('late', '2')
        assert world.count_appends() == before
        world.releases = ['1', '2']
        await anyio.sleep(2)
        assert await world.hosts['b'].begin('back', '1')
        world.start_all(('a', 'b', 'c'))
        await anyio.sleep(1)
        assert await world.hosts['c'].resume('back') == '1'
        assert await world.hosts['c'].resume('late') == '2'

    simulate(monkeypatch, scenario)


def test_no_stream_of_another_release_begins_while_the_store_is_away(
    monkeypatch,
):
    async def scenario(world):
        world.releases = ['1', '2']
        await anyio.sleep(2)
        world.store.is_down = True
        assert await world.hosts['a'].begin('old', '1')
        assert not await world.hosts['a'].begin('new', '2')

    simulate(monkeypatch, scenario)


def test_hosts_tell_each_other_of_streams_while_the_store_is_away(monkeypatch):
    async def scenario(world):
        world.releases = ['1', '2']
        await anyio.sleep(2)
        assert await world.hosts['a'].begin('new', '2')
        world.store.is_down = True
        assert await world.hosts['b'].resume('new') == '2'
        assert await world.hosts['b'].resume('invented') == 'origin_unknown'

    simulate(monkeypatch, scenario)


def test_a_stream_without_a_stated_beginning_has_no_known_origin(monkeypatch):
    async def scenario(world):
        assert await world.hosts['a'].resume('') == 'origin_unknown'

    simulate(monkeypatch, scenario)


def test_records_have_a_bounded_size_and_end(monkeypatch):
    async def scenario(world):
        world.releases = ['1', '2']
        await anyio.sleep(2)
        host = world.hosts['a']
        for number in range(MAX_RECORDED_STREAMS):
            assert await host.begin(f's{number}', '2')
        assert not await host.begin('one more', '2')
        records = world.store.records['own', STREAMS_PARTITION]
        assert len(records[-1].value) < MAX_RECORD_BYTES
        await anyio.sleep(MIN_LIFE_S + 1)
        assert not host.origins.recorded.origins
        assert not host.origins.streams.origins

    simulate(monkeypatch, scenario, ('a',))


def test_a_default_release_is_replaced_only_after_it_was_away_for_long():
    history = ReleaseHistory()
    history.note([(SERVICE, '1'), (SERVICE, '2')], 0)
    history.note([(SERVICE, '2')], 30)
    history.expire(MIN_LIFE_S, 30)
    assert choose_default('1', history, SERVICE, 100, MIN_LIFE_S, 30) is None
    late = RETIRE_AFTER_S + 1
    history.note([(SERVICE, '2')], late)
    history.expire(MIN_LIFE_S, late)
    assert choose_default('1', history, SERVICE, 10, MIN_LIFE_S, late) is None
    assert choose_default('1', history, SERVICE, 100, MIN_LIFE_S, late) == '2'
    assert choose_default(None, history, SERVICE, 0, MIN_LIFE_S, late) == '2'
    assert choose_default('2', history, SERVICE, 100, MIN_LIFE_S, late) is None
    assert (
        choose_default(None, ReleaseHistory(), SERVICE, 100, MIN_LIFE_S, late)
        is None
    )


def test_an_unreadable_record_hides_no_other(monkeypatch):
    async def scenario(world):
        world.releases = ['1', '2']
        await anyio.sleep(2)
        assert await world.hosts['a'].begin('new', '2')
        record = (('x/9', b'\xc1'),)
        await world.store.append('own', STREAMS_PARTITION, record)
        world.start_all(('a', 'b'))
        await anyio.sleep(1)
        assert await world.hosts['b'].resume('new') == '2'

    simulate(monkeypatch, scenario)


def test_a_late_write_hides_no_stream_of_a_newer_record(monkeypatch):
    """Its stream would be resumed at the default release."""

    async def scenario(world):
        await world.begin_upgrade()
        host = world.hosts['a']
        world.store.late_appends = 1
        assert not await host.begin('unwritten', '2')
        for number in range(5):
            assert await host.begin(f's{number}', '2')
        await world.store.finish_late()
        world.start_all(('b',))
        await anyio.sleep(1)
        for number in range(5):
            assert await world.hosts['b'].resume(f's{number}') == '2'

    simulate(monkeypatch, scenario)


def test_the_key_of_a_write_without_an_answer_is_deleted_later(monkeypatch):
    async def scenario(world):
        await world.begin_upgrade()
        host = world.hosts['a']
        world.store.late_appends = 1
        assert not await host.begin('unwritten', '2')
        await world.store.finish_late()
        assert await host.begin('s1', '2')
        page = await world.store.read_newest('own', STREAMS_PARTITION)
        assert [one.key for one in page.records] == ['a/1', 'a/1/1']
        await anyio.sleep(MAX_WRITE_DELAY_S)
        assert await host.begin('s2', '2')
        page = await world.store.read_newest('own', STREAMS_PARTITION)
        assert [one.key for one in page.records] == ['a/1/1']

    simulate(monkeypatch, scenario)


def test_a_stream_that_began_again_elsewhere_keeps_its_newer_record(
    monkeypatch,
):
    """The record of its first beginning is written late."""

    async def scenario(world):
        await world.begin_upgrade()
        host = world.hosts['a']
        world.store.late_appends = 1
        assert not await host.begin('retried', '2')
        assert await host.begin('retried', '1')
        await world.store.finish_late()
        world.start_all(('b',))
        await anyio.sleep(1)
        assert await world.hosts['b'].resume('retried') == '1'

    simulate(monkeypatch, scenario)


def test_a_record_that_the_store_has_lost_is_written_again(monkeypatch):
    async def scenario(world):
        await world.begin_upgrade()
        assert await world.hosts['a'].begin('new', '2')
        await world.roll_back(seen_by='abc')
        world.start_all(('b',))
        await anyio.sleep(1)
        assert await world.hosts['b'].resume('new') == '2'

    simulate(monkeypatch, scenario)


def test_a_record_that_could_not_be_written_again_is_tried_until_it_is(
    monkeypatch,
):
    async def scenario(world):
        await world.begin_upgrade()
        assert await world.hosts['a'].begin('new', '2')
        world.store.is_down = True
        await world.roll_back(seen_by='a')
        await anyio.sleep(1)
        world.store.is_down = False
        await anyio.sleep(1)
        world.start_all(('b',))
        await anyio.sleep(1)
        assert await world.hosts['b'].resume('new') == '2'

    simulate(monkeypatch, scenario)


def test_a_stream_whose_record_is_lost_with_its_host_has_no_known_origin(
    monkeypatch,
):
    """The host dies before it learns that the store has lost the record."""

    async def scenario(world):
        await world.begin_upgrade()
        assert await world.hosts['a'].begin('new', '2')
        await world.roll_back(seen_by='')
        world.start_all(('b', 'c'))
        for _ in range(4):
            await anyio.sleep(4)
            for host in world.hosts.values():
                assert await host.resume('new') == 'origin_unknown'

    simulate(monkeypatch, scenario)


@pytest.mark.parametrize('after_s', [1, COMPLETE_AFTER_S + 10])
def test_streams_of_the_default_release_go_on_after_a_rollback(
    monkeypatch, after_s
):
    """Also where their host dies, soon after the rollback or later."""

    async def scenario(world):
        await world.roll_back(seen_by='abc')
        await anyio.sleep(after_s)
        assert await world.hosts['b'].begin('old', '1')
        await anyio.sleep(0.2)
        world.start_all(('a', 'c'))
        await anyio.sleep(1)
        assert await world.hosts['c'].resume('old') == '1'

    simulate(monkeypatch, scenario)


def test_an_answer_of_an_era_that_is_over_completes_no_records(monkeypatch):
    """The host learns of the new era while it waits for the answer."""

    async def scenario(world):
        await world.begin_upgrade()
        host = world.hosts['c']
        assert await world.hosts['a'].begin('old', '2')
        read = world.store.read_newest

        async def read_slowly(topic, partition):
            page = await read(topic, partition)
            if partition == DEFAULTS_PARTITION:
                world.store.read_newest = read
                await world.roll_back(seen_by='bc')
            return page

        world.store.read_newest = read_slowly
        world.hosts['a'].origins.streams.origins.clear()
        world.hosts['a'].origins.recorded.origins.clear()
        assert await host.resume('absent') == 'origin_unknown'
        assert not host.origins.defaults.is_complete
        assert await host.resume('old') == 'origin_unknown'

    simulate(monkeypatch, scenario)


def test_nothing_is_written_any_more_once_the_records_are_complete(monkeypatch):
    async def scenario(world):
        await world.roll_back(seen_by='abc')
        await anyio.sleep(COMPLETE_AFTER_S + 10)
        before = world.count_appends()
        assert await world.hosts['b'].begin('old', '1')
        await anyio.sleep(1)
        assert world.count_appends() == before

    simulate(monkeypatch, scenario)


def test_hosts_of_the_earlier_release_read_a_renewed_record(monkeypatch):
    """They decode all records of the partition, whatever their keys."""

    async def scenario(world):
        await world.begin_upgrade()
        world.store.late_appends = 1
        assert not await world.hosts['a'].begin('unwritten', '2')
        assert await world.hosts['a'].begin('new', '2')
        page = await world.store.read_newest('own', STREAMS_PARTITION)
        decoder = msgspec.msgpack.Decoder(dict[bytes, str])
        streams = decoder.decode(page.records[-1].value)
        key = stream_key(make_request('new'), 'new')
        assert streams[key] == '2'

    simulate(monkeypatch, scenario)
