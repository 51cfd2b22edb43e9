"""Carries out, on the holder of the lease, what the placement decides."""

import math
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from .clock import boot_time
from .digests import ModelDemand, ResidentMessage
from .exceptions import TransportError
from .inventory import Inventory, KnownTarget
from .leadership import Leadership
from .loadboard import LoadBoard
from .logs import Logger
from .modeldemand import ModelKey
from .moves import Move, Pace
from .orderbook import (
    EngineClient,
    EngineOrder,
    OrderAnswer,
    OrderTrack,
    present_adapters,
    used_bytes,
)
from .orders import Action
from .placement import decide
from .residency import (
    EngineView,
    ModelNotes,
    build_layout,
    reserved_adapter_bytes,
    turnover_rules,
)
from .routetable import Configuration, EngineSpec

# The demand is a few hundred milliseconds old when it comes.
TICK_S = 0.25
# Loads that the weight store serves at full speed side by side.
LOADS_AT_ONCE = 3
# Loads are counted over a window with some tolerance; this stays inside it
# whatever came right before.
RATE_SHARE = 0.98
# Between two looks at whether an order has been carried out.
LOOK_GAP_S = 0.2
# A load that takes longer waits behind others, or the engine has crashed.
LOAD_TIMEOUT_S = 6.0
UNLOAD_TIMEOUT_S = 10.0
UNLOAD_S = 0.1
# After an order that was refused or not answered, the engine's own reports
# lag by some hundred milliseconds.
RETRY_S = 0.4
# An adapter is there that long after its order was accepted.
ADAPTER_S = 0.03
ADAPTER_TRIES = 4
# Orders for adapters of one model wait so long for an engine that carries out
# another order.
ADAPTER_WAIT_S = 1.5


@dataclass(slots=True, frozen=True)
class Wanted:
    """A model or an adapter that some host's callers ask for."""

    service: str
    model: str
    adapter: str


@dataclass(slots=True)
class Provisioner:
    """Loads and unloads models and adapters while this host has the lease.

    Attributes
    ----------
    configuration : callable
        Returns the one in force, None before the first.
    demand : callable
        Returns that of all hosts.
    used_adapters : callable
        Returns those that any host's callers used of late.
    tell : callable
        Sends a message to some hosts, to all if none are named.
    tracks : dict of str to OrderTrack
        By target.
    """

    name: str
    inventory: Inventory
    board: LoadBoard
    leadership: Leadership
    client: EngineClient
    configuration: Callable[[], Configuration | None]
    demand: Callable[[], dict[ModelKey, ModelDemand]]
    used_adapters: Callable[[], set[str]]
    tell: Callable[[ResidentMessage, tuple[str, ...]], Awaitable[None]]
    log: Logger
    tracks: dict[str, OrderTrack] = field(default_factory=dict)
    notes: ModelNotes = field(default_factory=ModelNotes)
    paces: dict[str, Pace] = field(default_factory=dict)
    askers: dict[Wanted, set[str]] = field(default_factory=dict)
    woken: anyio.Event = field(default_factory=anyio.Event)
    group: TaskGroup | None = None
    was_holder: bool = False

    async def run(self) -> None:
        """Decide and order until cancelled."""
        async with anyio.create_task_group() as group:
            self.group = group
            while True:
                is_holder = self.leadership.may_order_adapters()
                self._note_holder(is_holder=is_holder)
                if self.leadership.may_order():
                    self._decide()
                self.woken = anyio.Event()
                with anyio.move_on_after(TICK_S):
                    await self.woken.wait()

    def want(self, wanted: Wanted, asker: str) -> None:
        """See to a model or an adapter that a host asks for."""
        if self.group is None or not self.leadership.may_order_adapters():
            return
        if not wanted.adapter:
            self.woken.set()
            return
        if wanted in self.askers:
            self.askers[wanted].add(asker)
            return
        self.askers[wanted] = {asker}
        self.group.start_soon(self._bring_adapter, wanted)

    # Models

    def _note_holder(self, *, is_holder: bool) -> None:
        if is_holder == self.was_holder:
            return
        self.was_holder = is_holder
        # What another holder ordered since is not in the tracks.
        self.tracks.clear()
        self.paces.clear()
        self.log('orders_begin' if is_holder else 'orders_end')

    def _decide(self) -> None:
        configuration = self.configuration()
        if configuration is None:
            return
        demand = self.demand()
        for service, engine in configuration.engines.items():
            of_service = {
                model: asked
                for (named, model), asked in demand.items()
                if named == service
            }
            self._decide_service(service, engine, of_service)

    def _decide_service(
        self,
        service: str,
        engine: EngineSpec,
        demand: dict[str, ModelDemand],
    ) -> None:
        now = boot_time()
        views = {
            known.name: self._view(known)
            for known in self.inventory.of_service(service)
        }
        if not views:
            return
        layout = build_layout(engine, views.values(), demand, self.notes, now)
        rules = turnover_rules(demand, self.notes, views, now)
        decision = decide(layout, self._pace(service, engine), now, rules)
        for move in decision.moves:
            self._start_move(move, engine)
        waiting = [model for model, asked in demand.items() if asked.waiting]
        if waiting:
            self.log(
                'models_wanted',
                models=','.join(waiting),
                unplaced=','.join(decision.unplaced),
                moves=len(decision.moves),
            )

    def _pace(self, service: str, engine: EngineSpec) -> Pace:
        pace = self.paces.get(service)
        if pace is None:
            # The holder before may have used up what the window allows.
            pace = Pace(
                tokens=0,
                loads_per_s=engine.loads_per_s * RATE_SHARE,
                loads_at_once=LOADS_AT_ONCE,
            )
            self.paces[service] = pace
        return pace

    def _view(self, known: KnownTarget) -> EngineView:
        track = self._track(known)
        return EngineView(
            known,
            track.is_busy,
            frozenset(track.arriving),
            frozenset(track.leaving),
        )

    def _track(self, known: KnownTarget) -> OrderTrack:
        track = self.tracks.get(known.name)
        if track is None or track.life != known.life:
            track = OrderTrack(known.life)
            self.tracks[known.name] = track
        return track

    def _start_move(self, move: Move, engine: EngineSpec) -> None:
        known = self.inventory.targets.get(move.target)
        if known is None or self.group is None:
            return
        track = self._track(known)
        if track.is_busy:
            return
        track.is_busy = True
        moving = (
            track.arriving if move.action is Action.load else track.leaving
        )
        moving.add(move.model)
        self.group.start_soon(self._move, move, known, track, engine)

    async def _move(
        self,
        move: Move,
        known: KnownTarget,
        track: OrderTrack,
        engine: EngineSpec,
    ) -> None:
        try:
            async with track.turn:
                answer = await self._order_model(move, known, engine)
            if answer in {OrderAnswer.accepted, OrderAnswer.held}:
                await self._await_model(move, known, engine)
            else:
                await anyio.sleep(RETRY_S)
        finally:
            track.is_busy = False
            track.arriving.discard(move.model)
            track.leaving.discard(move.model)
            self.woken.set()

    async def _order_model(
        self,
        move: Move,
        known: KnownTarget,
        engine: EngineSpec,
    ) -> OrderAnswer:
        if not await self._refresh(known):
            return OrderAnswer.conflict
        is_load = move.action is Action.load
        if is_load and not _fits(known, engine, move.model):
            self.log('load_does_not_fit', target=known.name, model=move.model)
            return OrderAnswer.refused
        if not is_load:
            # Hosts stop sending it requests for the model before it goes.
            known.drop(move.model, '')
            await self.tell(_resident(known), ())
        return await self._order(known, move.action, move.model, '')

    async def _refresh(self, known: KnownTarget) -> bool:
        """Bring what is known of a target up to date.

        Returns
        -------
        bool
            Whether its report reflects all orders that are known, and it
            carries out no order for a model.
        """
        try:
            report = await self.client.report(known)
        except TransportError as error:
            self.log('report_missing', target=known.name, why=str(error))
            return False
        if report.born != known.said.born:
            return False
        if report.order_count < known.order_count:
            return False
        known.confirm(report.order_count, report.models, boot_time())
        track = self._track(known)
        track.adapters = present_adapters(report)
        track.is_synced = True
        return not report.is_busy

    async def _order(
        self,
        known: KnownTarget,
        action: Action,
        model: str,
        adapter: str,
    ) -> OrderAnswer:
        is_allowed = (
            self.leadership.may_order_adapters()
            if adapter
            else self.leadership.may_order()
        )
        if not is_allowed:
            return OrderAnswer.unproven
        order = EngineOrder(
            action,
            model,
            adapter,
            known.order_count,
            self.name,
            self.leadership.state.fence,
        )
        answer = await self.client.order(known, order)
        self._note_answer(known, order, answer)
        if answer is OrderAnswer.fenced:
            self.leadership.state.note_lost()
        self.log(
            'order_given',
            target=known.name,
            action=action.value,
            model=model,
            adapter=adapter or None,
            after=order.order_count,
            fence=order.fence,
            answer=answer.value,
        )
        return answer

    def _note_answer(
        self,
        known: KnownTarget,
        order: EngineOrder,
        answer: OrderAnswer,
    ) -> None:
        track = self._track(known)
        name = f'{order.model}/{order.adapter}'
        if not _is_counted(order.action, answer):
            # It may have come after orders that are not known here.
            track.is_synced = answer is OrderAnswer.held
            return
        known.order_count = order.order_count + 1
        if order.action is Action.load_adapter:
            track.adapters.add(name)
        elif order.action is Action.unload_adapter:
            track.adapters.discard(name)
        else:
            track.is_synced = False

    async def _await_model(
        self,
        move: Move,
        known: KnownTarget,
        engine: EngineSpec,
    ) -> None:
        """Wait until a model has come or gone, and tell all hosts."""
        is_load = move.action is Action.load
        timeout_s = LOAD_TIMEOUT_S if is_load else UNLOAD_TIMEOUT_S
        await anyio.sleep(_expected_s(move, known, engine))
        with anyio.move_on_after(timeout_s):
            while True:
                # A report that lags does not show the order yet.
                is_idle = await self._refresh(known)
                if is_idle and (move.model in known.models) == is_load:
                    await self.tell(_resident(known), ())
                    return
                await anyio.sleep(LOOK_GAP_S)
        self.log('order_unfinished', target=known.name, model=move.model)

    # Adapters

    async def _bring_adapter(self, wanted: Wanted) -> None:
        try:
            known = await self._place_adapter(wanted)
        finally:
            askers = self.askers.pop(wanted)
        if known is not None:
            await self.tell(_resident(known), tuple(askers))

    async def _place_adapter(self, wanted: Wanted) -> KnownTarget | None:
        """Return a target that holds an adapter, once there is one."""
        until = boot_time() + ADAPTER_WAIT_S
        for _ in range(ADAPTER_TRIES):
            holders = [
                known
                for known in self._engines_with(wanted)
                if known.holds(wanted.model, wanted.adapter)
            ]
            if holders:
                track = self._track(holders[0])
                track.asked_at[_full_name(wanted)] = boot_time()
                return holders[0]
            known = await self._find_idle(wanted, until)
            if known is None:
                return None
            if await self._load_adapter(wanted, known):
                return known
        return None

    def _engines_with(self, wanted: Wanted) -> Iterator[KnownTarget]:
        for known in self.inventory.of_service(wanted.service):
            if known.holds(wanted.model):
                yield known

    async def _find_idle(
        self,
        wanted: Wanted,
        until: float,
    ) -> KnownTarget | None:
        """Return the least loaded engine with the model that takes orders."""
        while boot_time() < until:
            now = boot_time()
            idle = [
                known
                for known in self._engines_with(wanted)
                if not self._track(known).is_busy
            ]
            if idle:
                return min(
                    idle,
                    key=lambda known: self.board.total(
                        known.name,
                        now,
                    ).held_tokens,
                )
            await anyio.sleep(LOOK_GAP_S / 4)
        return None

    async def _load_adapter(
        self,
        wanted: Wanted,
        known: KnownTarget,
    ) -> bool:
        track = self._track(known)
        async with track.turn:
            name = _full_name(wanted)
            track.asked_at[name] = boot_time()
            if not track.is_synced and not await self._refresh(known):
                await anyio.sleep(LOOK_GAP_S / 2)
                return False
            if name not in track.adapters:
                if not await self._make_adapter_room(wanted, known, track):
                    return False
                answer = await self._order(
                    known,
                    Action.load_adapter,
                    wanted.model,
                    wanted.adapter,
                )
                if answer not in {OrderAnswer.accepted, OrderAnswer.held}:
                    return False
            known.add(wanted.model, wanted.adapter)
        await anyio.sleep(ADAPTER_S)
        return True

    async def _make_adapter_room(
        self,
        wanted: Wanted,
        known: KnownTarget,
        track: OrderTrack,
    ) -> bool:
        """Unload the adapter that nobody asked for longest, if need be."""
        configuration = self.configuration()
        if configuration is None:
            return False
        slots = configuration.engines[wanted.service].adapter_slots
        if len(track.adapters) < slots:
            return True
        now = boot_time()
        for name in self.used_adapters():
            track.asked_at[name] = now
        oldest = min(
            track.adapters,
            key=lambda one: track.asked_at.get(one, -math.inf),
        )
        model, _, adapter = oldest.partition('/')
        answer = await self._order(
            known,
            Action.unload_adapter,
            model,
            adapter,
        )
        known.drop(model, adapter)
        return answer in {OrderAnswer.accepted, OrderAnswer.held}


def _is_counted(action: Action, answer: OrderAnswer) -> bool:
    """Return whether an engine counts an order.

    It unloads an unused adapter before it answers, as if that held already.
    """
    if answer is OrderAnswer.held:
        return action is Action.unload_adapter
    return answer is OrderAnswer.accepted


def _full_name(wanted: Wanted) -> str:
    return f'{wanted.model}/{wanted.adapter}'


def _resident(known: KnownTarget) -> ResidentMessage:
    return ResidentMessage(
        known.name,
        known.said.born,
        known.order_count,
        {
            model: tuple(resident.adapters)
            for model, resident in known.models.items()
        },
    )


def _fits(known: KnownTarget, engine: EngineSpec, model: str) -> bool:
    sizes = {name: spec.bytes for name, spec in engine.models.items()}
    used = used_bytes(known.models, sizes, engine.weight_bytes)
    wanted = engine.models[model].bytes + reserved_adapter_bytes(engine)
    return model in known.models or used + wanted <= engine.weight_bytes


def _expected_s(move: Move, known: KnownTarget, engine: EngineSpec) -> float:
    if move.action is not Action.load:
        return UNLOAD_S
    spec = engine.models[move.model]
    is_near = move.model in known.said.near_weights
    return spec.disk_load_s if is_near else spec.load_s
