"""Connections to targets, each used by one request at a time.

They are asyncio protocols rather than streams, so that an idle connection
notices at once when its target closes it or sends unsolicited bytes.
"""

import asyncio
import collections
import enum
import socket
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

import anyio
import httptools

from .clock import boot_time
from .exceptions import TargetUnreachableError
from .framing.bodies import BodyWriter
from .framing.statuses import is_final, is_interim
from .headroom.arrivals import Arrivals
from .misc import bound_reads, split_address

# 20 times the round trip and handshake to a distant availability zone.
CONNECT_TIMEOUT_S = 0.4
# After this time, the kernel closes a connection with unacknowledged data or
# unanswered keep-alive probes. A path that drops packets is not noticed
# otherwise.
ACK_TIMEOUT_MS = 1500
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2
# Idle time-out that is assumed for targets that do not state one. Targets state
# it in whole seconds.
DEFAULT_IDLE_S = 3.0
# Share of the idle time-out after which an idle connection is no longer used. A
# request that is sent later may cross with the target's close.
IDLE_SHARE = 0.6
# Reading from the target pauses while this much is buffered for the caller.
MAX_BUFFERED_BYTES = 262_144
# While the connections of a pool have buffered so much together, each pauses
# at less; the default if the memory limit of the process is not known.
MAX_POOL_BYTES = 16_777_216
MIN_BUFFERED_BYTES = 16_384
# Parts that are buffered one by one. Those of a reader that lags further behind
# are put together, up to this size.
MAX_SEPARATE_PARTS = 64
MERGED_PART_BYTES = 16_384
# Maximum size of a head, or of the framing of a body, such as chunk extensions.
# Faulty targets may send such bytes until the connection is closed.
MAX_BYTES_WITHOUT_PART = 65_536
_KEEP_ALIVE = b'keep-alive'
_TIMEOUT = 'timeout'

Headers = Sequence[tuple[bytes, bytes]]


class Ending(enum.StrEnum):
    """How an answer ended.

    Attributes
    ----------
    whole
        The length was reached, or the last chunk was received.
    closed
        The connection was closed, which ends an answer without a length.
    broken
        The answer ended in any other way.
    """

    whole = 'whole'
    closed = 'closed'
    broken = 'broken'


@dataclass(slots=True)
class AnswerHead:
    """The status and the headers of an answer."""

    status: int
    headers: list[tuple[bytes, bytes]]

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first header of a lower-case name."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


AnswerPart = AnswerHead | bytes | Ending
_BufferedPart = AnswerPart | bytearray


@dataclass(slots=True)
class PoolBuffers:
    """What all connections of a pool have buffered for callers.

    Attributes
    ----------
    total_bytes : int
    max_bytes : int
        Above it, each connection buffers less.
    """

    total_bytes: int = 0
    max_bytes: int = MAX_POOL_BYTES

    def is_full(self, buffered_bytes: int) -> bool:
        """Return whether a connection with so much should not be read."""
        is_scarce = self.total_bytes > self.max_bytes
        limit = MIN_BUFFERED_BYTES if is_scarce else MAX_BUFFERED_BYTES
        return buffered_bytes > limit


@dataclass(slots=True, eq=False)
class Exchange:
    """A request on a connection, and the received parts of its answer.

    Attributes
    ----------
    shared : PoolBuffers
    parts : deque
    buffered_bytes : int
        Bytes in `parts`.
    bytes_since_part : int
        Bytes received since the last part was added to `parts`.
    head : AnswerHead or None
    ending : Ending or None
        Set once the last part is in `parts`.
    waiter : asyncio.Future or None
        Done when a part is added. A plain future, because each event of each
        stream waits for one.
    arrivals : Arrivals
        When the parts of the body arrived.
    invalid_status : int or None
        Status of an answer that was not taken, as no answer has it.
    """

    shared: PoolBuffers
    parts: collections.deque[_BufferedPart] = field(
        default_factory=collections.deque,
    )
    buffered_bytes: int = 0
    bytes_since_part: int = 0
    head: AnswerHead | None = None
    ending: Ending | None = None
    waiter: asyncio.Future[None] | None = None
    arrivals: Arrivals = field(default_factory=Arrivals)
    invalid_status: int | None = None

    def add_body(self, body: bytes) -> None:
        """Add a part of the body, to the last one if many are buffered."""
        self.count(len(body))
        self.arrivals.note(boot_time())
        if len(self.parts) < MAX_SEPARATE_PARTS:
            self.add(body)
            return
        last = self.parts[-1]
        if isinstance(last, bytearray) and len(last) < MERGED_PART_BYTES:
            last += body
            self.bytes_since_part = 0
        else:
            self.add(bytearray(body))

    def count(self, added: int) -> None:
        """Count bytes that were added to `parts`, or taken if negative."""
        self.buffered_bytes += added
        self.shared.total_bytes += added

    def add(self, part: _BufferedPart) -> None:
        """Add a part and wake the waiting receiver."""
        self.parts.append(part)
        self.bytes_since_part = 0
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)


class Connection(BodyWriter):
    """A connection to one target.

    Attributes
    ----------
    buffers : PoolBuffers
    exchange : Exchange or None
        None while idle.
    is_reusable : bool
    idle_since : float
        Time in seconds by the clock of the process.
    idle_limit_s : float
        Idle time-out that the target stated, or the default, in seconds.
    """

    def __init__(self, buffers: PoolBuffers | None = None) -> None:
        super().__init__()
        self.buffers = buffers or PoolBuffers()
        self.parser = httptools.HttpResponseParser(self)
        self.exchange: Exchange | None = None
        self.is_reusable = True
        self.is_closed = False
        self.idle_since = boot_time()
        self.idle_limit_s = DEFAULT_IDLE_S
        self.headers: list[tuple[bytes, bytes]] = []

    # Called by the owner

    def send(self, head: bytes, body: bytes = b'') -> Exchange:
        """Send a whole request and return the exchange that gets its answer.

        Raises
        ------
        TargetUnreachableError
            If the connection is closed; no byte was sent.
        """
        if self.transport is None or self.is_closed:
            raise TargetUnreachableError('connection closed while idle')
        self.exchange = Exchange(self.buffers)
        self.headers = []
        self.write_request(head, body)
        return self.exchange

    async def receive(self, exchange: Exchange) -> AnswerPart:
        """Return the next part of an answer.

        The last one is an `Ending`.
        """
        while not exchange.parts:
            exchange.waiter = asyncio.get_running_loop().create_future()
            await exchange.waiter
        part = exchange.parts.popleft()
        if isinstance(part, bytearray):
            part = bytes(part)
        if isinstance(part, bytes):
            exchange.count(-len(part))
            transport = None if self.is_closed else self.transport
            if transport and not self.buffers.is_full(exchange.buffered_bytes):
                transport.resume_reading()
        return part

    def release(self) -> bool:
        """End the exchange and return whether the connection may be reused."""
        exchange = self.exchange
        self.exchange = None
        self.idle_since = boot_time()
        if exchange is not None:
            exchange.count(-exchange.buffered_bytes)
        is_whole = exchange is not None and exchange.ending is Ending.whole
        if not is_whole or not self.is_reusable or _has_unsent(self):
            self.close()
        return not self.is_closed

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may be used for a request."""
        limit_s = self.idle_limit_s * IDLE_SHARE
        return not self.is_closed and now - self.idle_since < limit_s

    def close(self) -> None:
        """Close the connection at once; its target stops a running request."""
        self.is_closed = True
        self.drop_body()
        if self.transport is not None:
            self.transport.abort()

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the socket options."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        bound_reads(transport)
        _set_timeouts(transport.get_extra_info('socket'))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the answer; close on unsolicited or endless ones."""
        exchange = self.exchange
        if exchange is None or exchange.ending is not None:
            self.is_reusable = False
            self.close()
            return
        exchange.bytes_since_part += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._end(Ending.broken)
        if exchange.bytes_since_part > MAX_BYTES_WITHOUT_PART:
            self._end(Ending.broken)
            self.close()
        if self.transport and self.buffers.is_full(exchange.buffered_bytes):
            exchange.arrivals.is_suspended = True
            self.transport.pause_reading()

    def eof_received(self) -> bool:
        """Treat the target's close as the end of an answer without a length."""
        exchange = self.exchange
        is_unframed = (
            exchange is not None
            and exchange.head is not None
            and _is_unframed(exchange.head)
        )
        self.is_closed = True
        self._end(Ending.closed if is_unframed else Ending.broken)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """End the answer in progress as broken."""
        self.is_closed = True
        self.drop_body()
        self._end(Ending.broken)

    # Called by the parser

    def on_message_begin(self) -> None:
        """Reset the headers; an answer after a whole one bars any reuse."""
        exchange = self.exchange
        if exchange is not None and exchange.ending is not None:
            self.is_reusable = False
        # A new list, because the old one belongs to an answer that is still
        # being forwarded.
        self.headers = []

    def on_header(self, name: bytes, content: bytes) -> None:
        """Store a header with its name in lower case."""
        self.headers.append((name.lower(), content))

    def on_headers_complete(self) -> None:
        """Add the head of the answer, unless it is an interim answer.

        One whose status is none ends the exchange.
        """
        exchange = self.exchange
        status = self.parser.get_status_code()
        if exchange is None or exchange.ending or is_interim(status):
            return
        if not is_final(status):
            exchange.invalid_status = status
            self._end(Ending.broken)
            self.close()
            return
        exchange.head = AnswerHead(status, self.headers)
        stated_s = _stated_idle_s(exchange.head)
        if stated_s is not None:
            self.idle_limit_s = stated_s
        exchange.add(exchange.head)

    def on_body(self, body: bytes) -> None:
        """Add a part of the body."""
        exchange = self.exchange
        if exchange is not None and exchange.ending is None:
            exchange.add_body(body)

    def on_message_complete(self) -> None:
        """Add the end of the answer, unless it is an interim answer."""
        exchange = self.exchange
        if exchange is None or exchange.ending or exchange.head is None:
            self.headers = []
            return
        if not self.parser.should_keep_alive():
            self.is_reusable = False
        self._end(Ending.whole)

    # Helpers

    def _end(self, ending: Ending) -> None:
        exchange = self.exchange
        if ending is not Ending.whole:
            self.is_reusable = False
        if exchange is not None and exchange.ending is None:
            exchange.ending = ending
            exchange.add(ending)


def _has_unsent(connection: Connection) -> bool:
    # A target may answer before it has read the whole request.
    transport = connection.transport
    if transport is None or connection.unwritten:
        return True
    return transport.get_write_buffer_size() > 0


def _stated_idle_s(head: AnswerHead) -> float | None:
    stated = (head.get(_KEEP_ALIVE) or b'').decode('latin-1')
    for part in stated.split(','):
        name, _, seconds = part.strip().partition('=')
        if name == _TIMEOUT and seconds.isascii() and seconds.isdigit():
            return float(seconds)
    return None


def _is_unframed(head: AnswerHead) -> bool:
    names = {name for name, _ in head.headers}
    return not names & {b'content-length', b'transfer-encoding'}


def _set_timeouts(sock: Any) -> None:
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, level in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_USER_TIMEOUT, ACK_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_S),
        (socket.TCP_KEEPCNT, PROBE_COUNT),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, level)


class ConnectionPool:
    """Idle connections to targets, which are closed when the context exits.

    Attributes
    ----------
    idle : dict of str to list of Connection
        Keyed by address, the most recently used one last.
    busy : dict of str to set of Connection
        Connections that are used by a request, by address.
    opened : int
        Number of connections opened since the start.
    buffers : PoolBuffers
    """

    def __init__(self) -> None:
        self.idle: dict[str, list[Connection]] = {}
        self.busy: dict[str, set[Connection]] = {}
        self.opened = 0
        self.buffers = PoolBuffers()

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.prune(frozenset())

    async def acquire(
        self, address: str, *, is_new: bool = False
    ) -> Connection:
        """Return an idle connection unless `is_new`, or a new one.

        Raises
        ------
        TargetUnreachableError
            If the target cannot be connected to.
        """
        connection = None if is_new else self._pop_idle(address)
        if connection is None:
            connection = await self._connect(address)
        self.busy.setdefault(address, set()).add(connection)
        return connection

    def release(self, address: str, connection: Connection) -> None:
        """Return a connection to the pool if it may be reused."""
        self._note_unused(address, connection)
        if connection.release():
            self.idle.setdefault(address, []).append(connection)

    def keep(self, address: str, connection: Connection) -> None:
        """Keep a connection that no request has used yet."""
        self._note_unused(address, connection)
        self.idle.setdefault(address, []).append(connection)

    def count_open(self, address: str) -> int:
        """Return how many connections to a target are known to be open."""
        connections = (
            *self.idle.get(address, ()),
            *self.busy.get(address, ()),
        )
        return sum(1 for one in connections if not one.is_closed)

    async def is_refused(self, address: str) -> bool:
        """Return whether a target refuses connections.

        A connection that it accepts is kept for later requests.
        """
        try:
            connection = await self._connect(address)
        except TargetUnreachableError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.idle.setdefault(address, []).append(connection)
        return False

    def prune(self, addresses: frozenset[str]) -> None:
        """Close expired connections and those to other addresses."""
        now = boot_time()
        for address, idle in list(self.idle.items()):
            kept = [
                one
                for one in idle
                if address in addresses and one.is_usable(now)
            ]
            for connection in set(idle) - set(kept):
                connection.close()
            self.idle[address] = kept
            if not kept:
                self.idle.pop(address)

    def _note_unused(self, address: str, connection: Connection) -> None:
        busy = self.busy[address]
        busy.discard(connection)
        if not busy:
            self.busy.pop(address)

    def _pop_idle(self, address: str) -> Connection | None:
        now = boot_time()
        idle = self.idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        return None

    async def _connect(self, address: str) -> Connection:
        host, port = split_address(address)
        loop = asyncio.get_running_loop()
        with _translated_errors(address):
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: Connection(self.buffers),
                    host,
                    port,
                )
        self.opened += 1
        return connection


@contextmanager
def _translated_errors(address: str) -> Iterator[None]:
    try:
        yield
    except (OSError, TimeoutError) as error:
        raise TargetUnreachableError(f'{address}: {error!r}') from error
