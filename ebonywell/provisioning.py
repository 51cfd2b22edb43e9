"""Decides on model swaps and executes them while this host holds the lease."""

import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from .adapterloads import AdapterLoads, Link, LoadRequest
from .clock import boot_time
from .digests import LoadingMessage, ModelDemand
from .engineorders import OrderAnswer, OrderTrack
from .fleetdemand import LOAD_REQUEST_LIFE_S
from .inventory import Inventory, KnownTarget
from .loading import fits, load_s, reserved_adapter_bytes
from .loadpace import LoadPace, LoadWindow
from .logs import Logger
from .modeldemand import ModelKey
from .modelswaps import (
    MAX_SWAPS_PER_DECISION,
    Budget,
    EnginePool,
    EngineState,
    ModelState,
    Swap,
    count_absent,
    limited_load,
)
from .ordering import ACCEPTED_ANSWERS, OrderSender, resident_message
from .orders import Action
from .pace.pacebook import PaceBook
from .routetable import Configuration, EngineSpec

# Longest interval between decisions; received demand is already a few hundred
# milliseconds old.
MAX_DECISION_GAP_S = 0.25
# Shortest interval between decisions, also when load requests wake the lease
# holder earlier.
MIN_DECISION_GAP_S = 0.06
# How long a new lease holder waits for the demand of half of the hosts before
# it decides on the demand received so far.
DEMAND_WAIT_S = 1.0
# Interval between polls of whether an order has been executed.
POLL_GAP_S = 0.2
# A load that takes longer is queued behind others, or the engine has crashed.
LOAD_TIMEOUT_S = 6.0
# Approximate duration of an unload of a model without requests in flight.
UNLOAD_S = 0.05
# An engine rejects an order while it executes the previous one. An unload of a
# model in use lasts until its streams have ended, so each pause is longer than
# the one before. Without its load, the engine would stay without a model.
BUSY_RETRY_GAP_S = 0.07
BUSY_RETRY_GROWTH = 1.3
MAX_BUSY_RETRY_GAP_S = 0.4
BUSY_ATTEMPTS = 20
# Pause after an order that was rejected or not answered, since the engine's
# own reports lag by some hundred milliseconds.
FAILED_SWAP_PAUSE_S = 0.4
MS_PER_S = 1000
# Outcomes after which an order is sent again. An order whose answer was lost
# may still be executed; the engine then rejects the second one, since both
# carry the same number of previous orders.
_RETRYABLE = frozenset((OrderAnswer.conflict, OrderAnswer.unknown))
# Outcomes after which the order is being executed or may still be.
_MAY_RUN = frozenset((OrderAnswer.accepted, OrderAnswer.unknown))
# Models listed in one log line, the ones in highest demand first.
MAX_LOGGED_MODELS = 8

# Waiting requests for which a model counts that a broken stream needs at its
# release. Nothing else could serve it.
RELEASE_WAITING = 10
# Time for a load, and until all hosts know of it.
RELEASE_LOAD_S = 2.0

NoteAnswer = Callable[[OrderAnswer], None]


def _ignore_answer(answer: OrderAnswer) -> None:
    """Ignore the outcome of an order that is not counted."""


@dataclass(slots=True)
class Provisioner:
    """Loads and unloads models while this host holds the lease.

    Attributes
    ----------
    inventory : Inventory
    order_sender : OrderSender
    adapters : AdapterLoads
    configuration : callable
        Returns the current configuration, None before the first.
    window : LoadWindow
        Window over which loads are counted.
    paces : PaceBook
    link : Link
        Connection to the other hosts; set before `run`.
    requested_at : dict of str to float
        When each model was last requested.
    release_requests : dict of LoadRequest to float
        When each model was last requested at targets of one release.
    load_paces : dict of str to LoadPace
        Limiters of loads from the weight store, by service.
    wake_event : anyio.Event
        Set to start the next decision early.
    task_group : TaskGroup or None
        Runs the swaps and adapter loads; None while `run` is not active.
    holder_since : float or None
        When this host became the lease holder; None while it is not.
    """

    inventory: Inventory
    order_sender: OrderSender
    adapters: AdapterLoads
    configuration: Callable[[], Configuration | None]
    log: Logger
    window: LoadWindow = LoadWindow()
    paces: PaceBook = field(default_factory=PaceBook)
    link: Link = field(init=False)
    requested_at: dict[str, float] = field(default_factory=dict)
    release_requests: dict[LoadRequest, float] = field(default_factory=dict)
    load_paces: dict[str, LoadPace] = field(default_factory=dict)
    wake_event: anyio.Event = field(default_factory=anyio.Event)
    task_group: TaskGroup | None = None
    holder_since: float | None = None

    async def run(self) -> None:
        """Decide on swaps and execute them until cancelled."""
        try:
            async with anyio.create_task_group() as group:
                self.task_group = group
                await self._decide_repeatedly()
        finally:
            self.task_group = None
            self.adapters.waiting_hosts.clear()

    def request_load(self, request: LoadRequest, host: str) -> None:
        """Handle a host's request for a model or an adapter."""
        if not self.order_sender.leadership.may_order_cached():
            return
        if self.task_group is None:
            return
        if not request.adapter:
            if request.release is not None:
                self.release_requests[request] = boot_time()
            key = (request.service, request.model)
            self.adapters.demand.note_load_request(key, host, boot_time())
            self.wake_event.set()
            due_at = self.list_loading().get(key)
            if due_at is not None:
                left_s = max(0, due_at - boot_time())
                message = LoadingMessage(*key, left_s)
                self.link.notify_hosts(message, (host,))
            return
        is_new = request not in self.adapters.waiting_hosts
        self.adapters.waiting_hosts.setdefault(request, set()).add(host)
        if is_new:
            self.task_group.start_soon(self.adapters.ensure_loaded, request)

    def list_loading(self) -> dict[ModelKey, float]:
        """Return when each model that is loading is expected to be loaded.

        Returns
        -------
        dict of (str, str) to float
            Keyed by service and model.
        """
        due_at: dict[ModelKey, float] = {}
        if not self.order_sender.leadership.may_order_cached():
            return due_at
        for name, track in self.order_sender.tracks.items():
            known = self.inventory.targets.get(name)
            if known is None:
                continue
            for model in track.loading:
                key = (known.announcement.service, model)
                first_at = due_at.get(key, math.inf)
                due_at[key] = min(first_at, track.load_due_at)
        return due_at

    async def _decide_repeatedly(self) -> None:
        while True:
            lease = self.order_sender.leadership
            is_holder = lease.may_order_cached()
            self._update_holder(is_holder=is_holder)
            if is_holder and _knows_demand(self):
                self._decide(only_cached=not lease.may_order())
            if not is_holder:
                await anyio.sleep(MAX_DECISION_GAP_S)
                continue
            await anyio.sleep(MIN_DECISION_GAP_S)
            with anyio.move_on_after(MAX_DECISION_GAP_S - MIN_DECISION_GAP_S):
                await self.wake_event.wait()
            self.wake_event = anyio.Event()

    def _update_holder(self, *, is_holder: bool) -> None:
        if is_holder == (self.holder_since is not None):
            return
        self.holder_since = boot_time() if is_holder else None
        self.load_paces.clear()
        self.log('orders_begin' if is_holder else 'orders_end')

    def _decide(self, *, only_cached: bool) -> None:
        configuration = self.configuration()
        if configuration is None:
            return
        demand = self.adapters.demand.total(boot_time())
        for service, engine in configuration.engines.items():
            service_demand = {
                model: model_demand
                for (named, model), model_demand in demand.items()
                if named == service
            }
            pace = self._pace(service)
            if only_cached:
                # Another lease holder may be using up the weight store's rate.
                pace.loads = 0
            self._decide_service(service, engine, service_demand, pace)

    def _decide_service(
        self,
        service: str,
        engine: EngineSpec,
        demand: dict[str, ModelDemand],
        pace: LoadPace,
    ) -> None:
        now = boot_time()
        for request in list_recent(self.release_requests, service, now):
            _load_for_release(self, request, engine, demand, pace)
        reserved = reserved_adapter_bytes(engine)
        engines = [
            self._engine_state(known, engine, reserved, now)
            for known in self.inventory.list_open(service)
            if known.is_reachable(now)
        ]
        pool = EnginePool(engines, self._model_states(engine, demand, now), now)
        budget = Budget(pace.refill(engine, now))
        allowed = budget.loads
        absent = count_absent(pool)
        swaps = pool.decide(budget)
        if swaps or absent:
            self._log_decision(
                pool,
                swaps,
                absent=absent,
                loads_allowed=allowed,
                loads_used=allowed - budget.loads,
                loads_under_way=len(pace.ends) + pace.planned,
                took_s=boot_time() - now,
            )
        for swap in swaps:
            self._start_swap(swap, engine, pace)
        if len(swaps) >= MAX_SWAPS_PER_DECISION:
            self.wake_event.set()

    def _log_decision(
        self,
        pool: EnginePool,
        swaps: list[Swap],
        **inputs: float,
    ) -> None:
        by_demand = sorted(pool.models.values(), key=lambda one: -one.demand)
        self.log(
            'placement_decided',
            demand=','.join(
                f'{one.name}:{one.work:.2f}:{one.waiting}'
                f':{len(pool.engines_with(one.name))}'
                for one in by_demand[:MAX_LOGGED_MODELS]
            ),
            load=max((one.load for one in pool.engines.values()), default=0),
            engines_busy=sum(one.is_busy for one in pool.engines.values()),
            swaps=len(swaps),
            hosts=self.adapters.demand.count_reporting_hosts(),
            **inputs,
        )

    def _pace(self, service: str) -> LoadPace:
        # The bucket starts empty, since the previous lease holder may have used
        # up what the window allows.
        return self.load_paces.setdefault(
            service,
            LoadPace(self.window, boot_time()),
        )

    def _model_states(
        self,
        engine: EngineSpec,
        demand: dict[str, ModelDemand],
        now: float,
    ) -> Iterator[ModelState]:
        for name, spec in engine.models.items():
            model_demand = demand.get(name)
            if model_demand is None:
                requested_at = self.requested_at.get(name, -math.inf)
                yield ModelState(name, spec.bytes, requested_at=requested_at)
                continue
            self.requested_at[name] = now
            work = model_demand.work_ms / MS_PER_S
            yield ModelState(name, spec.bytes, work, model_demand.waiting, now)

    def _engine_state(
        self,
        known: KnownTarget,
        engine: EngineSpec,
        reserved_bytes: int,
        now: float,
    ) -> EngineState:
        track = self.order_sender.track(known)
        held = (known.models.keys() | track.loading) - track.unloading
        used = reserved_bytes
        for present in known.models.keys() | track.loading:
            spec = engine.models.get(present)
            used += spec.bytes if spec else engine.weight_bytes
        for gone in track.loaded_at.keys() - held:
            track.loaded_at.pop(gone)
        # Models loaded before this host gave orders count as loaded long ago.
        loaded_at = now if track.loaded_at else -math.inf
        for kept in held:
            track.loaded_at.setdefault(kept, loaded_at)
        rate = self.order_sender.limits.stated_rate_of(known)
        return EngineState(
            known.name,
            engine.weight_bytes - used,
            {model: track.loaded_at[model] for model in held},
            known.announcement.cached_weights,
            track.is_busy or rate is not None,
            frozenset(self.adapters.demand.models_in_use(known.name)),
            limited_load(rate),
            self.paces.time_factor(known.announcement.service, known.name, now),
        )

    def _start_swap(
        self, swap: Swap, engine: EngineSpec, pace: LoadPace
    ) -> None:
        known = self.inventory.targets.get(swap.target)
        if known is None or self.task_group is None:
            return
        track = self.order_sender.track(known)
        if track.is_busy:
            return
        # Set before the task starts, since the next decision depends on it.
        track.is_busy = True
        track.load_due_at = boot_time() + load_s(swap.load, known, engine)
        self.task_group.start_soon(
            self._execute_swap,
            swap,
            known,
            track,
            engine,
            pace,
        )

    async def _execute_swap(
        self,
        swap: Swap,
        known: KnownTarget,
        track: OrderTrack,
        engine: EngineSpec,
        pace: LoadPace,
    ) -> None:
        with track.swapping(swap):
            with _plan_load(swap, known, engine, pace) as note_load:
                async with track.order_lock:
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
                await anyio.sleep(FAILED_SWAP_PAUSE_S)
        self.wake_event.set()

    async def _order_swap(
        self,
        swap: Swap,
        known: KnownTarget,
        track: OrderTrack,
        engine: EngineSpec,
        note_load: NoteAnswer,
    ) -> bool:
        """Send the orders of a swap; return whether all were accepted."""
        if not await self.order_sender.refresh(known):
            return False
        if not fits(known, engine, swap):
            self.log('load_does_not_fit', target=known.name, model=swap.load)
            return False
        for model in swap.unloads:
            # Hosts stop sending the engine requests for the model before it
            # is unloaded.
            known.drop(model, '')
            known.confirmed_at = boot_time()
            self.link.notify_hosts(resident_message(known), ())
            if not await self._order_in_sequence(
                known, track, Action.unload, model
            ):
                return False
            await anyio.sleep(UNLOAD_S)
        return await self._order_in_sequence(
            known,
            track,
            Action.load,
            swap.load,
            note_load,
        )

    async def _order_in_sequence(
        self,
        known: KnownTarget,
        track: OrderTrack,
        action: Action,
        model: str,
        note_answer: NoteAnswer = _ignore_answer,
    ) -> bool:
        """Send an order, with retries until the previous one was executed."""
        gap_s = BUSY_RETRY_GAP_S
        for _ in range(BUSY_ATTEMPTS):
            answer = await self.order_sender.order(known, track, action, model)
            note_answer(answer)
            if answer in ACCEPTED_ANSWERS:
                return True
            if answer not in _RETRYABLE:
                return False
            await anyio.sleep(gap_s)
            gap_s = min(gap_s * BUSY_RETRY_GROWTH, MAX_BUSY_RETRY_GAP_S)
        return False

    async def _await_swap(
        self,
        swap: Swap,
        known: KnownTarget,
        engine: EngineSpec,
    ) -> None:
        """Wait until a swap has been executed, and notify all hosts.

        A load takes the time configured for its model, unless it is queued
        behind others. The target's own report lags by some hundred
        milliseconds, so hosts are first notified when that time is over.
        """
        duration_s = load_s(swap.load, known, engine)
        self.order_sender.track(known).load_due_at = boot_time() + duration_s
        await anyio.sleep(duration_s)
        known.add(swap.load, '')
        known.confirmed_at = boot_time()
        self.link.notify_hosts(resident_message(known), ())
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            while True:
                await anyio.sleep(POLL_GAP_S)
                if await self.order_sender.refresh(known):
                    break
            self.link.notify_hosts(resident_message(known), ())
            return
        self.log('order_unfinished', target=known.name, model=swap.load)


def _knows_demand(provisioner: Provisioner) -> bool:
    """Return whether the lease holder knows enough demand to decide."""
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
    """Count a load that uses the weight store, once it may have begun."""
    if swap.load in known.announcement.cached_weights:
        yield _ignore_answer
        return
    with pace.reserving(load_s(swap.load, known, engine)) as load:

        def note(answer: OrderAnswer) -> None:
            if answer in _MAY_RUN:
                load.begin(boot_time())

        yield note


def _load_for_release(
    provisioner: Provisioner,
    request: LoadRequest,
    engine: EngineSpec,
    demand: dict[str, ModelDemand],
    pace: LoadPace,
) -> None:
    """Load a model at a target of one release, which resumed streams need."""
    now = boot_time()
    reserved = reserved_adapter_bytes(engine)
    engines = [
        provisioner._engine_state(known, engine, reserved, now)
        for known in provisioner.inventory.list_open(request.service)
        if known.is_reachable(now) and request.accepts(known)
    ]
    # The hosts that ask cannot reach the engines that hold the model, unless
    # it was loaded just now.
    loaded_at = [one.models.get(request.model, -math.inf) for one in engines]
    if now - max(loaded_at, default=-math.inf) < RELEASE_LOAD_S:
        return
    engines = [one for one in engines if request.model not in one.models]
    waiting = ModelDemand(request.service, request.model, 0, RELEASE_WAITING)
    models = provisioner._model_states(
        engine, {**demand, request.model: waiting}, now
    )
    pool = EnginePool(engines, models, now)
    for swap in pool.decide(Budget(pace.refill(engine, now))):
        if swap.load == request.model:
            provisioner._start_swap(swap, engine, pace)


def list_recent(
    requested_at: dict[LoadRequest, float], service: str, now: float
) -> list[LoadRequest]:
    """Return a service's recent load requests, and drop all older ones."""
    for request, at in list(requested_at.items()):
        if now - at >= LOAD_REQUEST_LIFE_S:
            requested_at.pop(request)
    return [one for one in requested_at if one.service == service]
