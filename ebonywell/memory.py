"""Accelerator memory of the targets: in use, or reserved by orders."""

from collections.abc import Container
from dataclasses import dataclass, field

from .orders import (
    Action,
    Order,
    OrderRecord,
    OrdersIntended,
    OrdersSettled,
    Outcome,
    Resident,
    Settlement,
    TargetGone,
    TargetSeen,
)

# Earlier incarnations of a target that are kept, to reject old reports.
REMEMBERED_INCARNATIONS = 8
_LOADS = frozenset((Action.load, Action.load_adapter))


@dataclass(slots=True)
class Pending:
    """An order without an outcome, which may still take effect.

    Attributes
    ----------
    order : Order
    fencing : int
        Fencing number of the lease under which it was written to the log.
    """

    order: Order
    fencing: int


@dataclass(slots=True)
class TargetMemory:
    """The memory of one incarnation of a target.

    Attributes
    ----------
    incarnation : str
    memory_bytes : int
    checks_fencing : bool
    other_bytes : int
        Memory in use that doesn't belong to a resident.
    residents : dict of str to Resident
        Models whose loads have completed, by model.
    unsettled : dict of str to Pending
        Orders without an outcome, by order id.
    gone : bool
        Whether the target was recorded as gone and not seen since.
    past : list of str
        Earlier incarnations of the target, oldest first. They never return.
    """

    incarnation: str
    memory_bytes: int
    checks_fencing: bool
    other_bytes: int = 0
    residents: dict[str, Resident] = field(default_factory=dict)
    unsettled: dict[str, Pending] = field(default_factory=dict)
    gone: bool = False
    past: list[str] = field(default_factory=list)


Memory = dict[str, TargetMemory]


def reserved_bytes(target: TargetMemory) -> int:
    """Return the bytes in use or reserved for unsettled orders."""
    settled = sum(
        one.bytes + sum(one.adapters.values())
        for one in target.residents.values()
    )
    pending = sum(one.order.bytes for one in target.unsettled.values())
    return target.other_bytes + settled + pending


def apply(
    memory: Memory,
    is_current: bool,
    protected: Container[str],
    record: OrderRecord,
) -> bool:
    """Apply a record to the memory if it is valid.

    Parameters
    ----------
    memory : Memory
        Changed in place.
    is_current : bool
        Whether the record's fencing number is that of the current lease.
    protected : container of str
        Models whose last copy must not be unloaded.
    record : OrderRecord

    Returns
    -------
    bool
        False if nothing of the record was valid. Each order of a record is
        checked with `is_allowed` after the previous ones have been applied.
        Valid orders are then in ``unsettled``.
    """
    if not is_current:
        return False
    match record:
        case TargetSeen():
            return _apply_seen(memory, record)
        case TargetGone():
            return _apply_gone(memory, record.target)
        case OrdersIntended():
            return _apply_intended(memory, protected, record)
        case OrdersSettled():
            return any([_settle(memory, one) for one in record.settlements])


def _apply_seen(memory: Memory, seen: TargetSeen) -> bool:
    known = memory.get(seen.target)
    past: list[str] = []
    if known is not None:
        if seen.incarnation in known.past:
            return False
        if seen.incarnation == known.incarnation:
            # Orders that were unsettled in this incarnation stay unsettled.
            was_gone = known.gone
            known.gone = False
            return was_gone
        past = [*known.past, known.incarnation][-REMEMBERED_INCARNATIONS:]
    memory[seen.target] = TargetMemory(
        incarnation=seen.incarnation,
        memory_bytes=seen.memory_bytes,
        checks_fencing=seen.checks_fencing,
        other_bytes=seen.other_bytes,
        residents=dict(seen.residents),
        past=past,
    )
    return True


def _apply_gone(memory: Memory, name: str) -> bool:
    target = memory.get(name)
    if target is None:
        return False
    if target.unsettled:
        # A delayed order may still take memory on the target.
        target.gone = True
    else:
        memory.pop(name)
    return True


def _apply_intended(
    memory: Memory,
    protected: Container[str],
    record: OrdersIntended,
) -> bool:
    is_valid = False
    for order in record.orders:
        if is_allowed(memory, protected, order):
            pending = Pending(order, record.fencing)
            memory[order.target].unsettled[order.order_id] = pending
            is_valid = True
    return is_valid


def is_allowed(memory: Memory, protected: Container[str], order: Order) -> bool:
    """Return whether an order may be sent, whichever host wants to send it.

    Parameters
    ----------
    memory : Memory
    protected : container of str
        Models whose last copy must not be unloaded.
    order : Order
        A load must fit beside all memory that is in use or reserved. Two
        orders that could undo each other are never unsettled together.
    """
    target = memory.get(order.target)
    if target is None or target.gone:
        return False
    if target.incarnation != order.incarnation:
        return False
    pending = target.unsettled.values()
    if any(_conflict(order, other.order) for other in pending):
        return False
    if order.action in _LOADS:
        return _may_load(target, order)
    return _may_unload(memory, protected, target, order)


def _conflict(order: Order, other: Order) -> bool:
    if order.order_id == other.order_id:
        return True
    if order.model != other.model:
        return False
    is_whole = not order.adapter or not other.adapter
    return is_whole or order.adapter == other.adapter


def _may_load(target: TargetMemory, order: Order) -> bool:
    if reserved_bytes(target) + order.bytes > target.memory_bytes:
        return False
    resident = target.residents.get(order.model)
    if order.action is Action.load:
        return resident is None
    return resident is not None and order.adapter not in resident.adapters


def _may_unload(
    memory: Memory,
    protected: Container[str],
    target: TargetMemory,
    order: Order,
) -> bool:
    resident = target.residents.get(order.model)
    if resident is None or order.bytes:
        return False
    if order.action is Action.unload_adapter:
        return order.adapter in resident.adapters
    if order.model not in protected:
        return True
    return any(
        has_lasting_copy(other, order.model)
        for other in memory.values()
        if other is not target
    )


def has_lasting_copy(target: TargetMemory, model: str) -> bool:
    """Return whether a target has a copy that no unsettled order unloads."""
    if target.gone or model not in target.residents:
        return False
    return not any(
        one.order.action is Action.unload and one.order.model == model
        for one in target.unsettled.values()
    )


def _settle(memory: Memory, settlement: Settlement) -> bool:
    target = memory.get(settlement.target)
    if target is None:
        return False
    pending = target.unsettled.pop(settlement.order_id, None)
    if pending is None:
        return False
    if settlement.outcome is Outcome.done:
        _take_effect(target, pending.order)
    return True


def _take_effect(target: TargetMemory, order: Order) -> None:
    resident = target.residents.get(order.model)
    if order.action is Action.load:
        target.residents[order.model] = Resident(order.bytes)
    elif order.action is Action.unload:
        target.residents.pop(order.model, None)
    elif resident is not None and order.action is Action.load_adapter:
        resident.adapters[order.adapter] = order.bytes
    elif resident is not None:
        resident.adapters.pop(order.adapter, None)
