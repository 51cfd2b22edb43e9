"""Assembles the services of a host and runs them until a planned stop."""

import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator

import anyio

from . import leasestate, signals
from .clock import boot_time
from .coordination import make_coordination
from .digests import Digest, HolderStatus, Message
from .gossip import Gossip, loads_ttl_s
from .hostfeeds import HostFeeds, make_relay
from .hostgauges import add_host_gauges, add_traffic_gauges
from .hostknowledge import Knowledge
from .hostsettings import HostSettings
from .leadership import Candidacy, Leadership
from .logs import Logger
from .metrics import Metrics
from .modelservices import make_model_services
from .peerforwarding import PeerForwarder
from .requestpath import Observers, make_gateway
from .roster import Roster
from .sharedstore import SharedStore
from .supervision import supervise
from .translators import Translators
from .upstream import ConnectionPool

HOUSEKEEPING_PERIOD_S = 0.1
# Time to close the sockets, granted even if the grace period is over.
CLOSE_TIMEOUT_S = 0.2

Service = Callable[[], Awaitable[None]]


class HostProcess:
    """One host: creates, runs and stops its services.

    Attributes
    ----------
    settings : HostSettings
    known : Knowledge
    metrics : Metrics
    coordination : Coordination
    gateway : Gateway
        The request path.
    shutdown : Shutdown
    stop_requested : anyio.Event
        Set by the first stop signal.
    reload : callable
        Called on the reload signal, to read the settings again.
    """

    def __init__(
        self,
        settings: HostSettings,
        store: SharedStore,
        translators: Translators,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.reload: Callable[[], None] = _ignore_reload
        self.settings = settings
        self.log = log
        self.rng = rng
        self.stop_requested = anyio.Event()
        self.metrics = Metrics()
        self.known = Knowledge(settings, rng)
        self.pool = ConnectionPool()
        self.feeds = HostFeeds(
            store,
            translators,
            self.known.intake,
            self.known.inventory,
            log,
            rng,
        )
        address = f'{settings.ip}:{settings.first_internal_port}'
        self.roster = Roster(
            store,
            translators.own_topic,
            address,
            self.known.fleet,
            self.known.limits,
            log,
            rng,
        )
        self.leadership = Leadership(
            store,
            translators.own_topic,
            settings.name,
            leasestate.LeaseState(
                settings.bounds.lease_s, settings.bounds.requires_fencing
            ),
            Candidacy(
                lambda: self.is_ready() and not self.forwarder.is_cut(),
                self._rank,
                lambda: self.known.fleet.is_minority(boot_time()),
            ),
            log,
            rng,
        )
        self.gossip = Gossip(
            address,
            self.known.fleet,
            self._make_digest,
            self._receive_digest,
            log,
            rng,
        )
        self.gossip.note_holder = self._receive_holder
        self.coordination = make_coordination(
            self.known,
            self.gossip,
            store,
            translators.own_topic,
            self.is_ready,
            lambda: self.roster.life,
            log,
            self.metrics,
        )
        self.models = make_model_services(
            settings,
            self.known,
            self.leadership,
            self.gossip,
            self.coordination.limits,
            translators,
            log,
        )
        self.relay = make_relay(
            self.feeds, self.known.fleet, self.gossip, log, rng
        )
        self.feeds.eras.listeners.extend(
            (
                self.leadership.note_era,
                self.coordination.origins.note_era,
                self.roster.note_era,
            )
        )
        self.gossip.list_reports = self.coordination.list_reports
        self.gossip.handle_message = self._receive_message
        self.forwarder = PeerForwarder(
            self.known.fleet,
            self.known.inventory,
            self.known.intake,
            self.pool,
            translators.host_format,
            log,
            rng,
        )
        self.gateway = make_gateway(
            settings,
            self.known,
            self.pool,
            self.models.load_requests,
            self.coordination,
            translators,
            self.forwarder,
            Observers(log, self.metrics, rng),
        )
        self.shutdown = self.gateway.shutdown
        add_host_gauges(
            self.metrics,
            self.known,
            self.leadership,
            self.feeds,
        )
        add_traffic_gauges(self.metrics, self.gateway, self.gossip, self.pool)

    async def run(self) -> None:
        """Run all services until cancelled."""
        with self.pool, self.forwarder.pool:
            async with anyio.create_task_group() as group:
                for name, service in self._services():
                    group.start_soon(supervise, name, service, self.log)

    async def stop(self) -> float:
        """Drain the host: finish requests in flight, send callers elsewhere.

        Returns once no request is in flight, or shortly before the end of the
        grace period, when the requests that remain are aborted.

        Returns
        -------
        float
            Rest of the grace period in seconds, for requests that are received
            before the sockets are closed.
        """
        self.shutdown.begin(boot_time(), self.settings.bounds.grace_s)
        self.log('stopping', active=len(self.gateway.active))
        await self.leadership.release()
        await anyio.sleep(max(0, self.shutdown.closes_at - boot_time()))
        while self.gateway.active:
            if boot_time() > self.shutdown.aborts_at:
                self.log('requests_cut', active=len(self.gateway.active))
                self.gateway.abort()
                break
            await anyio.sleep(HOUSEKEEPING_PERIOD_S / 2)
        return max(CLOSE_TIMEOUT_S, self.shutdown.aborts_at - boot_time())

    async def handle_signals(
        self,
        received: AsyncIterator[signal.Signals],
    ) -> None:
        """Act on signals until cancelled; a repeated stop signal has no effect.

        Parameters
        ----------
        received : iterator of signal.Signals
        """
        async for number in received:
            self.log('signal', number=int(number))
            if number == signals.RELOAD_SIGNAL:
                self.reload()
            else:
                self.stop_requested.set()

    def is_ready(self) -> bool:
        """Return whether this host can serve callers' requests."""
        return (
            self.known.intake.configuration is not None
            and self.known.inventory.is_loaded
            and not self.shutdown.is_begun
            and self.known.intake.is_fresh(boot_time())
        )

    def list_addresses(self) -> list[str]:
        """Return the addresses of the ready hosts, in random order.

        Those that reach no target are left out if there are others.
        """
        hosts = [
            (one.caller_address, one.reaches_targets)
            for one in self.known.fleet.recent_digests(boot_time())
            if one.is_ready
        ]
        if self.is_ready():
            own_address = self.settings.caller_address
            hosts.append((own_address, not self.forwarder.is_cut()))
        addresses = [address for address, reaches in hosts if reaches]
        addresses = addresses or [address for address, _ in hosts]
        self.rng.shuffle(addresses)
        return addresses

    def _services(self) -> Iterator[tuple[str, Service]]:
        yield 'configuration', self.feeds.configuration.run
        yield 'targets', self.feeds.targets.run
        yield 'feed_relay', self.relay.run
        yield 'gossip', self.gossip.run
        yield 'leadership', self._run_leadership
        yield 'summary', self._maintain_summary
        yield 'host_record', self.roster.maintain_record
        yield 'provisioner', self.models.provisioner.run
        yield 'demand', self.models.link.send_demand
        yield 'crash_guard', self.coordination.guard.run
        yield 'stream_records', self.coordination.origins.write_records
        yield 'default_releases', self._maintain_defaults
        yield 'target_probes', self.forwarder.probe_targets
        yield 'housekeeping', self._run_housekeeping

    async def _run_leadership(self) -> None:
        """Join the roster of hosts, then compete for the lease."""
        if self.roster.life is None:
            self.leadership.life = await self.roster.join()
        await self.leadership.run()

    async def _maintain_summary(self) -> None:
        await self.roster.write_summaries(
            lambda: self.leadership.state.is_proven(boot_time()),
            self.known.intake.list_limits,
        )

    async def _maintain_defaults(self) -> None:
        await self.coordination.origins.defaults.maintain(
            lambda: self.leadership.state.is_proven(boot_time())
        )

    def _make_digest(self, number: int) -> Digest | None:
        if self.roster.life is None:
            return None
        now = boot_time()
        state = self.leadership.state
        return Digest(
            self.settings.name,
            self.roster.life,
            number,
            self.roster.address,
            self.settings.caller_address,
            self.settings.zone,
            self.is_ready(),
            self.known.intake.version,
            state.fence,
            state.is_proven(now),
            state.may_order_cached(now),
            state.partition_end or 0,
            self.known.own_loads(),
            self.known.limits.usage(now),
            not self.forwarder.is_cut(),
            *self.known.observations.list_recent(now),
            remembers_granted=True,
        )

    def _receive_digest(self, digest: Digest) -> None:
        self.roster.note_digest(digest)

    def _receive_message(self, message: Message) -> None:
        if self.relay.receive(message) or self.coordination.receive(message):
            return
        self.models.link.receive(message)

    def _receive_holder(self, report: HolderStatus) -> None:
        self.leadership.state.note_holder(report, boot_time())
        if report.is_ordering:
            self.models.link.note_holder(report.name)

    def _rank(self) -> int:
        digests = self.known.fleet.recent_digests(boot_time())
        return sum(1 for one in digests if one.name < self.settings.name)

    async def _run_housekeeping(self) -> None:
        """Refresh derived state and expire stale entries periodically."""
        while True:
            now = boot_time()
            self.feeds.refresh(now)
            self.models.load_requests.expire(now)
            self.models.link.expire(now)
            self.known.board.expire(now, loads_ttl_s(self.known.fleet.size))
            self.known.limits.note_limits(self.known.intake.list_limits(), now)
            self.known.limits.expire(now)
            targets = self.known.inventory.targets.values()
            self.known.retain(targets, now)
            self.gateway.selector.prefixes.retain(targets)
            self.coordination.expire(
                targets, self.feeds.targets.state.proven_at, now
            )
            self.forwarder.prune()
            self.pool.prune(
                frozenset(one.announcement.address for one in targets)
            )
            await anyio.sleep(HOUSEKEEPING_PERIOD_S)


def _ignore_reload() -> None:
    """Ignore a reload; the default until a reload function is set."""
