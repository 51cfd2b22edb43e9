"""Checks a day's history against the rules of the deployment.

The checks have no side effects. Each takes a history and yields one sentence
for each violation.
"""

import itertools
from collections import Counter, defaultdict
from collections.abc import Callable, Iterator, Sequence

from .platform_cuts import (
    check_changes,
    check_ends,
    check_kept_connections,
    check_reloads,
    check_stops,
)
from .platform_history import Call, DayHistory

# Statuses which guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Path of the route whose streams may be resumed.
RESUMABLE_PATH = '/batch/'
# With fewer resumptions, their share says little.
MIN_RESUMPTIONS = 12
_OK = 200


def check_answers(history: DayHistory) -> Iterator[str]:
    """Check that a success is the whole answer of a replica that ran it."""
    runs = history.runs_by_request()
    for call in history.calls:
        if call.status != _OK or not call.is_whole:
            continue
        ran_on = {run.replica for run in runs[call.request_id]}
        if call.seal not in ran_on:
            yield f'{call.request_id}: answered by {call.seal}, ran on {ran_on}'
        if call.echoed_id != call.request_id:
            yield f'{call.request_id}: got the answer to {call.echoed_id}'
        expected = tuple(range(call.resumed_after + 1, call.event_count + 1))
        if call.is_stream and call.events != expected:
            yield f'{call.request_id}: whole stream has events {call.events}'


def check_order(history: DayHistory) -> Iterator[str]:
    """Check that no event of a stream is missing or repeated."""
    for call in history.calls:
        first = call.resumed_after + 1
        expected = tuple(range(first, first + len(call.events)))
        if call.is_stream and call.events != expected:
            yield f'{call.request_id}: events {call.events}'


def check_at_most_once(history: DayHistory) -> Iterator[str]:
    """Check that requests which may not be repeated run at most once."""
    runs = history.runs_by_request()
    for call in history.calls:
        count = len(runs[call.request_id])
        if not call.is_repeatable and count > 1:
            yield f'{call.request_id}: ran {count} times'


def check_not_run_statuses(history: DayHistory) -> Iterator[str]:
    """Check that requests have not run if their status guarantees that."""
    runs = history.runs_by_request()
    for call in history.calls:
        is_guaranteed = (
            call.status in NOT_RUN_STATUSES and not call.is_repeatable
        )
        if is_guaranteed and runs[call.request_id]:
            yield f'{call.request_id}: answered {call.status} and ran'


def check_requests(history: DayHistory) -> Iterator[str]:
    """Check that replicas run only what callers sent, without their keys."""
    calls = {call.request_id: call for call in history.calls}
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is None or call.path != run.path:
            yield f'{run.request_id}: no caller requested {run.path}'
            continue
        if run.service != history.services[_first_part(run.path)]:
            yield f'{run.request_id}: ran on {run.service}'
        if run.has_key:
            yield f'{run.request_id}: its key went to {run.replica}'
        if call.key and run.workspace != history.bounds.workspace:
            yield f'{run.request_id}: ran for {run.workspace!r}'


def check_withdrawn_keys(history: DayHistory) -> Iterator[str]:
    """Check that a withdrawn key stops working in time."""
    runs = history.runs_by_request()
    for call in history.calls:
        withdrawn_at = history.withdrawn_at.get(call.key)
        if withdrawn_at is None or not runs[call.request_id]:
            continue
        if call.sent_at > withdrawn_at + history.bounds.revoke_s:
            yield f'{call.request_id}: ran with a withdrawn key'


def check_limit(history: DayHistory) -> Iterator[str]:
    """Check that no window has more tokens than a workspace's limit allows."""
    bounds = history.bounds
    max_tokens = (bounds.rate * bounds.window_s + bounds.burst) * (
        1 + bounds.overshoot
    )
    max_tokens += bounds.slack
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
        while charged[begin][0] < sent_at - bounds.window_s:
            used -= charged[begin][1]
            begin += 1
        if used > max_tokens:
            yield (
                f'{used} tokens in a window at {sent_at:.1f}, over {max_tokens}'
            )
            return


def check_retries(history: DayHistory) -> Iterator[str]:
    """Check that retries stay within the budget."""
    bounds = history.bounds
    for service in set(history.services.values()):
        seen_ids: set[str] = set()
        retried_at: list[float] = []
        first_run_at: list[float] = []
        for run in sorted(history.runs, key=lambda one: one.started_at):
            if run.service != service:
                continue
            (retried_at if run.request_id in seen_ids else first_run_at).append(
                run.started_at
            )
            seen_ids.add(run.request_id)
        for end in retried_at:
            begin = end - bounds.retry_window_s
            retries = sum(begin <= at <= end for at in retried_at)
            requests = sum(begin <= at <= end for at in first_run_at)
            if retries > bounds.retry_ratio * requests + bounds.retry_slack:
                yield f'{service}: {retries} retries for {requests} requests'
                break


def check_engines(history: DayHistory) -> Iterator[str]:
    """Check that orders fit on engines and come from one lease holder."""
    for engine in history.overfull_engines:
        yield f'{engine}: was ordered to load more than fits'
    for engine, orders in history.accepted_fences.items():
        holders: dict[int, str] = {}
        for fence, holder in orders:
            if holders.setdefault(fence, holder) != holder:
                yield f'{engine}: two lease holders with fencing number {fence}'
        for before, after in itertools.pairwise(orders):
            if after[0] < before[0]:
                yield (
                    f'{engine}: accepted fencing number {after[0]} '
                    f'after {before[0]}'
                )


def check_stated_limits(history: DayHistory) -> Iterator[str]:
    """Check that replicas get no more requests than they state.

    A fault of a host excuses the windows in which it has to learn again.
    """
    bounds = history.bounds
    for limit in history.stated_limits:
        most = bounds.stated_share * bounds.stated_window_s * limit.rate
        most += bounds.stated_slack
        for end in limit.arrivals:
            begin = end - bounds.stated_window_s
            if begin < limit.begin + bounds.contact_s or end > limit.end:
                continue
            count = sum(begin < at <= end for at in limit.arrivals)
            is_excused = any(
                fault.begin < end and fault.end > begin
                for fault in history.faults
            )
            if count > most and not is_excused:
                yield f'{limit.replica}: {count} requests, allowed {most}'
                break


def check_releases(history: DayHistory) -> Iterator[str]:
    """Check that no stream has events from replicas of two releases."""
    releases: defaultdict[str, set[int]] = defaultdict(set)
    for call in history.calls:
        releases[call.resumes or call.request_id] |= call.releases
    for request_id, found in releases.items():
        if len(found) > 1:
            yield f'{request_id}: events of releases {sorted(found)}'


def check_resumptions(history: DayHistory) -> Iterator[str]:
    """Check that streams can be resumed while their release has replicas."""
    resumptions = [one for one in history.calls if one.has_spare_target]
    begun = [
        one
        for one in history.calls
        if one.path.startswith(RESUMABLE_PATH) and not one.resumes
    ]
    if len(resumptions) < MIN_RESUMPTIONS or not begun:
        return
    resumed_share = _share_with_events(resumptions)
    begun_share = _share_with_events(begun)
    if resumed_share < begun_share / 2:
        yield f'{resumed_share:.2f} resumed, {begun_share:.2f} begun'


def _share_with_events(calls: Sequence[Call]) -> float:
    return sum(bool(one.events) for one in calls) / len(calls)


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
    'stated': check_stated_limits,
    'releases': check_releases,
    'resumptions': check_resumptions,
}


def find_violations(history: DayHistory) -> list[str]:
    """Return a line for each violation of a rule."""
    return [
        f'{name}: {violation}'
        for name, check in CHECKS.items()
        for violation in check(history)
    ]


def count_outcomes(history: DayHistory) -> Counter[str]:
    """Return the number of calls by status, or ``cut`` for broken answers."""
    return Counter(
        str(call.status) if call.is_whole else 'cut' for call in history.calls
    )


def _first_part(path: str) -> str:
    return path.split('/')[1]
