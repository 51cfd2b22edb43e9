"""A short day with faults on the stand-ins, and the checks of its history."""

from dataclasses import replace

import anyio
import pytest

from lab.platform_checks import CHECKS, count_outcomes, find_violations
from lab.platform_day import run_day
from lab.platform_history import StatedLimit

from .dayhistory import CALL, RUN, STREAM, STREAM_RUN, good

SECONDS = 4


def test_a_good_day_has_no_violations():
    assert find_violations(good()) == []


def other_replica(day):
    day.calls[0] = replace(CALL, seal='desk-2')


def other_answer(day):
    day.calls[0] = replace(CALL, echoed_id='c2')


def short_stream(day):
    day.calls[1] = replace(STREAM, events=(1, 2, 3))


def event_twice(day):
    day.calls[1] = replace(STREAM, events=(1, 2, 2), is_whole=False)


def ran_twice(day):
    day.runs.append(replace(RUN, replica='desk-2'))


def ran_despite_rejection(day):
    day.calls[0] = replace(CALL, status=503)


def ran_without_a_request(day):
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
    day.withdrawn_at['key'] = 14.9


def over_token_limit(day):
    day.calls[0] = replace(CALL, tokens=2000)


def too_many_retries(day):
    for number in range(3):
        run = replace(STREAM_RUN, replica=f'pool-{number}')
        day.runs.append(run)


def overfull_engine(day):
    day.overfull_engines.append('pool-1')


def two_lease_holders(day):
    day.accepted_fences['pool-1'] = [(1, 'a'), (1, 'b')]


def smaller_fencing_number(day):
    day.accepted_fences['pool-1'] = [(3, 'b'), (1, 'a')]


def over_stated_limit(day):
    arrivals = tuple(26 + number / 10 for number in range(12))
    day.stated_limits.append(StatedLimit('pool-1', 1, 20, 30, arrivals))


def two_releases_in_one_answer(day):
    day.calls[1] = replace(STREAM, releases=frozenset((1, 2)))


def two_releases_over_attempts(day):
    day.calls[1] = replace(STREAM, releases=frozenset((1,)))
    day.calls.append(
        replace(STREAM, request_id='c3', resumes='c2', releases=frozenset((2,)))
    )


def no_stream_resumed(day):
    begun = replace(STREAM, path='/batch/2')
    day.calls.append(begun)
    lost = replace(
        begun, status=503, events=(), resumes='c2', has_spare_target=True
    )
    day.calls.extend(lost for _ in range(12))


@pytest.mark.parametrize(
    ('breaking', 'name'),
    [
        (other_replica, 'answers'),
        (other_answer, 'answers'),
        (short_stream, 'answers'),
        (event_twice, 'order'),
        (ran_twice, 'once'),
        (ran_despite_rejection, 'promises'),
        (ran_without_a_request, 'asked'),
        (other_path, 'asked'),
        (other_service, 'asked'),
        (key_passed_on, 'asked'),
        (other_workspace, 'asked'),
        (withdrawn_key, 'withdrawn'),
        (over_token_limit, 'limit'),
        (too_many_retries, 'retries'),
        (overfull_engine, 'engines'),
        (two_lease_holders, 'engines'),
        (smaller_fencing_number, 'engines'),
        (over_stated_limit, 'stated'),
        (two_releases_in_one_answer, 'releases'),
        (two_releases_over_attempts, 'releases'),
        (no_stream_resumed, 'resumptions'),
    ],
)
def test_each_violation_is_found(breaking, name):
    day = good()
    breaking(day)
    assert list(CHECKS[name](day))


def test_a_day_with_faults_keeps_the_rules(tmp_path):
    history = anyio.run(run_day, 7, SECONDS, str(tmp_path))
    assert find_violations(history) == []
    outcomes = count_outcomes(history)
    assert outcomes['200'] > sum(outcomes.values()) / 3
    assert history.faults
    assert history.stops
    assert history.reloads
    assert history.changes
