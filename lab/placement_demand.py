"""Seeded demand for the placement bench; it varies tenfold within an hour."""

import enum
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

TICK_S = 0.25
WARM_UP_S = 60.0
MEAN_UTILISATION = 0.7
ZIPF_EXPONENT = 1
KNOT_INTERVALS_S = (120.0, 900.0)
MEAN_QUIET_S = 1800.0
BURST_LENGTHS_S = (60.0, 480.0)
BURST_FACTOR = 10.0
DURATIONS_TICKS = (4, 13)
WORKSPACE_SHARES = (0.4, 0.3, 0.15, 0.1, 0.05)
FAULT_INTERVAL_S = 300.0
OUTAGE_S = 60.0
_GIB = 1024**3
_ADAPTER_MIB = 128
_ADAPTER_BYTES = _ADAPTER_MIB * 1024**2


class DemandShape(enum.StrEnum):
    """How the demand for each model varies tenfold.

    Attributes
    ----------
    drift
        Rises and falls continuously between knots some minutes apart.
    burst
        Is low, and at times jumps tenfold for some minutes.
    """

    drift = 'drift'
    burst = 'burst'


@dataclass(slots=True, frozen=True)
class Scale:
    """Size of one of the present deployments.

    Attributes
    ----------
    name : str
    engines : int
    models : int
    adapters : int
    loads_per_s : float
        Loads per second that the weight store allows.
    slots : int
        Requests that an engine runs concurrently.
    memory_ratio : float
        Memory of `reference_engines` engines, divided by the memory that one
        copy of every model takes.
    zones : int
    shape : DemandShape
    reference_engines : int
        Number of engines from which the demand and the memory of one engine
        are derived; `engines` may differ from it.
    """

    name: str
    engines: int
    models: int
    adapters: int
    loads_per_s: float
    slots: int = 16
    memory_ratio: float = 1.5
    zones: int = 3
    shape: DemandShape = DemandShape.drift
    reference_engines: int = 10


NILECUT = Scale('nilecut', 10, 20, 110, 2.5)
MEJILLONERA = Scale('mejillonera', 10, 30, 95, 2.0)


@dataclass(slots=True, frozen=True)
class Outage:
    """A target that fails at one tick and returns, empty, at a later one."""

    engine: int
    from_tick: int
    to_tick: int


@dataclass(slots=True)
class Scenario:
    """Demand and faults for one seed, identical for every policy.

    Attributes
    ----------
    scale : Scale
    ticks : int
    sizes : list of int
        Bytes of one copy of each model, including its adapters.
    memory_bytes : int
        Memory of one engine, in bytes.
    arrivals : array of int, shape (ticks, models, workspaces)
        Numbers of received requests.
    durations : array of int, shape (any,)
        Ticks that requests run; successive requests use successive items.
    outages : list of Outage
    """

    scale: Scale
    ticks: int
    sizes: list[int]
    memory_bytes: int
    arrivals: NDArray[np.int64]
    durations: NDArray[np.int64]
    outages: list[Outage]


def make_scenario(
    scale: Scale,
    seed: int,
    length_s: float,
    has_faults: bool,
) -> Scenario:
    """Return the scenario for a seed.

    Parameters
    ----------
    scale : Scale
    seed : int
    length_s : float
    has_faults : bool
        Whether a target fails every `FAULT_INTERVAL_S`.
    """
    rng = np.random.default_rng(seed)
    ticks = int(length_s / TICK_S)
    levels = _levels(rng, scale, ticks)
    mix = rng.dirichlet(
        np.array(WORKSPACE_SHARES) * 10,
        size=scale.models,
    )
    rates = np.einsum('tm,mw->tmw', levels, mix)
    sizes = _model_sizes(rng, scale)
    return Scenario(
        scale,
        ticks,
        sizes,
        int(scale.memory_ratio * sum(sizes) / scale.reference_engines),
        rng.poisson(rates),
        rng.integers(*DURATIONS_TICKS, size=100_003),
        _outages(rng, scale, ticks) if has_faults else [],
    )


def _levels(
    rng: np.random.Generator,
    scale: Scale,
    ticks: int,
) -> NDArray[np.float64]:
    """Return mean requests per tick, shape (ticks, models)."""
    is_drift = scale.shape is DemandShape.drift
    skew = ZIPF_EXPONENT if is_drift else 0
    base = np.arange(1, scale.models + 1) ** -float(skew)
    draw = _drift if is_drift else _bursts
    moves = np.stack([draw(rng, ticks) for _ in range(scale.models)], axis=1)
    levels = moves * rng.permutation(base)
    mean_ticks = (DURATIONS_TICKS[0] + DURATIONS_TICKS[1] - 1) / 2
    capacity = scale.reference_engines * scale.slots / mean_ticks
    mean = float(levels.sum(axis=1).mean())
    return np.asarray(levels * (MEAN_UTILISATION * capacity / mean))


def _drift(rng: np.random.Generator, ticks: int) -> NDArray[np.float64]:
    intervals = rng.uniform(*KNOT_INTERVALS_S, size=ticks) / TICK_S
    knots = np.cumsum(intervals)
    knots = knots[: int(np.searchsorted(knots, ticks)) + 1]
    heights = rng.uniform(-0.5, 0.5, size=len(knots))
    return np.asarray(10 ** np.interp(np.arange(ticks), knots, heights))


def _bursts(rng: np.random.Generator, ticks: int) -> NDArray[np.float64]:
    seconds = np.arange(ticks) * TICK_S
    is_burst = np.zeros(ticks, bool)
    at_s = rng.uniform(0, MEAN_QUIET_S)
    while at_s < ticks * TICK_S:
        until_s = at_s + rng.uniform(*BURST_LENGTHS_S)
        is_burst |= (seconds >= at_s) & (seconds < until_s)
        at_s = until_s + rng.exponential(MEAN_QUIET_S)
    return np.asarray(np.where(is_burst, BURST_FACTOR, 1.0))


def _model_sizes(rng: np.random.Generator, scale: Scale) -> list[int]:
    adapters = scale.adapters / scale.models * _ADAPTER_BYTES
    gibs = rng.integers(12, 25, size=scale.models)
    return [int(gib * _GIB + adapters) for gib in gibs]


def _outages(
    rng: np.random.Generator,
    scale: Scale,
    ticks: int,
) -> list[Outage]:
    interval = FAULT_INTERVAL_S / TICK_S
    starts = np.arange(interval, ticks, interval).astype(int)
    return [
        Outage(
            int(rng.integers(scale.engines)),
            int(start),
            int(start + OUTAGE_S / TICK_S),
        )
        for start in starts
    ]
