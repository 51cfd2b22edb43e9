"""Hosts that send requests to a target with a limit, on a virtual clock."""

import random

import anyio
from trio.testing import MockClock

from ebonywell.digests import Digest, decode_message, encode_message
from ebonywell.fleetview import FleetView
from ebonywell.gossip import DIGEST_PERIOD_S, FANOUT, MAX_DATAGRAM_BYTES
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.loadboard import LoadBoard
from ebonywell.logs import discard_event
from ebonywell.metrics import Metrics
from ebonywell.statements import Statement
from ebonywell.targetlimits import MAX_PERMIT_WAIT_S, TargetLimits

# Shortest and longest delivery time of a datagram, and of an answer.
LATENCY_S = (0.001, 0.01)
ANSWER_S = (0.01, 1.0)
# Shorter than the time after which a host is taken for silent.
HEARD_PERIOD_S = 0.9
# The users' bounds, see `test_stated_limits`.
CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
MAX_SHARE = 1.5
SLACK = 5


def make_known(name='t', born=1):
    announcement = Announcement(
        name, born, 'pool', name, 'z', TargetState.ready, 64
    )
    return KnownTarget(announcement, {})


class SendingHost:
    """A host whose callers ask for one target at random times."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.is_cut = False
        self.told_at = None
        self.sent = 0
        self.datagrams = 0
        self.fleet = FleetView(name, LoadBoard())
        self.limits = TargetLimits(
            self.fleet, self, lambda: True, discard_event, Metrics()
        )

    def send(self, address, message):
        encoded = encode_message(message)
        assert len(encoded) <= MAX_DATAGRAM_BYTES
        self.datagrams += 1
        self.world.deliver(self, address, decode_message(encoded))

    def broadcast(self, message):
        for peer in self.fleet.peers.values():
            self.send(peer.address, message)

    def hear(self, now):
        """Note which hosts are heard, directly or by their digests' numbers."""
        for name, host in self.world.hosts.items():
            if name != self.name and not (host.is_cut or self.is_cut):
                if name not in self.fleet.peers:
                    digest = Digest(
                        name, 1, 1, name, name, 'z', True, 1, 0, False, False, 0
                    )
                    self.fleet.note_digest(digest, now)
                self.fleet.peers[name].last_seen_at = now

    def repeat_statements(self):
        messages = tuple(self.limits.list_messages())
        if not messages:
            return
        names = [one for one in self.world.hosts if one != self.name]
        chosen = self.world.rng.sample(names, min(FANOUT, len(names)))
        for name in chosen:
            for message in messages:
                self.world.deliver(self, name, message)

    async def ask(self, max_wait_s=MAX_PERMIT_WAIT_S):
        """Send a request if the limit permits it; return whether it did."""
        if not await self.limits.claim(self.world.known, max_wait_s):
            return False
        sent_at = anyio.current_time()
        self.sent += 1
        self.world.note_arrival(self)
        known = self.world.known
        statement = Statement(self.world.rate)
        await anyio.sleep(self.world.rng.uniform(*ANSWER_S))
        if statement.rate_limit is not None and self.told_at is None:
            self.told_at = anyio.current_time()
        self.limits.note_answer(known, statement, sent_at)
        return True


class SendWorld:
    """The hosts, the target, and the network between the hosts.

    Attributes
    ----------
    rate : float or None
        Limit that the target states.
    arrivals : list of (float, SendingHost)
        Requests that reached the target.
    """

    def __init__(
        self,
        group,
        *,
        hosts=7,
        seed=1,
        loss=0.0,
        asks_per_s=40,
        digest_period_s=DIGEST_PERIOD_S,
    ):
        self.group = group
        self.digest_period_s = digest_period_s
        self.rng = random.Random(seed)
        self.loss = loss
        self.asks_per_s = asks_per_s
        self.rate = None
        self.arrivals = []
        self.known = make_known()
        self.hosts = {}
        for number in range(hosts):
            self.start_host(f'host-{number}')

    def start_host(self, name):
        """Start a host, or start it again with nothing of its past."""
        self.hosts[name] = SendingHost(self, name)

    def note_arrival(self, host):
        now = anyio.current_time()
        is_told = host.told_at is not None and now - host.told_at >= TOLD_S
        self.arrivals.append((now, host, is_told))

    def deliver(self, sender, name, message):
        receiver = self.hosts.get(name)
        is_lost = self.rng.random() < self.loss or receiver is None
        if is_lost or sender.is_cut or receiver.is_cut:
            return
        if self.hosts.get(sender.name) is not sender:
            return

        async def arrive():
            await anyio.sleep(self.rng.uniform(*LATENCY_S))
            receiver.limits.receive(message)

        self.group.start_soon(arrive)

    async def exchange_digests(self):
        heard_at = -HEARD_PERIOD_S
        while True:
            now = anyio.current_time()
            is_heard = now - heard_at >= HEARD_PERIOD_S
            if is_heard:
                heard_at = now
            for host in tuple(self.hosts.values()):
                if is_heard:
                    host.hear(now)
                host.repeat_statements()
                host.limits.expire((self.known.incarnation,))
            await anyio.sleep(self.digest_period_s)

    async def run_callers(self):
        while True:
            host = self.rng.choice(list(self.hosts.values()))
            self.group.start_soon(host.ask)
            await anyio.sleep(self.rng.expovariate(self.asks_per_s))

    def busiest_window(self, since=0, *, is_told=True):
        """Return the most requests in a window, by hosts that were told."""
        counted = [
            at
            for at, _, was_told in self.arrivals
            if at >= since and (was_told or not is_told)
        ]
        return max(
            (
                sum(one - WINDOW_S < at <= one for at in counted)
                for one in counted
            ),
            default=0,
        )

    def sent_between(self, begin, end):
        return sum(begin <= one[0] < end for one in self.arrivals)


def allowed(rate):
    """Return how many requests the users' rule allows in a window."""
    return rate * WINDOW_S * MAX_SHARE + SLACK


def simulate(monkeypatch, scenario, **options):
    """Run an async scenario that takes a world; return the world."""
    monkeypatch.setattr('ebonywell.targetlimits.boot_time', anyio.current_time)
    worlds = []

    async def run():
        async with anyio.create_task_group() as group:
            world = SendWorld(group, **options)
            worlds.append(world)
            group.start_soon(world.exchange_digests)
            await anyio.sleep(1)
            group.start_soon(world.run_callers)
            await scenario(world)
            group.cancel_scope.cancel()

    anyio.run(
        run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )
    return worlds[0]
