"""Orders to model engines, their answers, and the state they lead to."""

import enum
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio

from .inventory import KnownTarget, Resident
from .modelswaps import Swap
from .orders import Action


@dataclass(slots=True, frozen=True)
class TargetReport:
    """Report that a target serves on its own port; it lags somewhat.

    Attributes
    ----------
    born : int
        When this incarnation of the target began.
    order_count : int
        Orders accepted by this incarnation.
    is_busy : bool
        Whether an order for a model is being executed.
    models : dict of str to Resident
        The models in memory.
    loading_adapters : tuple of str
        Adapters that are being loaded, as ``model/adapter``.
    """

    born: int
    order_count: int
    is_busy: bool
    models: dict[str, Resident]
    loading_adapters: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to one incarnation of an engine.

    Attributes
    ----------
    action : Action
    model, adapter : str
    order_count : int
        Orders that the engine has accepted so far. It rejects the order if
        its own count differs, also when a delayed copy arrives.
    holder : str
        Name of the lease holder.
    fence : int
        The lease's fencing number.
    """

    action: Action
    model: str
    adapter: str
    order_count: int
    holder: str
    fence: int


class OrderAnswer(enum.StrEnum):
    """Outcome of sending an order to an engine.

    Attributes
    ----------
    accepted
        The engine executes the order.
    held
        The order's effect was already in place.
    conflict
        Another order is being executed or was accepted before this one.
    fenced
        The engine has received an order under a newer lease.
    refused
        The order is invalid for the engine, or another target now has its
        address.
    unreachable
        The connection failed, so the order was not sent.
    unknown
        No answer was received; the order may still be executed.
    unproven
        The order was not sent, since another host may hold the lease.
    """

    accepted = 'accepted'
    held = 'held'
    conflict = 'conflict'
    fenced = 'fenced'
    refused = 'refused'
    unreachable = 'unreachable'
    unknown = 'unknown'
    unproven = 'unproven'


@dataclass(slots=True, frozen=True)
class EngineClient:
    """Functions that poll engines and send them orders.

    Attributes
    ----------
    report : callable
        Fetches a target's report; raises `TransportError`.
    order : callable
        Sends an order and returns its outcome.
    """

    report: Callable[[KnownTarget], Awaitable[TargetReport]]
    order: Callable[[KnownTarget, EngineOrder], Awaitable[OrderAnswer]]


@dataclass(slots=True, eq=False)
class OrderTrack:
    """The lease holder's record of its orders to one engine incarnation.

    Attributes
    ----------
    life : (str, int)
        The engine's incarnation.
    fence : int
        Fencing number of the lease under which this record was made. Orders
        that other hosts gave in between are not part of it.
    order_count : int
        Number of accepted orders that this record reflects. Orders decided
        from the record carry this count, even if a newer count is received
        in the meantime.
    is_busy : bool
        Whether an order for a model is being executed.
    loading, unloading : set of str
        Models that a swap is loading or unloading.
    load_due_at : float
        When the load of the swap is expected to end.
    loaded_at : dict of str to float
        When each model was loaded.
    adapters : set of str
        Each ``model/adapter`` that is loaded or loading after `order_count`
        orders; the engine never has more than these.
    is_synced : bool
        Whether `adapters` is known.
    requested_at : dict of str to float
        When each ``model/adapter`` was last requested.
    order_lock : anyio.Lock
        Serializes orders, since each carries the number of orders before it.
    """

    life: tuple[str, int]
    fence: int
    order_count: int = 0
    is_busy: bool = False
    loading: set[str] = field(default_factory=set)
    unloading: set[str] = field(default_factory=set)
    load_due_at: float = 0
    loaded_at: dict[str, float] = field(default_factory=dict)
    adapters: set[str] = field(default_factory=set)
    is_synced: bool = False
    requested_at: dict[str, float] = field(default_factory=dict)
    order_lock: anyio.Lock = field(default_factory=anyio.Lock)

    @contextmanager
    def swapping(self, swap: Swap) -> Iterator[None]:
        """Record the models being loaded and unloaded during a swap."""
        self.unloading.update(swap.unloads)
        self.loading.add(swap.load)
        try:
            yield
        finally:
            self.end_swap()

    def end_swap(self) -> None:
        """Record that no order for a model is being executed."""
        self.is_busy = False
        self.unloading.clear()
        self.loading.clear()


def present_adapters(report: TargetReport) -> set[str]:
    """Return the adapters that a target has loaded or is loading."""
    return {
        f'{model}/{adapter}'
        for model, resident in report.models.items()
        for adapter in resident.adapters
    } | set(report.loading_adapters)


def used_bytes(
    models: dict[str, Resident],
    sizes: dict[str, int],
    unknown_bytes: int,
) -> int:
    """Return the memory that models use, in bytes.

    Parameters
    ----------
    models : dict of str to Resident
    sizes : dict of str to int
        Size of each model, in bytes.
    unknown_bytes : int
        Assumed size of a model that the configuration does not list.
    """
    return sum(sizes.get(model, unknown_bytes) for model in models)
