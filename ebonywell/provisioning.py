"""Carries out, on the holder of the lease, what the placement decides."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from .adapterloads import AdapterLoads, Link, Wanted
from .clock import boot_time
from .digests import LoadingMessage, ModelDemand
from .inventory import Inventory, KnownTarget
from .loading import fits, load_s, reserved_adapter_bytes
from .loadpace import LoadPace, LoadWindow
from .logs import Logger
from .orderbook import OrderAnswer, OrderTrack
from .ordering import TAKEN, Ordering, resident_message
from .orders import Action
from .routetable import Configuration, EngineSpec
from .turnover import (
    SWAPS_AT_ONCE,
    Budget,
    EngineState,
    Fleet,
    ModelState,
    Swap,
    count_absent,
)

# The demand is a few hundred milliseconds old when it comes.
TICK_S = 0.25
# A host that asks for a model wakes the holder, though not more often.
MIN_TICK_S = 0.06
# A new holder that has not heard of the demand of half of the hosts by then
# decides by what it knows.
DEMAND_WAIT_S = 1.0
# Between two looks at whether an order has been carried out.
LOOK_GAP_S = 0.2
# A load that takes longer waits behind others, or the engine has crashed.
LOAD_TIMEOUT_S = 6.0
# An unload of a model that no request uses takes about as long.
UNLOAD_S = 0.05
# While the order before it is carried out, an order is refused; an unload of
# a model in use takes a few of these pauses.
BUSY_GAP_S = 0.07
BUSY_TRIES = 20
# After an order that was refused or not answered, the engine's own reports
# lag by some hundred milliseconds.
RETRY_S = 0.4
MS_PER_S = 1000
# After these an order is given again. One whose answer was lost may still be
# carried out, but then the engine refuses the second, as it names the same
# number of orders before it.
_PASSING = frozenset((OrderAnswer.conflict, OrderAnswer.unknown))
# An order with such an answer is being carried out, or may be yet.
_MAY_RUN = frozenset((OrderAnswer.accepted, OrderAnswer.unknown))
# Of the models that callers ask for most, in one line of the log.
LOGGED_MODELS = 8

NoteAnswer = Callable[[OrderAnswer], None]


def _ignore_answer(answer: OrderAnswer) -> None:
    """Count nothing."""


@dataclass(slots=True)
class Provisioner:
    """Loads and unloads models while this host has the lease.

    Attributes
    ----------
    inventory : Inventory
    ordering : Ordering
    adapters : AdapterLoads
    configuration : callable
        Returns the one in force, None before the first.
    window : LoadWindow
        Over what loads are counted.
    link : Link
        To the other hosts; set before it runs.
    asked_at : dict of str to float
        When each model was last asked for.
    paces : dict of str to LoadPace
        By service.
    holder_since : float or None
        Since when this host gives the orders.
    """

    inventory: Inventory
    ordering: Ordering
    adapters: AdapterLoads
    configuration: Callable[[], Configuration | None]
    log: Logger
    window: LoadWindow = LoadWindow()
    link: Link = field(init=False)
    asked_at: dict[str, float] = field(default_factory=dict)
    paces: dict[str, LoadPace] = field(default_factory=dict)
    woken: anyio.Event = field(default_factory=anyio.Event)
    group: TaskGroup | None = None
    holder_since: float | None = None

    async def run(self) -> None:
        """Decide and order until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                await self._decide_often()
        finally:
            self.group = None
            self.adapters.askers.clear()

    def want(self, wanted: Wanted, asker: str) -> None:
        """See to a model or an adapter that a host asks for."""
        if not self.ordering.leadership.may_order_cached():
            return
        if self.group is None:
            return
        if not wanted.adapter:
            key = (wanted.service, wanted.model)
            self.adapters.demand.note_want(key, asker, boot_time())
            self.woken.set()
            if key in self.list_coming():
                message = LoadingMessage(wanted.service, wanted.model)
                self.link.tell(message, (asker,))
            return
        is_new = wanted not in self.adapters.askers
        self.adapters.askers.setdefault(wanted, set()).add(asker)
        if is_new:
            self.group.start_soon(self.adapters.bring, wanted)

    def list_coming(self) -> tuple[tuple[str, str], ...]:
        """Return the services and models with loads under way."""
        if not self.ordering.leadership.may_order_cached():
            return ()
        pairs = {
            (known.announcement.service, model)
            for name, track in self.ordering.tracks.items()
            if (known := self.inventory.targets.get(name)) is not None
            for model in track.arriving
        }
        return tuple(pairs)

    async def _decide_often(self) -> None:
        while True:
            lease = self.ordering.leadership
            is_holder = lease.may_order_cached()
            self._note_holder(is_holder=is_holder)
            if is_holder and _knows_demand(self):
                self._decide(only_near=not lease.may_order())
            if not is_holder:
                await anyio.sleep(TICK_S)
                continue
            await anyio.sleep(MIN_TICK_S)
            with anyio.move_on_after(TICK_S - MIN_TICK_S):
                await self.woken.wait()
            self.woken = anyio.Event()

    def _note_holder(self, *, is_holder: bool) -> None:
        if is_holder == (self.holder_since is not None):
            return
        self.holder_since = boot_time() if is_holder else None
        self.paces.clear()
        self.log('orders_begin' if is_holder else 'orders_end')

    def _decide(self, *, only_near: bool) -> None:
        configuration = self.configuration()
        if configuration is None:
            return
        demand = self.adapters.demand.total(boot_time())
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
        reserved = reserved_adapter_bytes(engine)
        engines = [
            self._view(known, engine, reserved, now)
            for known in self.inventory.of_service(service)
            if known.is_reachable(now)
        ]
        fleet = Fleet(engines, self._view_models(engine, demand, now), now)
        budget = Budget(pace.refill(engine, now))
        allowed = budget.loads
        absent = count_absent(fleet)
        swaps = fleet.decide(budget)
        if swaps or absent:
            self._note_decision(
                fleet,
                swaps,
                absent=absent,
                loads_allowed=allowed,
                loads_used=allowed - budget.loads,
                loads_under_way=len(pace.ends) + pace.planned,
                took_s=boot_time() - now,
            )
        for swap in swaps:
            self._start(swap, engine, pace)
        if len(swaps) >= SWAPS_AT_ONCE:
            self.woken.set()

    def _note_decision(
        self,
        fleet: Fleet,
        swaps: list[Swap],
        **inputs: float,
    ) -> None:
        asked = sorted(fleet.models.values(), key=lambda one: -one.demand)
        self.log(
            'placement_decided',
            demand=','.join(
                f'{one.name}:{one.work:.2f}:{one.waiting}'
                f':{len(fleet.holders(one.name))}'
                for one in asked[:LOGGED_MODELS]
            ),
            load=max((one.load for one in fleet.engines.values()), default=0),
            engines_busy=sum(one.is_busy for one in fleet.engines.values()),
            swaps=len(swaps),
            hosts=self.adapters.demand.count_heard(),
            **inputs,
        )

    def _pace(self, service: str) -> LoadPace:
        # The holder before may have used up what the window allows.
        return self.paces.setdefault(
            service,
            LoadPace(self.window, boot_time()),
        )

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
        reserved_bytes: int,
        now: float,
    ) -> EngineState:
        track = self.ordering.track(known)
        held = (known.models.keys() | track.arriving) - track.leaving
        used = reserved_bytes
        for present in known.models.keys() | track.arriving:
            spec = engine.models.get(present)
            used += spec.bytes if spec else engine.weight_bytes
        for gone in track.since.keys() - held:
            track.since.pop(gone)
        # What was there before this host gave orders came long ago.
        came_at = now if track.since else -math.inf
        for kept in held:
            track.since.setdefault(kept, came_at)
        return EngineState(
            known.name,
            engine.weight_bytes - used,
            {model: track.since[model] for model in held},
            known.announcement.cached_weights,
            track.is_busy,
            frozenset(self.adapters.demand.models_in_use(known.name)),
        )

    def _start(self, swap: Swap, engine: EngineSpec, pace: LoadPace) -> None:
        known = self.inventory.targets.get(swap.target)
        if known is None or self.group is None:
            return
        track = self.ordering.track(known)
        if track.is_busy:
            return
        # Before the task begins, for the next decision counts with it.
        track.is_busy = True
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
        with track.swapping(swap):
            with _plan_load(swap, known, engine, pace) as note_load:
                async with track.turn:
                    is_ordered = await self._order_swap(
                        swap,
                        known,
                        track,
                        engine,
                        note_load,
                    )
            if is_ordered:
                await self._await_swap(swap, known, engine)
            else:
                await anyio.sleep(RETRY_S)
        self.woken.set()

    async def _order_swap(
        self,
        swap: Swap,
        known: KnownTarget,
        track: OrderTrack,
        engine: EngineSpec,
        note_load: NoteAnswer,
    ) -> bool:
        """Give the orders of a swap, and return whether all were taken."""
        if not await self.ordering.refresh(known):
            return False
        if not fits(known, engine, swap):
            self.log('load_does_not_fit', target=known.name, model=swap.load)
            return False
        for model in swap.unloads:
            # Hosts stop sending it requests for the model before it goes.
            known.drop(model, '')
            known.confirmed_at = boot_time()
            self.link.tell(resident_message(known), ())
            if not await self._order_next(known, track, Action.unload, model):
                return False
            await anyio.sleep(UNLOAD_S)
        return await self._order_next(
            known,
            track,
            Action.load,
            swap.load,
            note_load,
        )

    async def _order_next(
        self,
        known: KnownTarget,
        track: OrderTrack,
        action: Action,
        model: str,
        note_answer: NoteAnswer = _ignore_answer,
    ) -> bool:
        """Give an order once the one before it has been carried out."""
        for _ in range(BUSY_TRIES):
            answer = await self.ordering.order(known, track, action, model)
            note_answer(answer)
            if answer in TAKEN:
                return True
            if answer not in _PASSING:
                return False
            await anyio.sleep(BUSY_GAP_S)
        return False

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
        await anyio.sleep(load_s(swap.load, known, engine))
        known.add(swap.load, '')
        known.confirmed_at = boot_time()
        self.link.tell(resident_message(known), ())
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            while True:
                await anyio.sleep(LOOK_GAP_S)
                if await self.ordering.refresh(known):
                    break
            self.link.tell(resident_message(known), ())
            return
        self.log('order_unfinished', target=known.name, model=swap.load)


def _knows_demand(provisioner: Provisioner) -> bool:
    """Return whether enough hosts have told a new holder of theirs."""
    if provisioner.adapters.demand.knows_half():
        return True
    since = provisioner.holder_since
    return since is not None and boot_time() - since >= DEMAND_WAIT_S


@contextmanager
def _plan_load(
    swap: Swap,
    known: KnownTarget,
    engine: EngineSpec,
    pace: LoadPace,
) -> Iterator[NoteAnswer]:
    """Count a load that asks the weight store, once it may have begun."""
    if swap.load in known.announcement.cached_weights:
        yield _ignore_answer
        return
    with pace.planning(load_s(swap.load, known, engine)) as load:

        def note(answer: OrderAnswer) -> None:
            if answer in _MAY_RUN:
                load.begin(boot_time())

        yield note
