"""Adapters on engines, over changes of the host that gives the orders."""

import random
import time

import anyio
import pytest

from ebonywell.adapterloads import AdapterLoads, Wanted
from ebonywell.fleetdemand import FleetDemand
from ebonywell.fleetview import FleetView
from ebonywell.inventory import Announcement, Inventory, Resident, TargetState
from ebonywell.leadership import Candidacy, Leadership, LeaseState
from ebonywell.loadboard import LoadBoard, TargetLoad
from ebonywell.logs import discard_event
from ebonywell.modeldemand import DemandBook
from ebonywell.orderbook import EngineClient, OrderAnswer, TargetReport
from ebonywell.ordering import Ordering
from ebonywell.orders import Action
from ebonywell.provisioning import Provisioner
from ebonywell.routetable import EngineSpec, ModelSpec

SLOTS = 3
ENGINE = EngineSpec(
    8, 1000, 100, SLOTS, 1, {'m': ModelSpec('m', 10, 1, 1, 1, 9, 1)}
)


def do_nothing():
    """Change nothing."""


class Engine:
    """An engine that counts its orders and breaks when it is overfilled."""

    def __init__(self, adapters):
        self.adapters = set(adapters)
        self.orders = 0
        self.is_broken = False
        self.before_report = do_nothing

    async def report(self, known):
        await anyio.sleep(0)
        self.before_report()
        resident = Resident('m', frozenset(self.adapters))
        return TargetReport(1, self.orders, False, {'m': resident})

    async def order(self, known, order):
        await anyio.sleep(0)
        if order.order_count != self.orders:
            return OrderAnswer.conflict
        self.orders += 1
        if order.action is Action.unload_adapter:
            self.adapters.discard(order.adapter)
            return OrderAnswer.held
        self.adapters.add(order.adapter)
        self.is_broken |= len(self.adapters) > SLOTS
        return OrderAnswer.accepted


class Link:
    def tell(self, message, names):
        self.told = message


def make(engine):
    state = LeaseState(3, is_fenced=True)
    leadership = Leadership(
        None, 'own', 'one', state, Candidacy(bool, int, bool),
        discard_event, random.Random(1),
    )  # fmt: skip
    inventory = Inventory()
    said = Announcement(
        't', 1, 'pool', 'ip:1', 'zone', TargetState.ready, 8,
        {'m': Resident('m')},
    )  # fmt: skip
    inventory.announce(said, 0)
    client = EngineClient(engine.report, engine.order)
    ordering = Ordering('one', leadership, client, discard_event)
    board = LoadBoard()
    demand = FleetDemand(DemandBook(), board, FleetView('one', board))
    loads = AdapterLoads(
        inventory, board, ordering, demand, lambda name: ENGINE
    )
    loads.link = Link()
    return loads, state


def wanted(adapter):
    return Wanted('pool', 'm', adapter)


def lead(state, monkeypatch, fence):
    monkeypatch.setattr('ebonywell.leadership.boot_time', lambda: 100.0)
    state.note_claimed(fence - 1, 100, 100)
    state.may_order_at = 0


def test_a_full_engine_gives_up_its_oldest_adapter(monkeypatch):
    async def play():
        for adapter in ('a1', 'a2', 'a3', 'a4'):
            loads.askers[wanted(adapter)] = set()
            await loads.bring(wanted(adapter))

    engine = Engine(())
    loads, state = make(engine)
    lead(state, monkeypatch, 1)
    anyio.run(play)
    assert engine.adapters == {'a2', 'a3', 'a4'}
    assert not engine.is_broken


def test_an_order_keeps_its_sender_from_a_later_lease_for_a_time(monkeypatch):
    async def play():
        loads.askers[wanted('a1')] = set()
        await loads.bring(wanted('a1'))

    loads, state = make(Engine(()))
    lead(state, monkeypatch, 1)
    assert state.reclaim_at < 100
    anyio.run(play)
    state.note_lost()
    assert not state.may_claim(102.9, 0)
    assert state.may_claim(103.3, 0)


def test_an_engine_that_refuses_connections_is_left_out(monkeypatch):
    async def play():
        loads.askers[wanted('a1')] = set()
        await loads.bring(wanted('a1'))

    engine = Engine(())
    loads, state = make(engine)
    lead(state, monkeypatch, 1)
    gone = loads.inventory.announce(
        Announcement(
            'gone', 1, 'pool', 'ip:2', 'zone', TargetState.ready, 8,
            {'m': Resident('m')},
        ),
        0,
    )  # fmt: skip
    loads.board.own['t'] = TargetLoad(held_tokens=100)
    gone.refused_at = time.clock_gettime(time.CLOCK_BOOTTIME)
    anyio.run(play)
    assert engine.adapters == {'a1'}
    assert loads.link.told.target == 't'


def test_an_order_names_the_count_by_which_it_was_decided(monkeypatch):
    async def play():
        known = loads.inventory.targets['t']
        ordering = loads.ordering
        assert await ordering.refresh(known)
        # The holder before tells of a load that it had ordered meanwhile.
        engine.orders += 1
        known.confirm(engine.orders, {'m': Resident('m')}, 0)
        track = ordering.track(known)
        first = await ordering.order(known, track, Action.load, 'm2')
        assert await ordering.refresh(known)
        then = await ordering.order(known, track, Action.load, 'm2')
        return first, then

    engine = Engine(())
    loads, state = make(engine)
    lead(state, monkeypatch, 1)
    answers = anyio.run(play)
    assert answers == (OrderAnswer.conflict, OrderAnswer.accepted)


@pytest.mark.parametrize('fence', [2, 7])
def test_a_new_lease_in_the_midst_of_a_load_overfills_no_engine(
    monkeypatch, fence
):
    async def play():
        for adapter in ('a4', 'a5'):
            loads.askers[wanted(adapter)] = set()
        async with anyio.create_task_group() as group:
            group.start_soon(loads.bring, wanted('a4'))
            group.start_soon(loads.bring, wanted('a5'))

    engine = Engine({'a1', 'a2', 'a3'})
    loads, state = make(engine)
    lead(state, monkeypatch, 1)

    def change():
        # Another host had the lease meanwhile, and this one has it again.
        engine.before_report = do_nothing
        lead(state, monkeypatch, fence)
        loads.ordering.tracks.clear()

    engine.before_report = change
    anyio.run(play)
    assert not engine.is_broken
    assert len(engine.adapters) == SLOTS


@pytest.mark.parametrize('is_begun', [True, False])
def test_what_was_asked_for_as_orders_failed_is_asked_for_again(
    monkeypatch, is_begun
):
    async def play():
        provisioner.want(wanted('a0'), 'two')
        with pytest.raises(ExceptionGroup):
            await provisioner.run()
        provisioner.want(wanted('a1'), 'two')
        assert not loads.askers
        async with anyio.create_task_group() as group:
            group.start_soon(provisioner.run)
            await anyio.sleep(0)
            await anyio.sleep(0)
            provisioner.want(wanted('a1'), 'two')
            with anyio.move_on_after(1):
                while 'a1' not in engine.adapters:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    def fail_once():
        if fails:
            fails.pop()
            loads.askers[wanted('a1')] = {'two'}
            if is_begun:
                provisioner.group.start_soon(loads.bring, wanted('a1'))
            raise ZeroDivisionError

    fails = [True]
    engine = Engine(())
    loads, state = make(engine)
    lead(state, monkeypatch, 1)
    provisioner = Provisioner(
        loads.inventory, loads.ordering, loads, fail_once, discard_event
    )
    provisioner.link = loads.link
    anyio.run(play)
    assert engine.adapters == {'a1'}
