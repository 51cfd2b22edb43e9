"""How hosts and the holder of the lease tell each other of models."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from .adapterloads import Wanted
from .clock import boot_time
from .digests import (
    Digest,
    Message,
    ModelDemand,
    ResidentMessage,
    WantMessage,
)
from .fleetview import FleetView
from .gossip import Gossip
from .inventory import Inventory, Resident
from .leadership import Leadership
from .modeldemand import DemandBook, ModelKey, add_up

Coming = tuple[tuple[str, str], ...]


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
    demand : DemandBook
        Of this host.
    serve_want : callable
        Sees to a question where this host is the holder.
    own_coming : callable
        Models with loads under way where this host is the holder.
    outbox : list of Wanted
        Questions that are to be asked.
    """

    name: str
    gossip: Gossip
    fleet: FleetView
    inventory: Inventory
    leadership: Leadership
    demand: DemandBook
    serve_want: Callable[[Wanted, str], None]
    own_coming: Callable[[], Coming]
    outbox: list[Wanted] = field(default_factory=list)
    asked: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Pass questions on until cancelled."""
        while True:
            await self.asked.wait()
            self.asked = anyio.Event()
            wants = tuple(self.outbox)
            self.outbox.clear()
            for wanted in wants:
                await self._pass_on(wanted)

    def ask(self, wanted: Wanted) -> None:
        """Ask the holder for a model or an adapter."""
        self.outbox.append(wanted)
        self.asked.set()

    def has_holder(self) -> bool:
        """Return whether some host gives orders, as far as is known."""
        return self.leadership.may_order_near() or self._find() is not None

    def list_coming(self) -> Coming:
        """Return the services and models with loads under way."""
        if self.leadership.may_order_near():
            return self.own_coming()
        holder = self._find()
        return () if holder is None else holder.coming

    def take(self, message: Message) -> None:
        """Take a message of another host."""
        match message:
            case WantMessage():
                wanted = Wanted(
                    message.service,
                    message.model,
                    message.adapter,
                    message.target,
                )
                self.serve_want(wanted, message.sender)
            case ResidentMessage():
                self._take_resident(message)

    async def tell(
        self,
        message: ResidentMessage,
        names: tuple[str, ...],
    ) -> None:
        """Tell hosts what a target holds; all of them if none is named."""
        if not names:
            await self.gossip.tell_all(message)
            return
        for name in names:
            peer = self.fleet.peers.get(name)
            if peer is not None:
                await self.gossip.send(peer.address, message)

    def total_demand(self) -> dict[ModelKey, ModelDemand]:
        """Return the demand of all hosts in touch."""
        now = boot_time()
        snapshots = [one.demand for one in self.fleet.heard(now)]
        snapshots.append(self.demand.snapshot(now))
        return add_up(snapshots)

    def used_adapters(self) -> set[str]:
        """Return the adapters that any host's callers used of late."""
        now = boot_time()
        used = set(self.demand.used_adapters(now))
        for digest in self.fleet.heard(now):
            used.update(digest.adapters)
        return used

    def count_heard(self) -> int:
        """Return of how many hosts the demand is known, this one included."""
        return 1 + sum(1 for _ in self.fleet.heard(boot_time()))

    def _find(self) -> Digest | None:
        holders = [
            one for one in self.fleet.heard(boot_time()) if one.is_ordering
        ]
        return max(holders, key=lambda one: one.fence, default=None)

    async def _pass_on(self, wanted: Wanted) -> None:
        if self.leadership.may_order_near():
            self.serve_want(wanted, self.name)
            return
        holder = self._find()
        if holder is not None:
            message = WantMessage(
                self.name,
                wanted.service,
                wanted.model,
                wanted.adapter,
                wanted.target,
            )
            await self.gossip.send(holder.address, message)

    def _take_resident(self, message: ResidentMessage) -> None:
        known = self.inventory.targets.get(message.target)
        if known is None or known.said.born != message.born:
            return
        models = {
            model: Resident(model, frozenset(adapters))
            for model, adapters in message.models.items()
        }
        known.confirm(message.order_count, models, boot_time())
