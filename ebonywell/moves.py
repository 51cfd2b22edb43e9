"""The placement's moves, and what it hands from decision to decision."""

from dataclasses import dataclass, field

from .layout import Layout
from .loadpace import loads_at_once
from .orders import Action

# Of a store whose operators state none.
LOADS_PER_S = 2.0
LOADS_AT_ONCE = 3


@dataclass(slots=True, frozen=True)
class Move:
    """One load or unload that the placement asks for."""

    action: Action
    target: str
    model: str
    bytes: int = 0
    adapter: str = ''


@dataclass(slots=True)
class Earmark:
    """Room that is being made on a target for a model."""

    model: str
    until: float


@dataclass(slots=True)
class Pace:
    """What one decision hands to the next.

    Attributes
    ----------
    earmarks : dict of str to Earmark
        By target.
    tokens : float
        Loads that may start now under the weight store's rate.
    refilled_at : float or None
        In seconds.
    shift_after : float
        When a sole copy may be moved next, in seconds.
    loads_per_s : float
    loads_at_once : int
    """

    earmarks: dict[str, Earmark] = field(default_factory=dict)
    tokens: float = LOADS_AT_ONCE
    refilled_at: float | None = None
    shift_after: float = 0
    loads_per_s: float = LOADS_PER_S
    loads_at_once: int = LOADS_AT_ONCE


def make_pace(loads_per_s: float, load_s: float) -> Pace:
    """Return the pace of a weight store whose loads take so long as a rule."""
    return Pace(
        loads_per_s=loads_per_s,
        loads_at_once=loads_at_once(loads_per_s, load_s),
    )


@dataclass(slots=True)
class Decision:
    """Moves in the order in which to make them.

    Attributes
    ----------
    moves : list of Move
    unplaced : list of str
        Models that nobody serves and for which no room can be made.
    """

    moves: list[Move] = field(default_factory=list)
    unplaced: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Turn:
    """One decision in the making.

    Attributes
    ----------
    layout : Layout
    pace : Pace
    now : float
        In seconds.
    budget : int
        Model loads that may still start.
    decision : Decision
    """

    layout: Layout
    pace: Pace
    now: float
    budget: int
    decision: Decision = field(default_factory=Decision)
