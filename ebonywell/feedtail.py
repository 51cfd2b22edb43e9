"""The changes of a followed topic that a host can pass on to others."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from .sharedstore import KeyedRecord

# Deleted keys that are remembered. Of older deletions nothing can be passed on.
MAX_DELETIONS = 1000

# Takes an older and a newer value of a key, and returns whether the newer one
# holds news for other hosts.
IsChanged = Callable[[bytes, bytes], bool]


@dataclass(slots=True)
class FeedTail:
    """The newest record of each key, with the offset at which it changed.

    A record that says nothing new, such as a heartbeat, keeps the offset of the
    one before it, so it is not passed on.

    Attributes
    ----------
    is_changed : callable
    first_offset : int or None
        Changes at this offset and after it are known; None before the first
        full read.
    next_offset : int
        Offset of the next record to be read.
    changes : dict of str to KeyedRecord
        By key, the one that changed last at the end.
    """

    is_changed: IsChanged
    first_offset: int | None = None
    next_offset: int = 0
    changes: dict[str, KeyedRecord] = field(default_factory=dict)

    def clear(self) -> None:
        """Forget everything, since offsets start anew in another era."""
        self.first_offset = None
        self.next_offset = 0
        self.changes.clear()

    def replace_all(
        self, records: Sequence[KeyedRecord], next_offset: int
    ) -> None:
        """Apply a full read of the topic.

        Keys that it lacks were deleted at some time since the last read.
        """
        if self.first_offset is None:
            self.first_offset = next_offset
        found = {record.key for record in records}
        missing = [
            KeyedRecord(key, None, next_offset - 1)
            for key, known in self.changes.items()
            if key not in found and known.value is not None
        ]
        self.extend((*records, *missing), next_offset)

    def extend(self, records: Sequence[KeyedRecord], next_offset: int) -> None:
        """Apply records that follow the known ones."""
        for record in records:
            known = self.changes.get(record.key)
            if known is None or self._is_news(known, record):
                # A change moves to the end of the order.
                self.changes.pop(record.key, None)
                self.changes[record.key] = record
        self.next_offset = max(self.next_offset, next_offset)
        self._drop_old_deletions()

    def since(self, offset: int) -> Iterator[KeyedRecord] | None:
        """Return the changes from an offset on, by rising offset.

        Returns
        -------
        iterator of KeyedRecord or None
            None if some of them are not known.
        """
        if self.first_offset is None or offset < self.first_offset:
            return None
        newer = [one for one in self.changes.values() if one.offset >= offset]
        newer.sort(key=_offset_of)
        return iter(newer)

    def _is_news(self, known: KeyedRecord, record: KeyedRecord) -> bool:
        if record.offset < known.offset:
            return False
        if known.value is None or record.value is None:
            return known.value is not record.value
        return self.is_changed(known.value, record.value)

    def _drop_old_deletions(self) -> None:
        deleted = [one for one in self.changes.values() if one.value is None]
        for record in deleted[: max(0, len(deleted) - MAX_DELETIONS)]:
            self.changes.pop(record.key)
            self.first_offset = max(self.first_offset or 0, record.offset + 1)


def _offset_of(record: KeyedRecord) -> int:
    return record.offset
