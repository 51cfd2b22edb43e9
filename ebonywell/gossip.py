"""Exchanges digests and other messages with the other hosts over UDP.

Digests carry soft state, and the next digest replaces a lost one. Datagrams
therefore suit them better than connections, which a cut network path would
stall.
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import anyio
import msgspec

from .clock import boot_time
from .datagrams import DatagramSocket, open_datagram_socket
from .digestrelay import take_for_relay
from .digests import (
    DIGEST_PERIOD_S,
    CrashMessage,
    Digest,
    DigestMessage,
    HolderStatus,
    Message,
    StatementMessage,
    decode_message,
    encode_message,
    holder_status,
)
from .exceptions import MalformedFrameError, SettingsError
from .fleetview import SILENT_AFTER_S, FleetView, Peer
from .logs import Logger

# In a larger fleet, each digest goes to this many hosts in rotation, which
# relay it, so that the traffic of a host does not grow with the fleet.
FANOUT = 10
# Of these, this many go to other availability zones, if its own has enough
# hosts. Links between zones cost more, and digests that cross them are relayed.
REMOTE_FANOUT = 3
# Hosts whose digest numbers go with each digest, at about five bytes each.
MAX_DIGEST_NUMBERS = 120
# Loads count until the next ones are overdue; see `loads_ttl_s`.
MIN_LOADS_TTL_S = 1.5
LOADS_TTL_ROUNDS = 1.5
# Size of a datagram that needs no fragmentation.
MAX_DATAGRAM_BYTES = 1350
# Interval between two log lines about the exchange of digests.
LOG_PERIOD_S = 5.0

Report = CrashMessage | StatementMessage


@dataclass(slots=True, frozen=True)
class SentDigest:
    """Sizes of a datagram that carried a digest.

    Attributes
    ----------
    digest_bytes : int
        Size of this host's own digest.
    datagram_bytes : int
    relayed : int
        Number of digests of other hosts.
    """

    digest_bytes: int = 0
    datagram_bytes: int = 0
    relayed: int = 0


class Gossip:
    """Sends this host's digest and receives those of the other hosts.

    Attributes
    ----------
    address : str
        Address of the socket, as ip:port.
    fleet : FleetView
    make_digest : callable
        Takes the number of the digest; returns None while there is no digest.
    note_digest : callable
        Called with each new digest.
    note_holder : callable
        Called with each newer status of a lease holder.
    handle_message : callable
        Called with each message of another kind.
    list_reports : callable
        Returns what to report with the next digest, the most urgent first.
    malformed : int
        Number of datagrams that held no valid message.
    last_sent : SentDigest
        Sizes of the last datagram with a digest.
    """

    def __init__(
        self,
        address: str,
        fleet: FleetView,
        make_digest: Callable[[int], Digest | None],
        note_digest: Callable[[Digest], None],
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.address = address
        self.fleet = fleet
        self.make_digest = make_digest
        self.note_digest = note_digest
        self.log = log
        self.rng = rng
        self.handle_message: Callable[[Message], None] = _ignore
        self.list_reports: Callable[[], Iterable[Report]] = tuple
        self.note_holder: Callable[[HolderStatus], None] = _ignore
        self.holder: HolderStatus | None = None
        self.holder_received_at = -math.inf
        self.socket: DatagramSocket | None = None
        self.number = 0
        self.malformed = 0
        self.last_sent = SentDigest()
        self.logged_at = -math.inf
        self.silent: set[str] = set()
        self.send_order: dict[str, None] = {}

    async def run(self) -> None:
        """Exchange messages until cancelled."""
        with open_datagram_socket(self.address, self.receive, self.log) as sock:
            self.socket = sock
            try:
                await self._send_digests()
            finally:
                self.socket = None

    def send(self, address: str, message: Message) -> None:
        """Send a message; it may be lost."""
        self.send_each((address,), message)

    def broadcast(self, message: Message) -> None:
        """Send a message to all hosts; it may be lost."""
        peers = self.fleet.peers.values()
        self.send_each([one.address for one in peers], message)

    def send_each(self, addresses: Iterable[str], message: Message) -> None:
        """Send a message to several hosts; any of them may be lost."""
        if self.socket is None:
            return
        datagram = encode_message(message)
        for address in addresses:
            try:
                self.socket.send(address, datagram)
            except SettingsError as error:
                self.log('datagram_unsent', to=address, why=repr(error))

    def receive(self, datagram: bytes) -> None:
        """Decode and handle a datagram from another host."""
        try:
            message = decode_message(datagram)
        except MalformedFrameError as error:
            self.malformed += 1
            self.log('datagram_malformed', why=str(error))
            return
        if isinstance(message, DigestMessage):
            self._receive_digests(message)
        else:
            self.handle_message(message)

    def fresh_holder(self, now: float) -> HolderStatus | None:
        """Return the newest holder status, or None if the holder is silent."""
        is_fresh = now - self.holder_received_at < SILENT_AFTER_S
        return self.holder if is_fresh else None

    async def _send_digests(self) -> None:
        while True:
            self._send_digest()
            self._log_silent()
            await anyio.sleep(DIGEST_PERIOD_S)

    def _send_digest(self) -> None:
        self.number += 1
        digest = self.make_digest(self.number)
        if digest is None:
            return
        peers = list(self._pick_peers())
        bare = DigestMessage(
            digest,
            (),
            self._pick_holder(digest),
            pick_digest_numbers(self.fleet, self.rng),
        )
        bare = add_reports(bare, self.list_reports())
        near = [one.address for one in peers if self.fleet.is_near(one)]
        remote = [one.address for one in peers if not self.fleet.is_near(one)]
        if near:
            self._send_relaying(near, bare, to_near=True)
        if remote:
            self._send_relaying(remote, bare, to_near=False)

    def _send_relaying(
        self, addresses: Iterable[str], bare: DigestMessage, *, to_near: bool
    ) -> None:
        """Send a digest to hosts of one kind, with what they hear rarely.

        Hosts of this zone hear each other directly, and those of others
        hear each other.
        """
        relayed = tuple(self._pick_relayed(bare, to_near=to_near))
        message = msgspec.structs.replace(bare, relayed=relayed)
        self.last_sent = SentDigest(
            len(encode_message(DigestMessage(bare.own))),
            len(encode_message(message)),
            len(relayed),
        )
        self.send_each(addresses, message)

    def _pick_peers(self) -> Iterator[Peer]:
        """Yield the hosts to send to in this round, in a fair rotation."""
        peers = self.fleet.peers
        if len(peers) <= FANOUT:
            yield from peers.values()
            return
        if self.send_order.keys() != peers.keys():
            order = list(peers)
            self.rng.shuffle(order)
            self.send_order = dict.fromkeys(order)
        near: list[str] = []
        remote: list[str] = []
        for name in self.send_order:
            is_near = self.fleet.is_near(peers[name])
            (near if is_near else remote).append(name)
        picked_remote = remote[: max(REMOTE_FANOUT, FANOUT - len(near))]
        for name in (*near[: FANOUT - len(picked_remote)], *picked_remote):
            self.send_order.pop(name)
            self.send_order[name] = None
            yield peers[name]

    def _pick_holder(self, own: Digest) -> HolderStatus | None:
        """Return the newest holder status, which all hosts relay at once.

        The few digests that fit beside a host's own digest would not reach
        all hosts of a large fleet before the holder seemed silent.
        """
        now = boot_time()
        status = holder_status(own)
        if status is not None and status.is_newer(self.holder):
            self.holder = status
            self.holder_received_at = now
        return self.fresh_holder(now)

    def _pick_relayed(
        self, message: DigestMessage, *, to_near: bool
    ) -> Iterator[Digest]:
        """Yield digests to relay, as many as fit in the datagram.

        No relaying is needed while all hosts receive each other's digests
        directly.
        """
        now = boot_time()
        if self.fleet.size <= FANOUT and not self.fleet.silent(now):
            return
        room = MAX_DATAGRAM_BYTES - len(encode_message(message))
        digests = [
            one
            for one in self.fleet.recent_digests(now)
            if to_near != (one.zone == self.fleet.zone)
        ]
        if not digests:
            digests = list(self.fleet.recent_digests(now))
        while digests and room > 0:
            digest = take_for_relay(digests, self.fleet, now, self.rng)
            room -= len(encode_message(DigestMessage(digest)))
            if room >= 0:
                yield digest

    def _receive_digests(self, message: DigestMessage) -> None:
        now = boot_time()
        for digest in (message.own, *message.relayed):
            if self.fleet.note_digest(digest, now):
                self.note_digest(digest)
                self._note_newer_holder(holder_status(digest), now)
        self._note_newer_holder(message.holder, now)
        self.fleet.note_digest_numbers(message.digest_numbers, now)
        for report in message.reports:
            self.handle_message(report)

    def _note_newer_holder(
        self,
        status: HolderStatus | None,
        now: float,
    ) -> None:
        if status is None or not status.is_newer(self.holder):
            return
        self.holder = status
        self.holder_received_at = now
        self.note_holder(status)

    def _log_silent(self) -> None:
        now = boot_time()
        silent = {
            peer.name
            for peer in self.fleet.silent(now)
            if now - peer.last_seen_at >= SILENT_AFTER_S
        }
        for name in silent - self.silent:
            self.log('peer_silent', peer=name)
        for name in self.silent - silent:
            self.log('peer_heard', peer=name)
        self.silent = silent
        for name in self.fleet.expire(now):
            self.log('peer_forgotten', peer=name)
        if now - self.logged_at >= LOG_PERIOD_S:
            self.logged_at = now
            self.log(
                'fleet_heard',
                hosts=self.fleet.size,
                silent=len(silent),
                own_bytes=self.last_sent.digest_bytes,
                told_bytes=self.last_sent.datagram_bytes,
                relayed=self.last_sent.relayed,
            )


def loads_ttl_s(fleet_size: int) -> float:
    """Return how long a host counts the loads that another host reported.

    The time is half as long again as until the next direct digest, so that
    after one lost datagram in a large fleet outdated loads don't count for
    much longer.
    """
    rounds = math.ceil(fleet_size / FANOUT)
    return max(MIN_LOADS_TTL_S, LOADS_TTL_ROUNDS * rounds * DIGEST_PERIOD_S)


def pick_digest_numbers(
    fleet: FleetView,
    rng: random.Random,
) -> tuple[tuple[int, int], ...]:
    """Return the newest known digest numbers of other hosts.

    They are not needed while all hosts receive each other's digests directly.
    """
    now = boot_time()
    if fleet.size <= FANOUT and not fleet.silent(now):
        return ()
    numbers = fleet.digest_numbers(now)
    if len(numbers) > MAX_DIGEST_NUMBERS:
        numbers = rng.sample(numbers, MAX_DIGEST_NUMBERS)
    return tuple(numbers)


def add_reports(
    message: DigestMessage,
    reports: Iterable[Report],
) -> DigestMessage:
    """Return the message with as many reports as its datagram has room for.

    Most digests hold none. A host that has missed a message, or has started
    after it, learns of it in this way.
    """
    for report in reports:
        larger = msgspec.structs.replace(
            message, reports=(*message.reports, report)
        )
        if len(encode_message(larger)) > MAX_DATAGRAM_BYTES:
            break
        message = larger
    return message


def _ignore(message: Message | HolderStatus) -> None:
    """Do nothing."""
