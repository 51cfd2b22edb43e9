"""Measures the CPU time of placement and routing decisions."""

import random
from functools import partial

from ebonywell.changes import Entry
from ebonywell.layout import Copy, Layout, Need, Site
from ebonywell.messages import Call
from ebonywell.moves import PlacementState
from ebonywell.placement import decide
from ebonywell.routing import (
    Candidate,
    ReplicaChooser,
    choose_by_prefix,
    choose_of_two,
)
from ebonywell.targets import (
    ListedHost,
    Report,
    ResidentModel,
    Target,
    TargetTable,
)
from ebonywell.targetselector import TargetSelector
from ebonywell.types import EntryKind

from .slopes import Row, min_cpu_seconds

SITE_COUNTS = (100, 400, 1600)
SITES_PER_MODEL = 8
SLOTS = 16
MEMORY_BYTES = 80
MODEL_BYTES = 20
COPIES_PER_SITE = 3
CANDIDATE_COUNTS = (8, 32, 128, 512)
CHOICES_PER_RUN = 200
REPEATS = 3
PICKS_PER_RUN = 20


def make_layout(sites: int, seed: int = 1) -> Layout:
    """Return a layout with the required ratio of models to replicas."""
    rng = random.Random(seed)
    models = max(sites // SITES_PER_MODEL, 4)
    needs = [
        Need(f'model-{number}', MODEL_BYTES, (), rng.uniform(0, 2 * SLOTS))
        for number in range(models)
    ]
    made_sites = []
    for number in range(sites):
        site = Site(
            f'engine-{number}',
            f'zone-{number % 20}',
            MEMORY_BYTES,
            MEMORY_BYTES - COPIES_PER_SITE * MODEL_BYTES,
            SLOTS,
        )
        for model in rng.sample(range(models), COPIES_PER_SITE):
            site.copies[f'model-{model}'] = Copy(ready=True)
        made_sites.append(site)
    return Layout(made_sites, needs)


def measure_placement() -> list[Row]:
    """Return the CPU time of a placement decision, by number of replicas."""
    rows = []
    for count in SITE_COUNTS:
        layouts = [make_layout(count) for _ in range(REPEATS)]
        cpu_s = min_cpu_seconds(partial(_decide, layouts), REPEATS)
        rows.append(Row('placement: one decision', count, cpu_s, 's'))
    return rows


def _decide(layouts: list[Layout]) -> None:
    decide(layouts.pop(), PlacementState(), 0)


def measure_routing() -> list[Row]:
    """Return the CPU time of a routing choice, by number of candidates."""
    rows = []
    rng = random.Random(1)
    for count in CANDIDATE_COUNTS:
        candidates = [
            Candidate(f'engine-{number}', rng.randrange(SLOTS))
            for number in range(count)
        ]
        for choose in (choose_by_prefix, choose_of_two):
            cpu_s = min_cpu_seconds(partial(_choose, choose, candidates, rng))
            name = f'routing: {choose.__name__}'
            rows.append(Row(name, count, cpu_s / CHOICES_PER_RUN, 's'))
    return rows


def _choose(
    choose: ReplicaChooser,
    candidates: list[Candidate],
    rng: random.Random,
) -> None:
    for _ in range(CHOICES_PER_RUN):
        choose(candidates, b'prefix', rng)


def measure_picks() -> list[Row]:
    """Return the CPU time to pick a target, by number of targets."""
    rows = []
    for count in SITE_COUNTS:
        placer = TargetSelector(
            _make_targets(count), 'zone-0', float, random.Random(1)
        )
        call = _make_call()
        cpu_s = min_cpu_seconds(partial(_pick, placer, call))
        rows.append(Row('routing: one pick', count, cpu_s / PICKS_PER_RUN, 's'))
    return rows


def _make_targets(count: int) -> TargetTable:
    table = TargetTable()
    models = max(count // SITES_PER_MODEL, 1)
    for number in range(count):
        name = f'engine-{number}'
        resident = ResidentModel(f'model-{number % models}', 1, 'ready')
        table.by_name[name] = Target(
            ListedHost(name, 'engine', '', f'zone-{number % 20}'),
            Report(
                name, 'a', max_running=PICKS_PER_RUN * 10, models=(resident,)
            ),
        )
    return table


def _make_call() -> Call:
    entry = Entry('model-0', EntryKind.model)
    return Call(
        request_id='r',
        workspace='w',
        key_digest='',
        entry=entry,
        adapter='',
        method='POST',
        path='/',
        headers=[],
        body=b'{}',
        is_streamed=False,
        prompt_tokens=1,
        tokens=1,
        idempotency_key='',
        digest='',
        deadline=1,
    )


def _pick(placer: TargetSelector, call: Call) -> None:
    for _ in range(PICKS_PER_RUN):
        if placer.select(call, frozenset()) is None:
            raise LookupError('no target available for the call')
