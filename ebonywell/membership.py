"""Keeps a host registered, and checks whether its state may be stale."""

import math
from collections.abc import Callable

import anyio

from . import freshness, wire
from .decider import EXPEL_AFTER_S, RegistryDecider
from .exceptions import LogOutageError
from .hostlist import ROLE, HostLine
from .logs import Logger
from .peers import Peers
from .records import Body
from .registry import HostExpelled, HostLeft, HostRegistered, Registry
from .replica import Replica
from .targets import ListedHost
from .types import HostId, HostState

TICK_S = 0.25
APPEND_RETRY_S = 1.0
PEER_EVIDENCE_AFTER_S = 1.0

Listed = Callable[[], tuple[ListedHost, ...]]


class Membership:
    """Membership of one host in the fleet.

    Attributes
    ----------
    line : HostLine
        Line of this host in the host list.
    fresh : Freshness
    acks : dict of str to int
        Largest applied offset received from each life.
    is_leaving : bool
    is_open : bool
        Whether callers may be sent to this host.
    was_member : bool
        Whether this incarnation has been registered.
    """

    def __init__(
        self,
        host: HostId,
        line: HostLine,
        replica: Replica,
        peers: Peers,
        listed: Listed,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.host = host
        self.line = line
        self.replica = replica
        self.peers = peers
        self.listed = listed
        self.log = log
        self.clock = clock
        self.fresh = freshness.Freshness()
        self.acks: dict[str, int] = {}
        self.is_leaving = False
        self.is_open = False
        self.was_member = False
        self.decider = RegistryDecider(str(host), clock)
        peers.heartbeat = self.make_heartbeat
        peers.listed = self._listed_peers
        peers.add_handler(wire.Heartbeat, self._note_heartbeat)

    async def run(self, ready: Callable[[], None]) -> None:
        """Maintain the host list and the registry until cancelled."""
        async with self.line, anyio.create_task_group() as group:
            # Peers find this host by its line in the list, and it gets its
            # share only after that.
            group.start_soon(self.line.publish, self.peers.address)
            ready()
            while True:
                await self._keep_registry()
                await anyio.sleep(TICK_S)

    async def stop(self) -> None:
        """Remove this host from the registry and the host list.

        The host admits no more requests.
        """
        self.is_open = False
        name, incarnation = self.host.name, self.host.incarnation
        await self._append(HostLeft(name, incarnation))
        await self.line.remove()

    def announce(self) -> None:
        """Report to the peers that this host is ready to serve callers."""
        self.is_open = True
        self.peers.beat()

    async def leave(self) -> None:
        """Report that this host leaves; it serves but gets no new callers."""
        self.is_leaving = True
        self.peers.beat()
        await self.line.mark_leaving()

    def is_stale(self, now: float) -> bool:
        """Return whether this host may be stale and must reject requests.

        Parameters
        ----------
        now : float
            Time by the clock of this process.
        """
        applied = self.replica.state.applied
        freshness.note_read(self.fresh, self.replica.read_at)
        if now - self.fresh.fresh_at < PEER_EVIDENCE_AFTER_S:
            return freshness.is_stale(self.fresh, now)
        freshness.apply_evidence(self.fresh, applied)
        members = self._registry().members.values()
        freshness.apply_majority(
            self.fresh,
            str(self.host),
            members,
            applied,
            now,
        )
        return freshness.is_stale(self.fresh, now)

    def hosts(self) -> dict[str, list[str]]:
        """Return the addresses of serving hosts by availability zone."""
        now = self.clock()
        zones: dict[str, list[str]] = {}
        if _accepts_requests(self):
            zones[self.line.host.zone] = [self.line.host.address]
        recent = [
            peer.heartbeat
            for peer in self.peers.known.values()
            if now - peer.received_at < EXPEL_AFTER_S
        ]
        for heartbeat in recent:
            if not heartbeat.leaving:
                zones.setdefault(heartbeat.zone, []).append(heartbeat.address)
        if not recent:
            # A host that receives no heartbeats has only the host list.
            for line in self._listed_peers():
                if line.state == HostState.live:
                    zones.setdefault(line.zone, []).append(line.address)
        return {zone: sorted(zones[zone]) for zone in sorted(zones)}

    def make_heartbeat(self, name: str) -> wire.Heartbeat:
        """Return the next heartbeat for the peer with the given name."""
        now = self.clock()
        self.is_stale(now)
        known = self.peers.known.get(name)
        return wire.Heartbeat(
            zone=self.line.host.zone,
            address=self.line.host.address,
            peer_address=self.peers.address,
            leaving=not _accepts_requests(self),
            applied=self.replica.state.applied,
            sent_at=now,
            echo=known.heartbeat.sent_at if known else -math.inf,
            echo_of=known.host.incarnation if known else '',
            fresh_age=now - self.fresh.fresh_at,
            log_age=now - self.fresh.log_at,
        )

    async def confirm_ended(self, name: str) -> bool:
        """Remove a host after an operator has confirmed that it has ended.

        Returns
        -------
        bool
            False if no such host is registered or the log is unavailable.
        """
        life = self._registry().members.get(name, '')
        incarnation = life.partition('/')[2]
        record = HostExpelled(name, incarnation, confirmed=True)
        return bool(life) and await self._append(record)

    def due_record(self, now: float) -> Body | None:
        """Return the registry record that this host is to write now, if any."""
        table = self._registry()
        name, incarnation = self.host.name, self.host.incarnation
        registered = table.members.get(name)
        if registered == str(self.host):
            self.was_member = True
        elif self._may_register(table, registered, now):
            return HostRegistered(name, incarnation, self.peers.address)
        else:
            return None
        if self.is_stale(now):
            return None
        return self.decider.decide(table, self.acks, now)

    def _may_register(
        self,
        table: Registry,
        registered: str | None,
        now: float,
    ) -> bool:
        if not self.was_member:
            return True
        # An expelled life may register again once the expulsion is settled
        # and it would not be expelled at once. A life with a successor may
        # not.
        is_settled = str(self.host) not in table.addresses
        is_in_touch = self.decider.has_majority(table, now)
        return registered is None and is_settled and is_in_touch

    def _registry(self) -> Registry:
        return self.replica.state.registry

    def _listed_peers(self) -> list[ListedHost]:
        return [
            line
            for line in self.listed()
            if line.role == ROLE and line.name != self.host.name
        ]

    def _note_heartbeat(
        self, sender: HostId, heartbeat: wire.Heartbeat
    ) -> None:
        now = self.clock()
        life = str(sender)
        self.acks[life] = max(self.acks.get(life, -1), heartbeat.applied)
        self.decider.note_heartbeat(life)
        if heartbeat.echo_of == self.host.incarnation and heartbeat.echo <= now:
            evidence = freshness.PeerEvidence(
                heartbeat.echo,
                heartbeat.echo - max(0, heartbeat.fresh_age),
                heartbeat.echo - max(0, heartbeat.log_age),
                heartbeat.applied,
            )
            applied = self.replica.state.applied
            freshness.note_evidence(self.fresh, life, evidence, applied)

    async def _keep_registry(self) -> None:
        now = self.clock()
        freshness.expire_evidence(self.fresh, now)
        if not self.replica.is_complete or self.is_leaving:
            return
        self.acks[str(self.host)] = self.replica.state.applied
        record = self.due_record(now)
        if record is not None:
            self.log('registry_change', record=type(record).__name__)
            if not await self._append(record):
                await anyio.sleep(APPEND_RETRY_S)

    async def _append(self, record: Body) -> bool:
        try:
            return (await self.replica.append(record)).took_effect
        except LogOutageError as outage:
            self.log('registry_unwritable', reason=str(outage.args[0]))
            return False


def _accepts_requests(membership: Membership) -> bool:
    # An expelled host rejects requests until it is registered again.
    host = membership.host
    members = membership.replica.state.registry.members
    is_serving = membership.is_open and not membership.is_leaving
    return is_serving and members.get(host.name) == str(host)
