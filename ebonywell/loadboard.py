"""Load of each target, from this host and from its peers."""

import collections
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field


@dataclass(slots=True)
class TargetLoad:
    """Load of one target.

    Attributes
    ----------
    waiting_tokens : dict of int to int
        Prompt tokens of requests that have no first token yet, by their rank
        (see `urgency`).
    waiting, running : int
        Requests before and after their first token.
    held_tokens : int
        Prompt and output tokens of all these requests.
    """

    waiting_tokens: dict[int, int] = field(default_factory=dict)
    waiting: int = 0
    running: int = 0
    held_tokens: int = 0

    @property
    def in_flight(self) -> int:
        """Number of requests, before and after their first token."""
        return self.waiting + self.running

    def add(self, other: 'TargetLoad', sign: int = 1) -> None:
        """Add another load, or subtract it."""
        for rank, tokens in other.waiting_tokens.items():
            self.count(rank, sign * tokens)
        self.waiting += sign * other.waiting
        self.running += sign * other.running
        self.held_tokens += sign * other.held_tokens

    def count(self, rank: int, tokens: int) -> None:
        """Add waiting tokens of one rank, or subtract them."""
        left = self.waiting_tokens.get(rank, 0) + tokens
        if left:
            self.waiting_tokens[rank] = left
        else:
            self.waiting_tokens.pop(rank, None)


_NO_LOAD = TargetLoad()


@dataclass(slots=True, eq=False)
class Run:
    """A request that this host has in flight on a target.

    Attributes
    ----------
    target : str
    new_tokens : int
        Prompt tokens that the target has to process.
    held_tokens : int
        Prompt and output tokens that the target keeps for the request.
    rank : int
        Urgency; 0 is the most urgent.
    needs : tuple of str
        Its model, and its adapter as ``model/adapter``.
    is_started : bool
        Whether its first token has arrived.
    """

    target: str
    new_tokens: int
    held_tokens: int
    rank: int = 0
    needs: tuple[str, ...] = ()
    is_started: bool = False


@dataclass(slots=True)
class PeerLoads:
    """Loads that one peer reported, and when the report was received."""

    by_target: dict[str, TargetLoad]
    received_at: float


@dataclass(slots=True)
class LoadBoard:
    """Loads that this host and its peers put on the targets.

    Attributes
    ----------
    own : dict of str to TargetLoad
        This host's load by target; exact.
    runs : dict of str to Counter of str
        This host's requests in flight, by target, counted for each model and
        ``model/adapter``.
    peers : dict of str to PeerLoads
        Loads by peer; a few hundred milliseconds old.
    peer_totals : dict of str to TargetLoad
        Total load of all peers, by target.
    """

    own: dict[str, TargetLoad] = field(default_factory=dict)
    runs: dict[str, collections.Counter[str]] = field(default_factory=dict)
    peers: dict[str, PeerLoads] = field(default_factory=dict)
    peer_totals: dict[str, TargetLoad] = field(default_factory=dict)

    @contextmanager
    def running(self, run: Run) -> Iterator[None]:
        """Count a request on its target until it ends."""
        load = self.own.setdefault(run.target, TargetLoad())
        load.waiting += 1
        load.count(run.rank, run.new_tokens)
        load.held_tokens += run.held_tokens
        runs = self.runs.setdefault(run.target, collections.Counter())
        runs.update(run.needs)
        try:
            yield
        finally:
            self._end(run, load)
            runs.subtract(run.needs)

    def note_first_token(self, run: Run) -> None:
        """Record that the first token of a request has arrived."""
        if run.is_started:
            return
        run.is_started = True
        load = self.own[run.target]
        load.waiting -= 1
        load.count(run.rank, -run.new_tokens)
        load.running += 1

    def list_runs(self) -> dict[str, tuple[str, ...]]:
        """Return the models in use by this host's requests, by target."""
        return {
            target: tuple(self.models_in_use(target)) for target in self.runs
        }

    def models_in_use(self, target: str) -> set[str]:
        """Return the models in use by this host's requests on a target."""
        runs = self.runs.get(target)
        return {name for name in runs if runs[name]} if runs else set()

    def total(self, target: str) -> TargetLoad:
        """Return the load of a target from all hosts."""
        total = TargetLoad()
        for part in (self.own.get(target), self.peer_totals.get(target)):
            if part is not None:
                total.add(part)
        return total

    def note_peer_loads(
        self,
        peer: str,
        by_target: dict[str, TargetLoad],
        now: float,
    ) -> None:
        """Replace a peer's loads by those that it has just reported."""
        self.drop_peer(peer)
        self.peers[peer] = PeerLoads(by_target, now)
        for target, load in by_target.items():
            self.peer_totals.setdefault(target, TargetLoad()).add(load)

    def drop_peer(self, peer: str) -> None:
        """Remove the loads of a peer."""
        before = self.peers.pop(peer, None)
        if before is None:
            return
        for target, load in before.by_target.items():
            total = self.peer_totals[target]
            total.add(load, -1)
            if total == _NO_LOAD:
                self.peer_totals.pop(target)

    def expire(self, now: float, ttl_s: float) -> None:
        """Remove the loads of peers that have not reported for `ttl_s`."""
        for peer, loads in list(self.peers.items()):
            if now - loads.received_at >= ttl_s:
                self.drop_peer(peer)

    def _end(self, run: Run, load: TargetLoad) -> None:
        load.held_tokens -= run.held_tokens
        if run.is_started:
            load.running -= 1
        else:
            load.waiting -= 1
            load.count(run.rank, -run.new_tokens)
        if not load.waiting and not load.running:
            self.own.pop(run.target, None)
            self.runs.pop(run.target, None)
