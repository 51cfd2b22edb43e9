"""Moves of the placement, and its state between decisions."""

from dataclasses import dataclass, field

from .layout import Layout
from .loadpace import loads_at_once
from .orders import Action

# Limits for a weight store whose operators don't configure any.
LOADS_PER_S = 2.0
LOADS_AT_ONCE = 3


@dataclass(slots=True, frozen=True)
class Move:
    """A load or unload that the placement decided on."""

    action: Action
    target: str
    model: str
    bytes: int = 0
    adapter: str = ''


@dataclass(slots=True)
class DeferredLoad:
    """A load that waits until evictions have freed memory on its target."""

    model: str
    expires_at: float


@dataclass(slots=True)
class PlacementState:
    """State that is kept from one decision to the next.

    Attributes
    ----------
    deferred_loads : dict of str to DeferredLoad
        Deferred loads by target.
    tokens : float
        Tokens of the bucket that limits the rate of loads from the weight
        store. Each load takes one.
    refilled_at : float or None
        When the bucket was last refilled, in seconds.
    next_relocation_at : float
        Earliest time of the next relocation of a sole copy, in seconds.
    loads_per_s : float
        Refill rate of the bucket.
    loads_at_once : int
        Size of the bucket, and limit of concurrent loads.
    """

    deferred_loads: dict[str, DeferredLoad] = field(default_factory=dict)
    tokens: float = LOADS_AT_ONCE
    refilled_at: float | None = None
    next_relocation_at: float = 0
    loads_per_s: float = LOADS_PER_S
    loads_at_once: int = LOADS_AT_ONCE


def make_placement_state(loads_per_s: float, load_s: float) -> PlacementState:
    """Return the initial state for a weight store.

    Parameters
    ----------
    loads_per_s : float
        Rate of loads that the store allows.
    load_s : float
        Typical duration of a load, in seconds.
    """
    return PlacementState(
        loads_per_s=loads_per_s,
        loads_at_once=loads_at_once(loads_per_s, load_s),
    )


@dataclass(slots=True)
class Decision:
    """The outcome of one planning round.

    Attributes
    ----------
    moves : list of Move
        Moves in the order in which to carry them out.
    unplaced : list of str
        Models that no target serves and that fit on none, even after
        evictions.
    """

    moves: list[Move] = field(default_factory=list)
    unplaced: list[str] = field(default_factory=list)


@dataclass(slots=True)
class PlanningRound:
    """The inputs and the partial decision of a planning round.

    Attributes
    ----------
    layout : Layout
    state : PlacementState
    now : float
        Start of the round, in seconds.
    budget : int
        Model loads that may still start in this round.
    decision : Decision
    """

    layout: Layout
    state: PlacementState
    now: float
    budget: int
    decision: Decision = field(default_factory=Decision)
