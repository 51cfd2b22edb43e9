"""Orders that are executed late, by engines that have started again."""

import random

import anyio
import pytest

from ebonywell.engineorders import EngineClient, OrderAnswer
from ebonywell.inventory import Announcement, KnownTarget, TargetState
from ebonywell.leadership import Candidacy, Leadership
from ebonywell.leasestate import LeaseState
from ebonywell.logs import discard_event
from ebonywell.ordering import OrderSender
from ebonywell.orders import Action

from .limitless import no_limits
from .memorystore import MemoryStore


def make_known(born):
    return KnownTarget(
        Announcement('e1', born, 'pool', 'ip:1', 'z', TargetState.ready, 9), {}
    )


class Engine:
    """Checks orders as the users' engines do, and may leave one unanswered."""

    def __init__(self):
        self.count = 0
        self.fence = 0
        self.late = []
        self.is_silent = False
        self.executed = []

    async def order(self, known, order):
        if self.is_silent:
            self.late.append(order)
            return OrderAnswer.unknown
        return self.take(order)

    def take(self, order):
        if order.fence < self.fence:
            return OrderAnswer.fenced
        if order.order_count != self.count:
            return OrderAnswer.conflict
        self.fence = order.fence
        self.count += 1
        self.executed.append(order.model)
        return OrderAnswer.accepted

    def restart(self):
        self.count = 0
        self.fence = 0
        self.executed = []


class HolderWorld:
    """A lease holder and one engine."""

    def __init__(self, *, is_fenced=True):
        self.engine = Engine()
        self.leadership = Leadership(
            MemoryStore(), 'own', 'one', LeaseState(3, is_fenced),
            Candidacy(lambda: True, int, bool), discard_event,
            random.Random(1),
        )  # fmt: skip
        self.sender = OrderSender(
            'one', self.leadership, EngineClient(None, self.engine.order),
            no_limits(), discard_event,
        )  # fmt: skip

    async def load(self, known, model):
        track = self.sender.track(known)
        return await self.sender.order(known, track, Action.load, model)

    async def load_until_accepted(self, known, model):
        for _ in range(3):
            if await self.load(known, model) is OrderAnswer.accepted:
                return
            await self.leadership._step()
        raise AssertionError(model)


# Guards against an order to an earlier life of an engine that is executed by a
# later one, which has had as many orders but holds other models (review 8).
@pytest.mark.parametrize('orders', range(1, 6))
def test_an_order_to_an_earlier_life_is_not_executed_by_a_later_one(orders):
    async def play():
        world = HolderWorld()
        await world.leadership._step()
        first, second = make_known(1), make_known(2)
        for number in range(orders):
            await world.load_until_accepted(first, f'old-{number}')
        world.engine.is_silent = True
        assert await world.load(first, 'late') is OrderAnswer.unknown
        world.engine.is_silent = False
        world.engine.restart()
        for number in range(orders):
            await world.load_until_accepted(second, f'new-{number}')
            assert world.engine.take(world.engine.late[0]) in {
                OrderAnswer.fenced,
                OrderAnswer.conflict,
            }
        assert 'late' not in world.engine.executed

    anyio.run(play)


# Guards against engines that wait for the store although no late order can
# reach them yet.
def test_orders_wait_for_a_newer_number_only_when_it_is_needed():
    async def play():
        world = HolderWorld()
        await world.leadership._step()
        first, second = make_known(1), make_known(2)
        for number in range(3):
            await world.load(first, f'old-{number}')
        world.engine.is_silent = True
        await world.load(first, 'late')
        world.engine.is_silent = False
        world.engine.restart()
        answers = [await world.load(second, f'new-{n}') for n in range(3)]
        assert answers == [
            OrderAnswer.accepted,
            OrderAnswer.accepted,
            OrderAnswer.unproven,
        ]
        await world.leadership._step()
        assert await world.load(second, 'new-2') is OrderAnswer.accepted

    anyio.run(play)


def test_a_late_rejection_of_an_older_number_does_not_lose_the_lease():
    async def play():
        world = HolderWorld()
        await world.leadership._step()
        known = make_known(1)
        track = world.sender.track(known)

        async def raise_meanwhile(target, order):
            world.leadership.state.request_raise()
            await world.leadership._step()
            return OrderAnswer.fenced

        world.sender.client = EngineClient(None, raise_meanwhile)
        await world.sender.order(known, track, Action.load, 'm')
        assert world.leadership.state.fence
        # What is known of the engine is kept: nobody else gave it orders.
        assert world.sender.track(known) is track

    anyio.run(play)


# Guards against a record of a time without a lease that counts under the next.
def test_a_new_lease_starts_new_records():
    async def play():
        world = HolderWorld()
        known = make_known(1)
        track = world.sender.track(known)
        await world.leadership._step()
        assert world.sender.track(known) is not track

    anyio.run(play)


def test_nothing_is_raised_unless_an_engine_starts_again():
    async def play():
        world = HolderWorld()
        await world.leadership._step()
        fence = world.leadership.state.fence
        known = make_known(1)
        world.engine.is_silent = True
        await world.load(known, 'late')
        world.engine.is_silent = False
        await world.load_until_accepted(known, 'm')
        assert world.leadership.state.fence == fence

    anyio.run(play)
