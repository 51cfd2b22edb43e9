"""Serving policies for many models: ebonywell's own, and two baselines."""

import itertools
import random
from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass

from ebonywell.health import TargetHealth
from ebonywell.loadboard import LoadBoard, Run, TargetLoad
from ebonywell.modeldemand import HostDemand
from ebonywell.modelswaps import Budget, EnginePool, EngineState, ModelState
from ebonywell.overload import (
    ABSENT_RETRY_S,
    absent_retry_after_s,
    overload_retry_after_s,
)
from ebonywell.selection import Candidate, choose

from .serving_demand import Request
from .serving_engines import SLOTS, EngineRun, SimulatedEngine
from .serving_simulation import (
    Choose,
    Policy,
    SimulatedEngines,
    first_byte_timeout_s,
    queue_wait_s,
)

CACHE_TOKENS = 150_000
_SERVICE = 'pool'
_MS = 1000.0


def static_policy(pool: SimulatedEngines) -> Policy:
    """Return shortest-queue routing with the initial placement of models."""

    def retry_after_s(request: Request, wait_s: float, now: float) -> float:
        return ABSENT_RETRY_S if wait_s == float('inf') else 0

    return Policy(lambda now: None, _shortest_queue(pool), retry_after_s)


def lru_policy(pool: SimulatedEngines) -> Policy:
    """Return shortest-queue routing with loading on demand.

    A model that no engine holds replaces the least recently used ones.
    """
    used_at: dict[str, float] = {}
    choose_shortest = _shortest_queue(pool)

    def place(now: float) -> None:
        waiting = Counter(one.generation.model for one in pool.waiting)
        loading = {engine.loading for engine in pool.engines.values()}
        for model, _ in waiting.most_common():
            if model not in loading:
                _load_replacing_lru(pool, model, used_at)

    def choose(
        request: Request,
        now: float,
    ) -> tuple[SimulatedEngine, int, float] | None:
        used_at[request.generation.model] = now
        return choose_shortest(request, now)

    def retry_after_s(request: Request, wait_s: float, now: float) -> float:
        return 0

    return Policy(place, choose, retry_after_s)


def _load_replacing_lru(
    pool: SimulatedEngines, model: str, used_at: dict[str, float]
) -> None:
    """Load a model where it evicts the least recently used models."""
    idle = [one for one in pool.engines.values() if not one.is_busy]
    if not idle:
        return
    plans = [_plan_unloads(pool, model, engine, used_at) for engine in idle]
    _, name, unloads = min(plans)
    pool.order_swap(pool.engines[name], unloads, model)


def _plan_unloads(
    pool: SimulatedEngines,
    model: str,
    engine: SimulatedEngine,
    used_at: dict[str, float],
) -> tuple[float, str, list[str]]:
    """Return the models to unload for a load, and when they were last used.

    The items are the last use of the most recently used of those models, the
    name of the engine, and the models.
    """
    oldest = sorted(engine.models, key=lambda one: used_at.get(one, -1))
    missing = pool.sizes[model] - pool.free_bytes(engine)
    unloads = []
    while missing > 0 and oldest:
        unloads.append(oldest.pop(0))
        missing -= pool.sizes[unloads[-1]]
    newest = max((used_at.get(one, -1) for one in unloads), default=-2)
    return newest, engine.name, unloads


def _shortest_queue(pool: SimulatedEngines) -> Choose:
    def choose(
        request: Request,
        now: float,
    ) -> tuple[SimulatedEngine, int, float] | None:
        holders = pool.holders(request.generation.model)
        if not holders:
            return None
        best = min(holders, key=lambda engine: len(engine.runs))
        return best, request.generation.prompt_tokens, queue_wait_s(best)

    return choose


@dataclass(slots=True, frozen=True)
class CountedRun:
    """A run as counted on the load board of the host that chose its engine."""

    board: LoadBoard
    run: Run
    scope: ExitStack


class EbonywellState:
    """What the hosts know, with the same lag as in a deployment.

    Attributes
    ----------
    pool : SimulatedEngines
    boards : list of LoadBoard
        One load board per host.
    demand : HostDemand
    requested_at : dict of str to float
        When each model was last requested.
    counted_runs : dict of EngineRun to CountedRun
    """

    def __init__(self, pool: SimulatedEngines) -> None:
        self.pool = pool
        self.boards = [LoadBoard() for _ in range(pool.scenario.hosts)]
        self.host_cycle = itertools.cycle(range(pool.scenario.hosts))
        self.host = 0
        self.demand = HostDemand()
        self.requested_at: dict[str, float] = {}
        self.counted_runs: dict[EngineRun, CountedRun] = {}
        self.seen_requests: set[int] = set()
        self.rng = random.Random(pool.scenario.seed)

    def exchange_loads(self, now: float) -> None:
        """Send the loads of each host to all other hosts."""
        for run, counted in self.counted_runs.items():
            if run.first_token_at is not None:
                counted.board.note_first_token(counted.run)
        snapshots = [
            {
                target: TargetLoad(
                    dict(load.waiting_tokens),
                    load.waiting,
                    load.running,
                    load.held_tokens,
                )
                for target, load in board.own.items()
            }
            for board in self.boards
        ]
        for place, board in enumerate(self.boards):
            for other, shares in enumerate(snapshots):
                if other != place:
                    board.note_peer_loads(str(other), shares, now)

    def choose(
        self,
        request: Request,
        now: float,
    ) -> tuple[SimulatedEngine, int, float] | None:
        """Choose an engine as a host does."""
        generation = request.generation
        if id(request) not in self.seen_requests:
            self.seen_requests.add(id(request))
            self.demand.count_request(_SERVICE, generation, now)
        self.host = next(self.host_cycle)
        board = self.boards[self.host]
        total = generation.prompt_tokens + generation.likely_output_tokens
        choice = choose(
            [
                Candidate(
                    engine.name,
                    board.total(engine.name),
                    TargetHealth(),
                    SLOTS,
                    CACHE_TOKENS,
                    generation.prompt_tokens,
                    total,
                    request.kind.rank,
                )
                for engine in self.pool.holders(generation.model)
            ],
            self.rng,
        )
        if choice is None:
            return None
        engine = self.pool.engines[choice.name]
        return engine, generation.prompt_tokens, choice.wait_s

    def on_started(self, run: EngineRun, engine: SimulatedEngine) -> None:
        """Count a run on the load board of the host that chose its engine."""
        generation = run.request.generation
        counted = Run(
            engine.name,
            generation.prompt_tokens,
            generation.prompt_tokens + generation.likely_output_tokens,
            run.request.kind.rank,
            (generation.model,),
        )
        board = self.boards[self.host]
        scope = ExitStack()
        scope.enter_context(board.running(counted))
        self.counted_runs[run] = CountedRun(board, counted, scope)

    def on_ended(self, run: EngineRun) -> None:
        """Remove a run from the load board."""
        counted = self.counted_runs.pop(run)
        if run.first_token_at is not None:
            counted.board.note_first_token(counted.run)
        counted.scope.close()

    def place(self, now: float) -> None:
        """Decide on the placement of models as the lease holder does."""
        pool = self.pool
        fleet = EnginePool(self._view_engines(now), self._view_models(now), now)
        for swap in fleet.decide(Budget(int(pool.available_loads))):
            pool.order_swap(pool.engines[swap.target], swap.unloads, swap.load)

    def _view_engines(self, now: float) -> list[EngineState]:
        return [
            EngineState(
                engine.name,
                self.pool.free_bytes(engine),
                engine.models | dict.fromkeys(engine.loading_models(), now),
                frozenset(engine.cached_weights),
                engine.is_busy,
                engine.used_models(),
            )
            for engine in self.pool.engines.values()
        ]

    def _view_models(self, now: float) -> list[ModelState]:
        waiting = Counter(one.generation.model for one in self.pool.waiting)
        work_s = {
            share.model: share.work_ms / _MS
            for share in self.demand.snapshot(now)
        }
        self.requested_at.update(dict.fromkeys(work_s, now))
        return [
            ModelState(
                model,
                size,
                work_s.get(model, 0),
                waiting[model],
                self.requested_at.get(model, float('-inf')),
            )
            for model, size in self.pool.sizes.items()
        ]


def ebonywell_policy(pool: SimulatedEngines) -> Policy:
    """Return ebonywell's own routing, rejection and placement."""
    state = EbonywellState(pool)

    def retry_after_s(request: Request, wait_s: float, now: float) -> float:
        if wait_s == float('inf'):
            return absent_retry_after_s(
                now - request.requested_at,
                first_byte_timeout_s(request),
                is_loading=pool.is_loading(request.generation.model),
            )
        return overload_retry_after_s(
            wait_s, request.kind.goal_s, first_byte_timeout_s(request)
        )

    return Policy(
        state.place,
        state.choose,
        retry_after_s,
        state.exchange_loads,
        state.on_started,
        state.on_ended,
    )
