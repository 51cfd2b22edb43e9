"""The planner: keeps the lease and carries out placement decisions."""

import random
from collections.abc import Awaitable, Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from .demand import Demand
from .demand import update as update_demand
from .enginepolls import EnginePoll, poll_engine
from .exceptions import LogOutageError, TargetError
from .layoutbuilder import PlannerHistory, build_layout
from .leases import LeaseClaimed, LeaseReleased, LeaseRenewed
from .leasetiming import LeaseStep, LeaseWatch, lease_step
from .logs import Logger
from .memory import Memory, Pending, is_allowed
from .moves import Decision, Move, PlacementState
from .orders import Order, OrdersIntended, OrdersSettled, Outcome, Settlement
from .placement import decide
from .records import Body
from .replica import Replica
from .targetrecords import (
    engines,
    make_gone_records,
    make_seen_record,
    needs_poll,
)
from .targets import Target, Targets
from .types import new_id

TICK_S = 0.5
# Age up to which this host's copy of the log counts as fresh.
LOG_FRESH_S = 3.0
# Limit of the random delay by which hosts avoid simultaneous claims.
CLAIM_STAGGER_S = 1.0

Observe = Callable[[], Mapping[str, float]]
PollEngine = Callable[[str, int, list[Pending]], Awaitable[EnginePoll]]


@dataclass(slots=True)
class LocalState:
    """State of the planner that is not in the log and is lost on restart.

    Attributes
    ----------
    lease_watch : LeaseWatch
    demand : Demand
    history : PlannerHistory
    state : PlacementState
    polling : set of str
        Targets with a poll in flight.
    polls : list of EnginePoll
        Finished polls whose results are not in the log yet.
    unplaced : list of str
        Models without a place after the last decision.
    """

    lease_watch: LeaseWatch
    demand: Demand = field(default_factory=Demand)
    history: PlannerHistory = field(default_factory=PlannerHistory)
    placement_state: PlacementState = field(default_factory=PlacementState)
    polling: set[str] = field(default_factory=set)
    polls: list[EnginePoll] = field(default_factory=list)
    unplaced: list[str] = field(default_factory=list)


class Planner:
    """Sends orders to the targets while its host holds the lease.

    Every host runs a planner.

    Attributes
    ----------
    replica : Replica
    targets : Targets
    observe : callable
        Returns the number of running and queued requests by model, in slots.
    poll : callable
        Polls an engine: `poll_engine`, or a substitute in tests.
    local : LocalState
    is_stopping : bool
    """

    def __init__(
        self,
        replica: Replica,
        targets: Targets,
        observe: Observe,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
        poll: PollEngine = poll_engine,
    ) -> None:
        self.replica = replica
        self.targets = targets
        self.observe = observe
        self.log = log
        self.clock = clock
        self.poll = poll
        stagger_s = random.Random(self.host).uniform(0, CLAIM_STAGGER_S)
        self.local = LocalState(LeaseWatch(stagger_s))
        self.is_stopping = False

    @property
    def host(self) -> str:
        """Holder name of this process: host id and incarnation."""
        return str(self.replica.host)

    @property
    def is_holder(self) -> bool:
        """Whether this process holds the lease, by the log read so far."""
        return self.replica.state.lease.holder == self.host

    async def run(self, ready: Callable[[], None]) -> None:
        """Plan until cancelled."""
        ready()
        self.local.lease_watch.seen_at = self.clock()
        async with anyio.create_task_group() as group:
            while True:
                if not self.is_stopping:
                    await self._tick(group)
                await anyio.sleep(TICK_S)

    async def stop(self) -> None:
        """Release the lease, so that another host can claim it at once."""
        self.is_stopping = True
        if self.is_holder:
            fencing = self.replica.state.lease.fencing
            await self._append(LeaseReleased(fencing))
            self.log('lease_released', fencing=fencing)

    async def _tick(self, group: TaskGroup) -> None:
        await self._keep_lease()
        update_demand(self.local.demand, self.observe(), self.clock())
        if self.is_holder:
            await self._record_polls()
            await self._place()
            self._start_polls(group)

    async def _keep_lease(self) -> None:
        lease = self.replica.state.lease
        now = self.clock()
        is_fresh = now - self.replica.read_at < LOG_FRESH_S
        step = lease_step(
            lease, self.local.lease_watch, self.host, now, is_fresh
        )
        if step is LeaseStep.renew:
            await self._append(LeaseRenewed(lease.fencing))
        elif step is LeaseStep.claim:
            claim = LeaseClaimed(self.host, replaces=lease.fencing)
            if await self._append(claim):
                self.local.polls.clear()
                self.log('lease_claimed', fencing=lease.fencing)

    async def _record_polls(self) -> None:
        polls = self.local.polls
        self.local.polls = []
        fencing = self.replica.state.lease.fencing
        valid = [poll for poll in polls if poll.fencing == fencing]
        self._log_outcomes(valid)
        bodies = list(self._poll_records(valid, fencing))
        async with anyio.create_task_group() as group:
            for body in bodies:
                group.start_soon(self._append, body)

    def _poll_records(
        self, polls: list[EnginePoll], fencing: int
    ) -> Iterator[Body]:
        state = self.replica.state
        settlements = [
            settlement for poll in polls for settlement in poll.settlements
        ]
        if settlements:
            yield OrdersSettled(fencing, tuple(settlements))
        for poll in polls:
            record = make_seen_record(
                state.memory,
                state.catalogue.entries,
                fencing,
                poll.report,
            )
            if record is not None:
                yield record
        yield from make_gone_records(
            state.memory, engines(self.targets.table), fencing, self.clock()
        )

    def _log_outcomes(self, polls: Iterable[EnginePoll]) -> None:
        settlements = (
            settlement for poll in polls for settlement in poll.settlements
        )
        for settlement in settlements:
            self.log(
                'order_settled',
                target=settlement.target,
                order=settlement.order_id,
                outcome=settlement.outcome,
            )
            if settlement.outcome is Outcome.failed:
                self._block_failed_load(settlement)

    def _block_failed_load(self, settlement: Settlement) -> None:
        target = self.replica.state.memory.get(settlement.target)
        pending = target and target.unsettled.get(settlement.order_id)
        if pending:
            self.local.history.block_load(
                settlement.target,
                _load_name(pending.order),
                self.clock(),
            )

    async def _place(self) -> None:
        state = self.replica.state
        now = self.clock()
        self.local.history.update(state.memory, now)
        layout = build_layout(
            state.memory,
            engines(self.targets.table),
            state.catalogue.entries.values(),
            self.local.demand.slots,
            self.local.history,
            now,
        )
        decision = decide(layout, self.local.placement_state, now)
        self._log_unplaced(decision)
        orders = [_make_order(state.memory, move) for move in decision.moves]
        allowed = tuple(
            order
            for order in orders
            if is_allowed(state.memory, state.catalogue.entries, order)
        )
        if allowed:
            intent = OrdersIntended(state.lease.fencing, allowed)
            if await self._append(intent):
                _log_orders(self.log, allowed)

    def _log_unplaced(self, decision: Decision) -> None:
        if decision.unplaced != self.local.unplaced:
            self.local.unplaced = decision.unplaced
            self.log('models_unplaced', models=','.join(decision.unplaced))

    def _start_polls(self, group: TaskGroup) -> None:
        memory = self.replica.state.memory
        fencing = self.replica.state.lease.fencing
        for target in engines(self.targets.table):
            if target.name in self.local.polling:
                continue
            if needs_poll(memory, target):
                self.local.polling.add(target.name)
                group.start_soon(self._poll_target, target, fencing)

    async def _poll_target(self, target: Target, fencing: int) -> None:
        known = self.replica.state.memory.get(target.name)
        unsettled = list(known.unsettled.values()) if known else []
        address = target.listed.address
        try:
            poll = await self.poll(address, fencing, unsettled)
        except TargetError as error:
            self.log('visit_failed', target=target.name, reason=str(error))
        else:
            self.local.polls.append(poll)
        finally:
            self.local.polling.discard(target.name)

    async def _append(self, body: Body) -> bool:
        try:
            ticket = await self.replica.append(body)
        except LogOutageError as outage:
            # The record may be in the log nevertheless. The next tick then
            # sees its effect.
            self.log('planner_append_failed', reason=str(outage))
            return False
        return ticket.took_effect


def _load_name(order: Order) -> str:
    return f'{order.model}:{order.adapter}' if order.adapter else order.model


def _make_order(memory: Memory, move: Move) -> Order:
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
