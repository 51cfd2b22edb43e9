"""The prompt prefixes that the engine's stand-in holds, and its events."""

import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import anyio
import msgspec
import xxhash

PREFIX_BYTES = 256
SKIPPED_EVENT_INTERVAL = 7


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix that was stored or evicted."""

    number: int
    prefix: str
    event: str


@dataclass(slots=True)
class PrefixCache:
    """A limited number of prefixes, and events that come late and with gaps.

    Attributes
    ----------
    max_prefixes : int
    lag_s : float
        How late an event is told, in seconds.
    prefixes : dict of str to None
        The least recently used first.
    events : list of (float, CacheEvent)
        Each with the time from which it is told.
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
        """Note the use of a prompt's prefix and return if it was held."""
        prefix = prefix_digest(prompt)
        is_held = prefix in self.prefixes
        self.prefixes.pop(prefix, None)
        self.prefixes[prefix] = None
        if not is_held:
            self._add_event(prefix, 'stored')
        if len(self.prefixes) > self.max_prefixes:
            oldest = next(iter(self.prefixes))
            self.prefixes.pop(oldest)
            self._add_event(oldest, 'evicted')
        return is_held

    def published_after(self, number: int) -> list[CacheEvent]:
        """Return the events after a number that are told by now."""
        now = self.clock()
        return [
            event
            for told_at, event in self.events
            if event.number > number and told_at <= now
        ]

    def _add_event(self, prefix: str, event: str) -> None:
        number = next(self.numbers)
        if number % SKIPPED_EVENT_INTERVAL:
            told_at = self.clock() + self.lag_s
            self.events.append((told_at, CacheEvent(number, prefix, event)))


def prefix_digest(prompt: str) -> str:
    """Return the digest by which events name the start of a prompt."""
    return xxhash.xxh64_hexdigest(prompt.encode()[:PREFIX_BYTES])
