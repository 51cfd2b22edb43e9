"""Brings adapters to engines when callers ask for them."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from .clock import boot_time
from .digests import LoadingMessage, ResidentMessage
from .fleetdemand import FleetDemand
from .inventory import Inventory, KnownTarget
from .loadboard import LoadBoard
from .orderbook import OrderAnswer, OrderTrack
from .ordering import TAKEN, Ordering, resident_message
from .orders import Action
from .routetable import EngineSpec

# An adapter is there that long after its order was accepted.
ADAPTER_S = 0.03
ADAPTER_TRIES = 4
# Orders for adapters of one model wait so long for an engine that carries out
# another order.
ADAPTER_WAIT_S = 1.5
# Between two looks at whether an engine takes orders again.
LOOK_GAP_S = 0.05
# An engine's own report lags by some hundred milliseconds.
REPORT_LAG_S = 0.1


@dataclass(slots=True, frozen=True)
class Wanted:
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

    def tell(
        self,
        message: ResidentMessage | LoadingMessage,
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
    ordering : Ordering
    demand : FleetDemand
    engine_of : callable
        What the engines of a service have in common.
    link : Link
        To the other hosts; set before adapters are asked for.
    askers : dict of Wanted to set of str
        Hosts that wait for an adapter.
    """

    inventory: Inventory
    board: LoadBoard
    ordering: Ordering
    demand: FleetDemand
    engine_of: Callable[[str], EngineSpec | None]
    link: Link = field(init=False)
    askers: dict[Wanted, set[str]] = field(default_factory=dict)

    async def bring(self, wanted: Wanted) -> None:
        """Load an adapter somewhere, and tell the hosts that wait for it."""
        try:
            known = await self._place(wanted)
        finally:
            askers = self.askers.pop(wanted)
        if known is not None:
            self.link.tell(resident_message(known), tuple(askers))

    async def _place(self, wanted: Wanted) -> KnownTarget | None:
        """Return a target that holds an adapter, once there is one."""
        until = boot_time() + ADAPTER_WAIT_S
        for _ in range(ADAPTER_TRIES):
            holders = [
                known
                for known in self._engines_with(wanted)
                if self._has(known, wanted)
                and wanted.target in {'', known.name}
            ]
            if holders:
                return min(holders, key=self._load_of)
            known = await self._find_idle(wanted, until)
            if known is None:
                return None
            if await self._load_adapter(wanted, known):
                return known
        return None

    def _has(self, known: KnownTarget, wanted: Wanted) -> bool:
        track = self.ordering.track(known)
        if not track.is_synced:
            return known.holds(wanted.model, wanted.adapter)
        return _full_name(wanted) in track.adapters

    def _load_of(self, known: KnownTarget) -> int:
        return self.board.total(known.name).held_tokens

    def _engines_with(self, wanted: Wanted) -> Iterator[KnownTarget]:
        now = boot_time()
        for known in self.inventory.of_service(wanted.service):
            if known.holds(wanted.model) and known.is_reachable(now):
                yield known

    async def _find_idle(
        self,
        wanted: Wanted,
        until: float,
    ) -> KnownTarget | None:
        """Return the least loaded engine with the model that takes orders."""
        while boot_time() < until:
            idle = [
                known
                for known in self._engines_with(wanted)
                if not self.ordering.track(known).is_busy
            ]
            named = [one for one in idle if one.name == wanted.target]
            if idle:
                return min(named or idle, key=self._load_of)
            await anyio.sleep(LOOK_GAP_S)
        return None

    async def _load_adapter(
        self,
        wanted: Wanted,
        known: KnownTarget,
    ) -> bool:
        track = self.ordering.track(known)
        async with track.turn:
            name = _full_name(wanted)
            track.asked_at[name] = boot_time()
            if not track.is_synced and not await self.ordering.refresh(known):
                await anyio.sleep(REPORT_LAG_S)
                return False
            if name not in track.adapters:
                if not await self._make_adapter_room(wanted, known, track):
                    return False
                answer = await self.ordering.order(
                    known,
                    track,
                    Action.load_adapter,
                    wanted.model,
                    wanted.adapter,
                )
                if answer not in TAKEN:
                    # One whose answer was lost is given again; the engine
                    # takes only one of the two.
                    track.is_synced = False
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
        engine = self.engine_of(wanted.service)
        if engine is None:
            return False
        if len(track.adapters) < engine.adapter_slots:
            return True
        now = boot_time()
        for name in self.demand.used_adapters(now):
            track.asked_at[name] = now
        in_use = self.demand.models_in_use(known.name)
        oldest = min(
            track.adapters,
            key=lambda one: (
                one in in_use,
                track.asked_at.get(one, -math.inf),
            ),
        )
        model, _, adapter = oldest.partition('/')
        answer = await self.ordering.order(
            known,
            track,
            Action.unload_adapter,
            model,
            adapter,
        )
        known.drop(model, adapter)
        # One that requests still run on goes when they have ended.
        return answer is OrderAnswer.held


def _full_name(wanted: Wanted) -> str:
    return f'{wanted.model}/{wanted.adapter}'
