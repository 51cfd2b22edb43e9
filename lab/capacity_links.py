"""Measures the cost for one host of links to peers and polls of targets."""

import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import anyio
import msgspec

from ebonywell import logs, wire
from ebonywell.hostlist import ROLE
from ebonywell.peers import Peers
from ebonywell.targets import (
    POLL_INTERVAL_S,
    ListedHost,
    Report,
    ResidentModel,
    Target,
    Targets,
)
from ebonywell.types import HostId

from .slopes import Row, min_cpu_seconds

PEER_COUNTS = (4, 8, 16)
TARGET_COUNTS = (4, 8, 16, 32)
RUN_S = 6.0
SETTLE_S = 1.5
MIN_CODEC_REPEATS = 2000
MODELS_PER_TARGET = 4
LENGTH_PREFIX_BYTES = 4
_MAX_REQUEST_BYTES = 65536


def sample_heartbeat() -> wire.Heartbeat:
    """Return a typical heartbeat."""
    return wire.Heartbeat(
        zone='zone-a',
        address='10.0.0.1:8080',
        peer_address='10.0.0.1:7000',
        leaving=False,
        applied=123_456_789,
        sent_at=12345.678,
        echo=12345.123,
        echo_of='0123456789ab',
        fresh_age=0.1,
        log_age=0.1,
    )


def measure_codec() -> list[Row]:
    """Return the CPU time to encode and to decode a heartbeat."""
    heartbeat = sample_heartbeat()
    frame = wire.encode(heartbeat)
    content = frame[LENGTH_PREFIX_BYTES:]
    rows = [Row('heartbeat, one frame', 1, len(frame), 'bytes')]
    for count in (
        MIN_CODEC_REPEATS,
        2 * MIN_CODEC_REPEATS,
        4 * MIN_CODEC_REPEATS,
    ):
        encode_s = min_cpu_seconds(
            partial(_repeat, count, wire.encode, heartbeat)
        )
        rows.append(Row('heartbeats written', count, encode_s, 's'))
        decode_s = min_cpu_seconds(
            partial(_repeat, count, wire.decode, content)
        )
        rows.append(Row('heartbeats read', count, decode_s, 's'))
    return rows


def _repeat(
    count: int,
    function: Callable[[Any], object],
    argument: object,
) -> None:
    for _ in range(count):
        function(argument)


async def measure_peers() -> list[Row]:
    """Return CPU and bytes per second of one host, by number of peers."""
    rows: list[Row] = []
    for count in PEER_COUNTS:
        rows.extend(await _measure_mesh(count + 1))
    return rows


async def _measure_mesh(hosts: int) -> list[Row]:
    fleet = [_make_peers(number) for number in range(hosts)]
    async with anyio.create_task_group() as group:
        for member in fleet:
            await group.start(_run_peers, member)
        listed = [
            ListedHost(other.host.name, ROLE, '', peer_address=other.address)
            for other in fleet
        ]
        for member in fleet:
            _configure_peers(member, listed)
        await anyio.sleep(SETTLE_S)
        sent_before = _sent_bytes(fleet)
        started_at = time.process_time()
        await anyio.sleep(RUN_S)
        cpu_s = time.process_time() - started_at
        sent = _sent_bytes(fleet) - sent_before
        group.cancel_scope.cancel()
    host_seconds = RUN_S * hosts
    peers = hosts - 1
    return [
        Row('peers: core of one host', peers, cpu_s / host_seconds, 'cores'),
        Row('peers: sent by one host', peers, sent / host_seconds, 'bytes/s'),
    ]


def _make_peers(number: int) -> Peers:
    return Peers(
        HostId(f'entry-{number}', 'a'),
        '127.0.0.1:0',
        'secret',
        logs.discard_event,
    )


def _configure_peers(peers: Peers, listed: list[ListedHost]) -> None:
    heartbeat = msgspec.structs.replace(
        sample_heartbeat(),
        peer_address=peers.address,
    )
    peers.listed = lambda: listed
    peers.heartbeat = lambda _: heartbeat


def _sent_bytes(fleet: list[Peers]) -> int:
    return sum(member.traffic.bytes_sent for member in fleet)


async def _run_peers(
    peers: Peers,
    *,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    await peers.run(task_status.started)


@dataclass(slots=True)
class _ReportServer:
    """Server that answers every request with one report, in its own threads.

    Attributes
    ----------
    response : bytes
        The whole HTTP response.
    listener : socket
    transferred_bytes : int
        Bytes received and sent.
    """

    response: bytes
    listener: socket.socket = field(
        default_factory=lambda: socket.create_server(('127.0.0.1', 0)),
    )
    transferred_bytes: int = 0

    @property
    def address(self) -> str:
        """The ip:port that the server listens on."""
        host, port = self.listener.getsockname()
        return f'{host}:{port}'

    def serve(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve_connection,
                args=(connection,),
                daemon=True,
            ).start()

    def _serve_connection(self, connection: socket.socket) -> None:
        with connection:
            while request := connection.recv(_MAX_REQUEST_BYTES):
                connection.sendall(self.response)
                self.transferred_bytes += len(request) + len(self.response)


def sample_report() -> Report:
    """Return a typical report of an engine with four models."""
    adapters = tuple(f'adapter-{number}' for number in range(4))
    models = tuple(
        ResidentModel(f'model-{number}', 1 << 30, 'ready', adapters)
        for number in range(MODELS_PER_TARGET)
    )
    return Report('engine-1', '0123456789ab', models=models)


def _http_response() -> bytes:
    body = msgspec.json.encode(sample_report())
    head = (
        'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
        f'content-length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def measure_polls() -> list[Row]:
    """Return CPU and bytes per second, by number of polled targets."""
    rows: list[Row] = []
    for count in TARGET_COUNTS:
        server = _ReportServer(_http_response())
        thread = threading.Thread(target=server.serve, daemon=True)
        thread.start()
        rows.extend(await _measure_polling(server, count))
        server.listener.close()
    return rows


async def _measure_polling(server: _ReportServer, count: int) -> list[Row]:
    targets = Targets('http://127.0.0.1:1', logs.discard_event)
    for number in range(count):
        listed = ListedHost(f'engine-{number}', 'engine', server.address)
        targets.table.by_name[listed.name] = Target(listed)
    rounds = int(RUN_S / POLL_INTERVAL_S)
    async with targets.client:
        await _poll_once(targets)
        transferred_before = server.transferred_bytes
        started_at = time.thread_time()
        for _ in range(rounds):
            await _poll_once(targets)
            await anyio.sleep(POLL_INTERVAL_S / 4)
        cpu_s = time.thread_time() - started_at
        transferred = server.transferred_bytes - transferred_before
    paced_s = rounds * POLL_INTERVAL_S
    return [
        Row('polls: core of one host', count, cpu_s / paced_s, 'cores'),
        Row(
            'polls: moved by one host', count, transferred / paced_s, 'bytes/s'
        ),
    ]


async def _poll_once(targets: Targets) -> None:
    async with anyio.create_task_group() as group:
        for target in targets.table.by_name.values():
            group.start_soon(targets.poll_target, target)


async def measure_links() -> list[Row]:
    """Return all rows about links and polls."""
    return [
        *measure_codec(),
        *await measure_peers(),
        *await measure_polls(),
    ]
