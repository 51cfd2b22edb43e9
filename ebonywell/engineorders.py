"""Orders to model engines: what they ask, and what became of them."""

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
    """What a target reports on its own port; it lags somewhat.

    Attributes
    ----------
    born : int
    order_count : int
        Orders accepted in this life.
    is_busy : bool
        Whether a model's order is under way.
    models : dict of str to Resident
    loading_adapters : tuple of str
        Adapters on their way, as ``model/adapter``.
    """

    born: int
    order_count: int
    is_busy: bool
    models: dict[str, Resident]
    loading_adapters: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """An order to one life of an engine.

    Attributes
    ----------
    action : Action
    model, adapter : str
    order_count : int
        The engine refuses the order if it has accepted any other number, now
        or when a delayed copy of the order is carried out.
    holder : str
        The host that holds the lease.
    fence : int
    """

    action: Action
    model: str
    adapter: str
    order_count: int
    holder: str
    fence: int


class OrderAnswer(enum.StrEnum):
    """What an engine says to an order.

    Attributes
    ----------
    accepted
    held
        Its effect was there already.
    conflict
        Another order is under way, or came before.
    fenced
        A newer lease has given orders.
    refused
        The order makes no sense to the engine, or another target has its
        address.
    unreachable
        No connection, so that it was not sent.
    unknown
        No answer; it may be carried out yet.
    unproven
        Not sent, since another host may have the lease.
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
    """How engines are asked and ordered.

    Attributes
    ----------
    report : callable
        Raises `TransportError`.
    order : callable
    """

    report: Callable[[KnownTarget], Awaitable[TargetReport]]
    order: Callable[[KnownTarget, EngineOrder], Awaitable[OrderAnswer]]


@dataclass(slots=True, eq=False)
class OrderTrack:
    """What the holder of the lease has under way at one life of an engine.

    Attributes
    ----------
    life : (str, int)
    fence : int
        Of the lease under which this was learnt; orders that other hosts gave
        in between are not in it.
    order_count : int
        The orders that what is known here reflects. Orders that are decided
        by it name this count, whatever is heard of the target meanwhile.
    is_busy : bool
        Whether a model's order is under way.
    arriving, unloading : set of str
        Models.
    loaded_at : dict of str to float
        When each model came.
    adapters : set of str
        Each ``model/adapter`` on it or on its way, after as many orders as
        are known; others may only be fewer.
    is_synced : bool
        Whether `adapters` is known.
    requested_at : dict of str to float
        When each ``model/adapter`` was last asked for.
    order_lock : anyio.Lock
        Orders go out one after the other, since each names how many came
        before it.
    """

    life: tuple[str, int]
    fence: int
    order_count: int = 0
    is_busy: bool = False
    loading: set[str] = field(default_factory=set)
    unloading: set[str] = field(default_factory=set)
    loaded_at: dict[str, float] = field(default_factory=dict)
    adapters: set[str] = field(default_factory=set)
    is_synced: bool = False
    requested_at: dict[str, float] = field(default_factory=dict)
    order_lock: anyio.Lock = field(default_factory=anyio.Lock)

    @contextmanager
    def swapping(self, swap: Swap) -> Iterator[None]:
        """Note which models come and go while a swap lasts."""
        self.unloading.update(swap.unloads)
        self.loading.add(swap.load)
        try:
            yield
        finally:
            self.end_swap()

    def end_swap(self) -> None:
        """Note that no order for a model is under way."""
        self.is_busy = False
        self.unloading.clear()
        self.loading.clear()


def present_adapters(report: TargetReport) -> set[str]:
    """Return the adapters on a target or on their way to it."""
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
    """Return the memory that models take.

    Parameters
    ----------
    models : dict of str to Resident
    sizes : dict of str to int
        In bytes, by model.
    unknown_bytes : int
        What a model counts that the configuration does not list.
    """
    return sum(sizes.get(model, unknown_bytes) for model in models)
