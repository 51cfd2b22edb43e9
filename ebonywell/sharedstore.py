"""Interface of the store that all hosts share."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(slots=True, frozen=True)
class KeyedRecord:
    """A record of a topic that keeps the newest record of each key.

    Attributes
    ----------
    key : str
    value : bytes or None
        None if the key was deleted.
    offset : int
    """

    key: str
    value: bytes | None
    offset: int


@dataclass(slots=True, frozen=True)
class StorePage:
    """Records of one read, and the offset at which the next read starts.

    Attributes
    ----------
    records : tuple of KeyedRecord
    next_offset : int
    is_last : bool
        Whether the topic had no further records when the page was made.
    era : int
        Rises when the store comes back from an older copy of itself. Offsets
        of an earlier era are given out again.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    is_last: bool = True
    era: int = 0


@dataclass(slots=True, frozen=True)
class Appended:
    """Where records were appended.

    Attributes
    ----------
    offset : int
        Offset of the first record.
    era : int
        Era of the store in which they were; see `StorePage`.
    """

    offset: int
    era: int = 0


class SharedStore(Protocol):
    """Calls of the shared store; each may raise `LogServiceError`."""

    async def read_newest(self, topic: str, partition: int) -> StorePage:
        """Return the newest record of each key."""

    async def read_since(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
    ) -> StorePage:
        """Return the records from an offset on, or wait for some to arrive."""

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[tuple[str, bytes | None]],
        expected_end: int | None = None,
    ) -> Appended:
        """Append keyed records, and return where.

        Parameters
        ----------
        topic : str
        partition : int
        records : sequence of (str, bytes or None)
        expected_end : int or None
            Append only if the partition ends at this offset.

        Raises
        ------
        ConflictError
            If the partition ends elsewhere; nothing was appended.
        """
