"""Exponentially smoothed demand by model, fast to rise and slow to fall."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

RISE_TIME_CONSTANT_S = 2.0
FALL_TIME_CONSTANT_S = 15.0
# Demand below this is dropped from the table.
NEGLIGIBLE_SLOTS = 0.001


@dataclass(slots=True)
class Demand:
    """The planner's estimate of the demand for each model.

    Attributes
    ----------
    slots : dict of str to float
        Estimated number of running and queued requests, by model.
    updated_at : float or None
        When `update` was last called, in seconds.
    """

    slots: dict[str, float] = field(default_factory=dict)
    updated_at: float | None = None


def update(demand: Demand, observed: Mapping[str, float], now: float) -> None:
    """Move each model's estimate towards the observed demand.

    Parameters
    ----------
    demand : Demand
        Changed in place.
    observed : mapping of str to float
        Number of running and queued requests, by model. Missing models count
        as 0.
    now : float
        Monotonic time, in seconds.
    """
    if demand.updated_at is None:
        demand.updated_at = now
        demand.slots.update(observed)
        return
    elapsed = now - demand.updated_at
    demand.updated_at = now
    rise = 1 - math.exp(-elapsed / RISE_TIME_CONSTANT_S)
    fall = 1 - math.exp(-elapsed / FALL_TIME_CONSTANT_S)
    for model in demand.slots.keys() | observed.keys():
        estimate = demand.slots.get(model, 0)
        change = observed.get(model, 0) - estimate
        weight = rise if change > 0 else fall
        demand.slots[model] = estimate + change * weight
    for model, estimate in list(demand.slots.items()):
        if estimate < NEGLIGIBLE_SLOTS:
            demand.slots.pop(model)
