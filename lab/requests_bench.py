"""Measures routing, retry isolation, fairness, memory and decision time."""

import random
import time
import tracemalloc
from collections.abc import Callable

import cyclopts

from ebonywell.changes import Entry
from ebonywell.fairqueue import FairQueue, QueuedCall
from ebonywell.messages import Call
from ebonywell.onceonly import (
    CallClaimed,
    CallFinished,
    OnceOnly,
    Outcome,
    call_key,
)
from ebonywell.onceonly import apply as apply_once_only
from ebonywell.suspects import RequestSuspected, Suspects
from ebonywell.suspects import apply as apply_suspect
from ebonywell.targets import (
    ListedHost,
    Report,
    ResidentModel,
    Target,
    TargetTable,
)
from ebonywell.targetselector import TargetSelector
from ebonywell.types import EntryKind, new_id

from .bench_rows import BenchRow, print_rows
from .requests_routing import CHOICES, REPORTERS, RoutingSimulation
from .requests_trials import TrialCase, simulate_retries

app = cyclopts.App()
TABLE_SIZES = (10_000, 50_000)
TARGET_COUNTS = (10, 100, 10_000)
MODEL_COUNT = 1300
PICK_COUNT = 2000
WORKSPACE_COUNT = 100
QUEUED_CALLS = 2000
LARGE_WORKSPACE_CALLS = 480
SMALL_WORKSPACE_CALLS = 20
_PERCENT = 100
_MS_PER_S = 1e3
_US_PER_S = 1e6


def measure_routing(seed: int) -> list[BenchRow]:
    """Return latencies and cache hits of each routing policy and reporter."""
    rows: list[BenchRow] = []
    for reports, report in REPORTERS.items():
        for name, choose in CHOICES.items():
            case = f'{name}, {reports}'
            result = RoutingSimulation(choose, report, seed).run()
            rows.extend(
                BenchRow(
                    f'latency p{percent}',
                    case,
                    result.percentile(percent) * _MS_PER_S,
                    'ms',
                )
                for percent in (50, 95, 99)
            )
            hits = result.hits / len(result.latencies) * _PERCENT
            rows.append(BenchRow('cache hits', case, hits, '%'))
    return rows


def measure_retries(seed: int) -> list[BenchRow]:
    """Return the cost of a crashing request for each way to isolate retries."""
    rows: list[BenchRow] = []
    for case in TrialCase:
        outcome = simulate_retries(case, seed)
        rows.append(BenchRow('targets lost', case, outcome.crashes, 'a killer'))
        rows.append(
            BenchRow(
                'innocents quarantined', case, outcome.quarantined, 'a killer'
            )
        )
        rows.append(
            BenchRow('last innocent done', case, outcome.last_done_s, 's')
        )
    return rows


def measure_fairness() -> list[BenchRow]:
    """Return when the last call of a small workspace leaves a shared queue."""
    rows = []
    for case, is_fair in (('in order of arrival', False), ('fair', True)):
        queue: FairQueue[QueuedCall] = FairQueue()
        order: list[str] = []
        for workspace, count in (
            ('large', LARGE_WORKSPACE_CALLS),
            ('small', SMALL_WORKSPACE_CALLS),
        ):
            for _ in range(count):
                flow = workspace if is_fair else 'all'
                queue.push(QueuedCall(flow, 1, workspace, False, 1))
        for _ in range(LARGE_WORKSPACE_CALLS + SMALL_WORKSPACE_CALLS):
            served = queue.pop(lambda waiting: True)
            if served is not None:
                order.append(served.entry)
        places = [
            place for place, name in enumerate(order, 1) if name == 'small'
        ]
        rows.append(BenchRow('last small call served', case, max(places), 'th'))
    return rows


def measure_batch() -> list[BenchRow]:
    """Return the share of batch calls while interactive calls always wait."""
    queue: FairQueue[QueuedCall] = FairQueue()
    for _ in range(LARGE_WORKSPACE_CALLS):
        queue.push(QueuedCall('a', 1, 'quote', False, 1))
        queue.push(QueuedCall('b', 1, 'night', True, 1))
    served = [
        queue.pop(lambda waiting: True) for _ in range(LARGE_WORKSPACE_CALLS)
    ]
    batch = sum(one is not None and one.is_batch for one in served)
    share = batch / LARGE_WORKSPACE_CALLS * _PERCENT
    return [BenchRow('batch part of service', 'beside interactive', share, '%')]


def measure_tables() -> list[BenchRow]:
    """Return the memory per entry of the tables that grow with requests."""
    rows = [
        BenchRow(
            'memory a claim', str(size), _bytes_per_item(_fill_calls, size), 'B'
        )
        for size in TABLE_SIZES
    ]
    rows.append(
        BenchRow(
            'memory a suspect',
            str(TABLE_SIZES[0]),
            _bytes_per_item(_fill_suspects, TABLE_SIZES[0]),
            'B',
        )
    )
    return rows


def measure_decisions(seed: int) -> list[BenchRow]:
    """Return the CPU time to pick a target and to queue a call."""
    rows = [
        BenchRow('pick', f'{count} targets', _time_picks(count, seed), 'us')
        for count in TARGET_COUNTS
    ]
    rows.append(
        BenchRow(
            'push and pop',
            f'{QUEUED_CALLS} wait of {WORKSPACE_COUNT} workspaces',
            _time_queue(),
            'us',
        )
    )
    return rows


def measure(seed: int = 1) -> list[BenchRow]:
    """Return the rows of all measurements."""
    return [
        *measure_routing(seed),
        *measure_retries(seed),
        *measure_fairness(),
        *measure_batch(),
        *measure_tables(),
        *measure_decisions(seed),
    ]


def _bytes_per_item(fill: Callable[[int], object], size: int) -> float:
    tracemalloc.start()
    kept = fill(size)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return used / size


def _fill_calls(size: int) -> OnceOnly:
    table = OnceOnly()
    for number in range(size):
        key = call_key('counter', str(number))
        claim = new_id()
        apply_once_only(
            table,
            CallClaimed(key, claim, 'w', 'desk', call_key('', key), 'h/1'),
        )
        outcome = Outcome(201, 'application/json', b'x' * _PERCENT)
        apply_once_only(table, CallFinished(key, claim, outcome))
    return table


def _fill_suspects(size: int) -> Suspects:
    table = Suspects()
    for number in range(size):
        digest = call_key('', str(number))
        apply_suspect(table, RequestSuspected(digest, 't1', new_id()))
    return table


def _time_picks(count: int, seed: int) -> float:
    rng = random.Random(seed)
    table = TargetTable()
    models = min(MODEL_COUNT, count)
    for number in range(count):
        name = f't{number}'
        target = Target(ListedHost(name, 'engine', '127.0.0.1:1'))
        resident = ResidentModel(f'm{number % models}', 1, 'ready')
        target.report = Report(name, '1', max_running=16, models=(resident,))
        table.by_name[name] = target
    placer = TargetSelector(table, '', time.monotonic, rng)
    calls = [_make_call(f'm{rng.randrange(models)}') for _ in range(PICK_COUNT)]
    started = time.process_time()
    for call in calls:
        picked = placer.select(call, frozenset())
        if picked is not None:
            picked.in_flight -= 1
    return (time.process_time() - started) / PICK_COUNT * _US_PER_S


def _make_call(model: str) -> Call:
    return Call(
        request_id='r',
        workspace='w',
        key_digest='',
        entry=Entry(model, EntryKind.model),
        adapter='',
        method='POST',
        path='/',
        headers=[],
        body=b'x' * 1000,
        is_streamed=False,
        tokens=1,
        prompt_tokens=1,
        idempotency_key='',
        digest='',
        deadline=0,
    )


def _time_queue() -> float:
    queue: FairQueue[QueuedCall] = FairQueue()
    started = time.process_time()
    for number in range(QUEUED_CALLS):
        workspace = f'w{number % WORKSPACE_COUNT}'
        queue.push(QueuedCall(workspace, 1, 'quote', False, 1))
    for _ in range(QUEUED_CALLS):
        queue.pop(lambda waiting: True)
    return (time.process_time() - started) / QUEUED_CALLS * _US_PER_S


@app.default
def main(*, seed: int = 1) -> None:
    """Print all measurements.

    Parameters
    ----------
    seed
        Seed of the random generators.
    """
    print_rows(measure(seed))


if __name__ == '__main__':
    app()
