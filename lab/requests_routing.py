"""Simulates routing to replicas with late, wrong and missing load reports."""

import collections
import functools
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from types import MappingProxyType

from ebonywell.routing import (
    Candidate,
    LoadObservation,
    ReplicaChooser,
    choose_by_prefix,
    choose_least_loaded,
    choose_of_two,
    choose_random,
    estimate_loads,
)

HOST_COUNT = 8
REPLICA_COUNT = 10
SLOTS_PER_REPLICA = 16
CACHED_PREFIXES = 30
PREFIX_COUNT = 200
REPORT_INTERVAL_S = 0.5
DECODE_S = 0.8
PREFILL_S = 0.4
UTILISATION = 0.7
SIMULATED_S = 120.0
WARM_UP_S = 20.0


@dataclass(slots=True)
class RoutingResult:
    """Results of one simulation.

    Attributes
    ----------
    latencies : list of float
        Latencies after the warm-up, in seconds, sorted after the run.
    hits : int
        Requests whose prompt prefix was cached.
    """

    latencies: list[float] = field(default_factory=list)
    hits: int = 0

    def percentile(self, percent: float) -> float:
        """Return a percentile of the latencies, in seconds."""
        index = int(len(self.latencies) * percent / 100)
        return self.latencies[min(index, len(self.latencies) - 1)]


@dataclass(slots=True)
class _Replica:
    queue: collections.deque[float] = field(default_factory=collections.deque)
    running: int = 0
    reported: int | None = 0
    cache: collections.OrderedDict[int, None] = field(
        default_factory=collections.OrderedDict,
    )
    in_flight_by_host: collections.Counter[int] = field(
        default_factory=collections.Counter
    )
    in_flight_at_report: collections.Counter[int] = field(
        default_factory=collections.Counter,
    )

    def touch(self, prefix: int) -> bool:
        """Mark a prefix as used and return whether it was cached.

        The cache evicts the least recently used prefix.
        """
        is_cached = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        return is_cached


LoadReporter = Callable[[int, int], int | None]


def _report_actual(replica: int, load: int) -> int | None:
    return load


def _report_first_idle(replica: int, load: int) -> int | None:
    return 0 if replica == 0 else load


def _report_half(replica: int, load: int) -> int | None:
    return None if replica < REPLICA_COUNT // 2 else load


REPORTERS: MappingProxyType[str, LoadReporter] = MappingProxyType(
    {
        'lagging': _report_actual,
        'one lies': _report_first_idle,
        'half missing': _report_half,
    }
)
CHOICES: MappingProxyType[str, ReplicaChooser] = MappingProxyType(
    {
        'random': choose_random,
        'least work': choose_least_loaded,
        'two choices': choose_of_two,
        'prefix with bound': choose_by_prefix,
    }
)


class RoutingSimulation:
    """Discrete-event simulation of hosts that route requests to replicas."""

    def __init__(
        self, choose: ReplicaChooser, report: LoadReporter, seed: int
    ) -> None:
        self.choose = choose
        self.report = report
        self.rng = random.Random(seed)
        self.replicas = [_Replica() for _ in range(REPLICA_COUNT)]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.now: float = 0
        self.result = RoutingResult()
        self.weights = [1 / (rank + 1) for rank in range(PREFIX_COUNT)]
        mean_service_s = (DECODE_S + PREFILL_S) * (1 + UTILISATION)
        self.rate = (
            UTILISATION * REPLICA_COUNT * SLOTS_PER_REPLICA / mean_service_s
        )

    def run(self) -> RoutingResult:
        """Run the simulation to its end and return the results."""
        self._schedule(0, self._receive_request)
        self._schedule(0, self._collect_reports)
        while self.events and self.now < SIMULATED_S:
            event = heapq.heappop(self.events)
            self.now = event[0]
            event[2]()
        self.result.latencies.sort()
        return self.result

    def _schedule(self, delay_s: float, act: Callable[[], None]) -> None:
        event = (self.now + delay_s, next(self.sequence), act)
        heapq.heappush(self.events, event)

    def _collect_reports(self) -> None:
        for index, replica in enumerate(self.replicas):
            load = replica.running + len(replica.queue)
            replica.reported = self.report(index, load)
            replica.in_flight_at_report = replica.in_flight_by_host.copy()
        self._schedule(REPORT_INTERVAL_S, self._collect_reports)

    def _receive_request(self) -> None:
        host = self.rng.randrange(HOST_COUNT)
        prefix = self.rng.choices(range(PREFIX_COUNT), self.weights)[0]
        index = self._choose_for(host, prefix)
        replica = self.replicas[index]
        replica.in_flight_by_host[host] += 1
        begin = functools.partial(self._begin, replica, host, prefix, self.now)
        if replica.running < SLOTS_PER_REPLICA:
            begin()
        else:
            replica.queue.append(0)
            self._wait_for_slot(replica, begin)
        self._schedule(self.rng.expovariate(self.rate), self._receive_request)

    def _wait_for_slot(
        self, replica: _Replica, begin: Callable[[], None]
    ) -> None:
        if replica.running < SLOTS_PER_REPLICA:
            replica.queue.popleft()
            begin()
        else:
            self._schedule(
                0.01,
                functools.partial(self._wait_for_slot, replica, begin),
            )

    def _choose_for(self, host: int, prefix: int) -> int:
        loads_seen = [
            LoadObservation(
                replica.in_flight_by_host[host],
                replica.in_flight_at_report[host],
                replica.reported,
            )
            for replica in self.replicas
        ]
        candidates = [
            Candidate(str(index), load)
            for index, load in enumerate(estimate_loads(loads_seen))
        ]
        chosen = self.choose(candidates, str(prefix).encode(), self.rng)
        return int(chosen.name)

    def _begin(
        self,
        replica: _Replica,
        host: int,
        prefix: int,
        received_at: float,
    ) -> None:
        replica.running += 1
        is_hit = replica.touch(prefix)
        work_s = DECODE_S * self.rng.uniform(0.5, 1.5)
        if not is_hit:
            work_s += PREFILL_S
        # A full batch runs each of its requests at half speed.
        took_s = work_s * (1 + replica.running / SLOTS_PER_REPLICA)
        end = functools.partial(self._end, replica, host, received_at, is_hit)
        self._schedule(took_s, end)

    def _end(
        self,
        replica: _Replica,
        host: int,
        received_at: float,
        is_hit: bool,
    ) -> None:
        replica.running -= 1
        replica.in_flight_by_host[host] -= 1
        if received_at > WARM_UP_S:
            self.result.latencies.append(self.now - received_at)
            self.result.hits += is_hit
