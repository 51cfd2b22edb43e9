"""The other hosts, as their digests and the store tell of them."""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .digests import Digest
from .loadboard import LoadBoard, PeerLoads, TargetLoad

# A host that was silent for this long, several digests, may be dead or cut.
SILENT_S = 1.2
# A host that was silent for this long is no longer counted; by then it has
# lost the proof of freshness without which it admits nothing.
FORGET_S = 60.0


@dataclass(slots=True)
class Peer:
    """Another host.

    Attributes
    ----------
    name, address : str
    life : int
        The store's offset of its start.
    digest : Digest or None
        The newest that came, directly or by way of another host.
    heard_at : float
        When it came, by the clock of this process.
    """

    name: str
    address: str
    life: int
    heard_at: float
    digest: Digest | None = None


@dataclass(slots=True)
class FleetView:
    """All other hosts by name.

    Attributes
    ----------
    own_name : str
    board : LoadBoard
        Gets the loads that digests report.
    peers : dict of str to Peer
    note_restart : callable
        Told of a host that has started again, as it was before.
    """

    own_name: str
    board: LoadBoard
    peers: dict[str, Peer] = field(default_factory=dict)
    note_restart: Callable[[Peer], None] = lambda peer: None

    def enlist(self, name: str, address: str, life: int, now: float) -> None:
        """Take over a host's record in the store."""
        if name == self.own_name:
            return
        known = self.peers.get(name)
        if known is None or known.life < life:
            self.peers[name] = Peer(name, address, life, now)

    def remove(self, name: str) -> None:
        """Forget a host that has left for good."""
        self.peers.pop(name, None)
        self.board.peers.pop(name, None)

    def take(self, digest: Digest, now: float) -> bool:
        """Take over a digest, and return whether it brought anything new."""
        if digest.name == self.own_name:
            return False
        known = self.peers.get(digest.name)
        if known is None or known.life < digest.life:
            if known is not None:
                self.note_restart(known)
            known = Peer(digest.name, digest.address, digest.life, now)
            self.peers[digest.name] = known
        elif known.life > digest.life:
            return False
        if known.digest is not None and known.digest.number >= digest.number:
            return False
        known.digest = digest
        known.heard_at = now
        self.board.peers[digest.name] = PeerLoads(
            {
                load.target: TargetLoad(
                    dict(load.waiting_tokens),
                    load.waiting,
                    load.running,
                    load.held_tokens,
                    Counter(load.models),
                )
                for load in digest.loads
            },
            now,
        )
        return True

    def heard(self, now: float) -> Iterator[Digest]:
        """Iterate over the digests of the hosts that are in touch."""
        for peer in self.peers.values():
            if peer.digest is not None and now - peer.heard_at < SILENT_S:
                yield peer.digest

    def silent(self, now: float) -> list[Peer]:
        """Return the hosts that may be alive but are not in touch."""
        return [
            peer
            for peer in self.peers.values()
            if peer.digest is None or now - peer.heard_at >= SILENT_S
        ]

    def expire(self, now: float) -> list[str]:
        """Forget hosts that were silent for long, and return their names."""
        gone = [
            peer.name
            for peer in self.peers.values()
            if now - peer.heard_at >= FORGET_S
        ]
        for name in gone:
            self.remove(name)
        return gone

    def is_minority(self, now: float) -> bool:
        """Return whether this host is cut off from half of the others."""
        in_touch = 1 + sum(1 for _ in self.heard(now))
        return self.size > 1 and in_touch * 2 <= self.size

    @property
    def size(self) -> int:
        """How many hosts may be alive, this one included."""
        return len(self.peers) + 1
