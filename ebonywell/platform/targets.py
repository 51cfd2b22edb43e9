"""What the platform's replicas say of themselves."""

from typing import Annotated

import msgspec

from ..exceptions import RecordError, SettingsError
from ..inventory import Announcement, Resident, TargetState
from ..misc import split_address
from ..orderbook import TargetReport
from ..transport import decode_answer

TOPIC = 'keyed.servers'
# Of milliseconds or orders; other hosts are told of both.
MAX_COUNT = 1_000_000_000_000_000
_MS = 0.001
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class _LoadedModel(msgspec.Struct, rename='camel'):
    name: str
    version: int = 0
    adapters: tuple[str, ...] = ()


class _CachedWeights(msgspec.Struct, rename='camel'):
    in_memory: tuple[str, ...] = ()
    on_disk: tuple[str, ...] = ()


class _Entry(msgspec.Struct, rename='camel'):
    service: str
    address: str
    state: str
    zone: str = ''
    slots: int = 1
    born: _Count = 0
    models: tuple[_LoadedModel, ...] = ()
    remaining_ms: float | None = None
    # Weights that it need not fetch from the weight store.
    at_hand: _CachedWeights = msgspec.field(default_factory=_CachedWeights)


class _Report(msgspec.Struct, rename='camel'):
    # The orders that it accepted; in its entry the same name counts its
    # heartbeats.
    seq: _Count
    busy: bool = False
    born: _Count = 0
    models: tuple[_LoadedModel, ...] = ()
    # Adapters on their way from the weight store, as MODEL/NAME@VERSION.
    coming: tuple[str, ...] = ()


def decode_announcement(name: str, body: bytes) -> Announcement:
    """Return what a record of discovery says.

    Raises
    ------
    RecordError
        If it names no target that could be used.
    """
    try:
        entry = msgspec.json.decode(body, type=_Entry)
        state = TargetState(entry.state)
    except (msgspec.MsgspecError, ValueError) as error:
        raise RecordError(f'target {name}: {error}') from error
    _check_name(name)
    _check_address(name, entry.address)
    left_ms = entry.remaining_ms
    return Announcement(
        name,
        entry.born,
        entry.service,
        entry.address,
        entry.zone,
        state,
        max(1, entry.slots),
        _translate_models(entry.models),
        None if left_ms is None else left_ms * _MS,
        frozenset(entry.at_hand.in_memory),
        frozenset(entry.at_hand.on_disk),
    )


def decode_report(body: bytes) -> TargetReport:
    """Return what a target reports on its own port.

    Raises
    ------
    TransportError
        If it is no report.
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


def _check_name(name: str) -> None:
    # It goes into the head of each request to the target.
    if not (name and name.isascii() and name.isprintable()):
        raise RecordError(f'target {name!r}: not a name')


def _check_address(name: str, address: str) -> None:
    try:
        split_address(address)
    except SettingsError as error:
        raise RecordError(f'target {name}: {error}') from error
