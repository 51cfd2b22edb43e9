"""Simulation of targets and routing on a virtual clock, for placement."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import repeat
from typing import NamedTuple

import numpy as np

from .placement_demand import TICK_S, WARM_UP_S, Scenario

QUEUE_TIMEOUT_TICKS = 2
CONCURRENT_LOADS = 3
DECISION_INTERVAL_TICKS = 2


class RunningRequest(NamedTuple):
    """A request that is running on a target."""

    model: int
    workspace: int


@dataclass(slots=True)
class Target:
    """A simulated target.

    Attributes
    ----------
    name, zone : str
    memory_bytes : int
    slots : int
    models : dict of int to int
        Tick from which each model serves; `NEVER` while it is loading.
    used_at : dict of int to int
        Tick of each model's last request.
    loaded_at : dict of int to int
        Tick at which each model's load ended.
    running : int
        Number of running requests.
    runs_by_end : dict of int to list of RunningRequest
        Running requests, by the tick at which they end.
    is_alive : bool
    """

    name: str
    zone: str
    memory_bytes: int
    slots: int
    models: dict[int, int] = field(default_factory=dict)
    used_at: dict[int, int] = field(default_factory=dict)
    loaded_at: dict[int, int] = field(default_factory=dict)
    running: int = 0
    runs_by_end: dict[int, list[RunningRequest]] = field(default_factory=dict)
    is_alive: bool = True


NEVER = 1 << 60


@dataclass(slots=True)
class Load:
    """A load in progress.

    The weight store serves up to `CONCURRENT_LOADS` loads at full speed.
    """

    target: Target
    model: int
    remaining_s: float


@dataclass(slots=True)
class Tally:
    """Counts of requests, by workspace, and of loads, after the warm-up.

    Attributes
    ----------
    served, missed : array of int, shape (workspaces,)
    moves : int
        Model loads.
    unreachable_ticks : int
        Ticks without a live target that serves a model, summed over models.
    """

    served: np.ndarray[tuple[int], np.dtype[np.int64]]
    missed: np.ndarray[tuple[int], np.dtype[np.int64]]
    moves: int = 0
    unreachable_ticks: int = 0


Decide = Callable[['Sim'], None]


class Sim:
    """One run of a scenario under one policy.

    Attributes
    ----------
    scenario : Scenario
    targets : list of Target
    loads : list of Load
    waiting : list of deque of (int, int)
        Tick of receipt and workspace of the waiting requests, by model.
    running : list of int
        Number of running requests, by model.
    tick : int
    tally : Tally
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        scale = scenario.scale
        self.targets = [
            Target(
                f't{number}',
                f'z{number % scale.zones}',
                scenario.memory_bytes,
                scale.slots,
            )
            for number in range(scale.engines)
        ]
        self.loads: list[Load] = []
        self.waiting: list[deque[tuple[int, int]]] = [
            deque() for _ in range(scale.models)
        ]
        self.tick = 0
        workspaces = scenario.arrivals.shape[2]
        self.tally = Tally(
            np.zeros(workspaces, np.int64),
            np.zeros(workspaces, np.int64),
        )
        self.next_duration = 0
        self.running = [0 for _ in range(scale.models)]
        place_evenly(self.targets, scenario.sizes)

    def free_bytes(self, target: Target) -> int:
        """Return the free memory of a target, in bytes."""
        return target.memory_bytes - sum(
            self.scenario.sizes[one] for one in target.models
        )

    def load(self, target: Target, model: int) -> None:
        """Start to load a model on a target.

        Raises
        ------
        ValueError
            If the model does not fit.
        """
        if self.scenario.sizes[model] > self.free_bytes(target):
            raise ValueError('model does not fit the free memory of the target')
        target.models[model] = NEVER
        transfer_s = CONCURRENT_LOADS / self.scenario.scale.loads_per_s
        self.loads.append(Load(target, model, transfer_s))
        self.tally.moves += self.is_warmed_up

    def unload(self, target: Target, model: int) -> None:
        """Unload a model; its running requests still complete."""
        target.models.pop(model)

    def ready_targets(self, model: int) -> list[Target]:
        """Return the live targets that serve a model."""
        return [
            target
            for target in self.targets
            if target.is_alive and target.models.get(model, NEVER) <= self.tick
        ]

    @property
    def is_warmed_up(self) -> bool:
        """Whether the warm-up is over."""
        return self.tick * TICK_S >= WARM_UP_S

    def run(self, decide: Decide) -> Tally:
        """Run to the end; call `decide` every `DECISION_INTERVAL_TICKS`."""
        for tick in range(self.scenario.ticks):
            self.tick = tick
            self._fail_and_recover()
            self._advance_loads()
            self._end_requests()
            for model in range(self.scenario.scale.models):
                self._receive_requests(model)
                self._route(model)
            if self.tick % DECISION_INTERVAL_TICKS == 0:
                decide(self)
        return self.tally

    def _fail_and_recover(self) -> None:
        for outage in self.scenario.outages:
            target = self.targets[outage.engine]
            if self.tick == outage.from_tick:
                self._kill(target)
            elif self.tick == outage.to_tick:
                target.is_alive = True

    def _kill(self, target: Target) -> None:
        running = [run for runs in target.runs_by_end.values() for run in runs]
        for lost in running:
            self.running[lost.model] -= 1
            self.tally.served[lost.workspace] -= self.is_warmed_up
            self.tally.missed[lost.workspace] += self.is_warmed_up
        target.is_alive = False
        target.models.clear()
        target.runs_by_end.clear()
        target.running = 0
        self.loads = [one for one in self.loads if one.target is not target]

    def _advance_loads(self) -> None:
        if not self.loads:
            return
        share = min(1, CONCURRENT_LOADS / len(self.loads))
        for load in self.loads:
            load.remaining_s -= TICK_S * share
            if load.remaining_s <= 0:
                load.target.models[load.model] = self.tick
                load.target.loaded_at[load.model] = self.tick
        self.loads = [one for one in self.loads if one.remaining_s > 0]

    def _end_requests(self) -> None:
        for target in self.targets:
            for run in target.runs_by_end.pop(self.tick, ()):
                target.running -= 1
                self.running[run.model] -= 1

    def _receive_requests(self, model: int) -> None:
        for workspace, count in enumerate(
            self.scenario.arrivals[self.tick, model],
        ):
            self.waiting[model].extend(repeat((self.tick, workspace), count))

    def _route(self, model: int) -> None:
        queue = self.waiting[model]
        targets = self.ready_targets(model)
        self.tally.unreachable_ticks += self.is_warmed_up and not targets
        while queue:
            target = min(targets, key=lambda one: one.running, default=None)
            if target is None or target.running >= target.slots:
                break
            self._start(target, model, queue.popleft()[1])
        while queue and self.tick - queue[0][0] >= QUEUE_TIMEOUT_TICKS:
            _, workspace = queue.popleft()
            self.tally.missed[workspace] += self.is_warmed_up

    def _start(self, target: Target, model: int, workspace: int) -> None:
        durations = self.scenario.durations
        self.next_duration = (self.next_duration + 1) % len(durations)
        end = self.tick + int(durations[self.next_duration])
        target.runs_by_end.setdefault(end, []).append(
            RunningRequest(model, workspace)
        )
        self.running[model] += 1
        target.running += 1
        target.used_at[model] = self.tick
        self.tally.served[workspace] += self.is_warmed_up


def place_evenly(targets: list[Target], sizes: list[int]) -> None:
    """Place equal numbers of copies of all models until memory is full."""
    # Placing large models first leaves room for at least one copy of each.
    largest_first = sorted(
        range(len(sizes)),
        key=lambda model: -sizes[model],
    )
    is_room = True
    while is_room:
        placed = [_place_once(targets, sizes, model) for model in largest_first]
        is_room = any(placed)


def _place_once(targets: list[Target], sizes: list[int], model: int) -> bool:
    free = [
        (target.memory_bytes - sum(sizes[one] for one in target.models), index)
        for index, target in enumerate(targets)
        if model not in target.models
    ]
    room, index = max(free, default=(0, 0))
    if room < sizes[model]:
        return False
    targets[index].models[model] = 0
    return True
