"""How much work callers ask of each model, on this host and on all."""

import math
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from .digests import ModelDemand
from .inbound import Generation

# Demand is averaged over about this long: short enough for a demand that
# moves within seconds, long enough for a few requests of a rare model.
AVERAGE_S = 1.5
# Below this, in milliseconds of work a second, a model counts as idle.
MIN_WORK_MS = 0.5
# Milliseconds of an engine that a token costs, in a batch that is half full;
# from the deployments' sheets.
PROMPT_TOKEN_MS = 0.045
OUTPUT_TOKEN_MS = 0.25
# How long an adapter counts as in use after a request for it.
ADAPTER_RECENT_S = 1.0

ModelKey = tuple[str, str]


@dataclass(slots=True)
class DemandMeter:
    """A rate that fades.

    Attributes
    ----------
    work_ms : float
        Milliseconds of work a second.
    decayed_at : float
    count_waiting : int
        Requests that wait for the model to come.
    """

    work_ms: float = 0
    decayed_at: float = 0
    waiting: int = 0

    def decay(self, now: float) -> float:
        """Return the rate as of now."""
        self.work_ms *= math.exp((self.decayed_at - now) / AVERAGE_S)
        self.decayed_at = now
        return self.work_ms


@dataclass(slots=True)
class HostDemand:
    """What this host's callers ask for.

    Attributes
    ----------
    meters : dict of (str, str) to DemandMeter
        By service and model.
    adapters : dict of str to float
        When each ``model/adapter`` was last asked for.
    """

    meters: dict[ModelKey, DemandMeter] = field(default_factory=dict)
    adapters: dict[str, float] = field(default_factory=dict)

    def count_request(
        self, service: str, generation: Generation, now: float
    ) -> None:
        """Count a request."""
        meter = self.meter(service, generation.model)
        meter.decay(now)
        meter.work_ms += estimate_work_ms(generation) / AVERAGE_S
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
        """Count a request that waits, if it is for the model to come."""
        meter = self.meter(service, generation.model)
        meter.waiting += is_absent
        try:
            yield
        finally:
            meter.waiting -= is_absent

    def meter(self, service: str, model: str) -> DemandMeter:
        """Return a model's meter."""
        return self.meters.setdefault((service, model), DemandMeter())

    def snapshot(self, now: float) -> tuple[ModelDemand, ...]:
        """Return the demand as of now, and drop what has faded."""
        shares = []
        for (service, model), meter in list(self.meters.items()):
            work_ms = meter.decay(now)
            if work_ms < MIN_WORK_MS and not meter.waiting:
                self.meters.pop((service, model))
                continue
            shares.append(
                ModelDemand(service, model, round(work_ms), meter.waiting),
            )
        return tuple(shares)

    def recent_adapters(self, now: float) -> tuple[str, ...]:
        """Return the adapters asked for of late."""
        for name, asked_at in list(self.adapters.items()):
            if now - asked_at >= ADAPTER_RECENT_S:
                self.adapters.pop(name)
        return tuple(self.adapters)


def estimate_work_ms(generation: Generation) -> float:
    """Return a request's work, in milliseconds of an engine."""
    return (
        generation.prompt_tokens * PROMPT_TOKEN_MS
        + generation.likely_output_tokens * OUTPUT_TOKEN_MS
    )


def sum_demand(
    snapshots: Iterable[tuple[ModelDemand, ...]],
) -> dict[ModelKey, ModelDemand]:
    """Return the demand over several hosts."""
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
