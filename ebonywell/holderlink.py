"""How hosts and the holder of the lease tell each other of models."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from .adapterloads import Wanted
from .clock import boot_time
from .digests import (
    DemandMessage,
    LoadingMessage,
    LoadRequestMessage,
    Message,
    ResidentMessage,
)
from .fleetdemand import FleetDemand
from .fleetview import FleetView, Peer
from .gossip import Gossip
from .inventory import Inventory, Resident
from .leadership import Leadership
from .modeldemand import ModelKey

# A host that waits for a model asks more often than this.
COMING_LIFE_S = 0.5


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
    serve_want : callable
        Sees to a question where this host is the holder.
    own_coming : callable
        Models with loads under way where this host is the holder.
    holder_name : str
        Of the host that was last heard to give orders.
    coming_at : dict of (str, str) to float
        When the holder last said that a load was under way, by service and
        model.
    """

    name: str
    gossip: Gossip
    fleet: FleetView
    inventory: Inventory
    leadership: Leadership
    demand: FleetDemand
    serve_want: Callable[[Wanted, str], None]
    own_coming: Callable[[], tuple[ModelKey, ...]]
    holder_changed: anyio.Event = field(default_factory=anyio.Event)
    holder_name: str = ''
    coming_at: dict[ModelKey, float] = field(default_factory=dict)

    async def tell_demand(self) -> None:
        """Tell the holder of this host's demand until cancelled."""
        while True:
            with anyio.move_on_after(self.demand.period_s()):
                await self.holder_changed.wait()
            self.holder_changed = anyio.Event()
            holder = self._find()
            if holder is not None:
                message = self.demand.own_message(boot_time())
                self.gossip.send(holder.address, message)

    def note_holder(self, name: str) -> None:
        """Tell a new holder of this host's demand at once."""
        if name != self.holder_name:
            self.holder_name = name
            self.holder_changed.set()

    def ask(self, wanted: Wanted) -> None:
        """Ask the holder for a model or an adapter."""
        if self.leadership.may_order_cached():
            self.serve_want(wanted, self.name)
            return
        holder = self._find()
        if holder is not None:
            message = LoadRequestMessage(
                self.name,
                wanted.service,
                wanted.model,
                wanted.adapter,
                wanted.target,
            )
            self.gossip.send(holder.address, message)

    def has_holder(self) -> bool:
        """Return whether some host gives orders, as far as is known."""
        return self.leadership.may_order_cached() or self._find() is not None

    def is_coming(self, service: str, model: str) -> bool:
        """Return whether a load of a model is under way."""
        if self.leadership.may_order_cached():
            return (service, model) in self.own_coming()
        heard_at = self.coming_at.get((service, model), -math.inf)
        return boot_time() - heard_at < COMING_LIFE_S

    def expire(self, now: float) -> None:
        """Forget what no longer counts."""
        for key, heard_at in list(self.coming_at.items()):
            if now - heard_at >= COMING_LIFE_S:
                self.coming_at.pop(key)
        self.demand.expire(now)

    def take(self, message: Message) -> None:
        """Take a message of another host."""
        match message:
            case DemandMessage():
                self.demand.take(message, boot_time())
            case LoadRequestMessage():
                wanted = Wanted(
                    message.service,
                    message.model,
                    message.adapter,
                    message.target,
                )
                self.serve_want(wanted, message.sender)
            case LoadingMessage():
                key = (message.service, message.model)
                self.coming_at[key] = boot_time()
            case ResidentMessage():
                self._take_resident(message)

    def tell(
        self,
        message: ResidentMessage | LoadingMessage,
        names: tuple[str, ...],
    ) -> None:
        """Tell hosts of a target or a load; all of them if none is named."""
        if not names:
            self.gossip.broadcast(message)
            return
        for name in names:
            peer = self.fleet.peers.get(name)
            if peer is not None:
                self.gossip.send(peer.address, message)

    def _find(self) -> Peer | None:
        """Return the host that gives orders, by the newest word of one."""
        word = self.gossip.fresh_holder(boot_time())
        if word is None or not word.is_ordering:
            return None
        return self.fleet.peers.get(word.name)

    def _take_resident(self, message: ResidentMessage) -> None:
        known = self.inventory.targets.get(message.target)
        if known is None or known.announcement.born != message.born:
            return
        models = {
            model: Resident(model, frozenset(adapters))
            for model, adapters in message.models.items()
        }
        known.confirm(message.order_count, models, boot_time())
