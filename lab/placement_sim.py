"""A small fake of targets and routing, under a virtual clock, for placement."""

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
    """A request that runs."""

    model: int
    workspace: int


@dataclass(slots=True)
class Target:
    """A target.

    Attributes
    ----------
    name, zone : str
    memory_bytes : int
        Bytes of its memory.
    slots : int
    models : dict of int to int
        The tick from which a model serves; `NEVER` while it loads.
    used_at : dict of int to int
        The tick of a model's last request.
    loaded_at : dict of int to int
        The tick at which a model's load ended.
    running : int
    runs_by_end : dict of int to list of RunningRequest
        Requests that run, by the tick at which they end.
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
    """A load on its way; the weight store carries some at once."""

    target: Target
    model: int
    remaining_s: float


@dataclass(slots=True)
class Tally:
    """Requests after the warm-up, by workspace, and moves.

    Attributes
    ----------
    served, missed : array of int, shape (workspaces,)
    moves : int
        Loads of models.
    unreachable_ticks : int
        Sum over models of the ticks in which no live target served them.
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
        Tick of arrival and workspace, by model.
    running : list of int
        Requests that run, by model.
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

    def free_bytes(self, box: Target) -> int:
        """Return the bytes that nothing in a target takes."""
        return box.memory_bytes - sum(
            self.scenario.sizes[one] for one in box.models
        )

    def load(self, box: Target, model: int) -> None:
        """Begin a load.

        Raises
        ------
        ValueError
            If it does not fit.
        """
        if self.scenario.sizes[model] > self.free_bytes(box):
            raise ValueError('the target would be overcommitted')
        box.models[model] = NEVER
        transfer_s = CONCURRENT_LOADS / self.scenario.scale.loads_per_s
        self.loads.append(Load(box, model, transfer_s))
        self.tally.moves += self.is_warmed_up

    def unload(self, box: Target, model: int) -> None:
        """Unload a model; what runs on it still ends."""
        box.models.pop(model)

    def ready_targets(self, model: int) -> list[Target]:
        """Return the live targets that serve a model."""
        return [
            box
            for box in self.targets
            if box.is_alive and box.models.get(model, NEVER) <= self.tick
        ]

    @property
    def is_warmed_up(self) -> bool:
        """Whether the warm-up is over."""
        return self.tick * TICK_S >= WARM_UP_S

    def run(self, decide: Decide) -> Tally:
        """RunningRequest to the end; `decide` is called every `DECISION_INTERVAL_TICKS`."""
        for tick in range(self.scenario.ticks):
            self.tick = tick
            self._fail_and_recover()
            self._go_on_loading()
            self._end_requests()
            for model in range(self.scenario.scale.models):
                self._arrive(model)
                self._route(model)
            if self.tick % DECISION_INTERVAL_TICKS == 0:
                decide(self)
        return self.tally

    def _fail_and_recover(self) -> None:
        for outage in self.scenario.outages:
            box = self.targets[outage.engine]
            if self.tick == outage.from_tick:
                self._kill(box)
            elif self.tick == outage.to_tick:
                box.is_alive = True

    def _kill(self, box: Target) -> None:
        running = [run for runs in box.runs_by_end.values() for run in runs]
        for lost in running:
            self.running[lost.model] -= 1
            self.tally.served[lost.workspace] -= self.is_warmed_up
            self.tally.missed[lost.workspace] += self.is_warmed_up
        box.is_alive = False
        box.models.clear()
        box.runs_by_end.clear()
        box.running = 0
        self.loads = [one for one in self.loads if one.target is not box]

    def _go_on_loading(self) -> None:
        if not self.loads:
            return
        speed = min(1, CONCURRENT_LOADS / len(self.loads))
        for load in self.loads:
            load.remaining_s -= TICK_S * speed
            if load.remaining_s <= 0:
                load.target.models[load.model] = self.tick
                load.target.loaded_at[load.model] = self.tick
        self.loads = [one for one in self.loads if one.remaining_s > 0]

    def _end_requests(self) -> None:
        for box in self.targets:
            for run in box.runs_by_end.pop(self.tick, ()):
                box.running -= 1
                self.running[run.model] -= 1

    def _arrive(self, model: int) -> None:
        for workspace, count in enumerate(
            self.scenario.arrivals[self.tick, model],
        ):
            self.waiting[model].extend(repeat((self.tick, workspace), count))

    def _route(self, model: int) -> None:
        queue = self.waiting[model]
        boxes = self.ready_targets(model)
        self.tally.unreachable_ticks += self.is_warmed_up and not boxes
        while queue:
            box = min(boxes, key=lambda one: one.running, default=None)
            if box is None or box.running >= box.slots:
                break
            self._start(box, model, queue.popleft()[1])
        while queue and self.tick - queue[0][0] >= QUEUE_TIMEOUT_TICKS:
            _, workspace = queue.popleft()
            self.tally.missed[workspace] += self.is_warmed_up

    def _start(self, box: Target, model: int, workspace: int) -> None:
        durations = self.scenario.durations
        self.next_duration = (self.next_duration + 1) % len(durations)
        end = self.tick + int(durations[self.next_duration])
        box.runs_by_end.setdefault(end, []).append(
            RunningRequest(model, workspace)
        )
        self.running[model] += 1
        box.running += 1
        box.used_at[model] = self.tick
        self.tally.served[workspace] += self.is_warmed_up


def place_evenly(boxes: list[Target], sizes: list[int]) -> None:
    """Give every model as many copies as any other, while memory lasts."""
    # Large ones first, so that every model finds room once.
    largest_first = sorted(
        range(len(sizes)),
        key=lambda model: -sizes[model],
    )
    is_room = True
    while is_room:
        placed = [_place_once(boxes, sizes, model) for model in largest_first]
        is_room = any(placed)


def _place_once(boxes: list[Target], sizes: list[int], model: int) -> bool:
    free = [
        (box.memory_bytes - sum(sizes[one] for one in box.models), index)
        for index, box in enumerate(boxes)
        if model not in box.models
    ]
    room, index = max(free, default=(0, 0))
    if room < sizes[model]:
        return False
    boxes[index].models[model] = 0
    return True
