"""Brings adapters to engines when callers ask for them."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from .clock import boot_time
from .digests import ComingMessage, ResidentMessage
from .engineorders import OrderAnswer, OrderTrack
from .fleetdemand import FleetDemand
from .inventory import Inventory, KnownTarget
from .loadboard import LoadBoard
from .ordering import ACCEPTED_ANSWERS, OrderSender, resident_message
from .orders import Action
from .routetable import EngineSpec

# An adapter is there that long after its order was accepted.
ADAPTER_LOAD_S = 0.03
ADAPTER_ATTEMPTS = 4
# Orders for adapters of one model wait so long for an engine that carries out
# another order.
ADAPTER_WAIT_S = 1.5
# Between two looks at whether an engine takes orders again.
POLL_GAP_S = 0.05
# An engine's own report lags by some hundred milliseconds.
REPORT_LAG_S = 0.1


@dataclass(slots=True, frozen=True)
class LoadRequest:
    """A model or an adapter that some host's callers ask for.

    Attributes
    ----------
    service, model, adapter : str
        The adapter is empty for a model.
    target : str
        Where an adapter is wanted; empty for anywhere.
    """

    service: str
    model: str
    adapter: str
    target: str = ''


class Link(Protocol):
    """How the holder of the lease tells the other hosts."""

    def notify_hosts(
        self,
        message: ResidentMessage | ComingMessage,
        names: tuple[str, ...],
    ) -> None:
        """Tell hosts of a target or a load; all of them if none is named."""


@dataclass(slots=True)
class AdapterLoads:
    """Orders adapters for the hosts that ask for them.

    Attributes
    ----------
    inventory : Inventory
    board : LoadBoard
    order_sender : OrderSender
    demand : FleetDemand
    engine_of : callable
        What the engines of a service have in common.
    link : Link
        To the other hosts; set before adapters are asked for.
    waiting_hosts : dict of LoadRequest to set of str
        Hosts that wait for an adapter.
    """

    inventory: Inventory
    board: LoadBoard
    order_sender: OrderSender
    demand: FleetDemand
    engine_of: Callable[[str], EngineSpec | None]
    link: Link = field(init=False)
    waiting_hosts: dict[LoadRequest, set[str]] = field(default_factory=dict)

    async def ensure_loaded(self, request: LoadRequest) -> None:
        """Load an adapter somewhere, and tell the hosts that wait for it."""
        try:
            known = await self._find_or_load(request)
        finally:
            askers = self.waiting_hosts.pop(request)
        if known is not None:
            self.link.notify_hosts(resident_message(known), tuple(askers))

    async def _find_or_load(self, request: LoadRequest) -> KnownTarget | None:
        """Return a target that holds an adapter, once there is one."""
        until = boot_time() + ADAPTER_WAIT_S
        for _ in range(ADAPTER_ATTEMPTS):
            holders = [
                known
                for known in self._engines_with(request)
                if self._has_adapter(known, request)
                and request.target in {'', known.name}
            ]
            if holders:
                return min(holders, key=self._held_tokens)
            known = await self._wait_for_engine(request, until)
            if known is None:
                return None
            if await self._load_adapter(request, known):
                return known
        return None

    def _has_adapter(self, known: KnownTarget, request: LoadRequest) -> bool:
        track = self.order_sender.track(known)
        if not track.is_synced:
            return known.holds(request.model, request.adapter)
        return _full_name(request) in track.adapters

    def _held_tokens(self, known: KnownTarget) -> int:
        return self.board.total(known.name).held_tokens

    def _engines_with(self, request: LoadRequest) -> Iterator[KnownTarget]:
        now = boot_time()
        for known in self.inventory.of_service(request.service):
            if known.holds(request.model) and known.is_reachable(now):
                yield known

    async def _wait_for_engine(
        self,
        request: LoadRequest,
        until: float,
    ) -> KnownTarget | None:
        """Return the least loaded engine with the model that takes orders."""
        while boot_time() < until:
            idle = [
                known
                for known in self._engines_with(request)
                if not self.order_sender.track(known).is_busy
            ]
            named = [one for one in idle if one.name == request.target]
            if idle:
                return min(named or idle, key=self._held_tokens)
            await anyio.sleep(POLL_GAP_S)
        return None

    async def _load_adapter(
        self,
        request: LoadRequest,
        known: KnownTarget,
    ) -> bool:
        track = self.order_sender.track(known)
        async with track.order_lock:
            name = _full_name(request)
            track.requested_at[name] = boot_time()
            if not track.is_synced and not await self.order_sender.refresh(
                known
            ):
                await anyio.sleep(REPORT_LAG_S)
                return False
            if name not in track.adapters:
                if not await self._free_adapter_slot(request, known, track):
                    return False
                answer = await self.order_sender.order(
                    known,
                    track,
                    Action.load_adapter,
                    request.model,
                    request.adapter,
                )
                if answer not in ACCEPTED_ANSWERS:
                    # One whose answer was lost is given again; the engine
                    # takes only one of the two.
                    track.is_synced = False
                    return False
            known.add(request.model, request.adapter)
        await anyio.sleep(ADAPTER_LOAD_S)
        return True

    async def _free_adapter_slot(
        self,
        request: LoadRequest,
        known: KnownTarget,
        track: OrderTrack,
    ) -> bool:
        """Unload the adapter that nobody asked for longest, if need be."""
        engine = self.engine_of(request.service)
        if engine is None:
            return False
        if len(track.adapters) < engine.adapter_slots:
            return True
        now = boot_time()
        for name in self.demand.recent_adapters(now):
            track.requested_at[name] = now
        in_use = self.demand.models_in_use(known.name)
        oldest = min(
            track.adapters,
            key=lambda one: (
                one in in_use,
                track.requested_at.get(one, -math.inf),
            ),
        )
        model, _, adapter = oldest.partition('/')
        answer = await self.order_sender.order(
            known,
            track,
            Action.unload_adapter,
            model,
            adapter,
        )
        known.drop(model, adapter)
        # One that requests still run on goes when they have ended.
        return answer is OrderAnswer.held


def _full_name(request: LoadRequest) -> str:
    return f'{request.model}/{request.adapter}'
