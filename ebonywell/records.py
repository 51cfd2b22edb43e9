"""The union of all kinds of log records, and its encoding."""

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
        Identifies the record when it is read back, also if the reply to the
        append was lost.
    writer : str
        The writer's host id and incarnation.
    written_at : float
        Seconds since the epoch by the writer's clock; no safety property
        depends on it.
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
    """Return the record that parsed JSON represents.

    Raises
    ------
    RecordError
        If this version does not know the record, or a checkpoint could not
        hold it.
    """
    try:
        record = msgspec.convert(parsed, Record)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error
    check_numbers(record)
    return record


def check_numbers(record: msgspec.Struct) -> None:
    """Check that a checkpoint can hold all integers of a record.

    Raises
    ------
    RecordError
        If an integer needs more than 64 bits.
    """
    try:
        msgspec.msgpack.encode(record)
    except OverflowError as error:
        raise RecordError(str(error)) from error


def to_json(record: Record) -> object:
    """Return a record as plain lists, strings and numbers."""
    return msgspec.to_builtins(record)
