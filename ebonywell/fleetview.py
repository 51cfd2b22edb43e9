"""The other hosts, as their digests and the shared store report them."""

import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from .digests import DIGEST_PERIOD_S, Digest
from .loadboard import LoadBoard, TargetLoad

# A host that has been silent for this long, several digest periods, may be
# dead or cut off.
SILENT_AFTER_S = 1.2
# A host that has been silent for this long is no longer counted; by then it
# has lost its freshness proof, without which it admits no requests.
FORGET_AFTER_S = 60.0


@dataclass(slots=True)
class Peer:
    """Another host.

    Attributes
    ----------
    name, address : str
    life : int
        Number of the host's start; see `roster.life_of`. Of a host that has
        sent no digest yet, the offset of its record.
    last_seen_at : float
        When a newer digest number was received, by the clock of this process.
    digest : Digest or None
        Newest digest received, directly or relayed.
    number : int
        Number of its newest digest that any host has reported.
    """

    name: str
    address: str
    life: int
    last_seen_at: float
    digest: Digest | None = None
    number: int = 0

    def digest_age_s(self, now: float) -> float:
        """Return how old the newest digest is, by those that have followed."""
        if self.digest is None:
            return math.inf
        followed = self.number - self.digest.number
        return followed * DIGEST_PERIOD_S + now - self.last_seen_at


@dataclass(slots=True)
class FleetView:
    """All other hosts by name.

    Attributes
    ----------
    own_name : str
    board : LoadBoard
        Takes the loads that digests report.
    zone : str
        This host's availability zone.
    peers : dict of str to Peer
    by_life : dict of int to Peer
    note_restart : callable
        Called with a host that has restarted, in its state before the restart.
    receive_observations : callable
        Called with each copy of a digest, the number of digests that its host
        is known to have sent since, and the time.
    """

    own_name: str
    board: LoadBoard
    zone: str = ''
    peers: dict[str, Peer] = field(default_factory=dict)
    by_life: dict[int, Peer] = field(default_factory=dict)
    note_restart: Callable[[Peer], None] = lambda peer: None
    receive_observations: Callable[[Digest, int, float], None] = (
        lambda digest, followed, now: None
    )

    def add_host(self, name: str, address: str, life: int, now: float) -> None:
        """Add a host from its record in the store."""
        if name == self.own_name:
            return
        known = self.peers.get(name)
        if known is None or known.life < life:
            self._add(Peer(name, address, life, now))

    def is_near(self, peer: Peer) -> bool:
        """Return whether a host is known to be in this host's zone."""
        return peer.digest is not None and peer.digest.zone == self.zone

    def remove(self, name: str) -> None:
        """Remove a host that has left permanently."""
        gone = self.peers.pop(name, None)
        if gone is not None:
            self.by_life.pop(gone.life, None)
        self.board.drop_peer(name)

    def note_digest(self, digest: Digest, now: float) -> bool:
        """Record a digest, and return whether it is new."""
        if digest.name == self.own_name:
            return False
        known = self.peers.get(digest.name)
        if known is None or known.life < digest.life:
            if known is not None:
                self.note_restart(known)
            known = Peer(digest.name, digest.address, digest.life, now)
            self._add(known)
        elif known.life > digest.life:
            if known.digest is not None:
                return False
            # Its record was written late, after a copy of it was.
            known = Peer(digest.name, digest.address, digest.life, now)
            self._add(known)
        _note_number(known, digest.number, now)
        # A copy that was relayed holds fewer of them than the digest itself,
        # so that each copy is read.
        self.receive_observations(digest, known.number - digest.number, now)
        if known.digest is not None and known.digest.number >= digest.number:
            return False
        known.digest = digest
        self.board.note_peer_loads(
            digest.name,
            {
                load.target: TargetLoad(
                    dict(load.waiting_tokens),
                    load.waiting,
                    load.running,
                    load.held_tokens,
                )
                for load in digest.loads
            },
            now,
        )
        return True

    def digest_numbers(self, now: float) -> list[tuple[int, int]]:
        """Return life and newest digest number of hosts that aren't silent."""
        return [
            (peer.life, peer.number)
            for peer in self.peers.values()
            if peer.number and now - peer.last_seen_at < SILENT_AFTER_S
        ]

    def note_digest_numbers(
        self,
        digest_numbers: Iterable[tuple[int, int]],
        now: float,
    ) -> None:
        """Record the digest numbers that another host reports.

        A host whose numbers grow is alive, no matter who receives its digests.
        """
        by_life = self.by_life
        for life, number in digest_numbers:
            peer = by_life.get(life)
            # Most of them are known by now, so a call for each would cost more
            # than the rest.
            if peer is not None and number > peer.number:
                _note_number(peer, number, now)

    def recent_digests(self, now: float) -> Iterator[Digest]:
        """Iterate over the digests of the hosts that are not silent."""
        for peer in self.peers.values():
            if (
                peer.digest is not None
                and now - peer.last_seen_at < SILENT_AFTER_S
            ):
                yield peer.digest

    def recent(self, now: float) -> list[Peer]:
        """Return the hosts that are not silent and have sent a digest."""
        return [self.peers[one.name] for one in self.recent_digests(now)]

    def silent(self, now: float) -> list[Peer]:
        """Return the hosts that may be alive but are silent."""
        return [
            peer
            for peer in self.peers.values()
            if peer.digest is None or now - peer.last_seen_at >= SILENT_AFTER_S
        ]

    def expire(self, now: float) -> list[str]:
        """Remove hosts that were silent for too long; return their names."""
        gone = [
            peer.name
            for peer in self.peers.values()
            if now - peer.last_seen_at >= FORGET_AFTER_S
        ]
        for name in gone:
            self.remove(name)
        return gone

    def is_minority(self, now: float) -> bool:
        """Return whether this host reaches at most half of all hosts."""
        reachable = 1 + sum(1 for _ in self.recent_digests(now))
        return self.size > 1 and reachable * 2 <= self.size

    @property
    def size(self) -> int:
        """Number of hosts that may be alive, including this one."""
        return len(self.peers) + 1

    def _add(self, peer: Peer) -> None:
        before = self.peers.get(peer.name)
        if before is not None:
            self.by_life.pop(before.life, None)
        self.peers[peer.name] = peer
        self.by_life[peer.life] = peer


def _note_number(peer: Peer, number: int, now: float) -> None:
    if number > peer.number:
        peer.number = number
        peer.last_seen_at = now
