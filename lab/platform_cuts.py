"""Checks that planned work on hosts cuts no request and ends no process.

Pure, as all checks of a day. A request is cut if its connection ends without
a whole answer. That counts wherever the users' rules count it.
"""

from collections import Counter
from collections.abc import Iterator

from .platform_history import Call, DayHistory, ProcessEnd, Window

# A request that was not passed on may be refused by a closing socket so soon
# after it was sent; the deployments' bound.
CLOSE_RACE_S = 0.2
# Requests that are sent so long after a signal to stop may be cut late in the
# grace period, if their replica still works.
LATE_CUT_SENT_S = 3.0
LATE_CUT_GRACE_SHARE = 5 / 6
# So much more often may requests be cut around a configuration.
MAX_CHANGE_CUT_RATIO = 3
# A request has used up its time beyond this share of it.
USED_TIME_SHARE = 0.7
# Cut requests on kept connections that are let pass, far from planned work.
MAX_KEPT_CUTS = 3


def check_stops(history: DayHistory) -> Iterator[str]:
    """Check that a planned stop cuts no request that it need not cut."""
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
    """Check that hosts cut no more while configurations change."""
    beside = Counter(
        (call.host, _ended_near_change(history, call)) for call in history.calls
    )
    found: Counter[tuple[str, bool]] = Counter()
    told: dict[str, str] = {}
    for call in find_unexcused_cuts(history):
        is_beside = _ended_near_change(history, call)
        took_s = call.ended_at - call.sent_at
        if is_beside and took_s >= USED_TIME_SHARE * call.limit_s:
            continue
        found[call.host, is_beside] += 1
        if is_beside:
            told.setdefault(call.host, _describe(call))
    for host, first in told.items():
        cut = found[host, True] * (beside[host, False] or 1)
        usual = found[host, False] * beside[host, True]
        if cut > MAX_CHANGE_CUT_RATIO * usual:
            yield f'{found[host, True]} cut by changes; {first}'


def check_kept_connections(history: DayHistory) -> Iterator[str]:
    """Check that hosts do not close kept connections on passed requests."""
    runs = history.runs_by_request()
    cut = [
        call
        for call in find_unexcused_cuts(history)
        if call.reuses_connection and not call.status and runs[call.request_id]
    ]
    if len(cut) > MAX_KEPT_CUTS:
        yield f'{len(cut)} on kept connections; {_describe(cut[0])}'


def check_ends(history: DayHistory) -> Iterator[str]:
    """Check that no process ends by itself, nor overruns a planned stop."""
    for end in history.ends:
        is_killed = end.killed_at is not None
        if not is_killed and (end.stop_requested_at is None or end.exit_code):
            yield f'{end.host}: ended by itself with {end.exit_code}, {_describe_age(end)}'
        if end.stop_requested_at is not None and not _had_fault(history, end):
            took_s = end.last_seen_at - end.stop_requested_at
            if took_s >= history.bounds.grace_s:
                yield f'{end.host}: still ran {took_s:.1f} s after the signal'


def find_unexcused_cuts(history: DayHistory) -> Iterator[Call]:
    """Yield the calls that hosts cut with no reason outside of them."""
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
    """Return whether a stop may cut it: its replica works to the last."""
    from_at = stop.begin + LATE_CUT_GRACE_SHARE * history.bounds.grace_s
    if not _affects(stop, call) or call.ended_at < from_at:
        return False
    if call.sent_at > stop.begin + LATE_CUT_SENT_S:
        return False
    return any(
        run.started_at <= call.ended_at and run.ended_at >= from_at
        for run in history.runs
        if run.request_id == call.request_id
    )


def _was_read(call: Call) -> bool:
    """Return whether a host has read it, and not just met it with a close.

    The system resets a connection that is closed with anything unread.
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
    """Return whether a fault hit a host while it stopped."""
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
    told = ''
    if end.stop_requested_at is not None:
        told = f', {end.ended_at - end.stop_requested_at:.1f} s after a signal to stop'
    return f'{end.ended_at - end.started_at:.1f} s old{told}'


def _describe(call: Call) -> str:
    took_s = call.ended_at - call.sent_at
    return (
        f'{call.request_id} on {call.host}: {call.status}, events '
        f'{len(call.events)} of {call.event_count}, cut after {took_s:.2f} s'
    )
