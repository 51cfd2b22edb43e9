"""Tells what this host keeps in the store when the store has lost records.

The store may come back from a copy that is some seconds old. It then states a
higher era in all its answers. Whoever has written records, or relies on
offsets, acts on the new era at once instead of at its own next call.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from .logs import Logger

# Takes the new era.
OnEra = Callable[[int], None]


@dataclass(slots=True)
class StoreEras:
    """The store's era, as its answers state it.

    Attributes
    ----------
    newest : int or None
        None before the first answer.
    listeners : list of callable
        Called with each era that is newer than the one before, and with the
        first one.
    """

    log: Logger
    newest: int | None = None
    listeners: list[OnEra] = field(default_factory=list)

    def note(self, era: int) -> None:
        """Record the era that an answer states."""
        if self.newest is not None and era <= self.newest:
            return
        self.log('store_era', era=era, era_before=self.newest)
        self.newest = era
        for listener in self.listeners:
            listener(era)
