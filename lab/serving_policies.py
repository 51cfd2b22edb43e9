"""Ways to serve many models: the product's decisions, and two plainer ones."""

import itertools
import random
from collections import Counter

from ebonywell.health import TargetHealth
from ebonywell.loadboard import LoadBoard, PeerLoads, Run, TargetLoad
from ebonywell.modeldemand import DemandBook
from ebonywell.overload import refusal_s
from ebonywell.selection import Candidate, choose
from ebonywell.turnover import Budget, EngineState, Fleet, ModelState

from .serving_demand import Request
from .serving_engines import SLOTS, EngineRun, VirtualEngine
from .serving_play import (
    Floor,
    Policy,
    gives_up_s,
    patience_s,
    queue_wait_s,
)

CACHE_TOKENS = 150_000
ABSENT_RETRY_S = 1.0
_SERVICE = 'pool'
_MS = 1000.0


def static(floor: Floor) -> Policy:
    """Shortest queue, models where they were at the start."""

    def refuse_s(request: Request, wait_s: float, now: float) -> float:
        return ABSENT_RETRY_S if wait_s == float('inf') else 0

    return Policy(lambda now: None, _shortest(floor), refuse_s)


def least_recent(floor: Floor) -> Policy:
    """Shortest queue, absent models in place of the least recently used."""
    used_at: dict[str, float] = {}
    shortest = _shortest(floor)

    def place(now: float) -> None:
        wanted = Counter(
            one.generation.model for one in floor.waiting
        )
        coming = {engine.loading for engine in floor.engines.values()}
        for model, _ in wanted.most_common():
            if model not in coming:
                _bring(floor, model, used_at)

    def choosing(
        request: Request,
        now: float,
    ) -> tuple[VirtualEngine, int, float] | None:
        used_at[request.generation.model] = now
        return shortest(request, now)

    def refuse_s(request: Request, wait_s: float, now: float) -> float:
        return 0

    return Policy(place, choosing, refuse_s)


def _bring(floor: Floor, model: str, used_at: dict[str, float]) -> None:
    """Load a model where that costs the least recently used ones."""
    idle = [one for one in floor.engines.values() if not one.is_busy]
    if not idle:
        return
    plans = []
    for engine in idle:
        oldest = sorted(engine.models, key=lambda one: used_at.get(one, -1))
        missing = floor.sizes[model] - floor.free_bytes(engine)
        unloads = []
        while missing > 0 and oldest:
            unloads.append(oldest.pop(0))
            missing -= floor.sizes[unloads[-1]]
        newest = max((used_at.get(one, -1) for one in unloads), default=-2)
        plans.append((newest, engine.name, unloads))
    _, name, unloads = min(plans)
    floor.order(floor.engines[name], unloads, model)


def _shortest(floor: Floor):  # noqa: ANN202 - see `Policy.choose`
    def choosing(
        request: Request,
        now: float,
    ) -> tuple[VirtualEngine, int, float] | None:
        holders = floor.holders(request.generation.model)
        if not holders:
            return None
        best = min(holders, key=lambda engine: len(engine.runs))
        return best, request.generation.prompt_tokens, queue_wait_s(best)

    return choosing


class ProductState:
    """The hosts' knowledge, with the lag that it has in a deployment.

    Attributes
    ----------
    floor : Floor
    boards : list of LoadBoard
        Of the hosts.
    demand : DemandBook
    asked_at : dict of str to float
        When each model was last asked for.
    runs : dict of EngineRun to context manager
        What counts each run on its host's board.
    """

    def __init__(self, floor: Floor) -> None:
        self.floor = floor
        self.boards = [LoadBoard() for _ in range(floor.scenario.hosts)]
        self.turns = itertools.cycle(range(floor.scenario.hosts))
        self.host = 0
        self.demand = DemandBook()
        self.asked_at: dict[str, float] = {}
        self.counting: dict[EngineRun, tuple[LoadBoard, Run, object]] = {}
        self.seen: set[int] = set()
        self.rng = random.Random(floor.scenario.seed)

    def news(self, now: float) -> None:
        """Have each host hear of the others' loads."""
        for run, (board, counted, _) in self.counting.items():
            if run.first_at is not None:
                board.start(counted)
        snapshots = [
            {
                target: TargetLoad(
                    dict(load.waiting_tokens),
                    load.waiting,
                    load.running,
                    load.held_tokens,
                    Counter(load.models),
                )
                for target, load in board.own.items()
            }
            for board in self.boards
        ]
        for place, board in enumerate(self.boards):
            board.peers = {
                str(other): PeerLoads(shares, now)
                for other, shares in enumerate(snapshots)
                if other != place
            }

    def choose(
        self,
        request: Request,
        now: float,
    ) -> tuple[VirtualEngine, int, float] | None:
        """Choose an engine as a host does."""
        generation = request.generation
        if id(request) not in self.seen:
            self.seen.add(id(request))
            self.demand.note(_SERVICE, generation, now)
        self.host = next(self.turns)
        board = self.boards[self.host]
        total = generation.prompt_tokens + generation.likely_output_tokens
        choice = choose(
            [
                Candidate(
                    engine.name,
                    board.total(engine.name, now),
                    TargetHealth(),
                    SLOTS,
                    CACHE_TOKENS,
                    generation.prompt_tokens,
                    total,
                    request.kind.rank,
                )
                for engine in self.floor.holders(generation.model)
            ],
            self.rng,
        )
        if choice is None:
            return None
        engine = self.floor.engines[choice.name]
        return engine, generation.prompt_tokens, choice.wait_s

    def began(self, run: EngineRun, engine: VirtualEngine) -> None:
        """Count a run on the board of the host that chose."""
        generation = run.request.generation
        counted = Run(
            engine.name,
            generation.prompt_tokens,
            generation.prompt_tokens + generation.likely_output_tokens,
            run.request.kind.rank,
            (generation.model,),
        )
        board = self.boards[self.host]
        scope = board.running(counted)
        scope.__enter__()
        self.counting[run] = (board, counted, scope)

    def ended(self, run: EngineRun) -> None:
        """Count a run no more."""
        board, counted, scope = self.counting.pop(run)
        if run.first_at is not None:
            board.start(counted)
        scope.__exit__(None, None, None)

    def place(self, now: float) -> None:
        """Decide on models as the holder of the lease does."""
        floor = self.floor
        fleet = Fleet(self._view_engines(), self._view_models(now), now)
        for swap in fleet.decide(Budget(int(floor.store_loads))):
            floor.order(floor.engines[swap.target], swap.unloads, swap.load)

    def _view_engines(self) -> list[EngineState]:
        return [
            EngineState(
                engine.name,
                self.floor.free_bytes(engine),
                engine.models | ({engine.loading: 0} if engine.loading else {}),
                frozenset(engine.near),
                engine.is_busy,
                engine.used_models(),
            )
            for engine in self.floor.engines.values()
        ]

    def _view_models(self, now: float) -> list[ModelState]:
        waiting = Counter(
            one.generation.model
            for one in self.floor.waiting
        )
        asked = {
            one.model: one.work_ms / _MS for one in self.demand.snapshot(now)
        }
        for model in asked:
            self.asked_at[model] = now
        return [
            ModelState(
                model,
                size,
                asked.get(model, 0),
                waiting[model],
                self.asked_at.get(model, float('-inf')),
            )
            for model, size in self.floor.sizes.items()
        ]


def product(floor: Floor) -> Policy:
    """Serve by the product's decisions on routing, refusing and placing."""
    state = ProductState(floor)

    def refuse_s(request: Request, wait_s: float, now: float) -> float:
        if wait_s == float('inf'):
            waited_s = now - request.arrived_at
            longest_s = gives_up_s(request)
            return ABSENT_RETRY_S if waited_s > longest_s else 0
        return refusal_s(wait_s, request.kind.goal_s, patience_s(request))

    return Policy(
        state.place,
        state.choose,
        refuse_s,
        state.news,
        state.began,
        state.ended,
    )
