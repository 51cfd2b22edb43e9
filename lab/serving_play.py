"""Plays heavy load on virtual engines: the product's decisions, plainer ones.

Callers' outcomes are compared, and with what the engines could do at most;
`lab.serving_bench` prints the tables.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ebonywell.loadpace import loads_at_once

from .serving_demand import Request, Scenario, make_requests, model_sizes
from .serving_engines import (
    ENGINE_BYTES,
    LOAD_S,
    PROMPT_TOKENS_PER_MS,
    EngineRun,
    VirtualEngine,
)

STEP_S = 0.01
DECISION_S = 0.25
# Hosts tell each other their loads so often.
NEWS_S = 0.2
PATIENCE_GOALS = 4
MIN_PATIENCE_S = 2.0
# A late answer is worth this part of one in time.
LATE_SHARE = 0.3
# Refused callers come back after at most this part of the time left.
RETURN_SHARE = 1 / 3
_MS = 1000.0


@dataclass(slots=True)
class Tally:
    """What the callers of one kind got.

    Attributes
    ----------
    counts : Counter of str
        Requests by outcome: in_time, late, refused, left.
    owed, earned : float
        Worth.
    """

    counts: Counter[str] = field(default_factory=Counter)
    owed: float = 0
    earned: float = 0

    @property
    def share(self) -> float:
        """The part of its worth that was earned."""
        return self.earned / self.owed if self.owed else 1


@dataclass(slots=True)
class Floor:
    """The engines with the demand on them, as the policies see it.

    Attributes
    ----------
    scenario : Scenario
    sizes : dict of str to int
        Bytes by model.
    engines : dict of str to VirtualEngine
    waiting : list of Request
        For a model that no engine holds.
    store_loads : float
        That the weight store may begin now.
    """

    scenario: Scenario
    sizes: dict[str, int]
    engines: dict[str, VirtualEngine]
    waiting: list[Request] = field(default_factory=list)
    store_loads: float = 0

    def holders(self, model: str) -> list[VirtualEngine]:
        """Return the engines that hold a model."""
        return [one for one in self.engines.values() if model in one.models]

    def is_coming(self, model: str) -> bool:
        """Return whether a load of a model is under way."""
        return any(one.loading == model for one in self.engines.values())

    def free_bytes(self, engine: VirtualEngine) -> int:
        """Return the memory that nothing takes or is on its way to."""
        held = [*engine.models, *engine.unloading]
        if engine.loading:
            held.append(engine.loading)
        return ENGINE_BYTES - sum(self.sizes[model] for model in held)

    def order(
        self,
        engine: VirtualEngine,
        unloads: list[str],
        load: str,
    ) -> None:
        """Give the orders of a swap, if the weight store allows it."""
        is_far = load not in engine.near
        if engine.is_busy or (is_far and self.store_loads < 1):
            return
        self.store_loads -= is_far
        engine.order(unloads, load)


Choose = Callable[
    [Request, float],
    tuple[VirtualEngine, int, float] | None,
]


@dataclass(slots=True, frozen=True)
class Policy:
    """One way to serve.

    Attributes
    ----------
    place : callable
        Called every `DECISION_S` with the time; orders models.
    choose : callable
        Takes a request and the time; returns the engine, the tokens to be
        read there and the expected wait in seconds; None where no engine
        holds the model.
    refuse_s : callable
        Takes a request, the expected wait and the time; returns after how
        long the caller comes back, 0 to admit it. The wait is infinite where
        no engine holds the model.
    news : callable
        Called every `NEWS_S`.
    began, ended : callable
        Told of each run.
    """

    place: Callable[[float], None]
    choose: Choose
    refuse_s: Callable[[Request, float, float], float]
    news: Callable[[float], None] = lambda now: None
    began: Callable[[EngineRun, VirtualEngine], None] = lambda run, on: None
    ended: Callable[[EngineRun], None] = lambda run: None


MakePolicy = Callable[[Floor], Policy]


def make_floor(scenario: Scenario) -> Floor:
    """Return the engines, each model on one of them as far as there is room."""
    engines = {
        f'e{number}': VirtualEngine(f'e{number}')
        for number in range(scenario.engines)
    }
    floor = Floor(scenario, model_sizes(scenario), engines)
    for model, size in floor.sizes.items():
        room = max(engines.values(), key=floor.free_bytes)
        if floor.free_bytes(room) >= size:
            room.models[model] = -1
            room.near.append(model)
    return floor


class Play:
    """One play of a scenario under one policy.

    Attributes
    ----------
    floor : Floor
    policy : Policy
    tallies : dict of str to Tally
        By kind.
    """

    def __init__(self, scenario: Scenario, make_policy: MakePolicy) -> None:
        self.floor = make_floor(scenario)
        self.policy = make_policy(self.floor)
        self.tallies = {kind.name: Tally() for kind in scenario.kinds}
        self.returning: list[tuple[float, Request]] = []
        self.rng = random.Random(scenario.seed)

    def run(self) -> dict[str, Tally]:
        """Play until all callers have their outcome."""
        arrivals = list(make_requests(self.floor.scenario))
        for request in arrivals:
            self.tallies[request.kind.name].owed += request.work_worth
        step = 0
        while arrivals or self.returning or self._is_active():
            now = step * STEP_S
            while arrivals and arrivals[0].arrived_at <= now:
                self._admit(arrivals.pop(0), now)
            self._admit_returning(now)
            self._step(step, now)
            step += 1
        return self.tallies

    def _is_active(self) -> bool:
        busy = any(engine.runs for engine in self.floor.engines.values())
        return busy or bool(self.floor.waiting)

    def _step(self, step: int, now: float) -> None:
        rate = self.floor.scenario.loads_per_s
        self.floor.store_loads = min(
            loads_at_once(rate, LOAD_S),
            self.floor.store_loads + STEP_S * rate,
        )
        if step % round(NEWS_S / STEP_S) == 0:
            self.policy.news(now)
        if step % round(DECISION_S / STEP_S) == 0:
            self.policy.place(now)
        for engine in self.floor.engines.values():
            for run in engine.step(now, STEP_S):
                self._end(run)
            for run in list(engine.runs):
                if run.first_at is None and now >= _leaves_at(run.request):
                    engine.runs.remove(run)
                    self._end(run)
        self._serve_waiting(now)

    def _admit_returning(self, now: float) -> None:
        due = [one for at, one in self.returning if at <= now]
        self.returning = [pair for pair in self.returning if pair[0] > now]
        for request in due:
            request.asked_at = now
            self._admit(request, now)

    def _serve_waiting(self, now: float) -> None:
        waiting = self.floor.waiting
        self.floor.waiting = []
        for request in waiting:
            self._admit(request, now)

    def _admit(self, request: Request, now: float) -> None:
        if now >= _leaves_at(request):
            self._count(request, 'left')
            return
        chosen = self.policy.choose(request, now)
        wait_s = chosen[2] if chosen else float('inf')
        pause_s = self.policy.refuse_s(request, wait_s, now)
        if pause_s:
            self._refuse(request, pause_s, now)
        elif chosen is None:
            self.floor.waiting.append(request)
        else:
            engine, new_tokens, _ = chosen
            self.policy.began(engine.take(request, new_tokens), engine)

    def _refuse(self, request: Request, pause_s: float, now: float) -> None:
        if not request.returns:
            self._count(request, 'refused')
            return
        request.returns -= 1
        bound_s = (request.deadline - now) * RETURN_SHARE
        back_at = now + min(pause_s, bound_s) * self.rng.uniform(1, 1.2)
        self.returning.append((back_at, request))

    def _end(self, run: EngineRun) -> None:
        self.policy.ended(run)
        if run.first_at is None:
            self._count(run.request, 'left')
            return
        took_s = run.first_at - run.request.arrived_at
        is_late = took_s > run.request.kind.goal_s
        self._count(run.request, 'late' if is_late else 'in_time')

    def _count(self, request: Request, outcome: str) -> None:
        tally = self.tallies[request.kind.name]
        tally.counts[outcome] += 1
        shares = {'in_time': 1, 'late': LATE_SHARE}
        tally.earned += request.work_worth * shares.get(outcome, 0)


def patience_s(request: Request) -> float:
    """Return how long a request's caller waits for its first event."""
    return max(MIN_PATIENCE_S, PATIENCE_GOALS * request.kind.goal_s)


def _leaves_at(request: Request) -> float:
    return min(request.deadline, request.arrived_at + patience_s(request))


def worth_share(tallies: dict[str, Tally]) -> float:
    """Return the part of all worth that was earned."""
    owed = sum(one.owed for one in tallies.values())
    return sum(one.earned for one in tallies.values()) / owed


def bound(scenario: Scenario) -> float:
    """Return the part of all worth that the engines could earn at most.

    Prompts are read one after the other, whatever the placement; requests
    worth most for the time that they take come first.
    """
    requests = list(make_requests(scenario))
    owed = sum(request.work_worth for request in requests)
    left_ms = scenario.engines * (scenario.duration_s + 1) * _MS
    earned: float = 0
    for request in sorted(requests, key=_worth_per_token, reverse=True):
        left_ms -= request.generation.prompt_tokens / PROMPT_TOKENS_PER_MS
        if left_ms < 0:
            break
        earned += request.work_worth
    return earned / owed


def _worth_per_token(request: Request) -> float:
    return request.work_worth / request.generation.prompt_tokens


def play(scenario: Scenario, make_policy: MakePolicy) -> dict[str, Tally]:
    """Play a scenario under a policy; return what each kind's callers got."""
    return Play(scenario, make_policy).run()


def queue_wait_s(engine: VirtualEngine) -> float:
    """Return the time to read all prompts that wait at an engine."""
    left = sum(run.prompt_left for run in engine.runs)
    return left / PROMPT_TOKENS_PER_MS / _MS
