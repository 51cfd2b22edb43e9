"""What stands in the log: the union of all records, and its encoding."""

import msgspec

from . import changes, leases, onceonly, orders, suspects
from .checkpoint import CheckpointPart
from .exceptions import RecordError
from .registry import RegistryRecord
from .types import new_id

Body = (
    changes.CatalogueRecord
    | onceonly.OnceRecord
    | suspects.SuspectRecord
    | leases.LeaseRecord
    | orders.OrderRecord
    | RegistryRecord
    | CheckpointPart
)


class Record(msgspec.Struct, frozen=True):
    """One record of the log.

    Attributes
    ----------
    record_id : str
        By which an append whose reply was lost is found again.
    writer : str
        Host id and incarnation.
    written_at : float
        Seconds since the epoch by the writer's clock; never decides safety.
    body : Body
    """

    record_id: str
    writer: str
    written_at: float
    body: Body


def make_record(body: Body, writer: str, written_at: float) -> Record:
    """Return a record with a new id."""
    return Record(new_id(), writer, written_at, body)


def parse_record(parsed: object) -> Record:
    """Return the record that a piece of parsed JSON stands for.

    Raises
    ------
    RecordError
        If it is no record that this version knows, or none that a checkpoint
        could hold.
    """
    try:
        record = msgspec.convert(parsed, Record)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error
    check_numbers(record)
    return record


def check_numbers(record: msgspec.Struct) -> None:
    """Check that a checkpoint can hold all numbers of a record.

    Raises
    ------
    RecordError
        If a whole number needs more than 64 bits.
    """
    try:
        msgspec.msgpack.encode(record)
    except OverflowError as error:
        raise RecordError(str(error)) from error


def to_json(record: Record) -> object:
    """Return a record as plain lists, strings and numbers."""
    return msgspec.to_builtins(record)
