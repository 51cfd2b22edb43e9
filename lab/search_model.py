"""Two planners, one target and a network that delivers orders as it likes.

Each step is one that the real parts take between two points at which a process
may freeze. Tables, evidence and filters are the product's own code; what is
modelled is only who acts next, what arrives, and what the target holds.
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
    """What the search may vary.

    Attributes
    ----------
    checks_fencing : bool
        Whether the target refuses old fencing numbers.
    decide_step : callable
        Decides about an order without an outcome.
    is_incarnation_bound : bool
        Whether an order reaches only the life of the target that it is for.
    waits_for_log : bool
        Whether an intent is read back before its order is sent.
    renumbers_orders : bool
        Whether a successor sends its predecessor's orders under its own
        fencing number.
    max_claims, max_orders, max_incarnations : int
        Bounds of the search.
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
    """An order on the network; it may arrive never, late or many times."""

    order: Order
    fencing: int
    life: int


class AcceptedOrder(NamedTuple):
    """What has become of an order that the engine has taken."""

    order: Order
    outcome: OrderState = OrderState.pending


class Engine(NamedTuple):
    """The target. It takes what it is told, so that a fault shows."""

    life: int = 1
    fencing: int = 0
    models: frozenset[str] = frozenset()
    accepted: tuple[AcceptedOrder, ...] = ()

    def outcome(self, order_id: str) -> OrderState:
        """Return what the engine says of an order's id."""
        for fate in self.accepted:
            if fate.order.order_id == order_id:
                return fate.outcome
        return OrderState.unknown


class Planner(NamedTuple):
    """What a planner holds between two steps, if it is frozen there.

    Attributes
    ----------
    record : Body or None
        About to be appended.
    sending : OrderMessage or None
        About to be handed to the network.
    asking : (Pending, int, Engine) or None
        An order whose outcome it is about to ask, its fencing number, and
        the engine as the report showed it.
    """

    record: records.Body | None = None
    sending: OrderMessage | None = None
    querying: tuple[Pending, int, Engine] | None = None


class World(NamedTuple):
    """All that a step depends on."""

    table: bytes
    engine: Engine
    planners: tuple[Planner, ...] = (Planner(), Planner())
    network: frozenset[OrderMessage] = frozenset()
    claims: int = 0
    orders: int = 0


def initial_world() -> World:
    """Return the world once the first planner knows the target."""
    engine = Engine(models=frozenset('a'))
    world = World(state.encode_state(state.State()), engine)
    rules = Rules(checks_fencing=False)
    for what in ('p claims', 'p appends', 'p sees', 'p appends'):
        world = dict(steps(world, rules))[what]
    return world


def steps(world: World, rules: Rules) -> Iterator[tuple[str, World]]:
    """Iterate over what may happen next, with what then is."""
    table = state.decode_state(world.table)
    for index, name in enumerate(PLANNERS):
        for what, planner, after in _act(world, rules, table, index):
            planners = list(after.planners)
            planners[index] = planner
            yield f'{name} {what}', after._replace(planners=tuple(planners))
    yield from _arrivals(world, rules)
    yield from _engine_steps(world, rules)


def _arrivals(world: World, rules: Rules) -> Iterator[tuple[str, World]]:
    for sent in sorted(world.network, key=_sent_key):
        if takes_effect(world.engine, sent, rules):
            engine = _take(world.engine, sent)
            what = f'arrives {sent.order.order_id}'
            yield what, world._replace(engine=engine)


def _act(
    world: World,
    rules: Rules,
    table: state.State,
    index: int,
) -> Iterator[tuple[str, Planner, World]]:
    planner = world.planners[index]
    if planner != Planner():
        yield _go_on(world, rules, planner)
    elif table.lease.holder == PLANNERS[index]:
        yield from _lead(world, rules, table)
    elif world.claims < rules.max_claims:
        claim = LeaseClaimed(PLANNERS[index], table.lease.fencing)
        after = world._replace(claims=world.claims + 1)
        yield 'claims', Planner(record=claim), after


def _go_on(
    world: World,
    rules: Rules,
    planner: Planner,
) -> tuple[str, Planner, World]:
    """Do what the planner was about to do when it froze."""
    if planner.record is not None:
        return _append(world, rules, planner.record)
    if planner.sending is not None:
        network = world.network | {planner.sending}
        return 'sends', Planner(), world._replace(network=network)
    assert planner.querying is not None
    return 'asks', _ask(world, rules, *planner.querying), world


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


def _lead(
    world: World,
    rules: Rules,
    table: state.State,
) -> Iterator[tuple[str, Planner, World]]:
    fencing = table.lease.fencing
    sighting = make_seen_record(
        table.memory, {}, fencing, _report(world.engine, rules)
    )
    if sighting is not None:
        yield 'sees', Planner(record=sighting), world
    if TARGET not in table.memory:
        return
    target = table.memory[TARGET]
    for pending in target.unsettled.values():
        visit = (pending, fencing, world.engine)
        yield 'visits', Planner(querying=visit), world
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


def _ask(
    world: World,
    rules: Rules,
    pending: Pending,
    fencing: int,
    reported: Engine,
) -> Planner:
    if reported.life != world.engine.life:
        # The connection ended with the process.
        return Planner()
    order = pending.order
    evidence = Evidence(
        str(reported.life),
        rules.checks_fencing,
        reported.fencing,
        world.engine.outcome(order.order_id),
    )
    judged = rules.decide_step(order.incarnation, pending.fencing, evidence)
    if judged.outcome is not None:
        ended = Settlement(TARGET, order.order_id, judged.outcome)
        return Planner(record=OrdersSettled(fencing, (ended,)))
    if judged.step is Step.send:
        number = fencing if rules.renumbers_orders else pending.fencing
        return Planner(sending=OrderMessage(order, number, reported.life))
    return Planner()


def _sent_key(sent: OrderMessage) -> tuple[str, int, int]:
    return sent.order.order_id, sent.fencing, sent.life


def takes_effect(engine: Engine, sent: OrderMessage, rules: Rules) -> bool:
    """Return whether an order that arrives now would take effect."""
    if rules.is_incarnation_bound and sent.life != engine.life:
        return False
    if rules.checks_fencing and sent.fencing < engine.fencing:
        return False
    return engine.outcome(sent.order.order_id) is OrderState.unknown


def _take(engine: Engine, sent: OrderMessage) -> Engine:
    models = engine.models
    if sent.order.action is Action.load:
        models |= {sent.order.model}
    return engine._replace(
        fencing=max(engine.fencing, sent.fencing),
        models=models,
        fates=(*engine.accepted, AcceptedOrder(sent.order)),
    )


def _engine_steps(world: World, rules: Rules) -> Iterator[tuple[str, World]]:
    engine = world.engine
    if engine.life < rules.max_incarnations:
        yield 'restarts', world._replace(engine=Engine(engine.life + 1))
    for index, fate in enumerate(engine.accepted):
        if fate.outcome is OrderState.pending:
            for outcome in (OrderState.done, OrderState.failed):
                ended = _end(engine, index, outcome)
                what = f'{outcome} {fate.order.order_id}'
                yield what, world._replace(engine=ended)


def _end(engine: Engine, index: int, outcome: OrderState) -> Engine:
    order = engine.accepted[index].order
    fates = list(engine.accepted)
    fates[index] = AcceptedOrder(order, outcome)
    is_kept = (order.action is Action.load) == (outcome is OrderState.done)
    models = engine.models if is_kept else engine.models - {order.model}
    return engine._replace(models=models, fates=tuple(fates))


@dataclass(slots=True, frozen=True)
class Fault:
    """A world that must not be, and what is wrong with it."""

    reason: str
    world: World


def find_fault(world: World, rules: Rules) -> Fault | None:
    """Return what is wrong with a world, if anything.

    The memory in use, and all that orders on the network or in a frozen
    planner's hands may still take, must fit the target. The log must know of
    all that the target of that life has in use.
    """
    engine = world.engine
    in_hand = {
        planner.sending
        for planner in world.planners
        if planner.sending is not None
    }
    late = {
        sent.order.model
        for sent in world.network | in_hand
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
