"""Targets of `prefixworld`, and the index before this work."""

import collections
from dataclasses import dataclass, field

from ebonywell.health import TargetHealth

CACHE_TOKENS = 120_672
PARTS_BEFORE = 256


class SentParts:
    """The index before this work: own sends, 256 parts for each target."""

    def __init__(self):
        self.sent = {}

    def kept_tokens(self, target, prompt, rank, now):
        parts = self.sent.get(target[0], {})
        kept = 0
        for digest, tokens in zip(prompt.digests, prompt.tokens, strict=True):
            if digest not in parts:
                break
            kept += tokens
        return kept

    def note_sent(self, sent):
        parts = self.sent.setdefault(sent.target[0], collections.OrderedDict())
        for digest in sent.prompt.digests:
            parts[digest] = None
            parts.move_to_end(digest)
        while len(parts) > PARTS_BEFORE:
            parts.popitem(last=False)

    def note_first_byte(self, sent, now):
        """Do nothing; only sends count."""

    def note_observation(self, observation, now):
        """Do nothing; other hosts are not heard."""


@dataclass(slots=True, eq=False)
class Engine:
    """A target: reads prompts one after the other, the cache evicts by use."""

    name: str
    slowdown: float
    queue: collections.deque = field(default_factory=collections.deque)
    cache: collections.OrderedDict = field(
        default_factory=collections.OrderedDict
    )
    is_reading: bool = False
    held_tokens: int = 0

    def match(self, prompt):
        """Return the cached tokens of a prompt, and mark them as used."""
        kept = 0
        for digest, tokens in zip(prompt.digests, prompt.tokens, strict=True):
            if digest not in self.cache:
                break
            kept += tokens
            self.cache.move_to_end(digest)
        return kept

    def store(self, prompt):
        """Cache a prompt that was read, and evict what is too much."""
        for digest, tokens in zip(prompt.digests, prompt.tokens, strict=True):
            self.cache[digest] = tokens
            self.cache.move_to_end(digest)
        room = CACHE_TOKENS - self.held_tokens
        total = sum(self.cache.values())
        while self.cache and total > room:
            total -= self.cache.popitem(last=False)[1]


class PaceKnown:
    """Health of targets whose lasting pace the hosts know."""

    def __init__(self, engines):
        self.engines = engines

    def get(self, name, now):
        return TargetHealth(0, self.engines[name].slowdown, now)
