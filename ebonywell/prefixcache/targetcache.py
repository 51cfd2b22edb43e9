"""What the prefix cache of one incarnation of a target is believed to hold.

Made for caches that evict the least recently used parts unseen: a part ends
when the target has read more tokens since its last use than the cache has room
for, whoever sent them.
"""

import collections
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..inventory import Resident
from .prompts import Prompt
from .weighing import believe


@dataclass(slots=True, frozen=True)
class PartUse:
    """The last known use of a cached part.

    Attributes
    ----------
    read_tokens : int
        Count of the tokens that the target had read by then.
    used_at : float
        Time in seconds by the clock of the process.
    trust : float
        What the word of its source is worth, up to 1.
    namespace : str
        Model and adapter for which the part is cached.
    """

    read_tokens: int
    used_at: float
    trust: float
    namespace: str


@dataclass(slots=True, eq=False)
class SentPrompt:
    """A prompt that this host has sent and whose answer has not begun.

    Attributes
    ----------
    target : (str, int)
        Incarnation of the target.
    prompt : Prompt
    rank : int
        Urgency; 0 is the most urgent.
    new_tokens : int
        Prompt tokens that the target was expected to read.
    kept_tokens : int
        Prompt tokens that it was expected to have cached.
    saved_ms : float
        How much sooner the answer was expected thanks to them.
    expected_ms : float
        Expected time to the first byte.
    sent_at : float
        Time in seconds by the clock of the process; 0 until it is sent.
    """

    target: tuple[str, int]
    prompt: Prompt
    rank: int = 0
    new_tokens: int = 0
    kept_tokens: int = 0
    saved_ms: float = 0
    expected_ms: float = 0
    sent_at: float = 0


@dataclass(slots=True)
class TargetCache:
    """The prompt parts that one incarnation of a target has cached.

    Attributes
    ----------
    born : int
    models : dict of str to Resident
        Models on the target when the parts were last compared with them.
    read_tokens : int
        Prompt tokens that the target is known to have read.
    parts : OrderedDict of int to PartUse
        Last uses by digest, the least recent first. Digests cover the
        namespace.
    coming : list of SentPrompt
        Prompts that the target reads now or has queued.
    """

    born: int
    models: dict[str, Resident] = field(default_factory=dict)
    read_tokens: int = 0
    parts: collections.OrderedDict[int, PartUse] = field(
        default_factory=collections.OrderedDict
    )
    coming: list[SentPrompt] = field(default_factory=list)

    def note_use(
        self,
        namespace: str,
        digests: Iterable[int],
        new_tokens: int,
        now: float,
        trust: float,
    ) -> int:
        """Record that the target has read a prompt.

        Returns
        -------
        int
            Number of parts that were not known before.
        """
        self.read_tokens += new_tokens
        before = len(self.parts)
        use = PartUse(self.read_tokens, now, trust, namespace)
        for digest in digests:
            self.parts[digest] = use
            self.parts.move_to_end(digest)
        return len(self.parts) - before

    def evict(self, room_tokens: float) -> int:
        """Drop the parts that the target no longer has room for.

        Returns
        -------
        int
            Their number.
        """
        before = len(self.parts)
        oldest = self.read_tokens - max(0, room_tokens)
        while self.parts:
            use = next(iter(self.parts.values()))
            if use.read_tokens >= oldest:
                break
            self.parts.popitem(last=False)
        return before - len(self.parts)

    def retain(self, models: dict[str, Resident]) -> int:
        """Drop the parts of models and adapters that are gone or replaced.

        Returns
        -------
        int
            Number of parts that were dropped.
        """
        if models == self.models:
            return 0
        ended = [
            digest
            for digest, use in self.parts.items()
            if not _is_same(self.models, models, use.namespace)
        ]
        for digest in ended:
            self.parts.pop(digest)
        self.models = dict(models)
        return len(ended)

    def kept_tokens(
        self, prompt: Prompt, rank: int, room_tokens: float, now: float
    ) -> float:
        """Return how many tokens of a prompt need not be read, as expected.

        A part counts only as far as all parts before it.
        """
        coming = self._list_coming(prompt.namespace, rank)
        belief: float = 1
        kept: float = 0
        for digest, tokens in zip(prompt.digests, prompt.tokens, strict=True):
            use = self.parts.get(digest)
            if digest not in coming:
                belief = min(belief, self._believe(use, room_tokens, now))
            if not belief:
                break
            kept += belief * tokens
        return kept

    def _believe(
        self, use: PartUse | None, room_tokens: float, now: float
    ) -> float:
        if use is None:
            return 0
        tokens_since = self.read_tokens - use.read_tokens
        age_s = now - use.used_at
        return believe(tokens_since, room_tokens, age_s, use.trust)

    def _list_coming(self, namespace: str, rank: int) -> set[int]:
        """Return the parts that are read before a request of a rank."""
        return {
            digest
            for sent in self.coming
            if sent.rank <= rank and sent.prompt.namespace == namespace
            for digest in sent.prompt.digests
        }


def _is_same(
    before: dict[str, Resident], after: dict[str, Resident], namespace: str
) -> bool:
    """Return whether a model and adapter have stayed where they were."""
    model, _, adapter = namespace.partition('/')
    resident = after.get(model)
    if resident is None or (adapter and adapter not in resident.adapters):
        return False
    # An observation may arrive before the announcement of a new model.
    earlier = before.get(model, resident)
    return earlier.version == resident.version
