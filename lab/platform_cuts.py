"""Checks that planned work on hosts cuts no request and ends no process.

Like all checks of a day, these have no side effects. A request is cut if its
connection ends without a whole answer. A cut counts as a violation wherever
the users' rules count it as one.
"""

from collections import Counter
from collections.abc import Iterator

from .platform_history import Call, DayHistory, ProcessEnd, Window

# A request that was not forwarded and was cut within this time after it was
# sent may have met a closing socket. The deployments have the same bound.
CLOSE_RACE_S = 0.2
# Requests that are sent up to this long after a signal to stop may be cut in
# the last part of the grace period, if their replica is still working on them.
LATE_CUT_SENT_S = 3.0
# That part begins after this share of the grace period.
LATE_CUT_GRACE_SHARE = 5 / 6
# Requests may be cut this many times as often near a change of configuration.
MAX_CHANGE_CUT_RATIO = 3
# Beyond this share of its time limit, a cut request doesn't count against a
# change of configuration.
USED_TIME_SHARE = 0.7
# Up to this many cuts on kept connections are no violation. Those near planned
# work are caught by the checks of planned work.
MAX_KEPT_CUTS = 3


def check_stops(history: DayHistory) -> Iterator[str]:
    """Check that a planned stop cuts no request that could have ended."""
    for call in find_unexcused_cuts(history):
        stops = [one for one in history.stops if _affects(one, call)]
        for stop in stops[-1:]:
            after_s = call.sent_at - stop.begin
            yield f'{_describe(call)}, sent {after_s:.2f} s after the signal'


def check_reloads(history: DayHistory) -> Iterator[str]:
    """Check that a reload cuts no request."""
    for call in find_unexcused_cuts(history):
        reloads = [one for one in history.reloads if _affects(one, call)]
        for reload in reloads[-1:]:
            after_s = call.sent_at - reload.begin
            yield f'{_describe(call)}, sent {after_s:.2f} s after the reload'


def check_changes(history: DayHistory) -> Iterator[str]:
    """Check that hosts cut no more requests while configurations change."""
    call_counts = Counter(
        (call.host, _ended_near_change(history, call)) for call in history.calls
    )
    cut_counts: Counter[tuple[str, bool]] = Counter()
    examples: dict[str, str] = {}
    for call in find_unexcused_cuts(history):
        is_near_change = _ended_near_change(history, call)
        took_s = call.ended_at - call.sent_at
        if is_near_change and took_s >= USED_TIME_SHARE * call.limit_s:
            continue
        cut_counts[call.host, is_near_change] += 1
        if is_near_change:
            examples.setdefault(call.host, _describe(call))
    for host, example in examples.items():
        cut = cut_counts[host, True] * (call_counts[host, False] or 1)
        usual = cut_counts[host, False] * call_counts[host, True]
        if cut > MAX_CHANGE_CUT_RATIO * usual:
            yield f'{cut_counts[host, True]} cut by changes; {example}'


def check_kept_connections(history: DayHistory) -> Iterator[str]:
    """Check that hosts close no kept connection on a forwarded request."""
    runs = history.runs_by_request()
    cut = [
        call
        for call in find_unexcused_cuts(history)
        if call.reuses_connection and not call.status and runs[call.request_id]
    ]
    if len(cut) > MAX_KEPT_CUTS:
        yield f'{len(cut)} on kept connections; {_describe(cut[0])}'


def check_ends(history: DayHistory) -> Iterator[str]:
    """Check that no process ends unexpectedly or overruns a planned stop."""
    for end in history.ends:
        is_killed = end.killed_at is not None
        if not is_killed and (end.stop_requested_at is None or end.exit_code):
            yield (
                f'{end.host}: ended by itself with {end.exit_code}, '
                f'{_describe_age(end)}'
            )
        if end.stop_requested_at is not None and not _had_fault(history, end):
            took_s = end.last_seen_at - end.stop_requested_at
            if took_s >= history.bounds.grace_s:
                yield f'{end.host}: still ran {took_s:.1f} s after the signal'


def find_unexcused_cuts(history: DayHistory) -> Iterator[Call]:
    """Yield the calls that hosts cut for no external reason."""
    runs = history.runs_by_request()
    for call in history.calls:
        if not call.is_cut or call.request_id in history.broken_by_replicas:
            continue
        took_s = call.ended_at - call.sent_at
        if took_s >= call.limit_s or _is_disturbed(history, call):
            continue
        if any(_may_cut_late(history, stop, call) for stop in history.stops):
            continue
        if runs[call.request_id] or _was_read(call):
            yield call


def _may_cut_late(history: DayHistory, stop: Window, call: Call) -> bool:
    """Return whether a stop may cut a call late in its grace period."""
    late_from = stop.begin + LATE_CUT_GRACE_SHARE * history.bounds.grace_s
    if not _affects(stop, call) or call.ended_at < late_from:
        return False
    if call.sent_at > stop.begin + LATE_CUT_SENT_S:
        return False
    return any(
        run.started_at <= call.ended_at and run.ended_at >= late_from
        for run in history.runs
        if run.request_id == call.request_id
    )


def _was_read(call: Call) -> bool:
    """Return whether a host has read a call's request before it closed.

    The operating system resets a connection that is closed with unread data.
    """
    if call.fully_sent_at is None or (call.is_reset and not call.status):
        return False
    return call.ended_at - call.fully_sent_at > CLOSE_RACE_S


def _affects(window: Window, call: Call) -> bool:
    return window.subject == call.host and _overlaps(window, call)


def _overlaps(window: Window, call: Call) -> bool:
    return window.begin <= call.ended_at and call.sent_at <= window.end


def _is_disturbed(history: DayHistory, call: Call) -> bool:
    return any(_affects(fault, call) for fault in history.faults)


def _had_fault(history: DayHistory, end: ProcessEnd) -> bool:
    """Return whether a fault affected a host while it was stopping."""
    return any(
        fault.subject == end.host
        and fault.begin <= end.ended_at
        and fault.end >= (end.stop_requested_at or end.ended_at)
        for fault in history.faults
    )


def _ended_near_change(history: DayHistory, call: Call) -> bool:
    return any(
        change.begin <= call.ended_at <= change.end
        for change in history.changes
    )


def _describe_age(end: ProcessEnd) -> str:
    after_stop = ''
    if end.stop_requested_at is not None:
        after_stop = (
            f', {end.ended_at - end.stop_requested_at:.1f} s '
            'after a signal to stop'
        )
    return f'{end.ended_at - end.started_at:.1f} s old{after_stop}'


def _describe(call: Call) -> str:
    took_s = call.ended_at - call.sent_at
    return (
        f'{call.request_id} on {call.host}: {call.status}, events '
        f'{len(call.events)} of {call.event_count}, cut after {took_s:.2f} s'
    )
