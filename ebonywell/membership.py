"""Which entry hosts there are, and whether this one may be out of date."""

import math
from collections.abc import Callable

import anyio

from . import freshness, registry, wire
from .exceptions import LogOutageError, PeerError
from .freshness import Freshness, Touch
from .hostlist import HostListClient
from .logs import Logger
from .peers import Address, Peers
from .records import Body
from .registry import Registry
from .replica import Replica
from .targets import ListedHost
from .types import HostId, HostState

TICK_S = 0.25
PUT_RETRY_S = 1.0
EXPEL_AFTER_S = 4.0
APPEND_GAP_S = 1.0
RANK_DELAY_S = 2.0
POLL_AFTER_S = 1.0
_ROLE = 'entry'

Listed = Callable[[], tuple[ListedHost, ...]]


class Membership:
    """This host's membership in the fleet.

    Attributes
    ----------
    line : ListedHost
        This host's line in the host list.
    fresh : Freshness
    acks : dict of str to int
        The largest applied offset heard of each life.
    state : HostState
    is_open : bool
        Whether callers may be sent here.
    """

    def __init__(
        self,
        host: HostId,
        line: ListedHost,
        replica: Replica,
        peers: Peers,
        host_list: HostListClient,
        listed: Listed,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.host = host
        self.line = line
        self.replica = replica
        self.peers = peers
        self.host_list = host_list
        self.listed = listed
        self.log = log
        self.clock = clock
        self.fresh = Freshness()
        self.acks: dict[str, int] = {}
        self.state = HostState.live
        self.is_open = False
        self.decider = Decider(str(host), clock)
        peers.heartbeat = self.make_heartbeat
        peers.listed = self._peer_addresses
        peers.add_handler(wire.Heartbeat, self._note_heartbeat)

    async def run(self, ready: Callable[[], None]) -> None:
        """Keep the host list and the registry until cancelled."""
        async with self.host_list, anyio.create_task_group() as group:
            ready()
            group.start_soon(self._keep_line)
            while True:
                await self._keep_registry()
                await anyio.sleep(TICK_S)

    async def stop(self) -> None:
        """Leave the registry and the host list; this host admits no more."""
        self.is_open = False
        name, incarnation = self.host.name, self.host.incarnation
        await self._append(registry.HostLeft(name, incarnation))
        try:
            await self.host_list.delete(name)
        except PeerError as error:
            self.log('host_list_unwritable', reason=str(error))

    def announce(self) -> None:
        """Let callers be sent here, now that the process can serve them."""
        self.is_open = True
        self.peers.beat()

    async def leave(self) -> None:
        """Have this host no longer named to callers; it still serves."""
        self.state = HostState.leaving
        self.peers.beat()
        await self._put_line()

    def is_stale(self, now: float) -> bool:
        """Return whether this host may be out of date and must refuse.

        Parameters
        ----------
        now : float
            By the clock of this process.
        """
        applied = self.replica.state.applied
        freshness.note_read(self.fresh, self.replica.read_at)
        if now - self.fresh.fresh_at < POLL_AFTER_S:
            return freshness.is_stale(self.fresh, now)
        freshness.take_evidence(self.fresh, applied)
        members = self._registry().members.values()
        freshness.poll_majority(
            self.fresh,
            str(self.host),
            members,
            applied,
            now,
        )
        return freshness.is_stale(self.fresh, now)

    def hosts(self) -> dict[str, list[str]]:
        """Return the addresses for callers by availability zone."""
        zones: dict[str, list[str]] = {}
        if self.is_open and self.state == HostState.live:
            zones[self.line.zone] = [self.line.address]
        heard = [
            peer.heartbeat
            for peer in self.peers.known.values()
            if self._is_heard(peer.heard_at)
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
            zone=self.line.zone,
            address=self.line.address,
            peer_address=self.peers.address,
            leaving=not self.is_open or self.state == HostState.leaving,
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
        record = registry.HostExpelled(name, incarnation, confirmed=True)
        return bool(life) and await self._append(record)

    def _registry(self) -> Registry:
        return self.replica.state.registry

    def _is_heard(self, heard_at: float) -> bool:
        return self.clock() - heard_at < EXPEL_AFTER_S

    def _listed_peers(self) -> list[ListedHost]:
        return [
            line
            for line in self.listed()
            if line.role == _ROLE and line.name != self.host.name
        ]

    def _peer_addresses(self) -> list[Address]:
        return [
            Address(line.name, line.peer_address)
            for line in self._listed_peers()
        ]

    def _note_heartbeat(self, sender: HostId, beat: wire.Heartbeat) -> None:
        now = self.clock()
        life = str(sender)
        self.acks[life] = max(self.acks.get(life, -1), beat.applied)
        self.decider.note_heard(life)
        if beat.echo_of == self.host.incarnation and beat.echo <= now:
            touch = Touch(
                beat.echo,
                beat.echo - max(0, beat.fresh_age),
                beat.echo - max(0, beat.log_age),
                beat.applied,
            )
            applied = self.replica.state.applied
            freshness.note_touch(self.fresh, life, touch, applied)

    async def _keep_line(self) -> None:
        while not self.is_open:
            await anyio.sleep(TICK_S)
        while self.state == HostState.live and not await self._put_line():
            await anyio.sleep(PUT_RETRY_S)

    async def _put_line(self) -> bool:
        line = ListedHost(
            self.line.name,
            _ROLE,
            self.line.address,
            self.line.zone,
            self.state,
            self.peers.address,
        )
        try:
            await self.host_list.put(line)
        except PeerError as error:
            self.log('host_list_unwritable', reason=str(error))
            return False
        return True

    async def _keep_registry(self) -> None:
        now = self.clock()
        freshness.forget(self.fresh, now)
        if not self.replica.is_ready or self.state == HostState.leaving:
            return
        self.acks[str(self.host)] = self.replica.state.applied
        record = self._due_record(now)
        if record is not None:
            self.log('registry_change', record=type(record).__name__)
            if not await self._append(record):
                await anyio.sleep(APPEND_GAP_S)

    def _due_record(self, now: float) -> Body | None:
        table = self._registry()
        name, incarnation = self.host.name, self.host.incarnation
        if table.members.get(name) != str(self.host):
            address = self.peers.address
            return registry.HostRegistered(name, incarnation, address)
        if self.is_stale(now):
            return None
        return self.decider.decide(table, self.acks, now)

    async def _append(self, record: Body) -> bool:
        try:
            return (await self.replica.append(record)).counted
        except LogOutageError as outage:
            self.log('registry_unwritable', reason=str(outage.args[0]))
            return False


class Decider:
    """Decides when to expel a host and when to settle an epoch.

    Every member runs one. The one with the least name among those in touch
    writes first and the others only when it fails to, which spares the log
    doubled records.

    Attributes
    ----------
    life : str
    heard : dict of str to float
        When each life was last heard, or first looked for, in seconds.
    epoch : int
        The epoch that the times below are about.
    began_at : float
    agreed_at : float
        Since when the epoch might be settled but for the wait.
    due : Body or None
        The record that is due.
    due_at : float
        Since when.
    """

    def __init__(self, life: str, clock: Callable[[], float]) -> None:
        self.life = life
        self.clock = clock
        self.heard: dict[str, float] = {}
        self.epoch = -1
        self.began_at = math.inf
        self.agreed_at = math.inf
        self.due: Body | None = None
        self.due_at = math.inf

    def note_heard(self, life: str) -> None:
        """Note a heartbeat of a life."""
        self.heard[life] = self.clock()

    def decide(
        self,
        table: Registry,
        acks: dict[str, int],
        now: float,
    ) -> Body | None:
        """Return the record that this host must write now, if any."""
        if table.epoch != self.epoch:
            self.epoch = table.epoch
            self.began_at = now
            self.agreed_at = math.inf
        lives = sorted(table.members.values())
        in_touch = [life for life in lives if self._is_in_touch(life, now)]
        silent = sorted(set(lives) - set(in_touch))
        due: Body | None = None
        if silent and len(in_touch) >= registry.majority(len(lives)):
            name, _, incarnation = silent[0].partition('/')
            due = registry.HostExpelled(name, incarnation)
        elif self._may_settle(table, acks, now):
            due = registry.EpochSettled(table.epoch)
        if due != self.due:
            self.due = due
            self.due_at = now
        rank = sum(life < self.life for life in in_touch)
        return due if now - self.due_at >= rank * RANK_DELAY_S else None

    def _is_in_touch(self, life: str, now: float) -> bool:
        heard_at = self.heard.setdefault(life, now)
        return life == self.life or now - heard_at < EXPEL_AFTER_S

    def _may_settle(
        self,
        table: Registry,
        acks: dict[str, int],
        now: float,
    ) -> bool:
        if table.settled == table.epoch:
            return False
        if registry.may_settle(table, acks):
            self.agreed_at = min(self.agreed_at, now)
            wait_s = freshness.EXPELLED_WAIT_S if registry.may_run(table) else 0
            return now - self.agreed_at >= wait_s
        # Without a majority that knows, wait until no host can run on a
        # majority's word any longer.
        has_all = all(
            acks.get(life, -1) >= table.epoch for life in table.members.values()
        )
        outage_s = freshness.OUTAGE_LIMIT_S + freshness.EXPELLED_WAIT_S
        return has_all and now - self.began_at >= outage_s
