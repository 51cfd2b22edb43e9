"""A plain proxy on the users' platform, as a baseline for the product.

It sends each request once, to the target with the fewest requests in flight
among those that have its model loaded. It has no limits, freshness proofs,
orders, retries, or messages to other hosts. It uses the product's own code for
the platform's formats.

Run it from a copy of the repository whose deploy file runs
``python3 -m lab.plain_host`` in place of ``python3 -m ebonywell.platform``.
"""

import random
import socket
from collections import Counter
from collections.abc import Awaitable, Callable

import anyio

from ebonywell import server
from ebonywell.clock import boot_time
from ebonywell.exceptions import TargetUnreachableError
from ebonywell.hostfeeds import HostFeeds
from ebonywell.hostsettings import HostSettings
from ebonywell.inbound import AdmittedRequest, RejectionError, Responder
from ebonywell.intake import Intake, ReceivedRequest
from ebonywell.inventory import Inventory, KnownTarget
from ebonywell.linelog import LineLog
from ebonywell.metrics import Metrics
from ebonywell.platform.app import HostApplication
from ebonywell.platform.assembly import make_translators
from ebonywell.platform.settings import find_file, read_settings
from ebonywell.platform.store import StoreClient
from ebonywell.progress import TargetFormat
from ebonywell.transport import HttpClient
from ebonywell.upstream import (
    AnswerHead,
    Connection,
    ConnectionPool,
    Exchange,
)

DIRECTORY_TTL_S = 1.0
REFRESH_S = 0.1
_UNAVAILABLE = 503
_BAD_GATEWAY = 502


class PlainGateway:
    """Forwards each request to the target with the fewest requests in flight.

    Attributes
    ----------
    intake : Intake
    inventory : Inventory
    pool : ConnectionPool
    format : TargetFormat
    in_flight : Counter of str
        Requests in flight by target name.
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
        request: ReceivedRequest,
        responder: Responder,
        wait_gone: Callable[[], Awaitable[None]],
    ) -> None:
        """Serve a request; see `Gateway.serve`."""
        admitted = self.intake.admit(request)
        candidates = [
            target
            for target in self.inventory.of_service(admitted.service)
            if admitted.generation is None
            or target.holds(
                admitted.generation.model, admitted.generation.adapter
            )
        ]
        if not candidates:
            raise RejectionError(_UNAVAILABLE, 'no_target')
        target = min(candidates, key=lambda one: self.in_flight[one.name])
        self.in_flight[target.name] += 1
        try:
            with anyio.move_on_after(admitted.deadline - boot_time()):
                await self._proxy(admitted, target, responder)
        finally:
            self.in_flight[target.name] -= 1

    async def _proxy(
        self,
        admitted: AdmittedRequest,
        target: KnownTarget,
        responder: Responder,
    ) -> None:
        try:
            connection = await self.pool.acquire(target.announcement.address)
        except TargetUnreachableError as error:
            raise RejectionError(_UNAVAILABLE, 'unreachable') from error
        left_s = admitted.deadline - boot_time()
        head = self.format.encode(admitted, target, left_s, b'')
        try:
            exchange = connection.send(head, admitted.body)
            await self._exchange(connection, exchange, responder)
        finally:
            self.pool.release(target.announcement.address, connection)

    async def _exchange(
        self,
        connection: Connection,
        exchange: Exchange,
        responder: Responder,
    ) -> None:
        head = await connection.receive(exchange)
        if not isinstance(head, AnswerHead):
            raise RejectionError(_BAD_GATEWAY, 'broken')
        headers = self.format.answer_headers(head)
        await responder.start(head.status, headers)
        chunk = await connection.receive(exchange)
        while isinstance(chunk, bytes):
            await responder.send(chunk)
            chunk = await connection.receive(exchange)
        await responder.finish()


async def run(settings: HostSettings) -> None:
    """Run a plain proxy host until its process is killed."""
    log = LineLog(host=settings.name).event
    rng = random.Random()
    intake = Intake(rng, float('inf'))
    inventory = Inventory()
    async with HttpClient() as client:
        formats = make_translators(client, settings.name)
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
) -> server.ServerConfig:
    def is_ready() -> bool:
        return gateway.intake.configuration is not None

    application = HostApplication(
        settings,
        gateway,
        Metrics(),
        is_ready,
        bool,
        lambda: [settings.caller_address],
        DIRECTORY_TTL_S,
    )
    return server.server_config(application)


def main() -> None:
    """Read the settings and run the proxy until it is killed."""
    anyio.run(run, read_settings(find_file()))


if __name__ == '__main__':
    main()
