"""Checkpoints: the whole state, written to the log in parts."""

import hashlib
from dataclasses import dataclass, field

import msgspec

_KIB = 1024
_PART_KIB = 48
PART_BYTES = _PART_KIB * _KIB
MAX_PARTIAL_CHECKPOINTS = 4


class CheckpointPart(msgspec.Struct, frozen=True, tag='checkpoint_part'):
    """One part of an encoded state.

    Attributes
    ----------
    checkpoint_id : str
    covers : int
        The offset of the last record that is applied in the state.
    digest : str
        Digest of the whole encoded state.
    index : int
    count : int
    payload : bytes
    """

    checkpoint_id: str
    covers: int
    digest: str
    index: int
    count: int
    payload: bytes


class Checkpoint(msgspec.Struct, frozen=True):
    """A complete checkpoint as found in the log.

    Attributes
    ----------
    covers : int
        The offset of the last record that is applied in the state.
    first_offset : int
        The offset of its earliest part.
    encoded : bytes
        The encoded state.
    """

    covers: int
    first_offset: int
    encoded: bytes


@dataclass(slots=True)
class _Partial:
    first_offset: int
    parts: dict[int, bytes] = field(default_factory=dict)


@dataclass(slots=True)
class CheckpointAssembly:
    """Parts of incomplete checkpoints, ordered by each one's first part."""

    partials: dict[str, _Partial] = field(default_factory=dict)


def split_state(
    checkpoint_id: str,
    covers: int,
    encoded: bytes,
) -> list[CheckpointPart]:
    """Split an encoded state into parts that each fit into a record."""
    digest = _digest(encoded)
    starts = range(0, max(len(encoded), 1), PART_BYTES)
    return [
        CheckpointPart(
            checkpoint_id,
            covers,
            digest,
            index,
            len(starts),
            encoded[start : start + PART_BYTES],
        )
        for index, start in enumerate(starts)
    ]


def add_part(
    assembly: CheckpointAssembly,
    offset: int,
    part: CheckpointPart,
) -> Checkpoint | None:
    """Add a part and return its checkpoint if that is now complete.

    A checkpoint whose writer died before the last part never becomes
    complete; it is dropped once `MAX_PARTIAL_CHECKPOINTS` later ones have
    started.
    """
    partials = assembly.partials
    partial = partials.setdefault(part.checkpoint_id, _Partial(offset))
    partial.parts[part.index] = part.payload
    if len(partials) > MAX_PARTIAL_CHECKPOINTS:
        partials.pop(next(iter(partials)))
    if len(partial.parts) < part.count:
        return None
    partials.pop(part.checkpoint_id, None)
    encoded = b''.join(
        partial.parts.get(index, b'') for index in range(part.count)
    )
    if _digest(encoded) != part.digest:
        return None
    return Checkpoint(part.covers, partial.first_offset, encoded)


def _digest(encoded: bytes) -> str:
    return hashlib.sha256(encoded).hexdigest()
