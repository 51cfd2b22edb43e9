"""The replicated state that every host builds identically from the log."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import msgspec

from . import changes, orders
from .catalogue import Catalogue
from .catalogue import apply as apply_change
from .checkpoint import CheckpointPart
from .exceptions import RecordError
from .leases import (
    Lease,
    LeaseClaimed,
    LeaseReleased,
    LeaseRenewed,
    is_held,
)
from .leases import apply as apply_lease
from .logtime import LogTime, advance
from .memory import Memory
from .memory import apply as apply_orders
from .onceonly import CallAbandoned, CallClaimed, CallFinished, OnceOnly
from .onceonly import apply as apply_once_only
from .onceonly import expire as expire_calls
from .records import Record
from .registry import (
    EpochSettled,
    HostExpelled,
    HostLeft,
    HostRegistered,
    Registry,
)
from .registry import apply as apply_membership
from .suspects import (
    RequestCleared,
    RequestSuspected,
    Suspects,
    TrialEnded,
    TrialStarted,
)
from .suspects import apply as apply_suspects
from .suspects import expire as expire_suspects


@dataclass(slots=True)
class State:
    """All tables as of the record at offset `applied`.

    Attributes
    ----------
    applied : int
        The offset of the last record that was applied; -1 before the first.
    written_at : float
        The latest time stamp of any applied record, in seconds since the
        epoch.
    """

    applied: int = -1
    written_at: float = 0
    catalogue: Catalogue = field(default_factory=Catalogue)
    time: LogTime = field(default_factory=LogTime)
    once_only: OnceOnly = field(default_factory=OnceOnly)
    suspects: Suspects = field(default_factory=Suspects)
    registry: Registry = field(default_factory=Registry)
    lease: Lease = field(default_factory=Lease)
    memory: Memory = field(default_factory=dict)


def _apply_catalogue(state: State, offset: int, record: Record) -> bool:
    body: Any = record.body
    return apply_change(state.catalogue, offset, body)


def _apply_once_only(state: State, _: int, record: Record) -> bool:
    body: Any = record.body
    return apply_once_only(state.once_only, body)


def _apply_suspects(state: State, _: int, record: Record) -> bool:
    body: Any = record.body
    return apply_suspects(state.suspects, body)


def _apply_registry(state: State, offset: int, record: Record) -> bool:
    body: Any = record.body
    return apply_membership(state.registry, offset, body)


def _apply_lease(state: State, offset: int, record: Record) -> bool:
    body: Any = record.body
    return apply_lease(state.lease, offset, body)


def _apply_orders(state: State, _: int, record: Record) -> bool:
    body: Any = record.body
    is_lease_held = is_held(state.lease, body.fencing)
    return apply_orders(
        state.memory, is_lease_held, state.catalogue.entries, body
    )


def _apply_nothing(state: State, offset: int, record: Record) -> bool:
    return True


_ApplyFunction = Callable[[State, int, Record], bool]
_APPLY_BY_TYPE: Mapping[type[Any], _ApplyFunction] = MappingProxyType(
    {
        changes.EntrySet: _apply_catalogue,
        changes.EntryRemoved: _apply_catalogue,
        changes.WorkspaceSet: _apply_catalogue,
        changes.WorkspaceRemoved: _apply_catalogue,
        changes.ApprovalSet: _apply_catalogue,
        changes.KeyIssued: _apply_catalogue,
        changes.KeyWithdrawn: _apply_catalogue,
        CallClaimed: _apply_once_only,
        CallFinished: _apply_once_only,
        CallAbandoned: _apply_once_only,
        RequestSuspected: _apply_suspects,
        RequestCleared: _apply_suspects,
        TrialStarted: _apply_suspects,
        TrialEnded: _apply_suspects,
        LeaseClaimed: _apply_lease,
        LeaseRenewed: _apply_lease,
        LeaseReleased: _apply_lease,
        orders.TargetSeen: _apply_orders,
        orders.TargetGone: _apply_orders,
        orders.OrdersIntended: _apply_orders,
        orders.OrdersSettled: _apply_orders,
        CheckpointPart: _apply_nothing,
        HostRegistered: _apply_registry,
        HostLeft: _apply_registry,
        HostExpelled: _apply_registry,
        EpochSettled: _apply_registry,
    }
)


def apply_record(state: State, offset: int, record: Record) -> bool:
    """Apply the next record and return whether it took effect.

    Parameters
    ----------
    state : State
        Changed in place.
    offset : int
        Must be greater than ``state.applied``.
    record : Record

    Returns
    -------
    bool
        Whether the record took effect; false if it lost to a conflicting
        record.

    Raises
    ------
    RecordError
        If the offset has been applied already.
    """
    if offset <= state.applied:
        raise RecordError(f'offset {offset} has been applied already')
    state.applied = offset
    state.written_at = max(state.written_at, record.written_at)
    _advance_time(state, offset, record)
    return _APPLY_BY_TYPE[type(record.body)](state, offset, record)


def _advance_time(state: State, offset: int, record: Record) -> None:
    advance(state.time, offset, record.writer, record.written_at)
    expire_calls(state.once_only, state.time.elapsed_s)
    expire_suspects(state.suspects, state.time.elapsed_s)


def encode_state(state: State) -> bytes:
    """Return the state encoded for a checkpoint or a peer."""
    return msgspec.msgpack.encode(state)


def decode_state(encoded: bytes) -> State:
    """Return the state that `encode_state` encoded.

    Raises
    ------
    RecordError
        If the bytes are not a state of this version.
    """
    try:
        return msgspec.msgpack.decode(encoded, type=State)
    except msgspec.MsgspecError as error:
        raise RecordError(f'cannot decode state: {error}') from error
