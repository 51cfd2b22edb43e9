"""Builds an initial state from a checkpoint that the log still holds."""

from dataclasses import dataclass, field

from .checkpoint import Checkpoint, CheckpointAssembly, CheckpointPart, add_part
from .exceptions import RecordError
from .logclient import StoredRecord
from .records import Record, parse_record
from .state import State, apply_record, decode_state


@dataclass(slots=True)
class Recovery:
    """Records read so far in the search for a usable checkpoint.

    Attributes
    ----------
    first_offset : int
        The first offset that the log still holds.
    records : list of (int, Record)
        All readable records from that offset on.
    """

    first_offset: int
    assembly: CheckpointAssembly = field(default_factory=CheckpointAssembly)
    records: list[tuple[int, Record]] = field(default_factory=list)


def add_record(recovery: Recovery, stored: StoredRecord) -> State | None:
    """Add the next record and return a state as soon as one can be built.

    A checkpoint is usable only if the log still holds every record after the
    offset that the checkpoint covers.
    """
    try:
        record = parse_record(stored.record)
    except RecordError:
        # Records that this version cannot read do not change its state.
        return None
    recovery.records.append((stored.offset, record))
    if not isinstance(record.body, CheckpointPart):
        return None
    found = add_part(recovery.assembly, stored.offset, record.body)
    if found is None or found.covers < recovery.first_offset - 1:
        return None
    return _build(recovery, found)


def _build(recovery: Recovery, found: Checkpoint) -> State | None:
    try:
        built = decode_state(found.encoded)
    except RecordError:
        return None
    for offset, record in recovery.records:
        if offset > found.covers:
            apply_record(built, offset, record)
    return built
