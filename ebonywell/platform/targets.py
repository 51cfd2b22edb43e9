"""Decodes the announcements and reports of the platform's replicas."""

from typing import Annotated

import msgspec

from ..engineorders import TargetReport
from ..evacuation.cold import read_cold_left
from ..exceptions import RecordError, SettingsError
from ..inventory import Announcement, Resident, TargetState
from ..misc import split_address
from ..transport import decode_answer

TOPIC = 'keyed.servers'
# Maximum of all whole numbers, such as a start time in milliseconds. Some are
# sent to other hosts.
MAX_COUNT = 1_000_000_000_000_000
_MS = 0.001
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _LoadedModel(msgspec.Struct, rename='camel'):
    name: str
    version: _Count = 0
    adapters: tuple[str, ...] = ()


class _CachedWeights(msgspec.Struct, rename='camel'):
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()


class _Entry(msgspec.Struct, rename='camel'):
    service: str
    address: str
    state: str
    zone: str = ''
    slots: _Count = 1
    # Version of the replica's software, not of its weights.
    version: int | str = ''
    born: _Count = 0
    models: tuple[_LoadedModel, ...] = ()
    remaining_ms: float | None = None
    # Kept as it is, since a value that cannot be read must not hide a target.
    cold_left_ms: msgspec.Raw = msgspec.Raw(b'0')
    # Cached weights, which need no transfer from the weight store.
    at_hand: _CachedWeights = msgspec.field(default_factory=_CachedWeights)


class _Report(msgspec.Struct, rename='camel'):
    # Number of accepted orders. The field of the same name in a replica's
    # announcement counts heartbeats instead.
    seq: _Count
    busy: bool = False
    born: _Count = 0
    models: tuple[_LoadedModel, ...] = ()
    # Adapters that are loading from the weight store, as MODEL/NAME@VERSION.
    coming: tuple[str, ...] = ()


def decode_announcement(name: str, body: bytes) -> Announcement:
    """Decode a target's announcement from a discovery record.

    Raises
    ------
    RecordError
        If the record is malformed, or its name or address cannot be used.
    """
    try:
        entry = msgspec.json.decode(body, type=_Entry)
        state = TargetState(entry.state)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise RecordError(f'target {name}: {error}') from error
    _check_name(name)
    _check_target_address(name, entry.address)
    remaining_ms = entry.remaining_ms
    cold_left_s, is_cold_sound = _read_cold_left(entry.cold_left_ms)
    return Announcement(
        name,
        entry.born,
        entry.service,
        entry.address,
        entry.zone,
        state,
        max(1, entry.slots),
        _translate_models(entry.models),
        None if remaining_ms is None else remaining_ms * _MS,
        frozenset(entry.at_hand.in_memory),
        frozenset(entry.at_hand.on_disk),
        str(entry.version),
        cold_left_s,
        is_cold_sound,
    )


def decode_report(body: bytes) -> TargetReport:
    """Decode the report that a target returned when polled.

    Raises
    ------
    TransportError
        If the body is not a valid report.
    """
    found = decode_answer(body, _Report)
    return TargetReport(
        found.born,
        found.seq,
        found.busy,
        _translate_models(found.models),
        tuple(one.partition('@')[0] for one in found.coming),
    )


def _translate_models(models: tuple[_LoadedModel, ...]) -> dict[str, Resident]:
    return {
        one.name: Resident(one.name, frozenset(one.adapters), one.version)
        for one in models
    }


def _read_cold_left(stated: msgspec.Raw) -> tuple[float, bool]:
    try:
        return read_cold_left(msgspec.json.decode(stated))
    except (msgspec.MsgspecError, RecursionError):
        return 0, False


def _check_name(name: str) -> None:
    # The name is sent in a header of each request to the target, so it must be
    # a valid header value.
    if not (name and name.isascii() and name.isprintable()):
        raise RecordError(
            f'target {name!r}: name is empty or not printable ASCII'
        )


def _check_target_address(name: str, address: str) -> None:
    try:
        _, port = split_address(address)
    except SettingsError as error:
        raise RecordError(f'target {name}: {error}') from error
    if not port:
        raise RecordError(f'target {name}: {address!r} names no port')
