"""Smoothed demand for each model, quick to rise and slow to fall."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

RISE_S = 2.0
FALL_S = 15.0
FORGOTTEN_SLOTS = 0.001


@dataclass(slots=True)
class Demand:
    """What the planner believes of each model's demand.

    Attributes
    ----------
    slots : dict of str to float
        Requests that run or wait at once, by model.
    updated_at : float or None
        When `update` was last called, in seconds.
    """

    slots: dict[str, float] = field(default_factory=dict)
    updated_at: float | None = None


def update(demand: Demand, observed: Mapping[str, float], now: float) -> None:
    """Move each model's demand towards what was observed.

    Parameters
    ----------
    demand : Demand
        Changed in place.
    observed : mapping of str to float
        Requests that run or wait now, by model; 0 for models not in it.
    now : float
        In seconds, never going back.
    """
    if demand.updated_at is None:
        demand.updated_at = now
        demand.slots.update(observed)
        return
    elapsed = now - demand.updated_at
    demand.updated_at = now
    rise = 1 - math.exp(-elapsed / RISE_S)
    fall = 1 - math.exp(-elapsed / FALL_S)
    for model in demand.slots.keys() | observed.keys():
        level = demand.slots.get(model, 0)
        step = observed.get(model, 0) - level
        pull = rise if step > 0 else fall
        demand.slots[model] = level + step * pull
    for model, level in list(demand.slots.items()):
        if level < FORGOTTEN_SLOTS:
            demand.slots.pop(model)
