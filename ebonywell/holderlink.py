"""Messages about models between hosts and the lease holder."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from .adapterloads import LoadRequest
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

# Time after which a report that a model is loading expires; a host that waits
# for the model repeats its load request more often.
LOADING_LIFE_S = 0.5


@dataclass(slots=True)
class HolderLink:
    """Sends load requests to the lease holder and handles its messages.

    Attributes
    ----------
    name : str
        Name of this host.
    gossip : Gossip
    fleet : FleetView
    inventory : Inventory
    leadership : Leadership
    demand : FleetDemand
    serve_request : callable
        Handles a load request if this host is the lease holder.
    list_loading : callable
        Returns when each model that is loading is expected to be loaded, if
        this host is the lease holder.
    holder_changed : anyio.Event
        Set when the lease passes to another host.
    holder_name : str
        Name of the host that was last reported to give orders.
    loading_reported_at : dict of (str, str) to float
        When the lease holder last reported that a model is loading, by
        service and model.
    load_due_at : dict of (str, str) to float
        When that load is expected to end, if the lease holder said so.
    """

    name: str
    gossip: Gossip
    fleet: FleetView
    inventory: Inventory
    leadership: Leadership
    demand: FleetDemand
    serve_request: Callable[[LoadRequest, str], None]
    list_loading: Callable[[], dict[ModelKey, float]]
    holder_changed: anyio.Event = field(default_factory=anyio.Event)
    holder_name: str = ''
    loading_reported_at: dict[ModelKey, float] = field(default_factory=dict)
    load_due_at: dict[ModelKey, float] = field(default_factory=dict)

    async def send_demand(self) -> None:
        """Send this host's demand to the lease holder until cancelled."""
        while True:
            with anyio.move_on_after(self.demand.period_s()):
                await self.holder_changed.wait()
            self.holder_changed = anyio.Event()
            holder = self._find_holder()
            if holder is not None:
                message = self.demand.own_message(boot_time())
                self.gossip.send(holder.address, message)

    def note_holder(self, name: str) -> None:
        """Record the lease holder; a new one is sent the demand at once."""
        if name != self.holder_name:
            self.holder_name = name
            self.holder_changed.set()

    def request_load(self, request: LoadRequest) -> None:
        """Request a model or an adapter from the lease holder."""
        if self.leadership.may_order_cached():
            self.serve_request(request, self.name)
            return
        holder = self._find_holder()
        if holder is not None:
            message = LoadRequestMessage(
                self.name,
                request.service,
                request.model,
                request.adapter,
                request.target,
                request.release,
            )
            self.gossip.send(holder.address, message)

    def has_holder(self) -> bool:
        """Return whether this host knows of a lease holder."""
        return (
            self.leadership.may_order_cached()
            or self._find_holder() is not None
        )

    def is_loading(self, service: str, model: str) -> bool:
        """Return whether a model is loading."""
        if self.leadership.may_order_cached():
            return (service, model) in self.list_loading()
        reported_at = self.loading_reported_at.get((service, model), -math.inf)
        return boot_time() - reported_at < LOADING_LIFE_S

    def load_left_s(self, service: str, model: str) -> float:
        """Return the expected time until a model is loaded, 0 if unknown."""
        due_at = self.load_due_at
        if self.leadership.may_order_cached():
            due_at = self.list_loading()
        return max(0, due_at.get((service, model), 0) - boot_time())

    def expire(self, now: float) -> None:
        """Drop expired reports of loading models and expired demand."""
        for key, reported_at in list(self.loading_reported_at.items()):
            if now - reported_at >= LOADING_LIFE_S:
                self.loading_reported_at.pop(key)
                self.load_due_at.pop(key, None)
        self.demand.expire(now)

    def receive(self, message: Message) -> None:
        """Handle a message from another host."""
        match message:
            case DemandMessage():
                self.demand.receive(message, boot_time())
            case LoadRequestMessage():
                request = LoadRequest(
                    message.service,
                    message.model,
                    message.adapter,
                    message.target,
                    message.release,
                )
                self.serve_request(request, message.sender)
            case LoadingMessage():
                key = (message.service, message.model)
                self.loading_reported_at[key] = boot_time()
                self.load_due_at[key] = boot_time() + message.left_s
            case ResidentMessage():
                self._receive_resident(message)

    def notify_hosts(
        self,
        message: ResidentMessage | LoadingMessage,
        names: tuple[str, ...],
    ) -> None:
        """Notify hosts of a target or a load; all hosts if none is named."""
        if not names:
            self.gossip.broadcast(message)
            return
        for name in names:
            peer = self.fleet.peers.get(name)
            if peer is not None:
                self.gossip.send(peer.address, message)

    def _find_holder(self) -> Peer | None:
        """Return the host that gives orders, by the newest holder report."""
        report = self.gossip.fresh_holder(boot_time())
        if report is None or not report.is_ordering:
            return None
        return self.fleet.peers.get(report.name)

    def _receive_resident(self, message: ResidentMessage) -> None:
        known = self.inventory.targets.get(message.target)
        if known is None or known.announcement.born != message.born:
            return
        models = {
            model: Resident(model, frozenset(adapters))
            for model, adapters in message.models.items()
        }
        known.confirm(message.order_count, models, boot_time())
