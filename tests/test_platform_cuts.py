"""Checks of a day for planned work and for ends of processes."""

from dataclasses import replace

import pytest

from lab.platform_checks import CHECKS, find_violations
from lab.platform_history import ProcessEnd, Window

from .dayhistory import CALL, RUN, STREAM, good


def cut(day, **fields):
    day.calls[0] = replace(
        CALL, **{'status': 0, 'is_whole': False, 'limit_s': 4, **fields}
    )


def cut_by_stop(day):
    cut(day)
    day.stops.append(Window('host-1', 20.05, 29.05))


def cut_late_in_grace_period(day):
    """Cut a request that was sent late in a stop and still runs at its end."""
    cut(day, sent_at=23.1, ended_at=27.4, limit_s=15)
    day.runs[0] = replace(RUN, started_at=23.2, ended_at=27.5)
    day.stops.append(Window('host-1', 20, 29))


def cut_while_its_replica_still_works(day):
    """Cut a request early although its replica is still working on it."""
    cut(day, sent_at=19, ended_at=21, limit_s=15)
    day.stops.append(Window('host-1', 20, 29))


def cut_before_the_end_of_grace_period(day):
    """Cut a long request long before the grace period is over."""
    cut(day, sent_at=19, ended_at=26.5, limit_s=15)
    day.runs[0] = replace(RUN, started_at=19.1, ended_at=26.6)
    day.stops.append(Window('host-1', 20, 29))


def cut_before_forwarding(day):
    """Cut a request that was not forwarded, too late for a closing socket."""
    cut_by_stop(day)
    day.calls[0] = replace(day.calls[0], fully_sent_at=20.75)
    del day.runs[0]


def cut_by_a_stop_while_the_store_is_down(day):
    cut_by_stop(day)
    day.faults.append(Window('store', 18, 22))


def cut_by_a_stop_during_a_fault_of_another_host(day):
    cut_by_stop(day)
    day.faults.append(Window('host-2', 18, 22))


def cut_by_reload(day):
    cut(day)
    day.reloads.append(Window('host-1', 20.5, 22.5))


def cut_soon_after_reload(day):
    cut(day)
    day.reloads.append(Window('host-1', 18.5, 20.5))


def cut_by_change(day):
    cut(day)
    day.changes.append(Window('configuration', 20.5, 23.5))


def cut_more_by_change(day):
    """Cut one of one request near a change, and one of four elsewhere."""
    cut_by_change(day)
    calls = [replace(STREAM, sent_at=50, ended_at=51) for _ in range(4)]
    calls[0] = replace(calls[0], is_whole=False)
    day.calls = [day.calls[0], *calls]


def cut_on_kept_connections(day):
    cut(day, reuses_connection=True)
    day.calls += day.calls[:1] * 3


def ended_by_itself(day):
    day.ends.append(ProcessEnd('host-1', 1, 20, 0, 19.9))


def failed_while_stopping(day):
    day.ends.append(ProcessEnd('host-1', 1, 20, -1, 19.9, stop_requested_at=18))


def killed_after_the_grace_period(day):
    day.ends.append(ProcessEnd('host-1', 1, 28.1, -9, 28, 20, killed_at=28))


def ended_after_the_grace_period(day):
    day.ends.append(
        ProcessEnd('host-1', 1, 28.5, 0, 28.4, stop_requested_at=20)
    )


@pytest.mark.parametrize(
    ('breaking', 'name'),
    [
        (cut_by_stop, 'stops'),
        (cut_late_in_grace_period, 'stops'),
        (cut_before_the_end_of_grace_period, 'stops'),
        (cut_while_its_replica_still_works, 'stops'),
        (cut_before_forwarding, 'stops'),
        (cut_by_a_stop_while_the_store_is_down, 'stops'),
        (cut_by_a_stop_during_a_fault_of_another_host, 'stops'),
        (cut_by_reload, 'reloads'),
        (cut_soon_after_reload, 'reloads'),
        (cut_by_change, 'changes'),
        (cut_more_by_change, 'changes'),
        (cut_on_kept_connections, 'kept'),
        (ended_by_itself, 'ends'),
        (failed_while_stopping, 'ends'),
        (killed_after_the_grace_period, 'ends'),
        (ended_after_the_grace_period, 'ends'),
    ],
)
def test_each_violation_is_found(breaking, name):
    day = good()
    breaking(day)
    assert list(CHECKS[name](day))


def test_a_request_that_reached_a_closing_socket_is_no_cut():
    day = good()
    cut_before_forwarding(day)
    assert find_violations(day)
    day.calls[0] = replace(day.calls[0], fully_sent_at=20.81)
    assert find_violations(day) == []
    day.runs.append(RUN)
    assert find_violations(day)


def test_a_request_that_was_never_read_is_no_cut():
    day = good()
    cut_before_forwarding(day)
    assert find_violations(day)
    day.calls[0] = replace(day.calls[0], is_reset=True)
    assert find_violations(day) == []
    day.runs.append(RUN)
    assert find_violations(day)


def test_a_reset_during_an_answer_is_a_cut():
    day = good()
    cut_before_forwarding(day)
    day.calls[0] = replace(day.calls[0], is_reset=True, status=200)
    assert find_violations(day)


def test_a_stop_that_is_observed_late_is_no_overrun():
    day = good()
    day.ends.append(
        ProcessEnd('host-1', 1, 28.5, 0, 27.2, stop_requested_at=20)
    )
    assert find_violations(day) == []


def test_a_request_that_was_not_fully_sent_is_no_cut():
    day = good()
    cut_before_forwarding(day)
    assert find_violations(day)
    day.calls[0] = replace(day.calls[0], fully_sent_at=None)
    assert find_violations(day) == []


def test_a_cut_during_an_unplanned_fault_does_not_count():
    day = good()
    cut_by_stop(day)
    day.faults.append(Window('host-1', 19, 20.2))
    assert find_violations(day) == []


def test_a_cut_by_a_replica_does_not_count():
    day = good()
    cut_by_stop(day)
    day.broken_by_replicas.add('c1')
    assert find_violations(day) == []


def test_a_cut_at_the_deadline_does_not_count():
    day = good()
    cut_by_stop(day)
    day.calls[0] = replace(day.calls[0], limit_s=1)
    assert find_violations(day) == []


def test_a_caller_that_left_is_no_cut():
    day = good()
    cut_by_stop(day)
    day.calls[0] = replace(day.calls[0], left_at=21.0)
    assert find_violations(day) == []


def test_a_long_run_may_be_cut_at_the_end_of_the_grace_period():
    day = good()
    cut_late_in_grace_period(day)
    assert find_violations(day)
    day.calls[0] = replace(day.calls[0], sent_at=22.9)
    assert find_violations(day) == []
    day.runs[0] = replace(day.runs[0], ended_at=26.5)
    assert find_violations(day)


def test_a_late_cut_is_excused_during_a_reload_within_a_stop():
    day = good()
    cut_late_in_grace_period(day)
    day.reloads.append(Window('host-1', 23, 25))
    day.changes.append(Window('configuration', 26, 29))
    names = ('stops', 'reloads', 'changes')
    assert all(list(CHECKS[name](day)) for name in names)
    day.calls[0] = replace(day.calls[0], sent_at=22.9)
    assert find_violations(day) == []


def test_cuts_that_a_stop_does_not_affect():
    day = good()
    cut(day, sent_at=29.1, ended_at=29.5)
    day.stops.append(Window('host-1', 20, 29))
    day.stops.append(Window('host-2', 20, 30))
    assert find_violations(day) == []


def test_cuts_that_a_reload_does_not_affect():
    day = good()
    cut(day, sent_at=22.6, ended_at=23.5)
    day.reloads.append(Window('host-1', 20.5, 22.5))
    day.reloads.append(Window('host-1', 23.6, 25.6))
    day.reloads.append(Window('host-2', 22.5, 24.5))
    assert find_violations(day) == []


def test_cuts_near_a_change_may_be_as_frequent_as_elsewhere():
    day = good()
    cut_more_by_change(day)
    others = [replace(one, is_whole=False) for one in day.calls[1:3]]
    day.calls = [day.calls[0], *others]
    assert find_violations(day) == []


def test_a_cut_with_little_time_left_does_not_count_for_a_change():
    day = good()
    cut_by_change(day)
    day.calls[0] = replace(day.calls[0], limit_s=1.4)
    assert find_violations(day) == []


def test_three_cuts_on_kept_connections_are_no_violation():
    day = good()
    cut_on_kept_connections(day)
    del day.calls[-1]
    assert find_violations(day) == []


def test_ends_of_killed_and_stopped_hosts_are_no_violations():
    day = good()
    day.ends += [
        ProcessEnd('host-1', 1, 20, -9, 20, killed_at=20),
        ProcessEnd('host-2', 1, 27.9, 0, 27.8, stop_requested_at=20),
        ProcessEnd('host-3', 1, 24, -9, 24, stop_requested_at=20, killed_at=24),
        ProcessEnd('host-3', 30, 50, 0, 49.9, stop_requested_at=40),
    ]
    day.faults.append(Window('host-3', 41, 48))
    assert find_violations(day) == []
