"""What the prefix caches of all targets are believed to hold.

Made for some seventy hosts that share some forty-five targets: a host sends
one target a request every few seconds, and knows what the other hosts sent
from their observations.
"""

import collections
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from types import MappingProxyType

from ..inventory import KnownTarget, Resident
from ..logs import Logger, discard_event
from ..metrics import Metrics
from ..pace.observations import BORN_MASK, Observation
from .prompts import MAX_PARTS_PER_PROMPT, Prompt, cache_namespace
from .targetcache import SentPrompt, TargetCache
from .weighing import HEARSAY_TRUST, OWN_TRUST, is_missed

# Parts of all targets together; they take less than 2 MB.
MAX_PARTS = 5000
# Own exchanges whose observation this host may still be told of.
MAX_OWN_EXCHANGES = 16
MS_PER_S = 1000.0

Incarnation = tuple[str, int]
OwnExchange = tuple[str, int, str, tuple[int, ...]]


@dataclass(slots=True, frozen=True)
class TargetMemory:
    """The memory of one incarnation of a target.

    Attributes
    ----------
    born : int
    room_tokens : int
        Tokens that its cache can hold beside its requests.
    models : dict of str to Resident
        Models that it holds now.
    """

    born: int
    room_tokens: int
    models: dict[str, Resident] = field(default_factory=dict)


_NO_TARGETS: MappingProxyType[str, TargetMemory] = MappingProxyType({})


@dataclass(slots=True)
class PrefixCacheIndex:
    """The prompt parts that each target is believed to have cached.

    Attributes
    ----------
    memory_of : callable
        Returns the memory of a target as this host knows it; None if the
        target is not known or caches no prompts. By default, none is known.
    caches : dict of str to TargetCache
        Keyed by target.
    size : int
        Number of parts of all targets.
    own_exchanges : deque
        Own exchanges that were noted already.
    """

    log: Logger = discard_event
    metrics: Metrics = field(default_factory=Metrics)
    memory_of: Callable[[str], TargetMemory | None] = _NO_TARGETS.get
    caches: dict[str, TargetCache] = field(default_factory=dict)
    size: int = 0
    own_exchanges: collections.deque[OwnExchange] = field(
        default_factory=lambda: collections.deque(maxlen=MAX_OWN_EXCHANGES)
    )

    @contextmanager
    def sending(self, sent: SentPrompt) -> Iterator[None]:
        """Count a prompt as coming until its first byte or its failure."""
        self.note_sent(sent)
        try:
            yield
        finally:
            self.note_failed(sent)

    def note_sent(self, sent: SentPrompt) -> None:
        """Record that a prompt is sent to a target."""
        cache = self._find(sent.target)
        if cache is not None and sent.prompt.digests:
            cache.coming.append(sent)

    def note_written(self, sent: SentPrompt, now: float) -> None:
        """Record that a prompt is written to the connection of a target."""
        sent.sent_at = now
        if sent.prompt.prompt_tokens:
            self.metrics.count(
                'prompt_tokens_sent_total', sent.prompt.prompt_tokens
            )
            self.metrics.count(
                'prompt_tokens_expected_cached_total', sent.kept_tokens
            )

    def note_first_byte(self, sent: SentPrompt, now: float) -> None:
        """Record that a target has read a prompt, and has it cached."""
        self.note_failed(sent)
        self._judge(sent, now)
        cache = self._find(sent.target)
        if cache is None:
            return
        prompt = sent.prompt
        name, born = sent.target
        self.own_exchanges.append(
            (name, born & BORN_MASK, prompt.namespace, prompt.shared_digests)
        )
        added = cache.note_use(
            prompt.namespace, prompt.digests, sent.new_tokens, now, OWN_TRUST
        )
        self._bound(name, cache, added)

    def note_failed(self, sent: SentPrompt) -> None:
        """Record that a prompt was not read, unless its answer has begun."""
        cache = self.caches.get(sent.target[0])
        if cache is not None and sent in cache.coming:
            cache.coming.remove(sent)

    def note_observation(self, observation: Observation, now: float) -> None:
        """Record what another host has seen of a target.

        The observation of an exchange of this host adds nothing.
        """
        name = observation.target
        namespace = cache_namespace(observation.model, observation.adapter)
        own = (name, observation.born, namespace, observation.parts)
        if own in self.own_exchanges:
            self.own_exchanges.remove(own)
            return
        memory = self.memory_of(name)
        if memory is None or memory.born & BORN_MASK != observation.born:
            return
        cache = self._find((name, memory.born))
        if cache is None:
            return
        added = cache.note_use(
            namespace,
            observation.parts[:MAX_PARTS_PER_PROMPT],
            max(0, observation.new_tokens),
            now,
            HEARSAY_TRUST,
        )
        self._bound(name, cache, added)

    def kept_tokens(
        self, target: Incarnation, prompt: Prompt, rank: int, now: float
    ) -> int:
        """Return how many tokens of a prompt a target need not read.

        Parameters
        ----------
        target : (str, int)
            Incarnation of the target.
        prompt : Prompt
        rank : int
            Urgency of the request; it does not wait for less urgent ones.
        now : float

        Returns
        -------
        int
            Expected number, from what this host knows and how far it trusts
            that.
        """
        cache = self.caches.get(target[0])
        memory = self.memory_of(target[0])
        if cache is None or memory is None:
            return 0
        if not cache.born == memory.born == target[1]:
            return 0
        return int(cache.kept_tokens(prompt, rank, memory.room_tokens, now))

    def retain(self, targets: Iterable[KnownTarget]) -> None:
        """Drop what ended with a target's incarnation, model or adapter."""
        current = {known.name: known for known in targets}
        for name, cache in list(self.caches.items()):
            known = current.get(name)
            if known is None or known.announcement.born != cache.born:
                self._drop(name, 'target_ended')
                continue
            dropped = cache.retain(known.models)
            self.size -= dropped
            if dropped:
                self._log_end(name, 'unloaded', dropped)

    def _judge(self, sent: SentPrompt, now: float) -> None:
        """Count and log an answer that came as late as without the cache."""
        waited_ms = (now - sent.sent_at) * MS_PER_S
        if is_missed(waited_ms, sent.expected_ms, sent.saved_ms):
            self.metrics.count('prefix_cache_misses_total')
            self.log(
                'prefix_cache_missed',
                target=sent.target[0],
                kept_tokens=sent.kept_tokens,
                saved_s=sent.saved_ms / MS_PER_S,
                expected_s=sent.expected_ms / MS_PER_S,
                waited_s=waited_ms / MS_PER_S,
            )

    def _find(self, target: Incarnation) -> TargetCache | None:
        """Return the cache of an incarnation, None if it has ended."""
        name, born = target
        memory = self.memory_of(name)
        if memory is None or memory.born != born:
            return None
        cache = self.caches.get(name)
        if cache is not None and cache.born != born:
            self._drop(name, 'target_ended')
            cache = None
        if cache is None:
            cache = TargetCache(born, dict(memory.models))
            self.caches[name] = cache
        return cache

    def _bound(self, name: str, cache: TargetCache, added: int) -> None:
        """Drop what the target has evicted, and what is too much to keep."""
        memory = self.memory_of(name)
        room_tokens = 0 if memory is None else memory.room_tokens
        self.size += added - cache.evict(room_tokens)
        while self.size > MAX_PARTS:
            # Most caches have about their even share then, so that a search
            # for the largest one is rare.
            if len(cache.parts) * len(self.caches) <= MAX_PARTS:
                cache = max(self.caches.values(), key=_size_of)
            cache.parts.popitem(last=False)
            self.size -= 1

    def _drop(self, name: str, why: str) -> None:
        dropped = len(self.caches.pop(name).parts)
        self.size -= dropped
        if dropped:
            self._log_end(name, why, dropped)

    def _log_end(self, name: str, why: str, parts: int) -> None:
        self.log('prefix_cache_ended', target=name, why=why, parts=parts)


def _size_of(cache: TargetCache) -> int:
    return len(cache.parts)
