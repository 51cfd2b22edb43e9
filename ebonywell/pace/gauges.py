"""Gauges of the learned paces, collected before each exposition."""

import math

from ..clock import boot_time
from ..metrics import Metrics
from .machines import STATE_S
from .sharing import SharedObservations

# A machine counts as slow from this percentage of the usual time.
SLOW_PERCENT = 150


def add_pace_gauges(metrics: Metrics, shared: SharedObservations) -> None:
    """Add a collector for the number and the range of learned paces."""

    def collect_paces(sink: Metrics) -> None:
        now = boot_time()
        targets = shared.paces.targets.values()
        observed = [one for one in targets if one.observed]
        logs = [one.factor.log_at(now) for one in observed]
        slow = [
            one
            for one in targets
            if one.machine.percent >= SLOW_PERCENT
            and one.machine.age_s(now) <= STATE_S
        ]
        sink.gauge('paced_targets', len(observed))
        sink.gauge('paced_models', len(shared.paces.models))
        sink.gauge('target_factor_least', math.exp(min(logs, default=0)))
        sink.gauge('target_factor_greatest', math.exp(max(logs, default=0)))
        sink.gauge('slow_machines', len(slow))

    metrics.collectors.append(collect_paces)
