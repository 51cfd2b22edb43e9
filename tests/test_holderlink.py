"""What hosts and the holder of the lease tell each other."""

import random
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.adapterloads import Wanted
from ebonywell.digests import (
    DemandMessage,
    HolderStatus,
    LoadingMessage,
    LoadRequestMessage,
    ModelDemand,
    decode_message,
    encode_message,
)
from ebonywell.fleetdemand import (
    LIFE_PERIODS,
    MESSAGES_PER_S,
    PERIOD_S,
    WANT_LIFE_S,
    FleetDemand,
)
from ebonywell.fleetview import FleetView
from ebonywell.gossip import MAX_DATAGRAM_BYTES, Gossip
from ebonywell.holderlink import COMING_LIFE_S, HolderLink
from ebonywell.inbound import Generation
from ebonywell.inventory import Inventory
from ebonywell.loadboard import LoadBoard, Run
from ebonywell.logs import discard_event
from ebonywell.modeldemand import DemandBook


class LinkedHost:
    """A host of which only its link to the holder is real."""

    def __init__(self, name, hosts, *, is_holder=False):
        self.name = name
        self.is_holder = is_holder
        self.asked = []
        self.coming = ()
        board = LoadBoard()
        fleet = FleetView(name, board)
        for life, other in enumerate(hosts, 1):
            fleet.add_host(other, other, life, 0)
        self.demand = FleetDemand(DemandBook(), board, fleet)
        gossip = Gossip(
            name, fleet, None, None, discard_event, random.Random(1)
        )
        gossip.send_each = self._send_each
        self.sent = []
        self.link = HolderLink(
            name,
            gossip,
            fleet,
            Inventory(),
            SimpleNamespace(may_order_cached=lambda: self.is_holder),
            self.demand,
            lambda wanted, asker: self.asked.append((wanted, asker)),
            lambda: self.coming,
        )

    def _send_each(self, addresses, message):
        self.sent.extend((address, message) for address in addresses)


@pytest.fixture
def clock(monkeypatch):
    now = SimpleNamespace(at=100.0)
    monkeypatch.setattr('ebonywell.holderlink.boot_time', lambda: now.at)
    return now


def word(name, *, is_ordering=True):
    return HolderStatus(3, 1, True, is_ordering, 5, name)


def note_word(host, clock, given):
    host.link.gossip.holder = given
    host.link.gossip.holder_received_at = clock.at


def test_the_holder_is_known_by_its_word_whoever_brings_it(clock):
    host = LinkedHost('a', ['b', 'c'])
    assert not host.link.has_holder()
    note_word(host, clock, word('c'))
    assert host.link.has_holder()
    host.link.ask(Wanted('pool', 'm', ''))
    assert host.sent == [('c', LoadRequestMessage('a', 'pool', 'm', '', ''))]
    clock.at += 5
    assert not host.link.has_holder()
    note_word(host, clock, word('c', is_ordering=False))
    assert not host.link.has_holder()


def test_the_holder_adds_up_what_all_hosts_tell(clock):
    holder = LinkedHost('a', ['b', 'c'], is_holder=True)
    for name, work_ms in (('b', 30), ('c', 40), ('c', 50)):
        told = (ModelDemand('pool', 'm', work_ms, 1),)
        message = DemandMessage(name, told, ('m/a1',), {'t': ('m',)})
        holder.link.take(decode_message(encode_message(message)))
    total = holder.demand.total(clock.at)['pool', 'm']
    assert (total.work_ms, total.waiting) == (80, 2)
    assert holder.demand.used_adapters(clock.at) == {'m/a1'}
    assert holder.demand.models_in_use('t') == {'m'}
    assert holder.demand.models_in_use('other') == set()
    assert holder.demand.count_heard() == 3
    clock.at += LIFE_PERIODS * PERIOD_S
    holder.link.expire(clock.at)
    assert holder.demand.total(clock.at) == {}


def test_a_holder_that_heard_of_few_of_the_hosts_does_not_know_enough(clock):
    holder = LinkedHost('a', 'bcdef', is_holder=True)
    holder.link.take(DemandMessage('b'))
    assert not holder.demand.knows_half()
    holder.link.take(DemandMessage('c'))
    assert holder.demand.knows_half()


def test_what_this_hosts_requests_run_on_is_in_its_demand(clock):
    host = LinkedHost('a', ['b'])
    host.demand.own.note('pool', Generation('m', 'a1', 100, 10, 10), clock.at)
    run = Run('t', 100, 110, 0, ('m', 'm/a1'))
    with host.demand.board.running(run):
        message = host.demand.own_message(clock.at)
        assert set(message.runs['t']) == {'m', 'm/a1'}
        assert host.demand.models_in_use('t') == {'m', 'm/a1'}
    assert message.demand[0].model == 'm'
    assert host.demand.own_message(clock.at).runs == {}


def test_a_host_that_asks_hears_at_once_that_its_model_is_coming(clock):
    host = LinkedHost('a', ['b'])
    assert not host.link.is_coming('pool', 'm')
    host.link.take(LoadingMessage('pool', 'm'))
    assert host.link.is_coming('pool', 'm')
    assert not host.link.is_coming('pool', 'other')
    clock.at += COMING_LIFE_S
    assert not host.link.is_coming('pool', 'm')
    host.link.expire(clock.at)
    assert not host.link.coming_at


@pytest.mark.parametrize('size', [8, 80, 920])
def test_the_holder_of_a_fleet_of_any_size_takes_a_bounded_number(size):
    names = [f'h{number}' for number in range(size - 1)]
    demand = LinkedHost('a', names, is_holder=True).demand
    assert size / demand.period_s() < MESSAGES_PER_S + 1
    assert demand.period_s() < 3


def test_demand_is_told_to_the_holder_alone(clock):
    async def play():
        with anyio.move_on_after(2.5 * PERIOD_S):
            await host.link.tell_demand()

    host = LinkedHost('a', ['b', 'c'])
    note_word(host, clock, word('b'))
    anyio.run(play)
    assert [address for address, _ in host.sent] == ['b', 'b']
    assert len(encode_message(host.sent[0][1])) < MAX_DATAGRAM_BYTES


def test_a_model_that_a_host_asks_for_is_in_demand_before_it_tells(clock):
    holder = LinkedHost('a', ['b', 'c'], is_holder=True)
    for asker in 'bcb':
        holder.demand.note_want(('pool', 'm'), asker, clock.at)
    assert holder.demand.total(clock.at)['pool', 'm'].waiting == 2
    told = (ModelDemand('pool', 'm', 30, 5),)
    holder.link.take(DemandMessage('b', told))
    total = holder.demand.total(clock.at)['pool', 'm']
    assert (total.work_ms, total.waiting) == (30, 5)
    clock.at += WANT_LIFE_S
    holder.demand.expire(clock.at)
    assert not holder.demand.wanted


def test_a_new_holder_is_told_of_the_demand_at_once(clock):
    async def play():
        async with anyio.create_task_group() as group:
            group.start_soon(host.link.tell_demand)
            await anyio.sleep(0.01)
            host.link.note_holder('c')
            await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    host = LinkedHost('a', ['b', 'c'])
    note_word(host, clock, word('c'))
    anyio.run(play)
    assert [address for address, _ in host.sent] == ['c']
