"""Links to the other entry hosts, for heartbeats and other messages."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectSendStream

from . import handshake, wire
from .exceptions import MalformedFrameError, PeerError, SettingsError
from .logs import Logger
from .misc import split_address
from .targets import ListedHost
from .types import HostId

HEARTBEAT_INTERVAL_S = 0.5
DIAL_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 3.0
PEER_TTL_S = 10.0
MAX_QUEUED_MESSAGES = 1000

Handler = Callable[[HostId, Any], None]


@dataclass(slots=True)
class Peer:
    """Another entry process and its latest heartbeat.

    Attributes
    ----------
    host : HostId
    heartbeat : Heartbeat
        Latest heartbeat.
    received_at : float
        Time at which it was received, by the clock of this process.
    """

    host: HostId
    heartbeat: wire.Heartbeat
    received_at: float


@dataclass(slots=True)
class Traffic:
    """Counters of messages since the start of the process."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    messages_dropped: int = 0
    frames_malformed: int = 0


@dataclass(slots=True)
class CutLinks:
    """Links that a test has cut, by host name of the peer.

    Attributes
    ----------
    refuse : set of str
        Hosts to which and from which no connections are kept.
    drop : set of str
        Hosts whose messages are dropped in both directions.
    """

    refuse: set[str] = field(default_factory=set)
    drop: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Link:
    name: str
    address: str
    queue: MemoryObjectSendStream[wire.Message]
    scope: anyio.CancelScope


class Peers:
    """The links of this process to its peers.

    Every process connects to every other one and sends on the connection that
    it has opened. The service owns the listener and all connections.

    Attributes
    ----------
    known : dict of str to Peer
        Peers with a recent heartbeat, by host name.
    handlers : dict of type to callable
        Functions called with the sender and the message, by message type.
    heartbeat : callable
        Returns the heartbeat for the host with the given name.
    listed : callable
        Returns the other entry hosts of the host list.
    traffic : Traffic
    cuts : CutLinks
    address : str
        Listening address (ip:port), with the bound port once `run` has begun.
    """

    def __init__(
        self,
        host: HostId,
        listen: str,
        secret: str,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.host = host
        self.address = listen
        self.secret = secret
        self.log = log
        self.clock = clock
        self.known: dict[str, Peer] = {}
        self.links: dict[str, _Link] = {}
        self.down: set[str] = set()
        self.handlers: dict[type[wire.Message], list[Handler]] = {}
        self.heartbeat: Callable[[str], wire.Heartbeat] | None = None
        self.listed: Callable[[], list[ListedHost]] = list
        self.traffic = Traffic()
        self.cuts = CutLinks()
        self.add_handler(wire.Heartbeat, self._note_heartbeat)

    async def run(self, ready: Callable[[], None]) -> None:
        """Listen, connect and send heartbeats until cancelled."""
        ip, port = split_address(self.address)
        listener = await anyio.create_tcp_listener(
            local_host=ip,
            local_port=port,
        )
        # Port 0 binds any free port.
        number = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f'{ip}:{number}'
        async with listener, anyio.create_task_group() as group:
            group.start_soon(listener.serve, self._accept)
            ready()
            while True:
                self._update_links(group)
                self.beat()
                await anyio.sleep(HEARTBEAT_INTERVAL_S)

    async def stop(self) -> None:
        """Send a last heartbeat with the latest state."""
        self.beat()
        await anyio.sleep(0)

    def add_handler(self, kind: type[wire.Message], handler: Handler) -> None:
        """Register a function that is called for every message of a type."""
        self.handlers.setdefault(kind, []).append(handler)

    def send(self, name: str, message: wire.Message) -> bool:
        """Queue a message for a host, and return whether it was queued.

        The message is dropped if the host has no link or the queue is full.
        """
        link = self.links.get(name)
        if link is None:
            return False
        try:
            link.queue.send_nowait(message)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self.traffic.messages_dropped += 1
            return False
        return True

    def broadcast(self, message: wire.Message) -> None:
        """Queue a message for every host with a link."""
        for name in list(self.links):
            self.send(name, message)

    def beat(self) -> None:
        """Send a heartbeat to every host with a link."""
        if self.heartbeat is not None:
            for name in list(self.links):
                self.send(name, self.heartbeat(name))

    def _note_heartbeat(
        self, sender: HostId, heartbeat: wire.Heartbeat
    ) -> None:
        self.known[sender.name] = Peer(sender, heartbeat, self.clock())

    def _peer_addresses(self) -> dict[str, str]:
        now = self.clock()
        reported = {
            name: peer.heartbeat.peer_address
            for name, peer in self.known.items()
            if now - peer.received_at < PEER_TTL_S
        }
        listed = {one.name: one.peer_address for one in self.listed()}
        # The host list lags behind the addresses that peers report.
        merged = listed | reported
        merged.pop(self.host.name, None)
        return {
            name: address
            for name, address in merged.items()
            if address and name not in self.cuts.refuse
        }

    def _update_links(self, group: TaskGroup) -> None:
        addresses = self._peer_addresses()
        for name, link in list(self.links.items()):
            if addresses.get(name) != link.address:
                link.scope.cancel()
                self.links.pop(name)
        for added in addresses.keys() - self.links.keys():
            sender, receiver = anyio.create_memory_object_stream[wire.Message](
                MAX_QUEUED_MESSAGES,
            )
            new_link = _Link(
                added, addresses[added], sender, anyio.CancelScope()
            )
            self.links[added] = new_link
            group.start_soon(self._maintain_link, new_link, receiver)
        now = self.clock()
        for gone, peer in list(self.known.items()):
            if now - peer.received_at > PEER_TTL_S:
                self.known.pop(gone)

    async def _maintain_link(self, link: _Link, queued: Any) -> None:
        with link.scope, queued:
            try:
                await self._serve_link(link, queued)
            except (PeerError, SettingsError) as error:
                if link.name not in self.down:
                    self.log('link_down', peer=link.name, reason=str(error))
                self.down.add(link.name)
            await anyio.sleep(HEARTBEAT_INTERVAL_S)
        if self.links.get(link.name) is link:
            self.links.pop(link.name)

    async def _serve_link(self, link: _Link, queued: Any) -> None:
        stream = await _connect(link.address)
        async with stream:
            scope = anyio.move_on_after(DIAL_TIMEOUT_S)
            with scope:
                reader = wire.FrameReader(stream, handshake.MAX_FRAME_BYTES)
                await handshake.dial(
                    self.secret,
                    self.host,
                    lambda message: self._write(stream, message),
                    reader.read,
                )
            if scope.cancelled_caught:
                raise PeerError('handshake timed out')
            self.down.discard(link.name)
            self.log('link_up', peer=link.name)
            async for message in queued:
                if link.name not in self.cuts.drop:
                    await self._write(stream, message)

    async def _write(self, stream: SocketStream, message: wire.Message) -> None:
        frame = wire.encode(message)
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                await stream.send(frame)
        except (OSError, anyio.BrokenResourceError) as error:
            raise PeerError(f'cannot send message: {error!r}') from error
        self.traffic.messages_sent += 1
        self.traffic.bytes_sent += len(frame)

    async def _accept(self, stream: SocketStream) -> None:
        async with stream:
            try:
                await self._serve_peer(stream)
            except MalformedFrameError as malformed:
                self.traffic.frames_malformed += 1
                self.log('frame_malformed', reason=str(malformed))
            except PeerError as error:
                self.log('peer_lost', reason=str(error))

    async def _serve_peer(self, stream: SocketStream) -> None:
        reader = wire.FrameReader(stream, handshake.MAX_FRAME_BYTES)
        scope = anyio.move_on_after(DIAL_TIMEOUT_S)
        with scope:
            peer = await handshake.accept(
                self.secret,
                self.host,
                lambda message: self._write(stream, message),
                reader.read,
            )
        if scope.cancelled_caught:
            raise PeerError('handshake timed out')
        reader.max_bytes = wire.MAX_FRAME_BYTES
        while peer.name not in self.cuts.refuse:
            message = await reader.read()
            if peer.name not in self.cuts.drop:
                self._dispatch(peer, message)

    def _dispatch(self, sender: HostId, message: wire.Message) -> None:
        self.traffic.messages_received += 1
        for handler in self.handlers.get(type(message), ()):
            handler(sender, message)


async def _connect(address: str) -> SocketStream:
    ip, port = split_address(address)
    try:
        with anyio.fail_after(DIAL_TIMEOUT_S):
            return await anyio.connect_tcp(ip, port)
    except OSError as error:
        raise PeerError(f'cannot connect: {error!r}') from error
