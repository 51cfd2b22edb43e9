"""The planner: holds the lease and carries out the placement's decisions."""

import random
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from .demand import Demand
from .demand import update as update_demand
from .exceptions import LogOutageError, TargetError
from .leases import LeaseClaimed, LeaseReleased, LeaseRenewed
from .logs import Logger
from .memory import Memory, Pending, is_allowed
from .moves import Decision, Move, Pace
from .orders import Order, OrdersIntended, OrdersSettled, Outcome, Settlement
from .placement import decide
from .records import Body
from .replica import Replica
from .sightings import engines, gone, seen, wants_visit
from .targets import Target, Targets
from .tenure import LeaseStep, Watch, lease_step
from .types import new_id
from .views import Recent, build_layout
from .visits import Visit, visit

TICK_S = 0.5
LOG_FRESH_S = 3.0
CLAIM_STAGGER_S = 1.0

Observe = Callable[[], Mapping[str, float]]
VisitTarget = Callable[[str, int, list[Pending]], Awaitable[Visit]]


@dataclass(slots=True)
class Notes:
    """What the planner knows beside the log; lost with its process.

    Attributes
    ----------
    watch : Watch
    demand : Demand
    recent : Recent
    pace : Pace
    visiting : set of str
        Targets that are being visited.
    visits : list of Visit
        Ended, and not yet in the log.
    unplaced : list of str
        Models that found no room at the last decision.
    """

    watch: Watch
    demand: Demand = field(default_factory=Demand)
    recent: Recent = field(default_factory=Recent)
    pace: Pace = field(default_factory=Pace)
    visiting: set[str] = field(default_factory=set)
    visits: list[Visit] = field(default_factory=list)
    unplaced: list[str] = field(default_factory=list)


class Planner:
    """Every host runs one; the holder of the lease sends the orders.

    Attributes
    ----------
    replica : Replica
    targets : Targets
    observe : callable
        Returns the requests that run or wait now, by model, in slots.
    notes : Notes
    is_stopping : bool
    """

    def __init__(
        self,
        replica: Replica,
        targets: Targets,
        observe: Observe,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
        visit_target: VisitTarget = visit,
    ) -> None:
        self.replica = replica
        self.targets = targets
        self.observe = observe
        self.log = log
        self.clock = clock
        self.visit_target = visit_target
        stagger_s = random.Random(self.host).uniform(0, CLAIM_STAGGER_S)
        self.notes = Notes(Watch(stagger_s))
        self.is_stopping = False

    @property
    def host(self) -> str:
        """The name under which this process holds the lease."""
        return str(self.replica.host)

    @property
    def is_holder(self) -> bool:
        """Whether this process holds the lease, as far as it has read."""
        return self.replica.state.lease.holder == self.host

    async def run(self, ready: Callable[[], None]) -> None:
        """Plan until cancelled."""
        ready()
        self.notes.watch.seen_at = self.clock()
        async with anyio.create_task_group() as group:
            while True:
                if not self.is_stopping:
                    await self._tick(group)
                await anyio.sleep(TICK_S)

    async def stop(self) -> None:
        """Release the lease, so that another host need not wait for it."""
        self.is_stopping = True
        if self.is_holder:
            fencing = self.replica.state.lease.fencing
            await self._append(LeaseReleased(fencing))
            self.log('lease_released', fencing=fencing)

    async def _tick(self, group: TaskGroup) -> None:
        await self._keep_lease()
        update_demand(self.notes.demand, self.observe(), self.clock())
        if self.is_holder:
            await self._record_visits()
            await self._place()
            self._start_visits(group)

    async def _keep_lease(self) -> None:
        lease = self.replica.state.lease
        now = self.clock()
        is_fresh = now - self.replica.read_at < LOG_FRESH_S
        step = lease_step(lease, self.notes.watch, self.host, now, is_fresh)
        if step is LeaseStep.renew:
            await self._append(LeaseRenewed(lease.fencing))
        elif step is LeaseStep.claim:
            claim = LeaseClaimed(self.host, replaces=lease.fencing)
            if await self._append(claim):
                self.notes.visits.clear()
                self.log('lease_claimed', fencing=lease.fencing)

    async def _record_visits(self) -> None:
        visits = self.notes.visits
        self.notes.visits = []
        fencing = self.replica.state.lease.fencing
        valid = [ended for ended in visits if ended.fencing == fencing]
        self._note_outcomes(valid)
        bodies = list(self._evidence(valid, fencing))
        async with anyio.create_task_group() as group:
            for body in bodies:
                group.start_soon(self._append, body)

    def _evidence(self, visits: list[Visit], fencing: int) -> Iterator[Body]:
        state = self.replica.state
        settlements = [
            settlement for ended in visits for settlement in ended.settlements
        ]
        if settlements:
            yield OrdersSettled(fencing, tuple(settlements))
        for ended in visits:
            sighting = seen(
                state.memory,
                state.catalogue.entries,
                fencing,
                ended.report,
            )
            if sighting is not None:
                yield sighting
        yield from gone(
            state.memory, engines(self.targets.table), fencing, self.clock()
        )

    def _note_outcomes(self, visits: Iterable[Visit]) -> None:
        settlements = (
            settlement for ended in visits for settlement in ended.settlements
        )
        for settlement in settlements:
            self.log(
                'order_settled',
                target=settlement.target,
                order=settlement.order_id,
                outcome=settlement.outcome,
            )
            if settlement.outcome is Outcome.failed:
                self._note_failure(settlement)

    def _note_failure(self, settlement: Settlement) -> None:
        target = self.replica.state.memory.get(settlement.target)
        pending = target and target.unsettled.get(settlement.order_id)
        if pending:
            self.notes.recent.bar_load(
                settlement.target,
                _load_name(pending.order),
                self.clock(),
            )

    async def _place(self) -> None:
        state = self.replica.state
        now = self.clock()
        self.notes.recent.update(state.memory, now)
        layout = build_layout(
            state.memory,
            engines(self.targets.table),
            state.catalogue.entries.values(),
            self.notes.demand.slots,
            self.notes.recent,
            now,
        )
        decision = decide(layout, self.notes.pace, now)
        self._note_unplaced(decision)
        orders = [_order(state.memory, move) for move in decision.moves]
        allowed = tuple(
            order
            for order in orders
            if is_allowed(state.memory, state.catalogue.entries, order)
        )
        if allowed:
            intent = OrdersIntended(state.lease.fencing, allowed)
            if await self._append(intent):
                _log_orders(self.log, allowed)

    def _note_unplaced(self, decision: Decision) -> None:
        if decision.unplaced != self.notes.unplaced:
            self.notes.unplaced = decision.unplaced
            self.log('models_unplaced', models=','.join(decision.unplaced))

    def _start_visits(self, group: TaskGroup) -> None:
        memory = self.replica.state.memory
        fencing = self.replica.state.lease.fencing
        for target in engines(self.targets.table):
            if target.name in self.notes.visiting:
                continue
            if wants_visit(memory, target):
                self.notes.visiting.add(target.name)
                group.start_soon(self._visit, target, fencing)

    async def _visit(self, target: Target, fencing: int) -> None:
        known = self.replica.state.memory.get(target.name)
        unsettled = list(known.unsettled.values()) if known else []
        address = target.listed.address
        try:
            ended = await self.visit_target(address, fencing, unsettled)
        except TargetError as error:
            self.log('visit_failed', target=target.name, reason=str(error))
        else:
            self.notes.visits.append(ended)
        finally:
            self.notes.visiting.discard(target.name)

    async def _append(self, body: Body) -> bool:
        try:
            ticket = await self.replica.append(body)
        except LogOutageError as outage:
            # If it is in the log all the same, the next tick finds its effect.
            self.log('planner_append_failed', reason=str(outage))
            return False
        return ticket.took_effect


def _load_name(order: Order) -> str:
    return f'{order.model}:{order.adapter}' if order.adapter else order.model


def _order(memory: Memory, move: Move) -> Order:
    return Order(
        new_id(),
        move.target,
        memory[move.target].incarnation,
        move.action,
        move.model,
        move.bytes,
        move.adapter,
    )


def _log_orders(log: Logger, orders: Iterable[Order]) -> None:
    for order in orders:
        log(
            'order_intended',
            order=order.order_id,
            action=order.action,
            target=order.target,
            model=order.model,
            adapter=order.adapter,
        )
