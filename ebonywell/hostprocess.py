"""Puts the services of a host together and runs them to a planned stop."""

import random
import signal
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass

import anyio
import msgspec

from .clock import boot_time
from .digests import (
    Digest,
    LoadShare,
    Message,
    ModelDemand,
    ResidentMessage,
    WantMessage,
)
from .exceptions import LogServiceError, RecordError
from .fleetview import FleetView
from .following import Feed, Follower
from .gateway import Gateway
from .gossip import Gossip
from .health import HealthBook
from .hostsettings import HostSettings
from .inbound import InboundCall, RejectionError
from .intake import Intake
from .inventory import Announcement, Inventory, KnownTarget, Resident
from .leadership import Leadership, LeaseState
from .loadboard import LoadBoard
from .logs import Logger
from .metrics import Metrics
from .modeldemand import DemandBook, ModelKey, add_up
from .orderbook import EngineClient
from .prefixes import PrefixBook
from .provisioning import Provisioner, Wanted
from .proxying import Proxy, TargetFormat, Verdict
from .retries import WindowBudget
from .routetable import Configuration, WorkspaceLimit
from .selection import Choice
from .sharedlimits import SharedLimits, Summary, charge_of
from .sharedstore import KeyedRecord, SharedStore
from .targeting import Targeting
from .upstream import ConnectionPool
from .wants import Wants

# The configuration is read with a long wait: its news come at once, and each
# read that waited in vain is a proof that no key was withdrawn.
CONFIG_WAIT_S = 1.5
# Targets write several records a second; reading them in groups this far
# apart keeps the price of the calls low and the news within their bound.
TARGETS_PACE_S = 0.8
TARGETS_WAIT_S = 1.5
HOUSEKEEPING_S = 0.1
# Callers keep a directory's answer for that long, some three times as long.
DIRECTORY_TTL_S = 1.0
# For how long after the signal to stop new connections are taken: callers
# that keep an old answer still come.
LINGER_S = 3.2
# What is left of the grace period when requests that still run are cut.
STOP_MARGIN_S = 0.6
# All hosts together must keep the slack; hosts may join while others have
# used theirs.
SLACK_SHARE = 0.7
RATIO_SHARE = 0.95
# With so many hosts the slack is divided before any other is known.
LEAST_FLEET = 8
# Hosts that start together do not all come back to the store at once.
JOIN_RETRY_S = 0.3
LEASE_PART = 0
HOSTS_PART = 1
SUMMARY_PART = 2
SUMMARY_KEY = 'limits'
_TOO_MANY = 429


class HostRecord(msgspec.Struct, frozen=True):
    """A host as the store lists it."""

    address: str


@dataclass(slots=True, frozen=True)
class Translators:
    """What differs from platform to platform.

    Attributes
    ----------
    configuration_topic, configuration_key : str
    decode_configuration : callable
        Raises `RecordError`.
    targets_topic : str
    decode_announcement : callable
        Raises `RecordError`.
    own_topic : str
        For the lease and the list of hosts.
    target_format : TargetFormat
    engines : EngineClient
    """

    configuration_topic: str
    configuration_key: str
    decode_configuration: Callable[[bytes], Configuration]
    targets_topic: str
    decode_announcement: Callable[[str, bytes], Announcement]
    own_topic: str
    target_format: TargetFormat
    engines: EngineClient


class HostProcess:
    """One host and all that it knows.

    Attributes
    ----------
    settings : HostSettings
    gateway : Gateway
        The request path.
    life : int or None
        The store's offset of this start, None before it is listed.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: SharedStore,
        translators: Translators,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.translators = translators
        self.log = log
        self.rng = rng
        self.life: int | None = None
        self.stopping = anyio.Event()
        self.metrics = Metrics()
        self.intake = Intake(rng, settings.bounds.revoke_s)
        self.inventory = Inventory()
        self.board = LoadBoard()
        self.health = HealthBook()
        self.demand = DemandBook()
        self.pool = ConnectionPool()
        self.budgets: dict[str, WindowBudget] = {}
        self.fleet = FleetView(settings.name, self.board)
        self.limits = SharedLimits(settings.bounds.quota_window_s, self.fleet)
        self.fleet.note_restart = self.limits.note_restart
        self.former_lives: dict[str, int] = {}
        port = settings.first_inner_port
        self.address = f'{settings.ip}:{port}'
        self.gossip = Gossip(
            self.address,
            self.fleet,
            self._make_digest,
            self._note_digest,
            log,
            rng,
        )
        self.gossip.handlers[WantMessage] = self._take_want
        self.gossip.handlers[ResidentMessage] = self._take_resident
        self.leadership = self._make_leadership()
        self.provisioner = self._make_provisioner()
        self.wants = Wants(self.inventory, self._has_holder, self._ask_holder)
        self.targeting = Targeting(
            settings.zone,
            self.inventory,
            self.board,
            self.health,
            PrefixBook(),
            rng,
        )
        self.gateway = self._make_gateway()
        self.config_feed = self._follow_configuration()
        self.target_feed = self._follow_targets()
        self.outbox: list[Wanted] = []
        self.asked = anyio.Event()

    # Building

    def _make_leadership(self) -> Leadership:
        return Leadership(
            self.store,
            (self.translators.own_topic, LEASE_PART),
            self.settings.name,
            LeaseState(
                self.settings.bounds.lease_s,
                self.settings.bounds.is_fenced,
            ),
            self.is_ready,
            self._rank,
            self.log,
            self.rng,
        )

    def _make_provisioner(self) -> Provisioner:
        return Provisioner(
            self.settings.name,
            self.inventory,
            self.board,
            self.leadership,
            self.translators.engines,
            lambda: self.intake.configuration,
            self._total_demand,
            self._used_adapters,
            self._tell_resident,
            self.log,
        )

    def _make_gateway(self) -> Gateway:
        proxy = Proxy(
            self.pool,
            self.board,
            self.health,
            self.translators.target_format,
            self._budget_of,
            self._place,
            self._note_absent,
            self.log,
            self.rng,
        )
        return Gateway(
            self.intake,
            self.targeting,
            proxy,
            self._charge,
            self.wants.want,
            self.demand,
            self.log,
            self.metrics,
        )

    def _follow_configuration(self) -> Follower:
        topic = self.translators.configuration_topic
        return Follower(
            self.store,
            Feed(topic, 0, CONFIG_WAIT_S, 0),
            self._take_configuration,
            self._take_configuration,
            self.log,
            self.rng,
        )

    def _follow_targets(self) -> Follower:
        topic = self.translators.targets_topic
        return Follower(
            self.store,
            Feed(topic, 0, TARGETS_WAIT_S, TARGETS_PACE_S),
            self._take_all_targets,
            self._take_targets,
            self.log,
            self.rng,
        )

    # Running

    async def run(self) -> None:
        """Run all services until cancelled."""
        with self.pool:
            async with anyio.create_task_group() as group:
                group.start_soon(self.config_feed.run)
                group.start_soon(self.target_feed.run)
                group.start_soon(self.gossip.run)
                group.start_soon(self._join)
                group.start_soon(self.provisioner.run)
                group.start_soon(self._send_wants)
                group.start_soon(self._keep_summary)
                group.start_soon(self._keep_house)

    async def stop(self) -> None:
        """Finish what callers have begun; new ones are sent elsewhere.

        Returns once no request runs, or the grace period is nearly over.
        """
        started_at = boot_time()
        self.stopping.set()
        self.log('stopping', active=len(self.gateway.active))
        await self.leadership.release()
        await anyio.sleep(LINGER_S)
        grace_s = self.settings.bounds.grace_s - STOP_MARGIN_S
        while self.gateway.active:
            if boot_time() - started_at > grace_s:
                self.log('requests_cut', active=len(self.gateway.active))
                self.gateway.abort()
                break
            await anyio.sleep(HOUSEKEEPING_S / 2)

    async def watch_signals(self) -> None:
        """Return at the first signal to stop; others reload."""
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*signals) as received:
            async for number in received:
                self.log('signal', number=int(number))
                if number != signal.SIGHUP:
                    return

    def is_ready(self) -> bool:
        """Return whether callers may come."""
        return (
            self.intake.configuration is not None
            and self.inventory.is_loaded
            and not self.stopping.is_set()
            and self.intake.is_fresh(boot_time())
        )

    def list_addresses(self, region: str, zone: str) -> list[str]:
        """Return the addresses of the hosts that callers may use."""
        digests = self.fleet.heard(boot_time())
        addresses = [one.caller_address for one in digests if one.is_ready]
        if self.is_ready():
            addresses.append(self.settings.caller_address)
        self.rng.shuffle(addresses)
        return addresses

    # Configuration and targets

    def _take_configuration(self, records: Sequence[KeyedRecord]) -> None:
        for record in records:
            is_ours = record.key == self.translators.configuration_key
            if not is_ours or record.value is None:
                continue
            try:
                found = self.translators.decode_configuration(record.value)
            except RecordError as error:
                self.log(
                    'configuration_unreadable',
                    offset=record.offset,
                    why=str(error),
                )
                continue
            if self.intake.adopt(found):
                self.log(
                    'configuration_applied',
                    version=found.version,
                    offset=record.offset,
                    routes=sum(len(one) for one in found.routes.values()),
                )

    def _take_all_targets(self, records: Sequence[KeyedRecord]) -> None:
        self.inventory.replace_all(self._decode_targets(records), boot_time())

    def _take_targets(self, records: Sequence[KeyedRecord]) -> None:
        newest = {record.key: record for record in records}
        for record in newest.values():
            if record.value is None:
                self.inventory.withdraw(record.key, boot_time())
                self.log('target_gone', target=record.key)
        for said in self._decode_targets(newest.values()):
            before = self.inventory.targets.get(said.name)
            self.inventory.announce(said, boot_time())
            if before is None or before.said.state is not said.state:
                self.log(
                    'target_announced',
                    target=said.name,
                    state=said.state.value,
                    service=said.service,
                )

    def _decode_targets(
        self,
        records: Iterable[KeyedRecord],
    ) -> Iterator[Announcement]:
        for record in records:
            if record.value is None:
                continue
            try:
                yield self.translators.decode_announcement(
                    record.key,
                    record.value,
                )
            except RecordError as error:
                self.log(
                    'target_unreadable',
                    offset=record.offset,
                    why=str(error),
                )

    # The other hosts

    async def _join(self) -> None:
        """List this host in the store, and learn who else is there."""
        topic = self.translators.own_topic
        body = msgspec.json.encode(HostRecord(self.address))
        name = self.settings.name
        while self.life is None:
            try:
                self.life = await self.store.append(
                    topic,
                    HOSTS_PART,
                    ((name, body),),
                )
                await self._enlist()
                await self._read_summary()
            except LogServiceError as error:
                self.log('join_failed', why=str(error))
                await anyio.sleep(self.rng.uniform(0, 2 * JOIN_RETRY_S))
        self.leadership.life = self.life
        self.log('joined', life=self.life, hosts=self.fleet.size)
        await self.leadership.run()

    async def _enlist(self) -> None:
        page = await self.store.read_newest(
            self.translators.own_topic,
            HOSTS_PART,
        )
        now = boot_time()
        for record in page.records:
            if record.value is None:
                continue
            try:
                found = msgspec.json.decode(record.value, type=HostRecord)
            except msgspec.MsgspecError as error:
                self.log('host_unreadable', host=record.key, why=str(error))
                continue
            self.fleet.enlist(record.key, found.address, record.offset, now)

    async def _read_summary(self) -> None:
        """Learn what was admitted before this host started."""
        page = await self.store.read_newest(
            self.translators.own_topic,
            SUMMARY_PART,
        )
        for record in page.records:
            if record.key != SUMMARY_KEY or record.value is None:
                continue
            try:
                summary = msgspec.msgpack.decode(record.value, type=Summary)
            except msgspec.MsgspecError as error:
                self.log('summary_unreadable', why=str(error))
                continue
            self.limits.take_summary(summary, boot_time())
            self.former_lives = {host.name: host.life for host in summary.hosts}

    async def _keep_summary(self) -> None:
        """Write down what is used of the limits while this host leads."""
        while True:
            await anyio.sleep(HOUSEKEEPING_S)
            configuration = self.intake.configuration
            is_leading = self.leadership.state.is_proven(boot_time())
            if not is_leading or configuration is None or self.life is None:
                continue
            summary = self.limits.summarize(
                configuration.workspaces.values(),
                self.life,
                boot_time(),
            )
            if summary is None:
                continue
            body = msgspec.msgpack.encode(summary)
            try:
                await self.store.append(
                    self.translators.own_topic,
                    SUMMARY_PART,
                    ((SUMMARY_KEY, body),),
                )
            except LogServiceError as error:
                self.log('summary_unwritten', why=str(error))

    def _make_digest(self, number: int) -> Digest | None:
        if self.life is None:
            return None
        now = boot_time()
        configuration = self.intake.configuration
        state = self.leadership.state
        return Digest(
            self.settings.name,
            self.life,
            number,
            self.address,
            self.settings.caller_address,
            self.settings.zone,
            self.is_ready(),
            configuration.version if configuration else 0,
            state.fence,
            state.is_proven(now),
            state.may_order_near(now),
            state.end or 0,
            tuple(
                LoadShare(
                    target,
                    load.waiting_tokens,
                    load.waiting,
                    load.running,
                    load.held_tokens,
                )
                for target, load in self.board.own.items()
            ),
            self.limits.usage(now),
            self.demand.snapshot(now),
            self.demand.used_adapters(now),
        )

    def _note_digest(self, digest: Digest) -> None:
        if self.former_lives.pop(digest.name, None) == digest.life:
            self.limits.note_same_life(digest.name)
        if digest.fence:
            self.leadership.state.note_heard(digest, boot_time())

    def _holder(self) -> Digest | None:
        holders = [
            one for one in self.fleet.heard(boot_time()) if one.is_ordering
        ]
        return max(holders, key=lambda one: one.fence, default=None)

    def _has_holder(self) -> bool:
        return self.leadership.may_order_near() or self._holder() is not None

    def _rank(self) -> int:
        now = boot_time()
        names = sorted(one.name for one in self.fleet.heard(now))
        return sum(1 for name in names if name < self.settings.name)

    # Models and adapters

    def _total_demand(self) -> dict[ModelKey, ModelDemand]:
        now = boot_time()
        snapshots = [one.demand for one in self.fleet.heard(now)]
        snapshots.append(self.demand.snapshot(now))
        return add_up(snapshots)

    def _used_adapters(self) -> set[str]:
        now = boot_time()
        used = set(self.demand.used_adapters(now))
        for digest in self.fleet.heard(now):
            used.update(digest.adapters)
        return used

    async def _tell_resident(
        self,
        message: ResidentMessage,
        names: tuple[str, ...],
    ) -> None:
        if not names:
            await self.gossip.tell_all(message)
            return
        for name in names:
            peer = self.fleet.peers.get(name)
            if peer is not None:
                await self.gossip.send(peer.address, message)

    def _take_resident(self, message: Message) -> None:
        assert isinstance(message, ResidentMessage)  # noqa: S101
        known = self.inventory.targets.get(message.target)
        if known is None or known.said.born != message.born:
            return
        known.confirm(
            message.order_count,
            {
                model: Resident(model, frozenset(adapters))
                for model, adapters in message.models.items()
            },
            boot_time(),
        )

    def _ask_holder(self, wanted: Wanted) -> None:
        self.outbox.append(wanted)
        self.asked.set()

    def _take_want(self, message: Message) -> None:
        assert isinstance(message, WantMessage)  # noqa: S101
        wanted = Wanted(message.service, message.model, message.adapter)
        self.provisioner.want(wanted, message.sender)

    async def _send_wants(self) -> None:
        while True:
            await self.asked.wait()
            self.asked = anyio.Event()
            wants, self.outbox = self.outbox, []
            await self._pass_wants(wants)

    async def _pass_wants(self, wants: list[Wanted]) -> None:
        for wanted in wants:
            if self.leadership.may_order_near():
                self.provisioner.want(wanted, self.settings.name)
                continue
            holder = self._holder()
            if holder is not None:
                message = WantMessage(
                    self.settings.name,
                    wanted.service,
                    wanted.model,
                    wanted.adapter,
                )
                await self.gossip.send(holder.address, message)

    # The request path

    def _place(
        self,
        call: InboundCall,
        avoided: set[str],
    ) -> tuple[KnownTarget, Choice] | None:
        configuration = self.intake.configuration
        if configuration is None:
            return None
        return self.targeting.place(call, avoided, configuration)

    def _note_absent(
        self,
        call: InboundCall,
        known: KnownTarget,
        verdict: Verdict,
    ) -> None:
        generation = call.generation
        self.log(
            'target_rejected',
            request=call.request_id,
            target=known.name,
            why=verdict.value,
            model=generation.model if generation else None,
        )
        if verdict is Verdict.other_target:
            known.refused_at = boot_time()
        elif generation is not None:
            known.drop(generation.model, generation.adapter)

    def _budget_of(self, service: str) -> WindowBudget:
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = WindowBudget(
                bounds.retry_window_s,
                bounds.retry_ratio * RATIO_SHARE,
                0,
            )
            self.budgets[service] = budget
        hosts = max(self.fleet.size, LEAST_FLEET)
        budget.slack = self.settings.bounds.retry_slack * SLACK_SHARE / hosts
        return budget

    def _charge(self, limit: WorkspaceLimit, call: InboundCall) -> None:
        generation = call.generation
        tokens = None
        if generation is not None:
            tokens = generation.prompt_tokens + generation.max_output_tokens
        verdict = self.limits.admit(
            limit,
            charge_of(limit, tokens),
            boot_time(),
        )
        if verdict.is_admitted:
            return
        self.log(
            'limit_refused',
            request=call.request_id,
            workspace=limit.name,
            tokens=tokens,
            allowed=verdict.allowed,
            used=verdict.used,
            silent=verdict.silent,
        )
        raise RejectionError(
            _TOO_MANY,
            'workspace_limit',
            verdict.retry_after_s,
        )

    async def _keep_house(self) -> None:
        """Bring what is derived up to date, several times a second."""
        while True:
            now = boot_time()
            self.intake.proven_at = self.config_feed.state.proven_at
            self.inventory.store_back_at = self.target_feed.state.back_at
            self.inventory.expire(now)
            self.wants.expire(now)
            self.limits.expire(now)
            known = self.inventory.targets.values()
            self.health.keep(one.name for one in known)
            self.pool.prune(frozenset(one.said.address for one in known))
            await anyio.sleep(HOUSEKEEPING_S)
