"""Changes and leaving targets reach all hosts in touch, on a virtual clock.

Hosts are cut off from each other and from the store, or turned away by it.
"""

import itertools
import json
import random
import types

import anyio
import pytest

from ebonywell.exceptions import LogOutageError, LogRefusedError
from ebonywell.feedrelay import FeedRelay
from ebonywell.fleetview import FleetView
from ebonywell.hostfeeds import HostFeeds
from ebonywell.intake import Intake
from ebonywell.inventory import Announcement, Inventory, TargetState
from ebonywell.loadboard import LoadBoard
from ebonywell.logs import discard_event
from ebonywell.platform.store import CALL_TIMEOUT_S
from ebonywell.translators import Translators

from .relayworld import (
    CHECK_S,
    CONFIG,
    TARGETS,
    FollowingHost,
    RelayWorld,
    clock,
    simulate,
)

# The users' bounds.
CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_S = 2.0
REFRESH_S = 0.1
SETTLE_S = 3.0
VISIT_S = (1.0, 4.0)
VISIT_PERIOD_S = (0.2, 0.6)


def decode_target(name, body):
    json.loads(body)
    return Announcement(
        name, 1, 'pool', '10.0.0.1:80', 'z', TargetState.ready, 8
    )


def decode_configuration(body):
    digits = body.split(b'/')[0]
    return types.SimpleNamespace(version=int(digits), routes={})


class SilentStore:
    """The store as one host reaches it; a cut is noticed by time-outs only."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def read_newest(self, topic, partition):
        return await self._call(0, 'read_newest', topic, partition)

    async def read_since(self, topic, partition, offset, wait_s):
        return await self._call(
            wait_s, 'read_since', topic, partition, offset, wait_s
        )

    async def _call(self, wait_s, name, *arguments):
        self.host.calls += 1
        sent_at = anyio.current_time()
        if self.host.is_store_cut:
            await anyio.sleep(0.004)
            raise LogRefusedError('turned away')
        if not self.host.is_store_silent:
            await anyio.sleep(0.004)
            page = await getattr(self.world.store, name)(*arguments)
            if not self.host.is_store_silent:
                return page
        await anyio.sleep(
            max(0, sent_at + CALL_TIMEOUT_S + wait_s - anyio.current_time())
        )
        raise LogOutageError('no answer')


class ServingHost(FollowingHost):
    """A host with its configuration and its inventory of targets."""

    def start(self):
        self.calm_since = anyio.current_time()
        self.fleet = FleetView(self.name, LoadBoard(), self.zone)
        self.scope = anyio.CancelScope()
        self.relay = FeedRelay(self.fleet, self, discard_event, self.rng)
        self.inventory = Inventory()
        self.intake = Intake(self.rng, 5)
        self.feeds = HostFeeds(
            SilentStore(self.world, self),
            Translators(
                CONFIG, 'config', decode_configuration, TARGETS, decode_target,
                'own', None, None, None,
            ),
            self.intake,
            self.inventory,
            discard_event,
            self.rng,
        )  # fmt: skip
        self.feeds.share(self.relay)
        self.followers = {
            CONFIG: self.feeds.configuration,
            TARGETS: self.feeds.targets,
        }

    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(super().run)
            group.start_soon(self._refresh)

    async def _refresh(self):
        while not self.scope.cancel_called:
            self.feeds.refresh(anyio.current_time() + self.skew)
            await anyio.sleep(REFRESH_S)


class ServingWorld(RelayWorld):
    """Hosts that have to know of each change within the users' bounds."""

    def __init__(self, size, **more):
        super().__init__(size, **more)
        self.late = []
        for number, name in enumerate(list(self.hosts)):
            self.hosts[name] = ServingHost(self, number)

    async def let_targets_leave(self):
        """Announce targets that leave for good after some seconds."""
        for number in itertools.count():
            self.group.start_soon(self._visit, f'visitor-{number}')
            await anyio.sleep(self.rng.uniform(*VISIT_PERIOD_S))

    async def check_proofs_always(self):
        self.group.start_soon(self.let_targets_leave)
        while True:
            self.check_proofs()
            now = anyio.current_time()
            left = self._list_left(now)
            version = self._version_due(now)
            for host in self.hosts.values():
                if now > host.calm_since + CONTACT_S + CHECK_S:
                    self._check_host(host, left, version)
            await anyio.sleep(CHECK_S)

    def _list_left(self, now):
        """Return the targets that every host in touch knows to have left."""
        newest = {}
        for at, _, key in self.written[TARGETS]:
            newest[key] = at
        entries = {one.key: one for one in self.store.records[TARGETS, 0]}
        return [
            key
            for key, at in newest.items()
            if entries[key].value is None and now > at + DRAIN_S + CHECK_S
        ]

    def _version_due(self, now):
        """Return the version that every host in touch has."""
        due = [
            offset + 1
            for at, offset, _ in self.written[CONFIG]
            if now > at + CONFIG_S + CHECK_S
        ]
        return max(due, default=0)

    def _check_host(self, host, left, version):
        late = [key for key in left if key in host.inventory.targets]
        if late:
            self.late.append((host.name, 'target', late))
        if host.intake.version < version:
            self.late.append((host.name, 'configuration', version))

    async def _visit(self, name):
        await self.write(TARGETS, name, b'{"load": 0}')
        await anyio.sleep(self.rng.uniform(*VISIT_S))
        await self.write(TARGETS, name, None)


def run_world(monkeypatch, world, scenario):
    monkeypatch.setattr('ebonywell.hostfeeds.boot_time', clock)
    monkeypatch.setattr('tests.relayworld.CONFIG_BYTES', b'/configuration')
    simulate(monkeypatch, world, scenario)


async def cut(world, hosts, attributes, seconds):
    for host in hosts:
        host.calm_since = float('inf')
        for attribute in attributes:
            setattr(host, attribute, True)
    await anyio.sleep(seconds)
    for host in hosts:
        host.calm_since = anyio.current_time()
        for attribute in attributes:
            setattr(host, attribute, False)


@pytest.mark.parametrize('seed', range(8))
def test_targets_that_leave_after_hosts_were_cut_off_get_no_more_requests(
    monkeypatch, seed
):
    world = ServingWorld(8, seed=seed)
    world.config_period_s = (99, 99)
    rng = random.Random(seed)

    async def scenario():
        await anyio.sleep(SETTLE_S)
        await cut(
            world,
            rng.sample(list(world.hosts.values()), 3),
            ('is_cut', 'is_store_silent'),
            5 + seed / 10,
        )
        await anyio.sleep(7)

    run_world(monkeypatch, world, scenario)
    assert not world.late


async def _disturb(world, rng):
    """Cut some hosts off for a while, in one of several ways."""
    hosts = list(world.hosts.values())
    chosen = rng.sample(hosts, rng.randint(1, max(1, len(hosts) // 2)))
    attributes = rng.choice(
        (
            ('is_cut', 'is_store_silent'),
            ('is_store_silent',),
            ('is_store_cut',),
            ('is_cut',),
        )
    )
    await cut(world, chosen, attributes, rng.uniform(0.5, 6))


@pytest.mark.parametrize('seed', range(12))
def test_changes_and_leaving_targets_are_known_in_time(monkeypatch, seed):
    rng = random.Random(seed)
    world = ServingWorld(
        rng.choice((3, 7, 8, 24)), zones=rng.choice((1, 3)), seed=seed
    )

    async def scenario():
        await anyio.sleep(SETTLE_S)
        for _ in range(6):
            await _disturb(world, rng)
            await anyio.sleep(rng.uniform(0, 6))

    run_world(monkeypatch, world, scenario)
    assert not world.late
