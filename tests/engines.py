"""An in-memory fake engine, for tests of the orders that engines get."""

import httpcore
import msgspec

from ebonywell.enginepolls import SentOrder, poll_with
from ebonywell.exceptions import TargetError
from ebonywell.targets import ListedHost, ResidentModel, Target, TargetTable
from ebonywell.targets import Report as EngineReport


class FakeEngine:
    """Executes orders at once.

    `drops` is the number of further orders whose connection breaks; with
    `is_dead` all requests fail.
    """

    def __init__(self, name, zone='z1', size=100, checks=True):
        self.name = name
        self.zone = zone
        self.size = size
        self.checks = checks
        self.drops = 0
        self.is_dead = False
        self.peak = 0
        self.restart('1')

    def restart(self, incarnation):
        self.incarnation = incarnation
        self.models = {}
        self.states = {}
        self.fencing = 0

    def report(self):
        models = tuple(
            ResidentModel(name, size, 'ready')
            for name, size in self.models.items()
        )
        return EngineReport(
            self.name,
            self.incarnation,
            zone=self.zone,
            memory_bytes=self.size,
            used_bytes=sum(self.models.values()),
            checks_fencing=self.checks,
            fencing=self.fencing,
            max_running=16,
            models=models,
        )

    async def ask(self, method, path, content):
        if self.is_dead:
            raise TargetError('dead')
        if path == '/report':
            return _answer(200, self.report())
        if method == 'GET':
            order_id = path.rpartition('/')[2]
            state = self.states.get(order_id)
            found = {'order_id': order_id, 'state': state}
            return _answer(200 if state else 404, found)
        return self.take(msgspec.json.decode(content, type=SentOrder))

    def take(self, order):
        if self.drops:
            self.drops -= 1
            raise TargetError('lost')
        if self.checks and order.fencing < self.fencing:
            return _answer(409, {})
        self.fencing = max(self.fencing, order.fencing)
        if order.order_id not in self.states:
            self.states[order.order_id] = 'done'
            if order.action == 'load':
                self.models[order.model] = order.bytes
            elif order.action == 'unload':
                self.models.pop(order.model)
            self.peak = max(self.peak, sum(self.models.values()))
        return _answer(200, {})


def _answer(status, content):
    response = httpcore.Response(status, content=msgspec.json.encode(content))
    response.read()
    return response


class FakeTargets:
    """A target table whose reports are read from the engines at each access."""

    def __init__(self, engines, clock):
        self.engines = {engine.name: engine for engine in engines}
        self.clock = clock
        self.reported_at = {}

    @property
    def table(self):
        by_name = {}
        for engine in self.engines.values():
            listed = ListedHost(engine.name, 'engine', engine.name, engine.zone)
            if not engine.is_dead:
                self.reported_at[engine.name] = self.clock()
            reported_at = self.reported_at.get(engine.name, 0)
            target = Target(listed, engine.report(), reported_at)
            target.failing = engine.is_dead
            by_name[engine.name] = target
        return TargetTable(by_name)

    async def visit(self, address, fencing, unsettled):
        return await poll_with(self.engines[address].ask, fencing, unsettled)
