"""Origins of streams, in bounded memory, each kept until its own end."""

import heapq
from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Origin:
    """Where a stream began, and until when it may be resumed.

    Attributes
    ----------
    release : str
    ends_at : float
        Time in seconds, by the clock of this process.
    """

    release: str
    ends_at: float


@dataclass(slots=True)
class OriginMemory:
    """Origins by the key of their stream.

    Attributes
    ----------
    limit : int
        Number of origins that fit.
    origins : dict of bytes to Origin
        In the order in which they were added.
    ends : list of (float, bytes)
        Heap of the ends of all origins, and of ends that were put off since.
    """

    limit: int
    origins: dict[bytes, Origin] = field(default_factory=dict)
    ends: list[tuple[float, bytes]] = field(default_factory=list)

    def has_room_for(self, key: bytes) -> bool:
        """Return whether an origin fits, in addition to the others."""
        return key in self.origins or len(self.origins) < self.limit

    def put(self, key: bytes, origin: Origin) -> None:
        """Add or replace an origin, in place of the one that ends first."""
        while not self.has_room_for(key):
            self._drop_first()
        self.origins[key] = origin
        heapq.heappush(self.ends, (origin.ends_at, key))

    def prolong(self, key: bytes, ends_at: float) -> None:
        """Keep a known origin at least until a time."""
        origin = self.origins.get(key)
        if origin is not None and origin.ends_at < ends_at:
            self.put(key, Origin(origin.release, ends_at))

    def expire(self, now: float) -> None:
        """Forget streams that can no longer be resumed."""
        while self.ends and self.ends[0][0] <= now:
            self._drop_first()

    def _drop_first(self) -> None:
        """Drop the origin that ends first, or an end that was put off."""
        ends_at, key = heapq.heappop(self.ends)
        origin = self.origins.get(key)
        if origin is not None and origin.ends_at <= ends_at:
            self.origins.pop(key)
