"""Hosts that share engines under heavy load, on a virtual clock.

The choice, the gate and the shares are those of the product. Engines read
prompts between decoding steps, the most urgent first; hosts see each other's
loads some hundred milliseconds late.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

import anyio

from ebonywell.headroom.arrivals import Arrivals
from ebonywell.headroom.fairness import FairShares
from ebonywell.headroom.gate import Gate
from ebonywell.headroom.holding import Holding
from ebonywell.headroom.terms import fair_terms
from ebonywell.health import TargetHealth
from ebonywell.inbound import AdmittedRequest, Generation, RejectionError
from ebonywell.loadboard import LoadBoard, Run, TargetLoad
from ebonywell.metrics import Metrics
from ebonywell.overload import overload_retry_after_s
from ebonywell.routetable import (
    EngineSpec,
    RequestKind,
    Route,
    WeightedService,
    WorkspaceLimit,
)
from ebonywell.selection import Candidate, choose

SLOTS = 64
CACHE_TOKENS = 120_672
CHUNK_TOKENS = 4096
TOKENS_PER_S = 22_100
STEP_S = 0.0068
STREAM_STEP_S = 0.0001
TOKENS_PER_EVENT = 4
PAUSE_GOAL_S = 0.4
SLOW_FACTOR = 2.5
SLOW_S = 0.6
STALE_S = (0.1, 0.5)
WORKSPACES = tuple('abcdefghij')
BURST = 3
COPIES = 3
DEADLINE_GOALS = 4
# Growth of the heavy load: 3 times of a less urgent kind, and two workspaces at
# 7 times their usual load.
HEAVY = {'refill-review': 2, 'a': 6, 'b': 6}
FLOODING = ('a', 'b')


@dataclass(frozen=True)
class Kind:
    """A kind of request: its rank, goal, rate and size, and its worth."""

    name: str
    rank: int
    goal_s: float
    per_s: float
    tokens: int
    events: int
    worth: float


# The streaming kinds of deployment A, per engine.
KINDS = (
    Kind('med-review', 0, 3.009, 46.4 / 45, 1110, 43, 4.5),
    Kind('refill-review', 1, 5.011, 21.4 / 45, 1800, 6, 3.5),
    Kind('refill-triage', 2, 1.011, 154 / 45, 1800, 6, 1.7),
)
ENGINE = EngineSpec(
    SLOTS,
    CACHE_TOKENS,
    0,
    0,
    1,
    {},
    TOKENS_PER_EVENT,
    PAUSE_GOAL_S,
    (0, 1, 2),
    3,
)


@dataclass(eq=False)
class Stream:
    """A request at an engine."""

    rank: int
    unread: float
    left: int
    arrivals: Arrivals = field(default_factory=Arrivals)
    begun: anyio.Event = field(default_factory=anyio.Event)
    ended: anyio.Event = field(default_factory=anyio.Event)


class Engine:
    """An engine that shares its machine with others at times."""

    def __init__(self, number, world):
        self.number = number
        self.world = world
        self.streams = []

    def is_slow(self):
        """Return whether it is this engine's turn to be slow; 1 in 4 is."""
        turn = int(anyio.current_time() / SLOW_S)
        return self.world.has_slow and (self.number + turn) % 4 == 0

    async def run(self):
        while True:
            if not self.streams:
                await anyio.sleep(0.002)
                continue
            batch = sorted(self.streams[:SLOTS], key=lambda one: one.rank)
            running = [one for one in batch if one.unread <= 0]
            left = CHUNK_TOKENS
            for stream in batch:
                read = min(left, max(0, stream.unread))
                stream.unread -= read
                left -= read
            took_s = (CHUNK_TOKENS - left) / TOKENS_PER_S
            took_s += STEP_S + STREAM_STEP_S * len(running)
            if self.is_slow():
                took_s *= SLOW_FACTOR
            await anyio.sleep(took_s)
            for stream in batch:
                if stream.unread <= 0:
                    self.emit(stream)

    def emit(self, stream):
        stream.begun.set()
        stream.left -= 1
        if stream.left % TOKENS_PER_EVENT == 0:
            stream.arrivals.note(anyio.current_time())
        if stream.left <= 0:
            stream.ended.set()
            self.streams.remove(stream)


def no_terms(request, engine):
    """Return that a request has no terms, as before headroom."""


class Host:
    """A host with its own view of the loads."""

    def __init__(self, number, world):
        self.name = f'host-{number}'
        self.world = world
        self.rng = random.Random(f'{world.seed}/{number}')
        self.board = LoadBoard()
        self.terms_of = no_terms
        self.gate = None
        if world.has_headroom:
            shares = FairShares(world.rates)
            self.terms_of = fair_terms(shares)
            holding = Holding(
                lambda name: shares.excess(name, anyio.current_time())
            )
            self.gate = Gate(
                self, holding, world.log, Metrics(), self.rng
            )  # fmt: skip

    def engine_of(self, service):
        return ENGINE

    def select(self, request, avoided, *, is_trial=False):
        tokens = request.generation.prompt_tokens
        candidates = [
            Candidate(
                str(engine.number), self.board.total(str(engine.number)),
                TargetHealth(), SLOTS, CACHE_TOKENS, tokens,
                tokens + request.generation.likely_output_tokens, request.rank,
            )
            for engine in self.world.list_holding(request.generation.model)
        ]  # fmt: skip
        terms = self.terms_of(request, ENGINE)
        choice = choose(candidates, self.rng, terms)
        return choice.name, choice

    async def serve(self, request):
        """Return the stream of a request; raises `RejectionError`."""
        if self.gate is not None:
            await self.gate.wait_for_room(request)
        name, choice = self.select(request, set())
        retry_s = overload_retry_after_s(
            choice.wait_s, request.route.goal_s, request.first_byte_timeout_s
        )
        if retry_s:
            raise RejectionError(503, 'overloaded', retry_s)
        generation = request.generation
        tokens = generation.prompt_tokens
        output = generation.likely_output_tokens
        stream = Stream(request.rank, tokens, output)
        run = Run(name, tokens, tokens + output, request.rank)
        with self.board.running(run):
            self.world.engines[int(name)].streams.append(stream)
            await stream.begun.wait()
            self.board.note_first_token(run)
            stream.begun_at = anyio.current_time()
            await stream.ended.wait()
        if self.gate is not None:
            self.gate.note_ended()
        return stream

    async def report(self):
        """Tell the other hosts the loads now and then; they hear it later."""
        while True:
            await anyio.sleep(0.2)
            loads = {
                name: TargetLoad(
                    dict(load.waiting_tokens), load.waiting, load.running,
                    load.held_tokens,
                )
                for name, load in self.board.own.items()
            }  # fmt: skip
            self.world.group.start_soon(self.deliver, loads)

    async def deliver(self, loads):
        await anyio.sleep(self.rng.uniform(*STALE_S))
        for host in self.world.hosts:
            if host is not self:
                host.board.note_peer_loads(
                    self.name, loads, anyio.current_time()
                )


class World:
    """Hosts, engines, callers, and what the callers got.

    Attributes
    ----------
    results : Counter
        Requests by (kind, workspace, result) since the load became heavy.
    rejected_held_s : list of float
        How long requests were held that were turned away in the end.
    """

    def __init__(self, group, *, has_headroom, seed, engines, hosts):
        self.group = group
        self.seed = seed
        self.has_headroom = has_headroom
        self.has_slow = False
        self.growth = Counter()
        self.rng = random.Random(seed)
        self.results = Counter()
        self.is_counting = False
        self.recent = []
        self.rejected_held_s = []
        self.engines = [Engine(number, self) for number in range(engines)]
        self.hosts = [Host(number, self) for number in range(hosts)]

    def log(self, event, /, **fields):
        is_rejected = fields.get('result') in {'no_room', 'overloaded'}
        if event == 'request_held' and is_rejected and self.is_counting:
            self.rejected_held_s.append(fields['for_s'])

    def list_holding(self, model):
        """Return the engines that hold a model: three of them."""
        first = int(model)
        engines = self.engines * 2
        return engines[first : first + COPIES]

    def rates(self, now):
        self.recent = [one for one in self.recent if one[0] > now - 1]
        return Counter(name for _, name in self.recent)

    async def call(self, kind, workspace):
        """Send a request, once more after a rejection; count the result."""
        self.recent.append((anyio.current_time(), workspace))
        begun_at = anyio.current_time()
        is_counted = self.is_counting
        result = 'rejected'
        for is_last in False, True:
            try:
                host = self.rng.choice(self.hosts)
                stream = await host.serve(self.make_request(kind, workspace))
            except RejectionError as error:
                left_s = begun_at + kind.goal_s * DEADLINE_GOALS
                left_s -= anyio.current_time()
                if is_last or error.retry_after_s > left_s / 3:
                    break
                await anyio.sleep(error.retry_after_s)
                continue
            is_late = stream.begun_at - begun_at > kind.goal_s
            is_late = is_late or stream.arrivals.longest_s > PAUSE_GOAL_S
            result = 'late' if is_late else 'on time'
            break
        if is_counted:
            self.results[kind.name, workspace, result] += 1

    def make_request(self, kind, workspace):
        now = anyio.current_time()
        route = Route(
            kind.name, 'h', '/', RequestKind.stream, (WeightedService('s', 1),),
            kind.goal_s * DEADLINE_GOALS, kind.goal_s, kind.rank, 1, False,
            False, PAUSE_GOAL_S,
        )  # fmt: skip
        tokens = int(kind.tokens * self.rng.lognormvariate(-0.125, 0.5))
        output = kind.events * TOKENS_PER_EVENT
        model = str(self.rng.randrange(len(self.engines)))
        return AdmittedRequest(
            'r', 'POST', b'/', (), b'', route, 's',
            WorkspaceLimit(workspace, 0, 0, 1, False, None),
            Generation(model, '', tokens, output, output),
            now, now + route.timeout_s, kind.rank,
        )  # fmt: skip

    async def arrive(self, kind):
        """Let requests of one kind arrive in bursts, from all workspaces."""
        while True:
            growths = [1 + self.growth[name] for name in WORKSPACES]
            mean = sum(growths) / len(growths)
            per_s = kind.per_s * len(self.engines) * mean
            per_s *= 1 + self.growth[kind.name]
            await anyio.sleep(self.rng.expovariate(per_s / BURST))
            workspace = self.rng.choices(WORKSPACES, growths)[0]
            for _ in range(BURST):
                self.group.start_soon(self.call, kind, workspace)


def play(monkeypatch, run, *, has_headroom, seed=1, heavy_s=20):
    """Play a usual load and then a heavy one; return the world."""
    for module in 'gate', 'terms':
        monkeypatch.setattr(
            f'ebonywell.headroom.{module}.boot_time', anyio.current_time
        )
    worlds = []

    async def main():
        async with anyio.create_task_group() as group:
            world = World(
                group, has_headroom=has_headroom, seed=seed, engines=6,
                hosts=12,
            )  # fmt: skip
            worlds.append(world)
            for one in world.engines:
                group.start_soon(one.run)
            for host in world.hosts:
                group.start_soon(host.report)
            for kind in KINDS:
                group.start_soon(world.arrive, kind)
            await anyio.sleep(20)
            world.has_slow = True
            world.growth.update(HEAVY)
            world.is_counting = True
            await anyio.sleep(heavy_s)
            world.is_counting = False
            await anyio.sleep(12)
            group.cancel_scope.cancel()

    run(monkeypatch, main, seed)
    return worlds[0]
