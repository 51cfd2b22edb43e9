"""State model of two planners, one target and an unreliable network.

The network may lose, delay, duplicate and reorder orders. Each step of the
model is one that the real components take between two points at which a process
may freeze. Tables, evidence and filters are ebonywell's own code; the model
covers only who acts next, what the network delivers, and what the target holds.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import NamedTuple

from ebonywell import records, state
from ebonywell.leases import LeaseClaimed
from ebonywell.memory import Pending, is_allowed, reserved_bytes
from ebonywell.orders import (
    Action,
    Order,
    OrdersIntended,
    OrdersSettled,
    Settlement,
)
from ebonywell.outstanding import (
    Evidence,
    NextStep,
    OrderState,
    Step,
    next_step,
)
from ebonywell.targetrecords import make_seen_record
from ebonywell.targets import Report, ResidentModel

TARGET = 't'
MEMORY_SLOTS = 2
MODELS = ('a', 'b', 'c')
PLANNERS = ('p', 'q')

DecideStep = Callable[[str, int, Evidence], NextStep]


@dataclass(slots=True, frozen=True)
class Rules:
    """Variants and bounds of the model.

    Attributes
    ----------
    checks_fencing : bool
        Whether the target rejects old fencing numbers.
    decide_step : callable
        Decides the next step for an order without an outcome.
    is_incarnation_bound : bool
        Whether an order reaches only the incarnation that it is meant for.
    waits_for_log : bool
        Whether an intent is read back from the log before its order is sent.
    renumbers_orders : bool
        Whether a new lease holder sends the orders of its predecessor under
        its own fencing number.
    max_claims, max_orders, max_incarnations : int
        Upper bounds of the search.
    """

    checks_fencing: bool
    decide_step: DecideStep = next_step
    is_incarnation_bound: bool = True
    waits_for_log: bool = True
    renumbers_orders: bool = False
    max_claims: int = 3
    max_orders: int = 3
    max_incarnations: int = 2


class OrderMessage(NamedTuple):
    """An order on the network; it may be lost, delayed or duplicated."""

    order: Order
    fencing: int
    life: int


class AcceptedOrder(NamedTuple):
    """An order that the engine has accepted, with its outcome."""

    order: Order
    outcome: OrderState = OrderState.pending


class Engine(NamedTuple):
    """The target.

    It accepts loads that exceed its memory, so that faults become visible.
    """

    life: int = 1
    fencing: int = 0
    models: frozenset[str] = frozenset()
    accepted: tuple[AcceptedOrder, ...] = ()

    def outcome(self, order_id: str) -> OrderState:
        """Return the state that the engine reports for an order."""
        for entry in self.accepted:
            if entry.order.order_id == order_id:
                return entry.outcome
        return OrderState.unknown


class Planner(NamedTuple):
    """What a planner is about to do.

    A planner may freeze before it does it.

    Attributes
    ----------
    record : Body or None
        Record to be appended.
    sending : OrderMessage or None
        Order to be handed to the network.
    querying : (Pending, int, Engine) or None
        Order whose state is to be queried, fencing number of the planner's
        lease, and the engine as its report shows it.
    """

    record: records.Body | None = None
    sending: OrderMessage | None = None
    querying: tuple[Pending, int, Engine] | None = None


class World(NamedTuple):
    """Complete state of the model; a step depends on nothing else."""

    table: bytes
    engine: Engine
    planners: tuple[Planner, ...] = (Planner(), Planner())
    network: frozenset[OrderMessage] = frozenset()
    claims: int = 0
    orders: int = 0


def initial_world() -> World:
    """Return the world in which the first planner has recorded the target."""
    engine = Engine(models=frozenset('a'))
    world = World(state.encode_state(state.State()), engine)
    rules = Rules(checks_fencing=False)
    for what in ('p claims', 'p appends', 'p sees', 'p appends'):
        world = dict(steps(world, rules))[what]
    return world


def steps(world: World, rules: Rules) -> Iterator[tuple[str, World]]:
    """Iterate over the possible steps, each with the world that follows."""
    table = state.decode_state(world.table)
    for index, name in enumerate(PLANNERS):
        for what, planner, after in _planner_steps(world, rules, table, index):
            planners = list(after.planners)
            planners[index] = planner
            yield f'{name} {what}', after._replace(planners=tuple(planners))
    yield from _deliveries(world, rules)
    yield from _engine_steps(world, rules)


def _deliveries(world: World, rules: Rules) -> Iterator[tuple[str, World]]:
    for sent in sorted(world.network, key=_sent_key):
        if takes_effect(world.engine, sent, rules):
            engine = _accept(world.engine, sent)
            what = f'arrives {sent.order.order_id}'
            yield what, world._replace(engine=engine)


def _planner_steps(
    world: World,
    rules: Rules,
    table: state.State,
    index: int,
) -> Iterator[tuple[str, Planner, World]]:
    planner = world.planners[index]
    if planner != Planner():
        yield _resume(world, rules, planner)
    elif table.lease.holder == PLANNERS[index]:
        yield from _holder_steps(world, rules, table)
    elif world.claims < rules.max_claims:
        claim = LeaseClaimed(PLANNERS[index], table.lease.fencing)
        after = world._replace(claims=world.claims + 1)
        yield 'claims', Planner(record=claim), after


def _resume(
    world: World,
    rules: Rules,
    planner: Planner,
) -> tuple[str, Planner, World]:
    """Perform the step that the planner was about to do."""
    if planner.record is not None:
        return _append(world, rules, planner.record)
    if planner.sending is not None:
        network = world.network | {planner.sending}
        return 'sends', Planner(), world._replace(network=network)
    assert planner.querying is not None
    return 'asks', _query(world, rules, *planner.querying), world


def _append(
    world: World,
    rules: Rules,
    body: records.Body,
) -> tuple[str, Planner, World]:
    table = state.decode_state(world.table)
    record = records.Record('', '', 0, body)
    state.apply_record(table, table.applied + 1, record)
    after = world._replace(table=state.encode_state(table))
    if not rules.waits_for_log and isinstance(body, OrdersIntended):
        sent = OrderMessage(
            body.orders[0], body.fencing, int(world.engine.life)
        )
        return 'appends', Planner(sending=sent), after
    return 'appends', Planner(), after


def _holder_steps(
    world: World,
    rules: Rules,
    table: state.State,
) -> Iterator[tuple[str, Planner, World]]:
    fencing = table.lease.fencing
    seen = make_seen_record(
        table.memory, {}, fencing, _report(world.engine, rules)
    )
    if seen is not None:
        yield 'sees', Planner(record=seen), world
    if TARGET not in table.memory:
        return
    target = table.memory[TARGET]
    for pending in target.unsettled.values():
        query = (pending, fencing, world.engine)
        yield 'visits', Planner(querying=query), world
    if world.orders < rules.max_orders:
        after = world._replace(orders=world.orders + 1)
        for action in (Action.load, Action.unload):
            for model in MODELS:
                order = Order(
                    str(world.orders),
                    TARGET,
                    target.incarnation,
                    action,
                    model,
                    int(action is Action.load),
                )
                if is_allowed(table.memory, (), order):
                    intent = OrdersIntended(fencing, (order,))
                    planner = Planner(record=intent)
                    yield f'wants {action} {model}', planner, after


def _report(engine: Engine, rules: Rules) -> Report:
    return Report(
        TARGET,
        str(engine.life),
        memory_bytes=MEMORY_SLOTS,
        used_bytes=len(engine.models),
        checks_fencing=rules.checks_fencing,
        fencing=engine.fencing,
        models=tuple(
            ResidentModel(model, 1, 'ready') for model in sorted(engine.models)
        ),
    )


def _query(
    world: World,
    rules: Rules,
    pending: Pending,
    fencing: int,
    reported: Engine,
) -> Planner:
    if reported.life != world.engine.life:
        # The connection ended with the target's process.
        return Planner()
    order = pending.order
    evidence = Evidence(
        str(reported.life),
        rules.checks_fencing,
        reported.fencing,
        world.engine.outcome(order.order_id),
    )
    decision = rules.decide_step(order.incarnation, pending.fencing, evidence)
    if decision.outcome is not None:
        ended = Settlement(TARGET, order.order_id, decision.outcome)
        return Planner(record=OrdersSettled(fencing, (ended,)))
    if decision.step is Step.send:
        number = fencing if rules.renumbers_orders else pending.fencing
        return Planner(sending=OrderMessage(order, number, reported.life))
    return Planner()


def _sent_key(sent: OrderMessage) -> tuple[str, int, int]:
    return sent.order.order_id, sent.fencing, sent.life


def takes_effect(engine: Engine, sent: OrderMessage, rules: Rules) -> bool:
    """Return whether an order would take effect if delivered now."""
    if rules.is_incarnation_bound and sent.life != engine.life:
        return False
    if rules.checks_fencing and sent.fencing < engine.fencing:
        return False
    return engine.outcome(sent.order.order_id) is OrderState.unknown


def _accept(engine: Engine, sent: OrderMessage) -> Engine:
    models = engine.models
    if sent.order.action is Action.load:
        models |= {sent.order.model}
    return engine._replace(
        fencing=max(engine.fencing, sent.fencing),
        models=models,
        accepted=(*engine.accepted, AcceptedOrder(sent.order)),
    )


def _engine_steps(world: World, rules: Rules) -> Iterator[tuple[str, World]]:
    engine = world.engine
    if engine.life < rules.max_incarnations:
        yield 'restarts', world._replace(engine=Engine(engine.life + 1))
    for index, entry in enumerate(engine.accepted):
        if entry.outcome is OrderState.pending:
            for outcome in (OrderState.done, OrderState.failed):
                ended = _end(engine, index, outcome)
                what = f'{outcome} {entry.order.order_id}'
                yield what, world._replace(engine=ended)


def _end(engine: Engine, index: int, outcome: OrderState) -> Engine:
    order = engine.accepted[index].order
    accepted = list(engine.accepted)
    accepted[index] = AcceptedOrder(order, outcome)
    is_kept = (order.action is Action.load) == (outcome is OrderState.done)
    models = engine.models if is_kept else engine.models - {order.model}
    return engine._replace(models=models, accepted=tuple(accepted))


@dataclass(slots=True, frozen=True)
class Fault:
    """A world that violates an invariant, and which one."""

    reason: str
    world: World


def find_fault(world: World, rules: Rules) -> Fault | None:
    """Return the fault of a world, or None if it has none.

    The memory in use, and the memory that orders on the network or in a frozen
    planner may still take, must fit the target. The log must reserve all
    memory that the current incarnation of the target uses or may still take.
    """
    engine = world.engine
    unsent = {
        planner.sending
        for planner in world.planners
        if planner.sending is not None
    }
    late = {
        sent.order.model
        for sent in world.network | unsent
        if sent.order.action is Action.load
        and takes_effect(engine, sent, rules)
    }
    if len(engine.models | late) > MEMORY_SLOTS:
        return Fault('the target may be overcommitted', world)
    target = state.decode_state(world.table).memory.get(TARGET)
    is_same = target is not None and target.incarnation == str(engine.life)
    if is_same and target is not None:
        if reserved_bytes(target) < len(engine.models | late):
            return Fault('the log has reserved too little', world)
    return None
