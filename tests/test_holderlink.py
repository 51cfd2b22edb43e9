"""Messages between hosts and the lease holder."""

import random
from types import SimpleNamespace

import anyio
import pytest

from ebonywell.adapterloads import LoadRequest
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
    LOAD_REQUEST_LIFE_S,
    MAX_SILENT_PERIODS,
    MESSAGES_PER_S,
    PERIOD_S,
    FleetDemand,
)
from ebonywell.fleetview import FleetView
from ebonywell.gossip import MAX_DATAGRAM_BYTES, Gossip
from ebonywell.holderlink import LOADING_LIFE_S, HolderLink
from ebonywell.inbound import Generation
from ebonywell.inventory import Inventory
from ebonywell.loadboard import LoadBoard, Run
from ebonywell.logs import discard_event
from ebonywell.modeldemand import HostDemand


class LinkedHost:
    """A host with a real link to the lease holder and fake other parts."""

    def __init__(self, name, hosts, *, is_holder=False):
        self.name = name
        self.is_holder = is_holder
        self.load_requests = []
        self.loading = ()
        board = LoadBoard()
        fleet = FleetView(name, board)
        for life, other in enumerate(hosts, 1):
            fleet.add_host(other, other, life, 0)
        self.demand = FleetDemand(HostDemand(), board, fleet)
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
            lambda request, host: self.load_requests.append((request, host)),
            lambda: self.loading,
        )

    def _send_each(self, addresses, message):
        self.sent.extend((address, message) for address in addresses)


@pytest.fixture
def clock(monkeypatch):
    now = SimpleNamespace(at=100.0)
    monkeypatch.setattr('ebonywell.holderlink.boot_time', lambda: now.at)
    return now


def holder_report(name, *, is_ordering=True):
    return HolderStatus(3, 1, True, is_ordering, 5, name)


def receive_holder_report(host, clock, given):
    host.link.gossip.holder = given
    host.link.gossip.holder_received_at = clock.at


def test_the_holder_is_known_by_its_report_whoever_relays_it(clock):
    host = LinkedHost('a', ['b', 'c'])
    assert not host.link.has_holder()
    receive_holder_report(host, clock, holder_report('c'))
    assert host.link.has_holder()
    host.link.request_load(LoadRequest('pool', 'm', ''))
    assert host.sent == [('c', LoadRequestMessage('a', 'pool', 'm', '', ''))]
    clock.at += 5
    assert not host.link.has_holder()
    receive_holder_report(host, clock, holder_report('c', is_ordering=False))
    assert not host.link.has_holder()


def test_the_holder_sums_the_demand_of_all_hosts(clock):
    holder = LinkedHost('a', ['b', 'c'], is_holder=True)
    for name, work_ms in (('b', 30), ('c', 40), ('c', 50)):
        demand = (ModelDemand('pool', 'm', work_ms, 1),)
        message = DemandMessage(name, demand, ('m/a1',), {'t': ('m',)})
        holder.link.receive(decode_message(encode_message(message)))
    total = holder.demand.total(clock.at)['pool', 'm']
    assert (total.work_ms, total.waiting) == (80, 2)
    assert holder.demand.recent_adapters(clock.at) == {'m/a1'}
    assert holder.demand.models_in_use('t') == {'m'}
    assert holder.demand.models_in_use('other') == set()
    assert holder.demand.count_reporting_hosts() == 3
    clock.at += MAX_SILENT_PERIODS * PERIOD_S
    holder.link.expire(clock.at)
    assert holder.demand.total(clock.at) == {}


def test_the_demand_of_too_few_hosts_is_not_enough(clock):
    holder = LinkedHost('a', 'bcdef', is_holder=True)
    holder.link.receive(DemandMessage('b'))
    assert not holder.demand.knows_half()
    holder.link.receive(DemandMessage('c'))
    assert holder.demand.knows_half()


def test_what_this_hosts_requests_run_on_is_in_its_demand(clock):
    host = LinkedHost('a', ['b'])
    host.demand.own.count_request(
        'pool', Generation('m', 'a1', 100, 10, 10), clock.at
    )
    run = Run('t', 100, 110, 0, ('m', 'm/a1'))
    with host.demand.board.running(run):
        message = host.demand.own_message(clock.at)
        assert set(message.runs['t']) == {'m', 'm/a1'}
        assert host.demand.models_in_use('t') == {'m', 'm/a1'}
    assert message.demand[0].model == 'm'
    assert host.demand.own_message(clock.at).runs == {}


def test_a_requesting_host_learns_at_once_that_its_model_is_loading(clock):
    host = LinkedHost('a', ['b'])
    assert not host.link.is_loading('pool', 'm')
    host.link.receive(LoadingMessage('pool', 'm'))
    assert host.link.is_loading('pool', 'm')
    assert not host.link.is_loading('pool', 'other')
    clock.at += LOADING_LIFE_S
    assert not host.link.is_loading('pool', 'm')
    host.link.expire(clock.at)
    assert not host.link.loading_reported_at


@pytest.mark.parametrize('size', [8, 80, 920])
def test_the_holder_receives_a_bounded_rate_of_messages_in_any_fleet(size):
    names = [f'h{number}' for number in range(size - 1)]
    demand = LinkedHost('a', names, is_holder=True).demand
    assert size / demand.period_s() < MESSAGES_PER_S + 1
    assert demand.period_s() < 3


def test_demand_is_sent_to_the_holder_alone(clock):
    async def run():
        with anyio.move_on_after(2.5 * PERIOD_S):
            await host.link.send_demand()

    host = LinkedHost('a', ['b', 'c'])
    receive_holder_report(host, clock, holder_report('b'))
    anyio.run(run)
    assert [address for address, _ in host.sent] == ['b', 'b']
    assert len(encode_message(host.sent[0][1])) < MAX_DATAGRAM_BYTES


def test_a_load_request_counts_as_demand_before_a_demand_message(clock):
    holder = LinkedHost('a', ['b', 'c'], is_holder=True)
    for host in 'bcb':
        holder.demand.note_load_request(('pool', 'm'), host, clock.at)
    assert holder.demand.total(clock.at)['pool', 'm'].waiting == 2
    demand = (ModelDemand('pool', 'm', 30, 5),)
    holder.link.receive(DemandMessage('b', demand))
    total = holder.demand.total(clock.at)['pool', 'm']
    assert (total.work_ms, total.waiting) == (30, 5)
    clock.at += LOAD_REQUEST_LIFE_S
    holder.demand.expire(clock.at)
    assert not holder.demand.load_requests


def test_demand_is_sent_to_a_new_holder_at_once(clock):
    async def run():
        async with anyio.create_task_group() as group:
            group.start_soon(host.link.send_demand)
            await anyio.sleep(0.01)
            host.link.note_holder('c')
            await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    host = LinkedHost('a', ['b', 'c'])
    receive_holder_report(host, clock, holder_report('c'))
    anyio.run(run)
    assert [address for address, _ in host.sent] == ['c']
