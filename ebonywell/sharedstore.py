"""What ebonywell asks of the store that all hosts share."""

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
        None where the key was dropped.
    offset : int
    """

    key: str
    value: bytes | None
    offset: int


@dataclass(slots=True, frozen=True)
class StorePage:
    """Records, and where the next read goes on.

    Attributes
    ----------
    records : tuple of KeyedRecord
    next_offset : int
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int


class SharedStore(Protocol):
    """The shared store's calls; each raises `LogServiceError`."""

    async def read_newest(self, topic: str, partition: int) -> StorePage:
        """Return the newest record of each key."""

    async def read_since(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
    ) -> StorePage:
        """Return the records from an offset on, once there are any."""

    async def append(
        self,
        topic: str,
        partition: int,
        records: Sequence[tuple[str, bytes | None]],
        expected_end: int | None = None,
    ) -> int:
        """Append keyed records, and return the first one's offset.

        Parameters
        ----------
        topic : str
        partition : int
        records : sequence of (str, bytes or None)
        expected_end : int or None
            Append only if the partition ends there.

        Raises
        ------
        ConflictError
            If the partition ends elsewhere; nothing was appended.
        """
