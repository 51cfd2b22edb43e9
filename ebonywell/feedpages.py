"""What a host that reads the store tells one that asks it, in a datagram."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from .digests import FeedAnswerMessage
from .sharedstore import KeyedRecord, StorePage
from .storereach import Witness

# How long a reader holds a question while nothing is new.
HOLD_S = 0.3
# Time after that in which the answer has to arrive.
ANSWER_TIMEOUT_S = 0.3
# Packed records in one answer, which has to fit in a datagram.
MAX_CHANGES_BYTES = 1150
MAX_PACKED_RECORDS = 16
MAX_PACKED_FROM_BYTES = 12_000
# Limits what a malformed answer may expand to.
MAX_UNPACKED_BYTES = 262_144
_COMPRESSION_LEVEL = 1

_Packed = tuple[tuple[str, bytes | None, int], ...]
_DECODER: msgspec.msgpack.Decoder[_Packed] = msgspec.msgpack.Decoder(_Packed)


@dataclass(slots=True, frozen=True)
class RelayedPage:
    """A page that another host told, and what it proves.

    Attributes
    ----------
    page : StorePage
    proven_at : float or None
        Time at which the topic was known to end no later than this page, by
        this host's clock; None if there is more to come.
    witness : Witness
    """

    page: StorePage
    proven_at: float | None
    witness: Witness


def pack_records(records: Iterable[KeyedRecord], end: int) -> tuple[bytes, int]:
    """Pack as many records as fit into an answer.

    Parameters
    ----------
    records : iterable of KeyedRecord
        By rising offset.
    end : int
        Offset after the last record.

    Returns
    -------
    packed : bytes
    told_offset : int
        Offset before which all records are packed.
    """
    chosen: list[KeyedRecord] = []
    size = 0
    for record in records:
        size += len(record.value or b'')
        is_full = len(chosen) == MAX_PACKED_RECORDS
        if is_full or size > MAX_PACKED_FROM_BYTES:
            end = record.offset
            break
        chosen.append(record)
    while chosen:
        packed = _compress(chosen)
        if len(packed) <= MAX_CHANGES_BYTES:
            return packed, end
        half = len(chosen) // 2
        end = chosen[half].offset
        chosen = chosen[:half]
    return b'', end


def unpack_records(packed: bytes) -> tuple[KeyedRecord, ...]:
    """Unpack the records of an answer.

    Raises
    ------
    ValueError
        If the bytes are malformed.
    """
    if not packed:
        return ()
    expander = zlib.decompressobj()
    try:
        body = expander.decompress(packed, MAX_UNPACKED_BYTES)
        if not expander.eof:
            raise ValueError('packed records are truncated or too large')
        return tuple(KeyedRecord(*one) for one in _DECODER.decode(body))
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(str(error)) from error


def _compress(records: Iterable[KeyedRecord]) -> bytes:
    rows = [(one.key, one.value, one.offset) for one in records]
    return zlib.compress(msgspec.msgpack.encode(rows), _COMPRESSION_LEVEL)


def read_answer(
    answer: FeedAnswerMessage, offset: int, asked_at: float, received_at: float
) -> RelayedPage | None:
    """Return the page in an answer, None if it is malformed.

    Records before the offset of the question are known already.

    Parameters
    ----------
    answer : FeedAnswerMessage
    offset : int
        Offset of the question.
    asked_at, received_at : float
        When the question was sent and its answer received.
    """
    try:
        records = unpack_records(answer.changes)
    except ValueError:
        return None
    is_sound = (
        0 <= answer.held_s <= HOLD_S + ANSWER_TIMEOUT_S
        and answer.proof_age_s >= 0
        and answer.reached_for_s >= 0
        and answer.told_offset <= max(offset, answer.next_offset)
        and all(one.offset < answer.next_offset for one in records)
    )
    if not is_sound:
        return None
    told_at = asked_at + answer.held_s
    page = StorePage(
        tuple(one for one in records if one.offset >= offset),
        max(offset, answer.told_offset),
    )
    proven_at = told_at - answer.proof_age_s
    is_whole = answer.told_offset >= answer.next_offset
    return RelayedPage(
        page,
        proven_at if is_whole else None,
        Witness(received_at - answer.reached_for_s, proven_at),
    )
