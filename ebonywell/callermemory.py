"""Memory that callers' connections take, bounded for all of them together.

Answers the load of callers that send requests without end or do not read their
answers, beside sound ones. The module is pure.
"""

from collections.abc import Callable
from dataclasses import dataclass

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
    """

    give_up: Callable[[], None]
    kept_bytes: int = 0
    is_optional: bool = False


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
        self, holding: Holding, kept_bytes: int, *, is_optional: bool
    ) -> None:
        """Note what a connection takes now.

        If all connections together take too much, the largest that may be given
        up is given up. Requests that were received whole are kept.
        """
        if holding not in self.holdings:
            return
        added = kept_bytes - holding.kept_bytes
        holding.kept_bytes = kept_bytes
        holding.is_optional = is_optional
        self.total_bytes += added
        if added > 0 and self.total_bytes > self.max_bytes:
            self._reclaim()

    def _reclaim(self) -> None:
        while self.total_bytes > self.max_bytes:
            optional = [
                one
                for one in self.holdings
                if one.is_optional and one.kept_bytes
            ]
            if not optional:
                return
            largest = max(optional, key=lambda one: one.kept_bytes)
            largest.is_optional = False
            largest.give_up()


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
