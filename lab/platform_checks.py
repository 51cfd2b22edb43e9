"""Whether the rules were kept on a day, by what was seen of it.

Pure. Each check takes the history and yields a sentence for each fault.
"""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator

from .platform_cuts import (
    check_changes,
    check_ends,
    check_kept_connections,
    check_reloads,
    check_stops,
)
from .platform_history import DayHistory

# Statuses that promise that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200


def check_answers(history: DayHistory) -> Iterator[str]:
    """Check that a success is the answer of a replica that ran it, whole."""
    runs = history.runs_by_request()
    for call in history.calls:
        if call.status != _OK or not call.is_whole:
            continue
        ran_on = {run.replica for run in runs[call.request_id]}
        if call.seal not in ran_on:
            yield f'{call.request_id}: answered by {call.seal}, ran on {ran_on}'
        if call.echoed_id != call.request_id:
            yield f'{call.request_id}: got the answer to {call.echoed_id}'
        expected = tuple(range(1, call.event_count + 1))
        if call.is_stream and call.events != expected:
            yield f'{call.request_id}: whole stream has events {call.events}'


def check_order(history: DayHistory) -> Iterator[str]:
    """Check that no event of a stream is missing or comes twice."""
    for call in history.calls:
        wanted = tuple(range(1, len(call.events) + 1))
        if call.is_stream and call.events != wanted:
            yield f'{call.request_id}: events {call.events}'


def check_at_most_once(history: DayHistory) -> Iterator[str]:
    """Check that what may not be repeated runs at most once."""
    runs = history.runs_by_request()
    for call in history.calls:
        count = len(runs[call.request_id])
        if not call.is_repeatable and count > 1:
            yield f'{call.request_id}: ran {count} times'


def check_not_run_statuses(history: DayHistory) -> Iterator[str]:
    """Check that requests that were said not to have run have not."""
    runs = history.runs_by_request()
    for call in history.calls:
        is_promised = call.status in NOT_RUN_STATUSES and not call.is_repeatable
        if is_promised and runs[call.request_id]:
            yield f'{call.request_id}: answered {call.status} and ran'


def check_requests(history: DayHistory) -> Iterator[str]:
    """Check that replicas run what was asked, for whom, without the key."""
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is None or call.path != run.path:
            yield f'{run.request_id}: nobody asked for {run.path}'
            continue
        if run.service != history.services[_first_part(run.path)]:
            yield f'{run.request_id}: ran on {run.service}'
        if run.has_key:
            yield f'{run.request_id}: its key went to {run.replica}'
        if call.key and run.workspace != history.bounds.workspace:
            yield f'{run.request_id}: ran for {run.workspace!r}'


def check_withdrawn_keys(history: DayHistory) -> Iterator[str]:
    """Check that a key that was taken away no longer works in time."""
    runs = history.runs_by_request()
    for call in history.calls:
        gone_at = history.withdrawn_at.get(call.key)
        if gone_at is None or not runs[call.request_id]:
            continue
        if call.sent_at > gone_at + history.bounds.revoke_s:
            yield f'{call.request_id}: ran with a key that was gone'


def check_limit(history: DayHistory) -> Iterator[str]:
    """Check that no window holds more than a workspace's limit."""
    terms = history.bounds
    bound = (terms.rate * terms.window_s + terms.burst) * (1 + terms.overshoot)
    bound += terms.slack
    first_run = {}
    for run in sorted(
        history.runs, key=lambda one: one.started_at, reverse=True
    ):
        first_run[run.request_id] = run.started_at
    charged = sorted(
        (call.sent_at, call.tokens)
        for call in history.calls
        if call.request_id in first_run and call.key
    )
    begin = 0
    used = 0
    for sent_at, tokens in charged:
        used += tokens
        while charged[begin][0] < sent_at - terms.window_s:
            used -= charged[begin][1]
            begin += 1
        if used > bound:
            yield f'{used} tokens in a window at {sent_at:.1f}, over {bound}'
            return


def check_retries(history: DayHistory) -> Iterator[str]:
    """Check that runs beyond each request's first keep to the budget."""
    terms = history.bounds
    for service in set(history.services.values()):
        seen: set[str] = set()
        again: list[float] = []
        asked: list[float] = []
        for run in sorted(history.runs, key=lambda one: one.started_at):
            if run.service != service:
                continue
            (again if run.request_id in seen else asked).append(run.started_at)
            seen.add(run.request_id)
        for end in again:
            begin = end - terms.retry_window_s
            retries = sum(begin <= at <= end for at in again)
            requests = sum(begin <= at <= end for at in asked)
            if retries > terms.retry_ratio * requests + terms.retry_slack:
                yield f'{service}: {retries} retries for {requests} requests'
                break


def check_engines(history: DayHistory) -> Iterator[str]:
    """Check that engines get what they hold, from one holder at a time."""
    for engine in history.overfull_engines:
        yield f'{engine}: was ordered to load more than it holds'
    for engine, orders in history.accepted_fences.items():
        holders: dict[int, str] = {}
        for token, holder in orders:
            if holders.setdefault(token, holder) != holder:
                yield f'{engine}: two holders with token {token}'
        for before, after in itertools.pairwise(orders):
            if after[0] < before[0]:
                yield f'{engine}: took token {after[0]} after {before[0]}'


Check = Callable[[DayHistory], Iterator[str]]
CHECKS: dict[str, Check] = {
    'answers': check_answers,
    'order': check_order,
    'once': check_at_most_once,
    'promises': check_not_run_statuses,
    'asked': check_requests,
    'withdrawn': check_withdrawn_keys,
    'limit': check_limit,
    'retries': check_retries,
    'engines': check_engines,
    'stops': check_stops,
    'reloads': check_reloads,
    'changes': check_changes,
    'kept': check_kept_connections,
    'ends': check_ends,
}


def find_violations(history: DayHistory) -> list[str]:
    """Return a line for each broken rule."""
    return [
        f'{name}: {fault}'
        for name, check in CHECKS.items()
        for fault in check(history)
    ]


def count_outcomes(history: DayHistory) -> Counter[str]:
    """Return how the calls ended, by status; ``cut`` for broken answers."""
    return Counter(
        str(call.status) if call.is_whole else 'cut' for call in history.calls
    )


def _first_part(path: str) -> str:
    return path.split('/')[1]
