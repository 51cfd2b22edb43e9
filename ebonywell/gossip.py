"""Exchanges digests and messages with the other hosts, over UDP.

What digests carry is soft state: a lost one is replaced by the next, so
datagrams fit better than connections, which a cut path would stall.
"""

import math
import random
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

import anyio
import msgspec

from .clock import boot_time
from .datagrams import DatagramSocket, open_datagram_socket
from .digests import (
    Digest,
    DigestMessage,
    HolderStatus,
    Message,
    decode_message,
    encode_message,
    holder_status,
)
from .exceptions import MalformedFrameError, SettingsError
from .fleetview import SILENT_AFTER_S, FleetView, Peer
from .logs import Logger

# Loads and counts are useful only while they are young: the choice of a
# target and the limits both reckon with this delay.
DIGEST_PERIOD_S = 0.2
# In a larger fleet each digest goes to so many hosts in turn, and is passed on
# from there, so that a host's traffic does not grow with the fleet.
FANOUT = 10
# Hosts whose counts go with each digest, at some five bytes each.
MAX_DIGEST_NUMBERS = 120
# Loads count until the next are overdue; see `loads_ttl_s`.
MIN_LOADS_TTL_S = 1.5
LOADS_TTL_ROUNDS = 1.5
# Of one datagram, without the need for fragments.
MAX_DATAGRAM_BYTES = 1350
# Between two lines of the log on what digests bring.
LOG_PERIOD_S = 5.0


@dataclass(slots=True, frozen=True)
class SentDigest:
    """What a datagram with a digest held.

    Attributes
    ----------
    digest_bytes : int
        Of the digest alone.
    datagram_bytes : int
    relayed : int
        Digests of other hosts.
    """

    digest_bytes: int = 0
    datagram_bytes: int = 0
    relayed: int = 0


class Gossip:
    """Sends this host's digest, and takes those of the others.

    Attributes
    ----------
    address : str
        The ip:port of its socket.
    fleet : FleetView
    make_digest : callable
        Takes the number of the digest; returns None while there is none.
    note_digest : callable
        SentDigest of each new digest.
    note_holder : callable
        SentDigest of each newer word of a holder of the lease.
    handle_message : callable
        Gets messages of other kinds.
    malformed : int
        Datagrams that held no message.
    last_sent : SentDigest
        What the last datagram held.
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
        """Take what another host sent."""
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
        """Return the newest word of a holder, unless it has fallen silent."""
        is_young = now - self.holder_received_at < SILENT_AFTER_S
        return self.holder if is_young else None

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
        relayed = tuple(self._pick_relayed(bare))
        message = msgspec.structs.replace(bare, relayed=relayed)
        self.last_sent = SentDigest(
            len(encode_message(DigestMessage(digest))),
            len(encode_message(message)),
            len(relayed),
        )
        self.send_each([one.address for one in peers], message)

    def _pick_peers(self) -> Iterator[Peer]:
        """Yield the hosts whose turn it is, each as often as any other."""
        peers = self.fleet.peers
        if len(peers) <= FANOUT:
            yield from peers.values()
            return
        if self.send_order.keys() != peers.keys():
            order = list(peers)
            self.rng.shuffle(order)
            self.send_order = dict.fromkeys(order)
        for name in tuple(islice(self.send_order, FANOUT)):
            self.send_order.pop(name)
            self.send_order[name] = None
            yield peers[name]

    def _pick_holder(self, own: Digest) -> HolderStatus | None:
        """Return the newest word of a holder, which all pass on at once.

        The digests that fit beside a host's own are too few for each to reach
        all hosts of a large fleet before the holder seems silent.
        """
        now = boot_time()
        word = holder_status(own)
        if word is not None and word.is_newer(self.holder):
            self.holder = word
            self.holder_received_at = now
        return self.fresh_holder(now)

    def _pick_relayed(self, message: DigestMessage) -> Iterator[Digest]:
        """Yield digests to pass on, as many as fit.

        While all hosts hear each other directly there is no need to.
        """
        now = boot_time()
        if self.fleet.size <= FANOUT and not self.fleet.silent(now):
            return
        room = MAX_DATAGRAM_BYTES - len(encode_message(message))
        heard = list(self.fleet.recent_digests(now))
        while heard and room > 0:
            digest = heard.pop(self.rng.randrange(len(heard)))
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

    def _note_newer_holder(self, word: HolderStatus | None, now: float) -> None:
        if word is None or not word.is_newer(self.holder):
            return
        self.holder = word
        self.holder_received_at = now
        self.note_holder(word)

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
    """Return for how long a host counts the loads that another told it.

    Half as long again as until it hears the next directly, so that one lost
    datagram in a large fleet does not outlive its truth by much.
    """
    turns = math.ceil(fleet_size / FANOUT)
    return max(MIN_LOADS_TTL_S, LOADS_TTL_ROUNDS * turns * DIGEST_PERIOD_S)


def pick_digest_numbers(
    fleet: FleetView,
    rng: random.Random,
) -> tuple[tuple[int, int], ...]:
    """Return of which digests of others this host has heard.

    While all hosts hear each other directly nobody needs them.
    """
    now = boot_time()
    if fleet.size <= FANOUT and not fleet.silent(now):
        return ()
    counts = fleet.digest_numbers(now)
    if len(counts) > MAX_DIGEST_NUMBERS:
        counts = rng.sample(counts, MAX_DIGEST_NUMBERS)
    return tuple(counts)


def _ignore(message: Message | HolderStatus) -> None:
    """Do nothing."""
