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
from .orderbook import (
    EngineClient,
    EngineOrder,
    OrderAnswer,
    OrderTrack,
    present_adapters,
    used_bytes,
)
from .orders import Action
from .routetable import Configuration, EngineSpec
from .turnover import Budget, EngineState, Fleet, ModelState, Swap

# The demand is a few hundred milliseconds old when it comes.
TICK_S = 0.25
# A host that asks for a model wakes the holder, though not more often.
MIN_TICK_S = 0.06
# Loads that the weight store serves at full speed side by side.
LOADS_AT_ONCE = 3
# Loads are counted over a window with some tolerance; this stays inside it
# whatever came right before.
RATE_SHARE = 0.98
# Between two looks at whether an order has been carried out.
LOOK_GAP_S = 0.2
# A load that takes longer waits behind others, or the engine has crashed.
LOAD_TIMEOUT_S = 6.0
# While the order before it is carried out, an order is refused; an unload of
# a model that no request uses takes a few of these pauses.
BUSY_GAP_S = 0.07
BUSY_TRIES = 20
# After an order that was refused or not answered, the engine's own reports
# lag by some hundred milliseconds.
RETRY_S = 0.4
# An adapter is there that long after its order was accepted.
ADAPTER_S = 0.03
ADAPTER_TRIES = 4
# Orders for adapters of one model wait so long for an engine that carries out
# another order.
ADAPTER_WAIT_S = 1.5
MS_PER_S = 1000
# Of the models that callers ask for most, in one line of the log.
LOGGED_MODELS = 8
_TAKEN = frozenset((OrderAnswer.accepted, OrderAnswer.held))


@dataclass(slots=True)
class LoadPace:
    """The loads that the weight store may be asked for.

    Attributes
    ----------
    loads : float
        That may start now.
    refilled_at : float
        In seconds.
    under_way : int
    """

    refilled_at: float
    loads: float = 0
    under_way: int = 0

    def refill(self, loads_per_s: float, now: float) -> int:
        """Return how many loads may start now."""
        earned = (now - self.refilled_at) * loads_per_s * RATE_SHARE
        self.loads = min(self.loads + earned, LOADS_AT_ONCE)
        self.refilled_at = now
        return min(int(self.loads), LOADS_AT_ONCE - self.under_way)


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
    asked_at: dict[str, float] = field(default_factory=dict)
    paces: dict[str, LoadPace] = field(default_factory=dict)
    askers: dict[Wanted, set[str]] = field(default_factory=dict)
    woken: anyio.Event = field(default_factory=anyio.Event)
    group: TaskGroup | None = None
    was_holder: bool = False

    async def run(self) -> None:
        """Decide and order until cancelled."""
        async with anyio.create_task_group() as group:
            self.group = group
            while True:
                is_holder = self.leadership.may_order_near()
                self._note_holder(is_holder=is_holder)
                if is_holder:
                    self._decide(only_near=not self.leadership.may_order())
                await anyio.sleep(MIN_TICK_S)
                with anyio.move_on_after(TICK_S - MIN_TICK_S):
                    await self.woken.wait()
                self.woken = anyio.Event()

    def want(self, wanted: Wanted, asker: str) -> None:
        """See to a model or an adapter that a host asks for."""
        if self.group is None or not self.leadership.may_order_near():
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

    def _decide(self, *, only_near: bool) -> None:
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
            pace = self._pace(service)
            if only_near:
                # Another holder may ask the weight store for its part.
                pace.loads = 0
            self._decide_service(service, engine, of_service, pace)

    def _decide_service(
        self,
        service: str,
        engine: EngineSpec,
        demand: dict[str, ModelDemand],
        pace: LoadPace,
    ) -> None:
        now = boot_time()
        engines = [
            self._view(known, engine, now)
            for known in self.inventory.of_service(service)
        ]
        fleet = Fleet(engines, self._view_models(engine, demand, now), now)
        budget = Budget(pace.refill(engine.loads_per_s, now))
        swaps = fleet.decide(budget)
        if swaps:
            self._note_decision(fleet, swaps)
        for swap in swaps:
            self._start(swap, engine, pace)

    def _note_decision(self, fleet: Fleet, swaps: list[Swap]) -> None:
        asked = sorted(fleet.models.values(), key=lambda one: -one.demand)
        self.log(
            'placement_decided',
            demand=','.join(
                f'{one.name}:{one.work:.2f}:{one.waiting}'
                f':{len(fleet.holders(one.name))}'
                for one in asked[:LOGGED_MODELS]
            ),
            load=max(one.load for one in fleet.engines.values()),
            swaps=len(swaps),
        )

    def _pace(self, service: str) -> LoadPace:
        # The holder before may have used up what the window allows.
        return self.paces.setdefault(service, LoadPace(boot_time()))

    def _view_models(
        self,
        engine: EngineSpec,
        demand: dict[str, ModelDemand],
        now: float,
    ) -> Iterator[ModelState]:
        for name, spec in engine.models.items():
            asked = demand.get(name)
            if asked is None:
                asked_at = self.asked_at.get(name, -math.inf)
                yield ModelState(name, spec.bytes, asked_at=asked_at)
                continue
            self.asked_at[name] = now
            work = asked.work_ms / MS_PER_S
            yield ModelState(name, spec.bytes, work, asked.waiting, now)

    def _view(
        self,
        known: KnownTarget,
        engine: EngineSpec,
        now: float,
    ) -> EngineState:
        track = self._track(known)
        held = (known.models.keys() | track.arriving) - track.leaving
        used = reserved_adapter_bytes(engine)
        for model in known.models.keys() | track.arriving:
            spec = engine.models.get(model)
            used += spec.bytes if spec else engine.weight_bytes
        for gone in track.since.keys() - held:
            track.since.pop(gone)
        for model in held:
            track.since.setdefault(model, now)
        return EngineState(
            known.name,
            engine.weight_bytes - used,
            {model: track.since[model] for model in held},
            known.said.near_weights,
            track.is_busy,
        )

    def _track(self, known: KnownTarget) -> OrderTrack:
        track = self.tracks.get(known.name)
        if track is None or track.life != known.life:
            track = OrderTrack(known.life)
            self.tracks[known.name] = track
        return track

    def _start(self, swap: Swap, engine: EngineSpec, pace: LoadPace) -> None:
        known = self.inventory.targets.get(swap.target)
        if known is None or self.group is None:
            return
        track = self._track(known)
        if track.is_busy:
            return
        track.is_busy = True
        track.leaving.update(swap.unloads)
        track.arriving.add(swap.load)
        self.group.start_soon(
            self._carry_out,
            swap,
            known,
            track,
            engine,
            pace,
        )

    async def _carry_out(
        self,
        swap: Swap,
        known: KnownTarget,
        track: OrderTrack,
        engine: EngineSpec,
        pace: LoadPace,
    ) -> None:
        is_far = swap.load not in known.said.near_weights
        pace.loads -= is_far
        pace.under_way += is_far
        try:
            async with track.turn:
                is_ordered = await self._order_swap(swap, known, engine)
            if is_ordered:
                await self._await_swap(swap, known, engine)
            else:
                await anyio.sleep(RETRY_S)
        finally:
            pace.under_way -= is_far
            track.is_busy = False
            track.leaving.clear()
            track.arriving.clear()
            self.woken.set()

    async def _order_swap(
        self,
        swap: Swap,
        known: KnownTarget,
        engine: EngineSpec,
    ) -> bool:
        """Give the orders of a swap, and return whether all were taken."""
        if not await self._refresh(known):
            return False
        if not _fits(known, engine, swap):
            self.log('load_does_not_fit', target=known.name, model=swap.load)
            return False
        for model in swap.unloads:
            # Hosts stop sending it requests for the model before it goes.
            known.drop(model, '')
            known.confirmed_at = boot_time()
            await self.tell(_resident(known), ())
            if not await self._order_next(known, Action.unload, model):
                return False
        return await self._order_next(known, Action.load, swap.load)

    async def _order_next(
        self,
        known: KnownTarget,
        action: Action,
        model: str,
    ) -> bool:
        """Give an order once the one before it has been carried out."""
        for _ in range(BUSY_TRIES):
            answer = await self._order(known, action, model, '')
            if answer is not OrderAnswer.conflict:
                return answer in _TAKEN
            await anyio.sleep(BUSY_GAP_S)
        return False

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
        is_near = action is not Action.load or model in known.said.near_weights
        is_allowed = (
            self.leadership.may_order_near()
            if is_near
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

    async def _await_swap(
        self,
        swap: Swap,
        known: KnownTarget,
        engine: EngineSpec,
    ) -> None:
        """Wait until a swap has been carried out, and tell all hosts.

        A load takes the time that its model states, unless it waits behind
        others; the target's own report is some hundred milliseconds old.
        """
        await anyio.sleep(_load_s(swap.load, known, engine))
        known.add(swap.load, '')
        known.confirmed_at = boot_time()
        await self.tell(_resident(known), ())
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            while True:
                await anyio.sleep(LOOK_GAP_S)
                if await self._refresh(known):
                    break
            await self.tell(_resident(known), ())
            return
        self.log('order_unfinished', target=known.name, model=swap.load)

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
                    key=lambda known: (
                        self.board.total(
                            known.name,
                            now,
                        ).held_tokens
                    ),
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
                if answer not in _TAKEN:
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
        return answer in _TAKEN


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


def reserved_adapter_bytes(engine: EngineSpec) -> int:
    """Return the memory that adapters of any models may take."""
    largest = max(
        (
            spec.adapter_bytes
            for spec in engine.models.values()
            if spec.adapters
        ),
        default=0,
    )
    return largest * engine.adapter_slots


def _fits(known: KnownTarget, engine: EngineSpec, swap: Swap) -> bool:
    sizes = {name: spec.bytes for name, spec in engine.models.items()}
    left = {
        model: resident
        for model, resident in known.models.items()
        if model not in swap.unloads
    }
    used = used_bytes(left, sizes, engine.weight_bytes)
    wanted = engine.models[swap.load].bytes + reserved_adapter_bytes(engine)
    return swap.load not in left and used + wanted <= engine.weight_bytes


def _load_s(model: str, known: KnownTarget, engine: EngineSpec) -> float:
    spec = engine.models[model]
    if model in known.said.memory_weights:
        return spec.memory_load_s
    if model in known.said.disk_weights:
        return spec.disk_load_s
    return spec.load_s
