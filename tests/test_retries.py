"""Tests of retries: which requests, when, and within the budget."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.retries import (
    FailedAttempt,
    Failure,
    GiveUp,
    RetryBudget,
    backoff_s,
    decide,
)

from .crashworld import simulate

SHARE = 0.2
BROKEN = Failure.broken
NOT_RUN = Failure.not_run


@given(st.lists(st.booleans(), max_size=400))
def test_retries_stay_within_their_budget_in_every_history(spends):
    budget = RetryBudget()
    retries = 0
    for requests, is_retried in enumerate(spends, start=1):
        budget.count_request()
        while is_retried and budget.spend():
            retries += 1
        assert retries <= max(20, SHARE * requests + 1e-6)


@pytest.mark.parametrize('is_up', [True, False])
def test_total_failure_costs_at_most_a_fifth_more_attempts(is_up):
    async def scenario(fleet):
        for machine in fleet.machines.values():
            machine.cuts = True
            machine.is_up = is_up
            machine.incarnation += not is_up
        host = fleet.hosts[0]
        for number in range(200):
            status, _, retry_after_s = await host.ask(b'%d' % number)
            assert status == 503
            assert retry_after_s
        attempts.append(host.connects)

    attempts = []
    simulate(scenario)
    assert attempts[0] <= 200 * (1 + SHARE)
    # Targets that answer polls get attempts, unreachable ones do not.
    assert (attempts[0] >= 200) == is_up


@pytest.mark.parametrize(
    ('failure', 'is_repeatable', 'is_started', 'tries', 'expected'),
    [
        (BROKEN, False, False, 1, GiveUp.may_have_run),
        (BROKEN, True, True, 1, GiveUp.answer_begun),
        (BROKEN, True, False, 4, GiveUp.too_many_tries),
        (BROKEN, True, False, 1, None),
        (NOT_RUN, False, False, 1, None),
    ],
)
def test_which_failures_are_retried(
    failure, is_repeatable, is_started, tries, expected
):
    failed = FailedAttempt(
        failure, tries, is_repeatable, is_started, deadline=10
    )
    decided = decide(failed, RetryBudget(), 0, random.Random(1))
    assert decided == expected or (expected is None and decided < 1)


def test_no_retry_would_begin_after_the_deadline():
    failed = FailedAttempt(BROKEN, 3, True, False, deadline=10)
    decided = decide(failed, RetryBudget(), 10, random.Random(1))
    assert decided == GiveUp.deadline


def test_delays_are_spread_and_bounded():
    rng = random.Random(1)
    delays = [backoff_s(attempts, rng) for attempts in range(1, 40)]
    assert max(delays) <= 1
    assert len(set(delays)) == len(delays)
