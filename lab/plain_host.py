"""A plain proxy on the users' platform, to compare the product with.

Sends each request to the target with the fewest outstanding ones among those
that hold its model, once, and nothing else: no limits, no proof of freshness,
no orders, no retries, no word of other hosts. It reads and writes the
platform's formats by the product's own folder for them.

Play it in a copy of the repository whose deploy file runs
``python3 -m lab.plain_host`` in place of ``python3 -m ebonywell.platform``.
"""

import random
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio
import uvicorn

from ebonywell import server
from ebonywell.clock import boot_time
from ebonywell.exceptions import TargetUnreachableError
from ebonywell.hostfeeds import HostFeeds
from ebonywell.hostsettings import HostSettings
from ebonywell.inbound import InboundCall, RejectionError, Responder
from ebonywell.intake import Arrival, Intake
from ebonywell.inventory import Inventory, KnownTarget
from ebonywell.linelog import LineLog
from ebonywell.metrics import Metrics
from ebonywell.platform.app import Doors
from ebonywell.platform.assembly import translators
from ebonywell.platform.settings import find_file, read_settings
from ebonywell.platform.store import StoreClient
from ebonywell.progress import TargetFormat
from ebonywell.transport import HttpClient
from ebonywell.upstream import AnswerHead, Connection, ConnectionPool

DIRECTORY_TTL_S = 1.0
REFRESH_S = 0.1
_UNAVAILABLE = 503
_BAD_GATEWAY = 502


class PlainGateway:
    """Proxies requests to the target with the fewest outstanding ones.

    Attributes
    ----------
    intake : Intake
    inventory : Inventory
    pool : ConnectionPool
    format : TargetFormat
    in_flight : Counter of str
        Requests by target.
    """

    def __init__(
        self,
        intake: Intake,
        inventory: Inventory,
        target_format: TargetFormat,
    ) -> None:
        self.intake = intake
        self.inventory = inventory
        self.pool = ConnectionPool()
        self.format = target_format
        self.in_flight: Counter[str] = Counter()

    async def serve(
        self,
        request: Arrival,
        responder: Responder,
        wait_gone: Callable[[], Awaitable[None]],
    ) -> None:
        """Serve a request; see `Gateway.serve`."""
        call = self.intake.admit(request)
        holders = [
            known
            for known in self.inventory.of_service(call.service)
            if call.generation is None
            or known.holds(call.generation.model, call.generation.adapter)
        ]
        if not holders:
            raise RejectionError(_UNAVAILABLE, 'no_target')
        known = min(holders, key=lambda one: self.in_flight[one.name])
        self.in_flight[known.name] += 1
        try:
            with anyio.move_on_after(call.deadline - boot_time()):
                await self._proxy(call, known, responder)
        finally:
            self.in_flight[known.name] -= 1

    async def _proxy(
        self,
        call: InboundCall,
        known: KnownTarget,
        responder: Responder,
    ) -> None:
        try:
            connection = await self.pool.acquire(known.said.address)
        except TargetUnreachableError as error:
            raise RejectionError(_UNAVAILABLE, 'unreachable') from error
        left_s = call.deadline - boot_time()
        request = self.format.encode(call, known, left_s, b'')
        try:
            await self._exchange(connection, request, responder)
        finally:
            self.pool.release(known.said.address, connection)

    async def _exchange(
        self,
        connection: Connection,
        request: bytes,
        responder: Responder,
    ) -> None:
        exchange = connection.send(request)
        head = await connection.receive(exchange)
        if not isinstance(head, AnswerHead):
            raise RejectionError(_BAD_GATEWAY, 'broken')
        headers = self.format.answer_headers(head)
        await responder.start(head.status, headers)
        part = await connection.receive(exchange)
        while isinstance(part, bytes):
            await responder.send(part)
            part = await connection.receive(exchange)
        await responder.finish()


async def run(settings: HostSettings) -> None:
    """Run a plain host until it is killed."""
    log = LineLog(host=settings.name).event
    rng = random.Random()
    intake = Intake(rng, float('inf'))
    inventory = Inventory()
    async with HttpClient() as client:
        formats = translators(client)
        store = StoreClient(settings.store_address, client)
        feeds = HostFeeds(store, formats, intake, inventory, log, rng)
        gateway = PlainGateway(intake, inventory, formats.target_format)
        web = server.Server(_server_config(settings, gateway))
        with gateway.pool:
            async with anyio.create_task_group() as group:
                group.start_soon(feeds.configuration.run)
                group.start_soon(feeds.targets.run)
                group.start_soon(_refresh, feeds)
                await web.serve(_bind_all(settings))
                group.cancel_scope.cancel()


async def _refresh(feeds: HostFeeds) -> None:
    while True:
        feeds.refresh(boot_time())
        await anyio.sleep(REFRESH_S)


def _bind_all(settings: HostSettings) -> list[socket.socket]:
    return [
        server.bind(address)
        for address in (
            settings.caller_address,
            settings.ready_address,
            settings.directory_address,
        )
    ]


def _server_config(
    settings: HostSettings,
    gateway: PlainGateway,
) -> uvicorn.Config:
    def is_ready() -> bool:
        return gateway.intake.configuration is not None

    doors = Doors(
        settings,
        gateway,
        Metrics(),
        is_ready,
        bool,
        lambda: [settings.caller_address],
        DIRECTORY_TTL_S,
    )
    return server.server_config(doors)


def main() -> None:
    """Run until killed."""
    anyio.run(run, read_settings(find_file()))


if __name__ == '__main__':
    main()
