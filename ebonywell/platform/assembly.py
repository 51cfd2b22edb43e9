"""Runs a host on the platform with its clients, sockets and services."""

import functools
import os
import random
import socket
from collections.abc import AsyncIterator
from signal import Signals

import anyio

from .. import server, signals
from ..clock import boot_time
from ..exitcodes import ExitCode
from ..hostprocess import HostProcess
from ..hostsettings import HostSettings
from ..linelog import LineLog, capture_library_messages
from ..logs import Logger
from ..metrics import Metrics
from ..translators import Translators
from ..transport import HttpClient
from . import catalog, exchange, orders, targets, whereabouts
from .app import HostApplication, filter_server_log
from .hostcallers import make_callers
from .settings import find_file, read_settings
from .store import MAX_IDLE_S, StoreClient

# In topics with the prefix "keyed." the platform's log keeps the newest record
# of each key.
OWN_TOPIC = 'keyed.ebonywell'
# Of the ports for traffic between hosts, the first carries datagrams and the
# last serves metrics.
METRICS_PORT_OFFSET = 15
BACKLOG = 512
FLUSH_INTERVAL_S = 0.2
# Between two accounts of the calls to the store in the log.
ACCOUNT_PERIOD_S = 10.0
# Callers cache a directory answer for this long; some for three times as long.
DIRECTORY_TTL_S = 1.0


def make_translators(client: HttpClient, host_name: str) -> Translators:
    """Return the translators for this platform's formats."""
    return Translators(
        catalog.TOPIC,
        catalog.KEY,
        catalog.decode_configuration,
        targets.TOPIC,
        targets.decode_announcement,
        OWN_TOPIC,
        exchange.target_format(),
        exchange.host_format(host_name),
        orders.engine_client(client),
        catalog.EVACUATION_PREFIX,
    )


async def run(settings: HostSettings) -> None:
    """Run a host until a stop signal is received."""
    with signals.open_receiver() as received:
        await _run(settings, received)
        # Everything is closed. The interpreter's own clean-up is skipped, since
        # it can take longer than the rest of the grace period.
        os._exit(ExitCode.ok)  # noqa: WPS437 - skips the clean-up


async def _run(
    settings: HostSettings,
    received: AsyncIterator[Signals],
) -> None:
    lines = LineLog(host=settings.name)
    log = lines.event
    capture_library_messages(log)
    filter_server_log()
    async with (
        HttpClient(max_idle_s=MAX_IDLE_S) as client,
        HttpClient() as engine_client,
    ):
        store = StoreClient(settings.store_address, client)
        host = HostProcess(
            settings,
            store,
            make_translators(engine_client, settings.name),
            log,
            random.Random(),
        )
        host.metrics.collectors.append(functools.partial(_expose_calls, store))
        host.reload = functools.partial(_reload, lines)
        _apply_log_settings(lines, settings)
        log('started', zone=settings.zone, address=settings.caller_address)
        web = server.Server(_server_config(host))
        async with anyio.create_task_group() as group:
            group.start_soon(host.run)
            group.start_soon(_keep_log, lines, store)
            closed = anyio.Event()
            group.start_soon(_serve, web, settings, closed)
            group.start_soon(host.handle_signals, received)
            await host.stop_requested.wait()
            left_s = await host.stop()
            web.should_exit = True
            with anyio.move_on_after(left_s):
                await closed.wait()
            group.cancel_scope.cancel()
        log(
            'stopped',
            active=len(host.gateway.active),
            stop_age_s=host.shutdown.age_s(boot_time()),
        )
        lines.flush()


def _reload(lines: LineLog) -> None:
    """Read the settings again and apply those that may change at run time."""
    log = lines.event
    try:
        settings = read_settings(find_file())
    except Exception as error:
        # A failed reload must not end the process and the requests in flight.
        log('settings_unreadable', why=repr(error))
        return
    _apply_log_settings(lines, settings)
    log(
        'reloaded',
        is_brief=lines.is_brief,
        lines_per_s=lines.lines_per_s,
    )


def _apply_log_settings(lines: LineLog, settings: HostSettings) -> None:
    lines.is_brief = settings.log.is_brief
    lines.lines_per_s = settings.log.lines_per_s


async def _serve(
    web: server.Server,
    settings: HostSettings,
    closed: anyio.Event,
) -> None:
    """Serve until the server is asked to exit and has ended all requests."""
    await web.serve(_bind_all(settings))
    closed.set()


async def _keep_log(lines: LineLog, store: StoreClient) -> None:
    """Write log lines and accounts of the store's calls until cancelled."""
    async with anyio.create_task_group() as group:
        group.start_soon(_flush, lines)
        group.start_soon(_account, store, lines.event)


async def _flush(lines: LineLog) -> None:
    """Write log lines periodically that the output could not accept at once."""
    while True:
        await anyio.sleep(FLUSH_INTERVAL_S)
        lines.flush()


def _expose_calls(store: StoreClient, sink: Metrics) -> None:
    """Set the gauges that count the calls to the store."""
    for kind, count in store.calls.items():
        sink.gauge('store_calls', count, **kind._asdict())


async def _account(store: StoreClient, log: Logger) -> None:
    """Log the number of calls to the store periodically."""
    while True:
        await anyio.sleep(ACCOUNT_PERIOD_S)
        for kind, count in store.calls.items():
            log('store_calls', **kind._asdict(), count=count)


def _bind_all(settings: HostSettings) -> list[socket.socket]:
    metrics_port = settings.first_internal_port + METRICS_PORT_OFFSET
    addresses = (
        settings.caller_address,
        settings.ready_address,
        settings.directory_address,
        f'{settings.ip}:{metrics_port}',
    )
    return [server.bind(address) for address in dict.fromkeys(addresses)]


def _server_config(host: HostProcess) -> server.ServerConfig:
    settings = host.settings
    callers = make_callers(host)
    ttl_s = min(DIRECTORY_TTL_S, settings.bounds.max_directory_ttl_s)
    return server.ServerConfig(
        HostApplication(
            settings,
            host.gateway,
            host.metrics,
            host.is_ready,
            lambda: host.shutdown.is_begun,
            host.list_addresses,
            ttl_s,
            functools.partial(whereabouts.answer, host),
        ),
        callers,
        proxy_headers=False,
        date_header=False,
        backlog=BACKLOG,
    )
