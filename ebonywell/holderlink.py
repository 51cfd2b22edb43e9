"""How hosts and the holder of the lease tell each other of models."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from .adapterloads import LoadRequest
from .clock import boot_time
from .digests import (
    ComingMessage,
    DemandMessage,
    Message,
    ResidentMessage,
    WantMessage,
)
from .fleetdemand import FleetDemand
from .fleetview import FleetView, Peer
from .gossip import Gossip
from .inventory import Inventory, Resident
from .leadership import Leadership
from .modeldemand import ModelKey

# A host that waits for a model asks more often than this.
LOADING_LIFE_S = 0.5


@dataclass(slots=True)
class HolderLink:
    """Passes questions to the holder of the lease, and its answers on.

    Attributes
    ----------
    name : str
        This host's.
    gossip : Gossip
    fleet : FleetView
    inventory : Inventory
    leadership : Leadership
    demand : FleetDemand
    serve_request : callable
        Sees to a question where this host is the holder.
    list_loading : callable
        Models with loads under way where this host is the holder.
    holder_name : str
        Of the host that was last heard to give orders.
    loading_reported_at : dict of (str, str) to float
        When the holder last said that a load was under way, by service and
        model.
    """

    name: str
    gossip: Gossip
    fleet: FleetView
    inventory: Inventory
    leadership: Leadership
    demand: FleetDemand
    serve_request: Callable[[LoadRequest, str], None]
    list_loading: Callable[[], tuple[ModelKey, ...]]
    holder_changed: anyio.Event = field(default_factory=anyio.Event)
    holder_name: str = ''
    loading_reported_at: dict[ModelKey, float] = field(default_factory=dict)

    async def send_demand(self) -> None:
        """Tell the holder of this host's demand until cancelled."""
        while True:
            with anyio.move_on_after(self.demand.period_s()):
                await self.holder_changed.wait()
            self.holder_changed = anyio.Event()
            holder = self._find_holder()
            if holder is not None:
                message = self.demand.own_message(boot_time())
                self.gossip.send(holder.address, message)

    def note_holder(self, name: str) -> None:
        """Tell a new holder of this host's demand at once."""
        if name != self.holder_name:
            self.holder_name = name
            self.holder_changed.set()

    def request_load(self, request: LoadRequest) -> None:
        """Ask the holder for a model or an adapter."""
        if self.leadership.may_order_near():
            self.serve_request(request, self.name)
            return
        holder = self._find_holder()
        if holder is not None:
            message = WantMessage(
                self.name,
                request.service,
                request.model,
                request.adapter,
                request.target,
            )
            self.gossip.send(holder.address, message)

    def has_holder(self) -> bool:
        """Return whether some host gives orders, as far as is known."""
        return (
            self.leadership.may_order_near() or self._find_holder() is not None
        )

    def is_loading(self, service: str, model: str) -> bool:
        """Return whether a load of a model is under way."""
        if self.leadership.may_order_near():
            return (service, model) in self.list_loading()
        heard_at = self.loading_reported_at.get((service, model), -math.inf)
        return boot_time() - heard_at < LOADING_LIFE_S

    def expire(self, now: float) -> None:
        """Forget what no longer counts."""
        for key, heard_at in list(self.loading_reported_at.items()):
            if now - heard_at >= LOADING_LIFE_S:
                self.loading_reported_at.pop(key)
        self.demand.expire(now)

    def receive(self, message: Message) -> None:
        """Take a message of another host."""
        match message:
            case DemandMessage():
                self.demand.receive(message, boot_time())
            case WantMessage():
                wanted = LoadRequest(
                    message.service,
                    message.model,
                    message.adapter,
                    message.target,
                )
                self.serve_request(wanted, message.sender)
            case ComingMessage():
                key = (message.service, message.model)
                self.loading_reported_at[key] = boot_time()
            case ResidentMessage():
                self._receive_resident(message)

    def notify_hosts(
        self,
        message: ResidentMessage | ComingMessage,
        names: tuple[str, ...],
    ) -> None:
        """Tell hosts of a target or a load; all of them if none is named."""
        if not names:
            self.gossip.tell_all(message)
            return
        for name in names:
            peer = self.fleet.peers.get(name)
            if peer is not None:
                self.gossip.send(peer.address, message)

    def _find_holder(self) -> Peer | None:
        """Return the host that gives orders, by the newest word of one."""
        word = self.gossip.young_word(boot_time())
        if word is None or not word.is_ordering:
            return None
        return self.fleet.peers.get(word.name)

    def _receive_resident(self, message: ResidentMessage) -> None:
        known = self.inventory.targets.get(message.target)
        if known is None or known.said.born != message.born:
            return
        models = {
            model: Resident(model, frozenset(adapters))
            for model, adapters in message.models.items()
        }
        known.confirm(message.order_count, models, boot_time())
