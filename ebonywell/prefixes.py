"""Tracks which prompt prefixes each target is likely to have cached."""

import collections
from collections.abc import Sequence
from dataclasses import dataclass, field

from .inbound import PromptPart

# Number of prompt parts that one target's cache holds besides its running
# requests. The engine and this index evict the least recently used part first.
PARTS_PER_TARGET = 256


@dataclass(slots=True)
class PrefixIndex:
    """The prompt parts recently sent to each target.

    Attributes
    ----------
    sent : dict of str to OrderedDict
        Keyed by target: model, adapter and part id, the most recent last.
    """

    sent: dict[str, collections.OrderedDict[str, None]] = field(
        default_factory=dict,
    )

    def record(
        self,
        target: str,
        namespace: str,
        prefix: Sequence[PromptPart],
    ) -> None:
        """Record that a prompt was sent to a target.

        Parameters
        ----------
        target : str
        namespace : str
            Model and adapter; a prompt is cached for each pair separately.
        prefix : sequence of PromptPart
        """
        parts = self.sent.setdefault(target, collections.OrderedDict())
        for part in prefix:
            key = f'{namespace} {part.part_id}'
            parts[key] = None
            parts.move_to_end(key)
        while len(parts) > PARTS_PER_TARGET:
            parts.popitem(last=False)

    def cached_tokens(
        self,
        target: str,
        namespace: str,
        prefix: Sequence[PromptPart],
    ) -> int:
        """Return the number of prompt tokens that a target has cached."""
        parts = self.sent.get(target)
        if parts is None:
            return 0
        tokens = 0
        for part in prefix:
            if f'{namespace} {part.part_id}' not in parts:
                break
            tokens += part.tokens
        return tokens

    def forget(self, target: str) -> None:
        """Drop a target's parts after it has restarted or unloaded."""
        self.sent.pop(target, None)
