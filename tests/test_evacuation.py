"""Evacuated availability zones: what is in force, and who gets requests."""

import math
import random
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.evacuation.zones import (
    ON_THE_WAY_S,
    EvacuationBounds,
    Evacuations,
)
from ebonywell.hostfeeds import HostFeeds
from ebonywell.intake import Intake
from ebonywell.inventory import Announcement, Inventory, Resident, TargetState
from ebonywell.platform.catalog import EVACUATION_PREFIX
from ebonywell.platform.settings import parse_settings
from ebonywell.sharedstore import KeyedRecord
from ebonywell.translators import Translators

from .memorystore import MemoryStore

BOUNDS = EvacuationBounds(5, 3)
ZONES = ('z-1', 'z-2')


def announce(inventory, name, zone, *models, release=''):
    return inventory.announce(
        Announcement(
            name, 1, 'pool', 'ip:1', zone, TargetState.ready, 8,
            {model: Resident(model) for model in models}, release=release,
        ),
        0,
    )  # fmt: skip


class Host:
    """The feed of the operator's records of one host, and what it logged."""

    def __init__(self, store=None):
        self.lines = []
        self.inventory = Inventory(evacuations=Evacuations(BOUNDS))
        rng = random.Random(1)
        self.feeds = HostFeeds(
            store,
            Translators(
                'op', 'config', None, 'servers', None, 'own', None, None, None,
                EVACUATION_PREFIX,
            ),
            Intake(rng, 5),
            self.inventory,
            self.note,
            rng,
        )  # fmt: skip

    def note(self, event, **fields):
        self.lines.append((event, fields.get('zone')))

    @property
    def zones(self):
        return set(self.inventory.evacuations.closed_at)

    def see(self, *changes, now=100.0, proven_at=99.9):
        self.feeds.configuration.state.reach.proven_at = proven_at
        self.feeds.apply_configuration(
            [
                KeyedRecord(EVACUATION_PREFIX + zone, content, 1)
                for zone, content in changes
            ]
        )

    def closes_in(self, zone):
        return self.inventory.evacuations.closed_at[zone] - 100.0


@pytest.fixture(autouse=True)
def now(monkeypatch):
    monkeypatch.setattr('ebonywell.hostfeeds.boot_time', lambda: 100.0)


# Records


def test_a_change_leaves_time_to_load_models_elsewhere():
    host = Host()
    host.see(('z-1', b'{}'))
    assert host.closes_in('z-1') == pytest.approx(1.5)
    assert host.lines == [('evacuation_begun', 'z-1')]


def test_a_host_that_learns_late_is_not_later_than_the_operators_bound():
    # The host was cut off, so the record may be as old as its last proof.
    host = Host()
    host.see(('z-1', b'{}'), proven_at=96.0)
    assert host.closes_in('z-1') == pytest.approx(0.5)
    host.see(('z-2', b'{}'), proven_at=50.0)
    assert host.closes_in('z-2') < 0


def test_a_complete_read_is_in_force_at_once():
    host = Host()
    host.see(('z-1', b'{}'))
    key = f'{EVACUATION_PREFIX}z-1'
    host.feeds.apply_all_configuration([KeyedRecord(key, b'{}', 1)])
    assert host.closes_in('z-1') == -math.inf
    assert host.lines == [('evacuation_begun', 'z-1')]


def test_a_complete_read_ends_what_it_lacks():
    host = Host()
    host.see(('z-1', b'{}'), ('z-2', b'{}'))
    key = f'{EVACUATION_PREFIX}z-2'
    host.feeds.apply_all_configuration([KeyedRecord(key, b'{}', 1)])
    assert host.zones == {'z-2'}
    assert host.lines[-1] == ('evacuation_ended', 'z-1')


def test_two_zones_one_after_the_other():
    host = Host()
    host.see(('z-1', b'{}'))
    host.see(('z-2', b'{}'))
    assert host.zones == {'z-1', 'z-2'}
    host.see(('z-1', None))
    assert host.zones == {'z-2'}


def test_a_zone_evacuated_again_while_its_evacuation_is_taken_back():
    host = Host()
    host.see(('z-1', b'{}'))
    host.see(('z-1', None), ('z-1', b'{}'))
    assert host.zones == {'z-1'}
    # The deletion between two reads may not be in the page.
    host.see(('z-1', b'{}'))
    assert host.zones == {'z-1'}
    host.see(('z-1', None))
    assert host.zones == set()


def test_a_record_written_again_is_not_a_new_evacuation():
    # Each would leave more time for models that are ready nowhere else.
    host = Host()
    host.see(('z-1', b'{}'), proven_at=96.0)
    host.see(('z-1', b'{"again": 1}'))
    assert host.closes_in('z-1') == pytest.approx(0.5)


@pytest.mark.parametrize('content', [b'', b'\xff', b'7', b'[' * 10**5, b'"x"'])
def test_only_the_presence_of_the_key_counts(content):
    host = Host()
    for _ in range(3):
        host.see(('z-1', content))
    assert host.zones == {'z-1'}
    assert [one for one, _ in host.lines].count('evacuation_odd') == 1


def test_a_zone_without_targets_is_logged_once():
    host = Host()
    host.inventory.is_loaded = True
    announce(host.inventory, 't', 'z-1')
    host.see(('z-1', b'{}'), ('nowhere', b'{}'))
    for _ in range(3):
        host.feeds.refresh(100)
    # Targets that leave an evacuated zone are nothing odd.
    host.inventory.targets.clear()
    host.feeds.refresh(101)
    odd = [zone for one, zone in host.lines if one == 'evacuation_odd']
    assert odd == ['nowhere']


def test_a_platform_without_such_records_evacuates_nothing():
    host = Host()
    host.feeds.evacuations.prefix = ''
    host.see(('z-1', b'{}'))
    assert host.zones == set()


def test_settings_give_the_bounds():
    text = (
        'node: n\nip: i\nzone: z\nlisten: {front: a, ready: b, directory: c}\n'
        'platform: {address: "x:1"}\nbounds: {evacuateMs: 9000}\n'
    )
    found = parse_settings(text, 'f').bounds.evacuation
    assert found == EvacuationBounds(9, 3)
    assert found.sole_copy_s == 6 - ON_THE_WAY_S
    assert EvacuationBounds(1, 3).sole_copy_s == 0


# The store


async def _follow(store, scenario, *hosts):
    async with anyio.create_task_group() as group:
        for host in hosts:
            group.start_soon(host.feeds.configuration.run)
        await anyio.sleep(0.1)
        await scenario()
        group.cancel_scope.cancel()


async def _write(store, zone, content):
    await store.append('op', 0, ((EVACUATION_PREFIX + zone, content),))
    await anyio.sleep(0.1)


def test_an_evacuation_outlasts_an_outage_and_ends_with_its_record():
    store = MemoryStore()
    host = Host(store)

    async def scenario():
        await _write(store, 'z-1', b'{}')
        store.is_down = True
        store.changed.set()
        await anyio.sleep(0.3)
        assert host.zones == {'z-1'}
        store.is_down = False
        await anyio.sleep(1.5)
        assert host.zones == {'z-1'}
        await _write(store, 'z-1', None)
        assert host.zones == set()

    anyio.run(_follow, store, scenario, host)


def test_an_older_copy_of_the_store_is_read_whole():
    store = MemoryStore()
    host = Host(store)

    async def scenario():
        await _write(store, 'z-1', b'{}')
        await _write(store, 'z-2', b'{}')
        # The copy has only the first record.
        store.records['op', 0].pop()
        store.ends['op', 0] -= 1
        store.era = 2
        await anyio.sleep(1.2)
        assert host.zones == {'z-1'}
        assert host.closes_in('z-1') == -math.inf
        await _write(store, 'z-1', None)
        assert host.zones == set()

    anyio.run(_follow, store, scenario, host)


def test_hosts_that_start_again_find_the_evacuation():
    store = MemoryStore()

    async def scenario():
        await _write(store, 'z-1', b'{}')
        started = Host(store)

        async def read():
            assert started.closes_in('z-1') == -math.inf

        await _follow(store, read, started)

    anyio.run(_follow, store, scenario, Host(store))


# Targets


def list_usable(host, model='m', at=100.0, release=None):
    ready = host.inventory.of_service('pool')
    elsewhere = host.inventory.list_open('pool')
    found = host.inventory.evacuations.list_usable(
        [one for one in ready if one.holds(model)],
        is_elsewhere=any(one.holds(model) for one in elsewhere),
        is_coming=bool(elsewhere),
        now=at,
    )
    return {one.name for one in found}


@pytest.fixture
def host():
    made = Host()
    announce(made.inventory, 'a', 'z-1', 'm', 'sole')
    announce(made.inventory, 'b', 'z-2', 'm')
    return made


def test_targets_of_other_zones_serve_at_once(host):
    host.see(('z-1', b'{}'))
    assert list_usable(host) == {'b'}


def test_a_model_that_is_ready_nowhere_else_is_requested_for_a_while(host):
    host.see(('z-1', b'{}'))
    assert list_usable(host, 'sole', 101.4) == {'a'}
    assert list_usable(host, 'sole', 101.6) == set()


def test_a_model_that_has_come_elsewhere_is_requested_there_only(host):
    host.see(('z-1', b'{}'))
    host.inventory.targets['b'].add('sole', '')
    assert list_usable(host, 'sole') == {'b'}


def test_no_time_is_left_if_all_zones_are_evacuated(host):
    host.see(('z-1', b'{}'), ('z-2', b'{}'))
    assert list_usable(host) == set()
    assert list_usable(host, 'sole') == set()


def test_targets_are_used_again_after_the_evacuation(host):
    host.see(('z-1', b'{}'))
    host.see(('z-1', None))
    assert list_usable(host) == {'a', 'b'}
    assert host.inventory.list_open('pool') == list(
        host.inventory.targets.values()
    )


def test_targets_without_an_announced_zone_are_never_evacuated():
    target = SimpleNamespace(announcement=SimpleNamespace(zone=''))
    evacuations = Evacuations(BOUNDS)
    evacuations.begin('z-1', 0, 0)
    assert not evacuations.is_evacuated(target)
    assert not evacuations.is_closed(target, 1000)
