"""Loads adapters onto engines when requests need them."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from .clock import boot_time
from .digests import LoadingMessage, ResidentMessage
from .engineorders import OrderAnswer, OrderTrack
from .fleetdemand import FleetDemand
from .inventory import Inventory, KnownTarget
from .loadboard import LoadBoard
from .ordering import ACCEPTED_ANSWERS, OrderSender, resident_message
from .orders import Action
from .routetable import EngineSpec

# Time from the acceptance of an adapter order until the adapter is usable.
ADAPTER_LOAD_S = 0.03
ADAPTER_ATTEMPTS = 4
# How long an adapter order waits while the model's engines are executing other
# orders.
ADAPTER_WAIT_S = 1.5
# Interval between checks of whether an engine accepts orders again.
POLL_GAP_S = 0.05
# An engine's own report lags by some hundred milliseconds.
REPORT_LAG_S = 0.1


@dataclass(slots=True, frozen=True)
class LoadRequest:
    """A host's request for a model or an adapter that its callers need.

    Attributes
    ----------
    service, model, adapter : str
        The adapter is empty if the model itself is requested.
    target : str
        The target that should load the adapter; empty for any.
    release : str or None
        The release of the targets that count; None for any.
    """

    service: str
    model: str
    adapter: str
    target: str = ''
    release: str | None = None

    def accepts(self, known: KnownTarget) -> bool:
        """Return whether a target runs the release that is needed."""
        return self.release in {None, known.announcement.release}


class Link(Protocol):
    """Interface by which the lease holder notifies the other hosts."""

    def notify_hosts(
        self,
        message: ResidentMessage | LoadingMessage,
        names: tuple[str, ...],
    ) -> None:
        """Notify hosts of a target or a load; all hosts if none is named."""


@dataclass(slots=True)
class AdapterLoads:
    """Loads adapters for the hosts that request them.

    Attributes
    ----------
    inventory : Inventory
    board : LoadBoard
    order_sender : OrderSender
    demand : FleetDemand
    engine_of : callable
        Returns the engine specification of a service.
    link : Link
        Connection to the other hosts; set before adapters are requested.
    waiting_hosts : dict of LoadRequest to set of str
        Hosts that wait for each requested adapter.
    """

    inventory: Inventory
    board: LoadBoard
    order_sender: OrderSender
    demand: FleetDemand
    engine_of: Callable[[str], EngineSpec | None]
    link: Link = field(init=False)
    waiting_hosts: dict[LoadRequest, set[str]] = field(default_factory=dict)

    async def ensure_loaded(self, request: LoadRequest) -> None:
        """Load an adapter unless an engine has it; notify waiting hosts."""
        try:
            known = await self._find_or_load(request)
        finally:
            hosts = self.waiting_hosts.pop(request)
        if known is not None:
            self.link.notify_hosts(resident_message(known), tuple(hosts))

    async def _find_or_load(self, request: LoadRequest) -> KnownTarget | None:
        """Return a target that holds an adapter, loading it if necessary."""
        deadline_at = boot_time() + ADAPTER_WAIT_S
        for _ in range(ADAPTER_ATTEMPTS):
            holding = [
                known
                for known in self._engines_with(request)
                if self._has_adapter(known, request)
                and request.target in {'', known.name}
            ]
            if holding:
                return min(holding, key=self._held_tokens)
            known = await self._wait_for_engine(request, deadline_at)
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
        for known in self.inventory.list_open(request.service):
            is_usable = known.is_reachable(now) and request.accepts(known)
            if is_usable and known.holds(request.model):
                yield known

    async def _wait_for_engine(
        self,
        request: LoadRequest,
        deadline_at: float,
    ) -> KnownTarget | None:
        """Return the least loaded idle engine that holds the model.

        The requested target is preferred. Waits while all engines with the
        model are executing orders.
        """
        while boot_time() < deadline_at:
            idle = [
                known
                for known in self._engines_with(request)
                if not self.order_sender.track(known).is_busy
            ]
            limits = self.order_sender.limits
            idle = [one for one in idle if not limits.is_limited(one)] or idle
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
                    # An order whose answer was lost is sent again; the engine
                    # accepts only one of the two.
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
        """Unload the least recently requested adapter if all slots are used."""
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
        # An adapter in use is unloaded only when its requests have ended.
        return answer is OrderAnswer.held


def _full_name(request: LoadRequest) -> str:
    return f'{request.model}/{request.adapter}'
