"""A small day with faults on the stand-ins, and the checks of its history."""

from dataclasses import replace

import anyio
import pytest

from lab.platform_day import play_day
from lab.platform_history import (
    CHECKS,
    Call,
    DayHistory,
    ReplicaRun,
    Terms,
    Window,
    count_outcomes,
    find_faults,
)

SECONDS = 8
CALL = Call(
    'c1', '/book/1', 'key', 'host-1', False, 10, 20.0, 21.0, 200, 'desk-1',
    'c1', b'done',
)  # fmt: skip
STREAM = replace(
    CALL, request_id='c2', path='/chat/2', echoed_id='c2', seal='pool-1',
    events=(1, 2, 3, 4, 5), is_stream=True,
)  # fmt: skip
RUN = ReplicaRun('c1', 'desk-1', 'desk', 20.1, '/book/1', 'team', False)
STREAM_RUN = replace(
    RUN, request_id='c2', replica='pool-1', service='pool', path='/chat/2'
)


def good():
    return DayHistory(
        Terms('team', 100, 100, slack=0, retry_slack=1),
        [CALL, STREAM],
        [RUN, STREAM_RUN],
        {'book': 'desk', 'chat': 'pool'},
        fences={'pool-1': [(1, 'a'), (3, 'b')]},
    )


def test_a_good_day_breaks_nothing():
    assert find_faults(good()) == []


def other_seal(day):
    day.calls[0] = replace(CALL, seal='desk-2')


def other_answer(day):
    day.calls[0] = replace(CALL, echoed_id='c2')


def short_stream(day):
    day.calls[1] = replace(STREAM, events=(1, 2, 3))


def event_twice(day):
    day.calls[1] = replace(STREAM, events=(1, 2, 2), is_whole=False)


def ran_twice(day):
    day.runs.append(replace(RUN, replica='desk-2'))


def said_not_run(day):
    day.calls[0] = replace(CALL, status=503)


def nobody_asked(day):
    day.runs.append(replace(RUN, request_id='x'))


def other_path(day):
    day.runs[0] = replace(RUN, path='/book/2')


def other_service(day):
    day.runs[0] = replace(RUN, service='pool')


def key_passed_on(day):
    day.runs[0] = replace(RUN, has_key=True)


def other_workspace(day):
    day.runs[0] = replace(RUN, workspace='x')


def withdrawn_key(day):
    day.withdrawn['key'] = 14.9


def over_limit(day):
    day.calls[0] = replace(CALL, tokens=2000)


def retries(day):
    for number in range(3):
        run = replace(STREAM_RUN, replica=f'pool-{number}')
        day.runs.append(run)


def overfull(day):
    day.overfull.append('pool-1')


def two_holders(day):
    day.fences['pool-1'] = [(1, 'a'), (1, 'b')]


def old_holder(day):
    day.fences['pool-1'] = [(3, 'b'), (1, 'a')]


def cut_by_stop(day):
    day.calls[0] = replace(CALL, status=0, is_whole=False)
    day.stops.append(Window('host-1', 20.05, 22))


@pytest.mark.parametrize(
    ('breaking', 'name'),
    [
        (other_seal, 'answers'),
        (other_answer, 'answers'),
        (short_stream, 'answers'),
        (event_twice, 'order'),
        (ran_twice, 'once'),
        (said_not_run, 'promises'),
        (nobody_asked, 'asked'),
        (other_path, 'asked'),
        (other_service, 'asked'),
        (key_passed_on, 'asked'),
        (other_workspace, 'asked'),
        (withdrawn_key, 'withdrawn'),
        (over_limit, 'limit'),
        (retries, 'retries'),
        (overfull, 'engines'),
        (two_holders, 'engines'),
        (old_holder, 'engines'),
        (cut_by_stop, 'stops'),
    ],
)
def test_each_break_is_caught(breaking, name):
    day = good()
    breaking(day)
    assert list(CHECKS[name](day))


def test_a_request_that_met_a_closing_socket_was_not_cut():
    day = good()
    cut_by_stop(day)
    day.calls[0] = replace(day.calls[0], ended_at=20.1)
    assert list(CHECKS['stops'](day))
    del day.runs[0]
    assert find_faults(day) == []


def test_a_cut_beside_an_unplanned_fault_is_not_the_stop_s():
    day = good()
    cut_by_stop(day)
    day.faults.append(Window('host-1', 19, 20.2))
    assert find_faults(day) == []


def test_a_day_with_faults_keeps_the_rules(tmp_path):
    history = anyio.run(play_day, 7, SECONDS, str(tmp_path))
    assert find_faults(history) == []
    outcomes = count_outcomes(history)
    assert outcomes['200'] > sum(outcomes.values()) / 3
    assert history.faults
