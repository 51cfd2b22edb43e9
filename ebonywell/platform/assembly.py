"""Puts a host together: the platform's client, sockets and the services."""

import random
import signal
from collections.abc import Callable, Sequence

import anyio
import uvicorn

from .. import server
from ..clock import boot_time
from ..exceptions import RecordError
from ..following import Feed, Follower
from ..gateway import Gateway
from ..health import HealthBook
from ..hostsettings import HostSettings
from ..inbound import InboundCall
from ..intake import Intake
from ..inventory import Inventory, KnownTarget
from ..loadboard import LoadBoard
from ..logs import Logger, bind, write_event
from ..metrics import Metrics
from ..prefixes import PrefixBook
from ..proxying import Proxy, Verdict
from ..retries import WindowBudget
from ..selection import Choice
from ..sharedstore import KeyedRecord
from ..targeting import Targeting
from ..transport import HttpClient
from ..upstream import ConnectionPool
from . import catalog, targets
from .app import Doors, silence_server_log
from .exchange import target_format
from .store import StoreClient


async def run(settings: HostSettings) -> None:
    """Run a host until it is told to stop."""
    log = bind(write_event, host=settings.name)
    silence_server_log()
    rng = random.Random()  # noqa: S311
    intake = Intake(rng, settings.bounds.revoke_s)
    inventory = Inventory()
    metrics = Metrics()
    client = HttpClient()
    store = StoreClient(settings.store.address, client)
    board = LoadBoard()
    health = HealthBook()
    targeting = Targeting(
        settings.zone, inventory, board, health, PrefixBook(), rng
    )
    pool = ConnectionPool()
    budgets: dict[str, WindowBudget] = {}

    def budget_of(service: str) -> WindowBudget:
        if service not in budgets:
            budgets[service] = WindowBudget(
                settings.bounds.retry_window_s,
                settings.bounds.retry_ratio * 0.9,
                settings.bounds.retry_slack / 12,
            )
        return budgets[service]

    def place(call: InboundCall, avoided: set[str]) -> tuple[KnownTarget, Choice] | None:
        assert intake.configuration is not None
        return targeting.place(call, avoided, intake.configuration)

    def note_absent(call: InboundCall, known: KnownTarget, verdict: Verdict) -> None:
        if verdict is Verdict.other_target:
            known.refused_at = boot_time()
        elif call.generation is not None:
            known.models.pop(call.generation.model, None)

    proxy = Proxy(pool, board, health, target_format(), budget_of, place, note_absent, log, rng)
    gateway = Gateway(intake, targeting, proxy, lambda limit, call: None, lambda call: float('inf'), log, metrics)

    def take_config(records: Sequence[KeyedRecord]) -> None:
        for record in records:
            if record.key == catalog.KEY and record.value:
                try:
                    found = catalog.decode_configuration(record.value)
                except RecordError as error:
                    log('configuration_unreadable', why=str(error), offset=record.offset)
                    continue
                if intake.adopt(found):
                    log('configuration_applied', version=found.version, offset=record.offset)

    config_feed = Follower(store, Feed(catalog.TOPIC, 0, 1.5, 0), take_config, take_config, log, rng)

    def decode(record: KeyedRecord):
        try:
            return targets.decode_announcement(record.key, record.value)
        except RecordError as error:
            log('target_unreadable', why=str(error), offset=record.offset)
            return None

    def take_targets(records: Sequence[KeyedRecord]) -> None:
        newest = {r.key: r for r in records}
        for record in newest.values():
            if record.value is None:
                inventory.withdraw(record.key, boot_time())
            else:
                said = decode(record)
                if said: inventory.announce(said)

    def take_all_targets(records: Sequence[KeyedRecord]) -> None:
        inventory.replace_all([s for s in (decode(r) for r in records if r.value) if s], boot_time())

    target_feed = Follower(store, Feed(targets.TOPIC, 0, 1.5, 0.8), take_all_targets, take_targets, log, rng)
    stopping = anyio.Event()

    doors = Doors(settings, gateway, metrics,
        lambda: intake.configuration is not None and inventory.is_loaded and not stopping.is_set(),
        stopping.is_set,
        lambda region, zone: [settings.caller_address],
        1.5)
    addresses = dict.fromkeys([settings.caller_address, settings.ready_address, settings.directory_address])
    sockets = [server.bind(one) for one in addresses]
    config = uvicorn.Config(doors, loop='asyncio', http='httptools', ws='none', lifespan='off', access_log=False, log_config=None, date_header=False, server_header=False, timeout_keep_alive=75)
    web = server.Server(config)

    async def sync() -> None:
        while True:
            intake.proven_at = config_feed.state.proven_at
            inventory.store_back_at = target_feed.state.back_at
            inventory.expire(boot_time())
            pool.prune(frozenset(k.said.address for k in inventory.targets.values()))
            await anyio.sleep(0.1)

    async with client:
        with pool:
            async with anyio.create_task_group() as group:
                group.start_soon(config_feed.run)
                group.start_soon(target_feed.run)
                group.start_soon(sync)
                group.start_soon(web.serve, sockets)
                with anyio.open_signal_receiver(signal.SIGTERM) as got:
                    async for _ in got:
                        stopping.set()
                        await anyio.sleep(3)
                        web.should_exit = True
                        break
                with anyio.move_on_after(4):
                    while gateway.active:
                        await anyio.sleep(0.05)
                group.cancel_scope.cancel()
