"""Memory that callers' connections take, bounded for all of them together.

Answers the load of callers that send requests without end or do not read their
answers, beside sound ones. The module is pure.
"""

from collections.abc import Callable
from dataclasses import dataclass

from .slowcallers.victims import select_victim

# Memory for callers' connections if the limit of the process is not known.
DEFAULT_MEMORY_BYTES = 67_108_864
# Share of the process's memory limit that callers' connections may take. The
# code, the state and the answers of targets need the rest.
MEMORY_SHARE = 0.25


@dataclass(slots=True, eq=False)
class Holding:
    """Memory that one connection takes.

    Attributes
    ----------
    give_up : callable
        Ends what the connection is doing and frees its memory.
    kept_bytes : int
    is_optional : bool
        Whether it may be given up: its request is still being received, or its
        answer is not read.
    unread_since : float or None
        When the oldest byte was written that its caller has not read, in
        seconds; None if its caller is not behind with reading.
    """

    give_up: Callable[[], None]
    kept_bytes: int = 0
    is_optional: bool = False
    unread_since: float | None = None


class CallerMemory:
    """Memory that all connections of callers take.

    Attributes
    ----------
    max_bytes : int
    total_bytes : int
    holdings : set of Holding
    """

    def __init__(self, max_bytes: int = DEFAULT_MEMORY_BYTES) -> None:
        self.max_bytes = max_bytes
        self.total_bytes = 0
        self.holdings: set[Holding] = set()

    def open(self, give_up: Callable[[], None]) -> Holding:
        """Return the holding of a new connection."""
        holding = Holding(give_up)
        self.holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Free the holding of a connection that has ended."""
        self.total_bytes -= holding.kept_bytes
        holding.kept_bytes = 0
        # Without the reference back, the connection is freed at once.
        holding.give_up = _give_up_nothing
        self.holdings.discard(holding)

    def update(
        self,
        holding: Holding,
        kept_bytes: int,
        *,
        is_optional: bool,
        unread_since: float | None = None,
    ) -> None:
        """Note what a connection takes now.

        If all connections together take too much, some are given up; see
        `select_victim`. Requests that were received whole are kept.
        """
        if holding not in self.holdings:
            return
        added = kept_bytes - holding.kept_bytes
        holding.kept_bytes = kept_bytes
        holding.is_optional = is_optional
        holding.unread_since = unread_since
        self.total_bytes += added
        if added > 0 and self.total_bytes > self.max_bytes:
            self._reclaim()

    def list_behind(self) -> list[Holding]:
        """Return the connections whose callers are behind with reading."""
        return [one for one in self.holdings if one.unread_since is not None]

    def _reclaim(self) -> None:
        while self.total_bytes > self.max_bytes:
            victim = select_victim(
                one
                for one in self.holdings
                if one.is_optional and one.kept_bytes
            )
            if victim is None:
                return
            victim.is_optional = False
            victim.give_up()


def callers_memory_bytes(process_bytes: int) -> int:
    """Return the memory for callers' connections, in bytes.

    Parameters
    ----------
    process_bytes : int
        Memory limit of the process, 0 if it is not known.
    """
    if not process_bytes:
        return DEFAULT_MEMORY_BYTES
    return int(process_bytes * MEMORY_SHARE)


def _give_up_nothing() -> None:
    """Do nothing; the connection has ended."""
