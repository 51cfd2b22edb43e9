"""Demand for each model, on this host and summed over several hosts."""

import math
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .digests import ModelDemand
from .inbound import Generation

# Shortest time constant of the demand average: short enough to follow demand
# that shifts within seconds, long enough to cover a few requests of a rare
# model.
AVERAGE_S = 1.5
# Time constant as a share of the time that a load takes. A load that is decided
# on a shorter burst would end after it.
AVERAGE_LOADS = 0.5
# A model with less work than this, in milliseconds per second, counts as idle.
MIN_WORK_MS = 0.5
# Engine time per token in a batch that is half full, from the deployment
# sheets.
PROMPT_TOKEN_MS = 0.045
OUTPUT_TOKEN_MS = 0.25
# How long an adapter counts as in use after it was requested.
ADAPTER_RECENT_S = 1.0

ModelKey = tuple[str, str]


@dataclass(slots=True)
class DemandMeter:
    """Exponentially decaying average of the demand for one model.

    Attributes
    ----------
    work_ms : float
        Milliseconds of work per second.
    decayed_at : float
        Time to which `work_ms` refers.
    waiting : int
        Number of requests that wait for the model to be loaded.
    returning : list of float
        When the callers of rejected requests are expected back.
    average_s : float
        Time constant of the average.
    """

    work_ms: float = 0
    decayed_at: float = 0
    waiting: int = 0
    returning: list[float] = field(default_factory=list)
    average_s: float = AVERAGE_S

    def count_waiting(self, now: float) -> int:
        """Return the number of requests that wait or are expected back."""
        self.returning = [due_at for due_at in self.returning if due_at > now]
        return self.waiting + len(self.returning)

    def decay(self, now: float) -> float:
        """Decay the average to the given time and return it."""
        self.work_ms *= math.exp((self.decayed_at - now) / self.average_s)
        self.decayed_at = now
        return self.work_ms


@dataclass(slots=True)
class HostDemand:
    """Demand of this host's callers.

    Attributes
    ----------
    meters : dict of (str, str) to DemandMeter
        Demand by service and model.
    adapters : dict of str to float
        When each ``model/adapter`` was last requested.
    load_s_of : callable
        Returns how long a load of a model takes, by service and model.
    """

    meters: dict[ModelKey, DemandMeter] = field(default_factory=dict)
    adapters: dict[str, float] = field(default_factory=dict)
    load_s_of: Callable[[str, str], float] = lambda service, model: 0

    def count_request(
        self,
        service: str,
        generation: Generation,
        now: float,
        cost: float = 1,
    ) -> None:
        """Add a request's work to the demand for its model.

        Parameters
        ----------
        service : str
        generation : Generation
        now : float
        cost : float
            Time that the model takes for its work, by that of a usual one.
        """
        meter = self.meter(service, generation.model)
        meter.decay(now)
        work_ms = cost * estimate_work_ms(generation)
        meter.work_ms += work_ms / meter.average_s
        if generation.adapter:
            name = f'{generation.model}/{generation.adapter}'
            self.adapters[name] = now

    @contextmanager
    def count_waiting(
        self,
        service: str,
        generation: Generation,
        *,
        is_absent: bool,
    ) -> Iterator[None]:
        """Count a waiting request in the context if its model is absent."""
        meter = self.meter(service, generation.model)
        meter.waiting += is_absent
        try:
            yield
        finally:
            meter.waiting -= is_absent

    def count_returning(
        self, service: str, generation: Generation, until: float
    ) -> None:
        """Count a request that was rejected because its model is absent."""
        self.meter(service, generation.model).returning.append(until)

    def meter(self, service: str, model: str) -> DemandMeter:
        """Return the demand meter of a model, creating it if necessary."""
        key = (service, model)
        meter = self.meters.get(key)
        if meter is None:
            average_s = max(AVERAGE_S, AVERAGE_LOADS * self.load_s_of(*key))
            meter = DemandMeter(average_s=average_s)
            self.meters[key] = meter
        return meter

    def snapshot(self, now: float) -> tuple[ModelDemand, ...]:
        """Return the current demand, and drop the meters of idle models."""
        shares = []
        for (service, model), meter in list(self.meters.items()):
            work_ms = meter.decay(now)
            waiting = meter.count_waiting(now)
            if work_ms < MIN_WORK_MS and not waiting:
                self.meters.pop((service, model))
                continue
            shares.append(
                ModelDemand(service, model, round(work_ms), waiting),
            )
        return tuple(shares)

    def recent_adapters(self, now: float) -> tuple[str, ...]:
        """Return the recently requested adapters."""
        for name, requested_at in list(self.adapters.items()):
            if now - requested_at >= ADAPTER_RECENT_S:
                self.adapters.pop(name)
        return tuple(self.adapters)


def estimate_work_ms(generation: Generation) -> float:
    """Return the estimated engine time of a request, in milliseconds."""
    return (
        generation.prompt_tokens * PROMPT_TOKEN_MS
        + generation.likely_output_tokens * OUTPUT_TOKEN_MS
    )


def sum_demand(
    snapshots: Iterable[tuple[ModelDemand, ...]],
) -> dict[ModelKey, ModelDemand]:
    """Return the demand summed over several hosts."""
    total: dict[ModelKey, ModelDemand] = {}
    for shares in snapshots:
        for one in shares:
            key = (one.service, one.model)
            before = total.get(key)
            if before is None:
                total[key] = one
                continue
            total[key] = ModelDemand(
                one.service,
                one.model,
                one.work_ms + before.work_ms,
                one.waiting + before.waiting,
            )
    return total
