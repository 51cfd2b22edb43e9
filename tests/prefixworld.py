"""Hosts that share targets with prefix caches, on the lab's event queue.

The hosts use the real selector, load board, health and index. Run
`python -m tests.prefixworld` for the table of docs/design/prefix-caches.md.
"""

import collections
import functools
import random
import sys
from dataclasses import replace
from types import SimpleNamespace

from ebonywell import targeting
from ebonywell.health import HealthTracker
from ebonywell.inbound import Generation, PromptPart
from ebonywell.inventory import (
    Announcement,
    Inventory,
    Resident,
    TargetState,
)
from ebonywell.loadboard import LoadBoard, Run, TargetLoad
from ebonywell.logs import discard_event
from ebonywell.pace.observations import BORN_MASK, Observation
from ebonywell.prefixcache.index import PrefixCacheIndex
from ebonywell.prefixcache.prompts import describe_prompt
from ebonywell.prefixcache.targetcache import SentPrompt
from ebonywell.selection import estimate_first_byte_ms
from lab.requests_routing import RoutingSimulation

from .prefixengines import CACHE_TOKENS, Engine, PaceKnown, SentParts

TOKENS_PER_MS = 22.1
STEP_S = 0.007
# A target that was announced at 0 takes requests after its first second.
START_S = 10.0
DIGEST_S = 0.2
# Time until nearly all hosts have an observation, and how many never get it.
HEARSAY_S = 0.4
HEARSAY_LOSS = 0.03
# Shared and own prompt tokens, output seconds and share of the requests.
KINDS = ((350, 1110, 1.6, 0.21), (568, 1800, 0.3, 0.79))
# With these, as many tokens are read though held as were measured.
MODELS_PER_TARGET = 12
PREFIXES_PER_MODEL = 3


class PrefixWorld(RoutingSimulation):
    """Hosts, targets and callers; `run_for` returns the results.

    Attributes
    ----------
    reread : int
        Shared prompt tokens that were read though another target that holds
        the model had them cached.
    avoidable : int
        The part of `reread` for which the sender's own view of the loads
        expected an answer sooner from a holder.
    read, sent : int
        Prompt tokens that were read, and that were sent.
    waits : list of float
        Times to the first byte, in milliseconds.
    """

    def __init__(
        self,
        *,
        hosts=70,
        targets=45,
        models=147,
        prefixes=PREFIXES_PER_MODEL,
        rate=222,
        seed=1,
        is_before=False,
        popular=0.0,
        knows_paces=False,
    ):
        super().__init__(None, None, seed)
        self.now = START_S
        # Callers do the same whatever the hosts draw.
        self.callers = random.Random(seed)
        self.rate = rate
        self.popular = popular
        self.prefixes = prefixes
        self.knows_paces = knows_paces
        self.numbers = 0
        self._forget_results()
        self.board = LoadBoard()
        self.engines = [
            Engine(f't{n}', 2.4 if n % 3 == 0 else 1) for n in range(targets)
        ]
        self.by_name = {one.name: one for one in self.engines}
        self.model_weights = [1 / (n + 1) ** 0.8 for n in range(models)]
        self._place(models)
        self.hosts = [self._make_host(is_before) for _ in range(hosts)]

    def run_for(self, seconds):
        """Simulate for a time; the first quarter only fills the caches."""
        self._schedule(seconds, lambda: self.events.clear())
        self._schedule(seconds / 4, self._forget_results)
        before = targeting.boot_time
        targeting.boot_time = lambda: self.now
        try:
            self.run()
        finally:
            targeting.boot_time = before
        self.waits.sort()
        return self

    def percentile(self, percent):
        return self.waits[int(len(self.waits) * percent / 100)]

    def _forget_results(self):
        self.reread = 0
        self.avoidable = 0
        self.read = 0
        self.sent = 0
        self.kept = 0
        self.waits = []

    def _place(self, models):
        """Hold each model at least once, and the popular ones more often."""
        places = len(self.engines) * MODELS_PER_TARGET
        wanted = list(range(models)) + self.rng.choices(
            range(models), self.model_weights, k=max(0, places - models)
        )
        self.models = collections.defaultdict(dict)
        for number, model in enumerate(sorted(wanted)):
            name = self.engines[number % len(self.engines)].name
            self.models[name][f'm{model}'] = Resident(f'm{model}')

    def _make_host(self, is_before):
        inventory = Inventory()
        for one in self.engines:
            inventory.announce(
                Announcement(
                    one.name, 1, 's', one.name, 'z', TargetState.ready, 64,
                    self.models[one.name],
                ),
                0,
            )  # fmt: skip
        spec = SimpleNamespace(cache_tokens=CACHE_TOKENS, has_terms=False)
        prefixes = SentParts() if is_before else PrefixCacheIndex()
        selector = targeting.TargetSelector(
            'z', inventory, LoadBoard(), HealthTracker(), prefixes,
            lambda service: spec, SimpleNamespace(is_empty=True), discard_event,
            self.rng,
        )  # fmt: skip
        if not is_before:
            prefixes.memory_of = selector.find_memory
        if self.knows_paces:
            selector.health = PaceKnown(self.by_name)
        return selector

    def _collect_reports(self):
        """Tell each host the loads of all others, a digest period late."""
        for host in self.hosts:
            others = {}
            for name, load in self.board.own.items():
                mine = host.board.own.get(name)
                rest = TargetLoad()
                rest.add(load)
                if mine is not None:
                    rest.add(mine, -1)
                others[name] = rest
            told = functools.partial(
                host.board.note_peer_loads, 'others', others, self.now
            )
            self._schedule(DIGEST_S, told)
        self._schedule(DIGEST_S, self._collect_reports)

    def _receive_request(self):
        host = self.callers.choice(self.hosts)
        for _ in range(3):
            self._send(host, self._make_request())
        self._schedule(
            self.callers.expovariate(self.rate / 3), self._receive_request
        )

    def _make_request(self):
        models = range(len(self.model_weights))
        model = self.callers.choices(models, self.model_weights)[0]
        kind = 0 if self.callers.random() < KINDS[0][3] else 1
        number = self.callers.randrange(self.prefixes)
        if self.callers.random() < self.popular:
            model, kind, number = 0, 1, 0
        shared, own, seconds, _ = KINDS[kind]
        own = int(own * self.callers.uniform(0.3, 1.7))
        self.numbers += 1
        parts = (
            PromptPart(f'k{kind}n{number}', shared),
            PromptPart(f'r{self.numbers}', own),
        )
        generation = Generation(f'm{model}', '', shared + own, 200, 100, parts)
        return SimpleNamespace(
            generation=generation, service='s', rank=0, release=None,
            seconds=seconds,
        )  # fmt: skip

    def _send(self, host, request):
        known, choice = host.select(request, set())
        prompt = describe_prompt(request.generation)
        chosen = choice.candidate
        self._count_avoidable(host, request, prompt, chosen)
        sent = SentPrompt(known.incarnation, prompt, 0, chosen.new_tokens)
        host.prefixes.note_sent(sent)
        runs = []
        for board in (host.board, self.board):
            run = Run(known.name, chosen.new_tokens, chosen.total_tokens)
            counted = board.running(run)
            counted.__enter__()
            runs.append((board, run, counted))
        engine = self.by_name[known.name]
        engine.held_tokens += chosen.total_tokens
        engine.queue.append((host, request, choice, sent, runs, self.now))
        self._read_next(engine)

    def _read_next(self, engine):
        if engine.is_reading or not engine.queue:
            return
        engine.is_reading = True
        exchange = engine.queue.popleft()
        prompt = exchange[3].prompt
        kept = engine.match(prompt)
        self._count(engine, prompt, kept, exchange[2].candidate.kept_tokens)
        busy = 2.5 if self.rng.random() < 0.15 else 1
        read_ms = (prompt.prompt_tokens - kept) / TOKENS_PER_MS
        took_s = read_ms * engine.slowdown * busy / 1000
        begin = functools.partial(self._answer, engine, exchange)
        self._schedule(took_s + STEP_S, begin)

    def _count_avoidable(self, host, request, prompt, chosen):
        digest = prompt.digests[0]
        if digest in self.by_name[chosen.name].cache:
            return
        new_tokens = prompt.prompt_tokens - prompt.tokens[0]
        chosen_ms = expected_ms(chosen, prompt.prompt_tokens)
        spec = host.engine_of('s')
        for known in host.list_eligible(request, set()):
            if digest in self.by_name[known.name].cache:
                other = host._describe(request, known, spec, prompt)
                if expected_ms(other, new_tokens) < chosen_ms:
                    self.avoidable += prompt.tokens[0]
                    return

    def _count(self, engine, prompt, kept, expected):
        self.sent += prompt.prompt_tokens
        self.read += prompt.prompt_tokens - kept
        self.kept += expected
        model = prompt.namespace.partition('/')[0]
        is_elsewhere = any(
            prompt.digests[0] in one.cache
            for one in self.engines
            if model in self.models[one.name]
        )
        if not kept and is_elsewhere:
            self.reread += prompt.tokens[0]

    def _answer(self, engine, exchange):
        host, request, choice, sent = exchange[:4]
        runs, began_at = exchange[4:]
        engine.is_reading = False
        engine.store(sent.prompt)
        waited_s = self.now - began_at
        self.waits.append(waited_s * 1000)
        host.prefixes.note_first_byte(sent, self.now)
        if not self.knows_paces:
            host.health.record_wait(
                engine.name, self.now, waited_s, choice.expected_s
            )
        for board, run, _ in runs:
            board.note_first_token(run)
        self._schedule(HEARSAY_S, functools.partial(self._tell, host, sent))
        end = functools.partial(self._end_stream, engine, choice, runs)
        self._schedule(request.seconds, end)
        self._read_next(engine)

    def _tell(self, teller, sent):
        name, born = sent.target
        model = sent.prompt.namespace.partition('/')[0]
        observation = Observation(
            1, name, born & BORN_MASK, 's', model, '', sent.new_tokens, 0, 1, 0,
            sent.prompt.shared_digests,
        )  # fmt: skip
        for host in self.hosts:
            if host is teller or self.rng.random() >= HEARSAY_LOSS:
                host.prefixes.note_observation(observation, self.now)

    def _end_stream(self, engine, choice, runs):
        engine.held_tokens -= choice.candidate.total_tokens
        for _, _, counted in runs:
            counted.__exit__(None, None, None)


def expected_ms(candidate, new_tokens):
    """Return when an answer is expected if so many tokens have to be read."""
    changed = replace(candidate, new_tokens=new_tokens)
    return estimate_first_byte_ms(changed) * changed.health.slowness


def compare(seconds=40, **options):
    """Return the worlds before and after this work, with the same callers."""
    gather = targeting._gather
    targeting._gather = lambda candidates, prompt: candidates
    try:
        before = PrefixWorld(is_before=True, **options).run_for(seconds)
    finally:
        targeting._gather = gather
    return before, PrefixWorld(**options).run_for(seconds)


def _print_row(name, world):
    sys.stdout.write(
        f'{name:8} sent {world.sent / 1e6:6.2f} M, expected cached '
        f'{world.kept / 1e6:5.2f} M, '
        f'kept {(world.sent - world.read) / 1e6:5.2f} M, '
        f'read though held {world.reread / 1e6:5.3f} M '
        f'({world.avoidable / 1e6:5.3f} M avoidable), first byte ms '
        f'p50 {world.percentile(50):.0f} p95 {world.percentile(95):.0f} '
        f'p99 {world.percentile(99):.0f}\n'
    )


if __name__ == '__main__':
    for seed in (1, 2, 3):
        found = compare(16, seed=seed, knows_paces=True)
        for label, world in zip(('before', 'after'), found, strict=True):
            _print_row(f'{label} {seed}', world)
