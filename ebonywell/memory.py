"""Accelerator memory of the targets: settled, and reserved by orders."""

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

REMEMBERED_INCARNATIONS = 8
_LOADS = frozenset((Action.load, Action.load_adapter))


@dataclass(slots=True)
class Pending:
    """An order that may still take effect.

    Attributes
    ----------
    order : Order
    fencing : int
        The number under which it was intended.
    """

    order: Order
    fencing: int


@dataclass(slots=True)
class TargetMemory:
    """The memory of one life of a target.

    Attributes
    ----------
    incarnation : str
    memory_bytes : int
    checks_fencing : bool
    other_bytes : int
        Memory in use that belongs to no resident.
    residents : dict of str to Resident
        Settled, by model.
    unsettled : dict of str to Pending
        By order id.
    gone : bool
        Whether the target serves nobody now.
    past : list of str
        Earlier incarnations, which never come back.
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


def reserved(target: TargetMemory) -> int:
    """Return the bytes that are in use or may be taken by a late order."""
    settled = sum(
        one.bytes + sum(one.adapters.values())
        for one in target.residents.values()
    )
    pending = sum(one.order.bytes for one in target.unsettled.values())
    return target.other_bytes + settled + pending


def apply(
    memory: Memory,
    holds: bool,
    kept: Container[str],
    record: OrderRecord,
) -> bool:
    """Apply a record where it counts.

    Parameters
    ----------
    memory : Memory
        Changed in place.
    holds : bool
        Whether the record's fencing number is that of the lease.
    kept : container of str
        Models whose last copy must not be unloaded.
    record : OrderRecord

    Returns
    -------
    bool
        False if nothing of the record counted. Of several orders in one
        record, those count that `is_allowed` at their place; they are in
        ``unsettled`` afterwards.
    """
    if not holds:
        return False
    match record:
        case TargetSeen():
            return _see(memory, record)
        case TargetGone():
            return _lose(memory, record.target)
        case OrdersIntended():
            return _intend(memory, kept, record)
        case OrdersSettled():
            return any([_settle(memory, one) for one in record.settlements])


def _see(memory: Memory, seen: TargetSeen) -> bool:
    before = memory.get(seen.target)
    past: list[str] = []
    if before is not None:
        if seen.incarnation in before.past:
            return False
        if seen.incarnation == before.incarnation:
            # What was unsettled in this life stays so.
            came_back = before.gone
            before.gone = False
            return came_back
        past = [*before.past, before.incarnation][-REMEMBERED_INCARNATIONS:]
    memory[seen.target] = TargetMemory(
        incarnation=seen.incarnation,
        memory_bytes=seen.memory_bytes,
        checks_fencing=seen.checks_fencing,
        other_bytes=seen.other_bytes,
        residents=dict(seen.residents),
        past=past,
    )
    return True


def _lose(memory: Memory, name: str) -> bool:
    target = memory.get(name)
    if target is None:
        return False
    if target.unsettled:
        # A late order may still take memory there.
        target.gone = True
    else:
        memory.pop(name)
    return True


def _intend(
    memory: Memory,
    kept: Container[str],
    record: OrdersIntended,
) -> bool:
    counted = False
    for order in record.orders:
        if is_allowed(memory, kept, order):
            pending = Pending(order, record.fencing)
            memory[order.target].unsettled[order.order_id] = pending
            counted = True
    return counted


def is_allowed(memory: Memory, kept: Container[str], order: Order) -> bool:
    """Return whether an order may be sent, whoever wants to send it.

    Parameters
    ----------
    memory : Memory
    kept : container of str
        Models whose last copy must not be unloaded.
    order : Order
        A load must fit beside everything that may still take memory. Two
        orders that could undo each other are never unsettled together.
    """
    target = memory.get(order.target)
    if target is None or target.gone:
        return False
    if target.incarnation != order.incarnation:
        return False
    pending = target.unsettled.values()
    if any(_collide(order, other.order) for other in pending):
        return False
    if order.action in _LOADS:
        return _may_load(target, order)
    return _may_unload(memory, kept, target, order)


def _collide(order: Order, other: Order) -> bool:
    if order.order_id == other.order_id:
        return True
    if order.model != other.model:
        return False
    is_whole = not order.adapter or not other.adapter
    return is_whole or order.adapter == other.adapter


def _may_load(target: TargetMemory, order: Order) -> bool:
    if reserved(target) + order.bytes > target.memory_bytes:
        return False
    resident = target.residents.get(order.model)
    if order.action is Action.load:
        return resident is None
    return resident is not None and order.adapter not in resident.adapters


def _may_unload(
    memory: Memory,
    kept: Container[str],
    target: TargetMemory,
    order: Order,
) -> bool:
    resident = target.residents.get(order.model)
    if resident is None or order.bytes:
        return False
    if order.action is Action.unload_adapter:
        return order.adapter in resident.adapters
    if order.model not in kept:
        return True
    return any(
        keeps_copy(other, order.model)
        for other in memory.values()
        if other is not target
    )


def keeps_copy(target: TargetMemory, model: str) -> bool:
    """Return whether a target has a copy that no order may take away."""
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
