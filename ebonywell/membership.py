"""Which entry hosts there are, and whether this one may be out of date."""

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
    """Keeps one host's membership in the fleet.

    Attributes
    ----------
    line : HostLine
        This host's line in the host list.
    fresh : Freshness
    acks : dict of str to int
        The largest applied offset heard of each life.
    is_leaving : bool
    is_open : bool
        Whether callers may be sent here.
    was_member : bool
        Whether this life has been registered.
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
        """Keep the host list and the registry until cancelled."""
        async with self.line, anyio.create_task_group() as group:
            # The peers must find this host before it can get its share.
            group.start_soon(self.line.publish, self.peers.address)
            ready()
            while True:
                await self._keep_registry()
                await anyio.sleep(TICK_S)

    async def stop(self) -> None:
        """Leave the registry and the host list; this host admits no more."""
        self.is_open = False
        name, incarnation = self.host.name, self.host.incarnation
        await self._append(HostLeft(name, incarnation))
        await self.line.remove()

    def announce(self) -> None:
        """Let callers be sent here, now that the process can serve them."""
        self.is_open = True
        self.peers.beat()

    async def leave(self) -> None:
        """Have this host no longer named to callers; it still serves."""
        self.is_leaving = True
        self.peers.beat()
        await self.line.mark_leaving()

    def is_stale(self, now: float) -> bool:
        """Return whether this host may be out of date and must refuse.

        Parameters
        ----------
        now : float
            By the clock of this process.
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
        """Return the addresses for callers by availability zone."""
        now = self.clock()
        zones: dict[str, list[str]] = {}
        if _accepts_requests(self):
            zones[self.line.host.zone] = [self.line.host.address]
        heard = [
            peer.heartbeat
            for peer in self.peers.known.values()
            if now - peer.received_at < EXPEL_AFTER_S
        ]
        for beat in heard:
            if not beat.leaving:
                zones.setdefault(beat.zone, []).append(beat.address)
        if not heard:
            # Cut off from its peers, a host knows only the host list.
            for line in self._listed_peers():
                if line.state == HostState.live:
                    zones.setdefault(line.zone, []).append(line.address)
        return {zone: sorted(zones[zone]) for zone in sorted(zones)}

    def make_heartbeat(self, name: str) -> wire.Heartbeat:
        """Return the heartbeat for a peer."""
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
        """Remove a host whose process an operator knows to have ended.

        Returns
        -------
        bool
            False if no such host is registered or the log is down.
        """
        life = self._registry().members.get(name, '')
        incarnation = life.partition('/')[2]
        record = HostExpelled(name, incarnation, confirmed=True)
        return bool(life) and await self._append(record)

    def due_record(self, now: float) -> Body | None:
        """Return the record of the registry that this host must write now."""
        table = self._registry()
        name, incarnation = self.host.name, self.host.incarnation
        present = table.members.get(name)
        if present == str(self.host):
            self.was_member = True
        elif self._may_register(table, present, now):
            return HostRegistered(name, incarnation, self.peers.address)
        else:
            return None
        if self.is_stale(now):
            return None
        return self.decider.decide(table, self.acks, now)

    def _may_register(
        self,
        table: Registry,
        present: str | None,
        now: float,
    ) -> bool:
        if not self.was_member:
            return True
        # An expelled life cannot come back before that is settled, nor while
        # it would be expelled again; one with a successor never can.
        is_settled = str(self.host) not in table.addresses
        is_heard = self.decider.has_majority(table, now)
        return present is None and is_settled and is_heard

    def _registry(self) -> Registry:
        return self.replica.state.registry

    def _listed_peers(self) -> list[ListedHost]:
        return [
            line
            for line in self.listed()
            if line.role == ROLE and line.name != self.host.name
        ]

    def _note_heartbeat(self, sender: HostId, beat: wire.Heartbeat) -> None:
        now = self.clock()
        life = str(sender)
        self.acks[life] = max(self.acks.get(life, -1), beat.applied)
        self.decider.note_heartbeat(life)
        if beat.echo_of == self.host.incarnation and beat.echo <= now:
            touch = freshness.PeerEvidence(
                beat.echo,
                beat.echo - max(0, beat.fresh_age),
                beat.echo - max(0, beat.log_age),
                beat.applied,
            )
            applied = self.replica.state.applied
            freshness.note_evidence(self.fresh, life, touch, applied)

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
            return (await self.replica.append(record)).counted
        except LogOutageError as outage:
            self.log('registry_unwritable', reason=str(outage.args[0]))
            return False


def _accepts_requests(membership: Membership) -> bool:
    # A host that was expelled refuses calls until it is registered again.
    host = membership.host
    members = membership.replica.state.registry.members
    is_serving = membership.is_open and not membership.is_leaving
    return is_serving and members.get(host.name) == str(host)
