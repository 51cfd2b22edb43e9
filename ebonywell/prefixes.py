"""Which prompts each target is likely to keep."""

import collections
from collections.abc import Sequence
from dataclasses import dataclass, field

from .inbound import PromptPart

# Parts that one target's cache holds beside its running requests; the least
# recently used ones go first, there as here.
PARTS_PER_TARGET = 256


@dataclass(slots=True)
class PrefixIndex:
    """The prompt parts sent to each target of late.

    Attributes
    ----------
    sent : dict of str to OrderedDict
        By target: part ids with model and adapter, the newest at the end.
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
        """Note that a target has read a prompt for a model and adapter."""
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
        """Return the tokens that a target need not read again."""
        parts = self.sent.get(target)
        if parts is None:
            return 0
        kept = 0
        for part in prefix:
            if f'{namespace} {part.part_id}' not in parts:
                break
            kept += part.tokens
        return kept

    def forget(self, target: str) -> None:
        """Drop what a target kept; it has started again or unloaded."""
        self.sent.pop(target, None)
