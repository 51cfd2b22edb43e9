"""Simulates the prefix cache of the engine stand-in and its events."""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import anyio
import msgspec
import xxhash

PREFIX_BYTES = 256
SKIPPED_EVENT_INTERVAL = 7


class CacheEvent(msgspec.Struct, frozen=True):
    """Event that a prefix was stored or evicted."""

    number: int
    prefix: str
    event: str


@dataclass(slots=True)
class PrefixCache:
    """LRU cache of prompt prefixes, whose events are late and incomplete.

    Every event whose number is a multiple of `SKIPPED_EVENT_INTERVAL` is not
    published, so that readers see gaps.

    Attributes
    ----------
    max_prefixes : int
    lag_s : float
        The delay before an event is published, in seconds.
    prefixes : dict of str to None
        The cached prefixes, least recently used first.
    events : list of (float, CacheEvent)
        Each event with the time at which it is published.
    """

    max_prefixes: int
    lag_s: float
    clock: Callable[[], float] = anyio.current_time
    prefixes: dict[str, None] = field(default_factory=dict)
    events: list[tuple[float, CacheEvent]] = field(default_factory=list)
    numbers: Iterator[int] = field(
        default_factory=lambda: itertools.count(1),
    )

    def use(self, prompt: str) -> bool:
        """Cache a prompt's prefix and return whether it was cached before."""
        prefix = prefix_digest(prompt)
        is_cached = prefix in self.prefixes
        self.prefixes.pop(prefix, None)
        self.prefixes[prefix] = None
        if not is_cached:
            self._add_event(prefix, 'stored')
        if len(self.prefixes) > self.max_prefixes:
            oldest = next(iter(self.prefixes))
            self.prefixes.pop(oldest)
            self._add_event(oldest, 'evicted')
        return is_cached

    def published_after(self, number: int) -> list[CacheEvent]:
        """Return the published events with a number above the given one."""
        now = self.clock()
        return [
            event
            for published_at, event in self.events
            if event.number > number and published_at <= now
        ]

    def _add_event(self, prefix: str, event: str) -> None:
        number = next(self.numbers)
        if number % SKIPPED_EVENT_INTERVAL:
            published_at = self.clock() + self.lag_s
            self.events.append(
                (published_at, CacheEvent(number, prefix, event))
            )


def prefix_digest(prompt: str) -> str:
    """Return the digest that identifies the prefix of a prompt in events."""
    return xxhash.xxh64_hexdigest(prompt.encode()[:PREFIX_BYTES])
