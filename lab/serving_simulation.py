"""Simulates heavy load on virtual engines under different serving policies.

It counts the outcomes of callers' requests, and computes an upper bound from
the capacity of the engines; `lab.serving_bench` prints the tables.
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
    SimulatedEngine,
)

STEP_S = 0.01
DECISION_INTERVAL_S = 0.25
# Period at which hosts exchange their loads.
LOAD_EXCHANGE_INTERVAL_S = 0.2
# The first-byte time-out of a caller, as a multiple of its request's goal.
FIRST_BYTE_TIMEOUT_GOALS = 4
MIN_FIRST_BYTE_TIMEOUT_S = 2.0
# Worth of a late answer, as a share of the worth of an answer in time.
LATE_WORTH_SHARE = 0.3
# Rejected callers retry within this share of the time left to the deadline.
MAX_RETRY_DELAY_SHARE = 1 / 3
_MS = 1000.0


@dataclass(slots=True)
class Tally:
    """Outcomes of the requests of one kind.

    Attributes
    ----------
    counts : Counter of str
        Requests by outcome: in_time, late, refused, left. Of the last ones,
        the caller gave up before the first event.
    total_worth, earned_worth : float
        Worth of all requests, and the part of it that was earned.
    """

    counts: Counter[str] = field(default_factory=Counter)
    total_worth: float = 0
    earned_worth: float = 0

    @property
    def share(self) -> float:
        """Share of the total worth that was earned."""
        return self.earned_worth / self.total_worth if self.total_worth else 1


@dataclass(slots=True)
class SimulatedEngines:
    """The engines and the waiting requests, as policies see them.

    Attributes
    ----------
    scenario : Scenario
    sizes : dict of str to int
        Bytes of each model.
    engines : dict of str to SimulatedEngine
    waiting : list of Request
        Requests for models that no engine holds.
    available_loads : float
        Number of loads that the weight store may start now.
    """

    scenario: Scenario
    sizes: dict[str, int]
    engines: dict[str, SimulatedEngine]
    waiting: list[Request] = field(default_factory=list)
    available_loads: float = 0

    def holders(self, model: str) -> list[SimulatedEngine]:
        """Return the engines that hold a model."""
        return [one for one in self.engines.values() if model in one.models]

    def is_loading(self, model: str) -> bool:
        """Return whether a model is loading on any engine."""
        return any(one.loading == model for one in self.engines.values())

    def free_bytes(self, engine: SimulatedEngine) -> int:
        """Return the memory that is neither used nor reserved by a load."""
        held = [*engine.models, *engine.unloading]
        if engine.loading:
            held.append(engine.loading)
        return ENGINE_BYTES - sum(self.sizes[model] for model in held)

    def order_swap(
        self,
        engine: SimulatedEngine,
        unloads: list[str],
        load: str,
    ) -> None:
        """Order a swap, unless the engine or the weight store is busy."""
        is_remote = load not in engine.cached_weights
        if engine.is_busy or (is_remote and self.available_loads < 1):
            return
        self.available_loads -= is_remote
        engine.order_swap(unloads, load)


Choose = Callable[
    [Request, float],
    tuple[SimulatedEngine, int, float] | None,
]


@dataclass(slots=True, frozen=True)
class Policy:
    """Decisions of one serving policy, as callbacks.

    Attributes
    ----------
    place : callable
        Called every `DECISION_INTERVAL_S` with the time; orders swaps.
    choose : callable
        Takes a request and the time; returns the engine, the tokens to be
        read there and the expected wait in seconds; None where no engine
        holds the model.
    retry_after_s : callable
        Takes a request, the expected wait and the time; returns the time
        after which the caller may retry, or 0 to admit the request. The wait
        is infinite where no engine holds the model.
    exchange_loads : callable
        Called every `LOAD_EXCHANGE_INTERVAL_S` with the time.
    on_started, on_ended : callable
        Called when a run starts, and when it ends.
    """

    place: Callable[[float], None]
    choose: Choose
    retry_after_s: Callable[[Request, float, float], float]
    exchange_loads: Callable[[float], None] = lambda now: None
    on_started: Callable[[EngineRun, SimulatedEngine], None] = lambda run, on: (
        None
    )
    on_ended: Callable[[EngineRun], None] = lambda run: None


MakePolicy = Callable[[SimulatedEngines], Policy]


def make_engine_pool(scenario: Scenario) -> SimulatedEngines:
    """Return the engines, with each model on one of them while memory lasts."""
    engines = {
        f'e{number}': SimulatedEngine(f'e{number}')
        for number in range(scenario.engines)
    }
    pool = SimulatedEngines(scenario, model_sizes(scenario), engines)
    for model, size in pool.sizes.items():
        roomiest = max(engines.values(), key=pool.free_bytes)
        if pool.free_bytes(roomiest) >= size:
            roomiest.models[model] = -1
            roomiest.cached_weights.append(model)
    return pool


class Simulation:
    """One simulation of a scenario under one policy.

    Attributes
    ----------
    pool : SimulatedEngines
    policy : Policy
    tallies : dict of str to Tally
        Outcomes by kind of request.
    """

    def __init__(self, scenario: Scenario, make_policy: MakePolicy) -> None:
        self.pool = make_engine_pool(scenario)
        self.policy = make_policy(self.pool)
        self.tallies = {kind.name: Tally() for kind in scenario.kinds}
        self.retrying: list[tuple[float, Request]] = []
        self.rng = random.Random(scenario.seed)

    def run(self) -> dict[str, Tally]:
        """Run until every request has an outcome."""
        requests = list(make_requests(self.pool.scenario))
        for request in requests:
            self.tallies[request.kind.name].total_worth += request.worth
        step = 0
        while requests or self.retrying or self._is_active():
            now = step * STEP_S
            while requests and requests[0].arrived_at <= now:
                self._admit(requests.pop(0), now)
            self._admit_retries(now)
            self._step(step, now)
            step += 1
        return self.tallies

    def _is_active(self) -> bool:
        busy = any(engine.runs for engine in self.pool.engines.values())
        return busy or bool(self.pool.waiting)

    def _step(self, step: int, now: float) -> None:
        rate = self.pool.scenario.loads_per_s
        self.pool.available_loads = min(
            loads_at_once(rate, LOAD_S),
            self.pool.available_loads + STEP_S * rate,
        )
        if step % round(LOAD_EXCHANGE_INTERVAL_S / STEP_S) == 0:
            self.policy.exchange_loads(now)
        if step % round(DECISION_INTERVAL_S / STEP_S) == 0:
            self.policy.place(now)
        for engine in self.pool.engines.values():
            for run in engine.step(now, STEP_S):
                self._end(run)
            for run in list(engine.runs):
                if run.first_token_at is None and now >= _leave_time(
                    run.request
                ):
                    engine.runs.remove(run)
                    self._end(run)
        self._serve_waiting(now)

    def _admit_retries(self, now: float) -> None:
        due = [one for retry_at, one in self.retrying if retry_at <= now]
        self.retrying = [pair for pair in self.retrying if pair[0] > now]
        for request in due:
            request.requested_at = now
            self._admit(request, now)

    def _serve_waiting(self, now: float) -> None:
        waiting = self.pool.waiting
        self.pool.waiting = []
        for request in waiting:
            self._admit(request, now)

    def _admit(self, request: Request, now: float) -> None:
        if now >= _leave_time(request):
            self._count(request, 'left')
            return
        chosen = self.policy.choose(request, now)
        wait_s = chosen[2] if chosen else float('inf')
        retry_after_s = self.policy.retry_after_s(request, wait_s, now)
        if retry_after_s:
            self._reject(request, retry_after_s, now)
        elif chosen is None:
            self.pool.waiting.append(request)
        else:
            engine, new_tokens, _ = chosen
            self.policy.on_started(engine.start(request, new_tokens), engine)

    def _reject(
        self, request: Request, retry_after_s: float, now: float
    ) -> None:
        if not request.retries_left:
            self._count(request, 'refused')
            return
        request.retries_left -= 1
        bound_s = (request.deadline - now) * MAX_RETRY_DELAY_SHARE
        retry_at = now + min(retry_after_s, bound_s) * self.rng.uniform(1, 1.2)
        self.retrying.append((retry_at, request))

    def _end(self, run: EngineRun) -> None:
        self.policy.on_ended(run)
        if run.first_token_at is None:
            self._count(run.request, 'left')
            return
        first_token_s = run.first_token_at - run.request.arrived_at
        is_late = first_token_s > run.request.kind.goal_s
        self._count(run.request, 'late' if is_late else 'in_time')

    def _count(self, request: Request, outcome: str) -> None:
        tally = self.tallies[request.kind.name]
        tally.counts[outcome] += 1
        shares = {'in_time': 1, 'late': LATE_WORTH_SHARE}
        tally.earned_worth += request.worth * shares.get(outcome, 0)


def first_byte_timeout_s(request: Request) -> float:
    """Return how long a caller waits for the first event of the answer."""
    return max(
        MIN_FIRST_BYTE_TIMEOUT_S, FIRST_BYTE_TIMEOUT_GOALS * request.kind.goal_s
    )


def _leave_time(request: Request) -> float:
    return min(
        request.deadline, request.arrived_at + first_byte_timeout_s(request)
    )


def worth_share(tallies: dict[str, Tally]) -> float:
    """Return the share of the total worth that was earned."""
    total_worth = sum(one.total_worth for one in tallies.values())
    return sum(one.earned_worth for one in tallies.values()) / total_worth


def upper_bound(scenario: Scenario) -> float:
    """Return the largest share of the total worth that the engines could earn.

    The bound assumes that any engine can read any prompt. Engines read one
    prompt after the other, those with the most worth per token first.
    """
    requests = list(make_requests(scenario))
    total_worth = sum(request.worth for request in requests)
    left_ms = scenario.engines * (scenario.duration_s + 1) * _MS
    earned_worth: float = 0
    for request in sorted(requests, key=_worth_per_token, reverse=True):
        left_ms -= request.generation.prompt_tokens / PROMPT_TOKENS_PER_MS
        if left_ms < 0:
            break
        earned_worth += request.worth
    return earned_worth / total_worth


def _worth_per_token(request: Request) -> float:
    return request.worth / request.generation.prompt_tokens


def simulate(scenario: Scenario, make_policy: MakePolicy) -> dict[str, Tally]:
    """Simulate a scenario under a policy; return the outcomes by kind."""
    return Simulation(scenario, make_policy).run()


def queue_wait_s(engine: SimulatedEngine) -> float:
    """Return the time that an engine needs to read its waiting prompts."""
    left = sum(run.prompt_left for run in engine.runs)
    return left / PROMPT_TOKENS_PER_MS / _MS
