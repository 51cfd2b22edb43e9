"""Decides whether a failed request is retried, within retry budgets."""

import collections
import enum
import random
from collections.abc import Callable
from dataclasses import dataclass, field

RETRY_RATIO = 0.2
INITIAL_RETRIES = 20.0
MAX_SAVED_RETRIES = 50.0
MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0
# The bounds apply to all hosts together. Hosts use only these fractions of the
# configured slack and ratio, because a host may join after others have used
# their parts, and because two windows count requests differently.
SLACK_FRACTION = 0.7
RATIO_FRACTION = 0.95
# The slack is divided into at least this many parts, also while this host does
# not know the other hosts yet.
MIN_HOSTS = 8


class Failure(enum.StrEnum):
    """How an attempt failed.

    Attributes
    ----------
    not_run
        The target did not run the request.
    broken
        The exchange broke off; the request may have run.
    """

    not_run = 'not_run'
    broken = 'broken'


class GiveUp(enum.StrEnum):
    """Why a request is not retried."""

    may_have_run = 'may_have_run'
    answer_begun = 'answer_begun'
    too_many_tries = 'too_many_tries'
    deadline = 'deadline'
    budget = 'budget'


@dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of the requests, after a first allowance.

    For any `n` requests there are at most
    ``max(INITIAL_RETRIES, RETRY_RATIO * n)`` retries, and at most
    `MAX_SAVED_RETRIES` can be saved up.

    Attributes
    ----------
    balance : float
        The number of retries that are available now.
    uncredited_requests : float
        The number of further requests that add no credit, because the initial
        balance already contains their retries.
    """

    balance: float = INITIAL_RETRIES
    uncredited_requests: float = INITIAL_RETRIES / RETRY_RATIO

    def count_request(self) -> None:
        """Add the credit of one request."""
        if self.uncredited_requests >= 1:
            self.uncredited_requests -= 1
            return
        saved = self.balance + RETRY_RATIO
        self.balance = min(saved, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether one was available."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@dataclass(slots=True, frozen=True)
class FailedAttempt:
    """A failed attempt and the properties of its request.

    Attributes
    ----------
    failure : Failure
    attempts : int
        The number of attempts so far, including this one.
    is_repeatable : bool
        Whether the request may run more than once.
    is_started : bool
        Whether any part of an answer has been sent to the caller.
    deadline : float
        The request's deadline, in seconds by the process's clock.
    """

    failure: Failure
    attempts: int
    is_repeatable: bool
    is_started: bool
    deadline: float


def decide(
    failed: FailedAttempt,
    budget: RetryBudget,
    now: float,
    rng: random.Random,
) -> float | GiveUp:
    """Return the delay before the next attempt, or why there is none.

    Parameters
    ----------
    failed : FailedAttempt
    budget : RetryBudget
        Charged if the request is retried.
    now : float
        The time in seconds by the process's clock.
    rng : random.Random
        Adds jitter, so that requests that failed together are not retried
        together.

    Returns
    -------
    float or GiveUp
        The delay in seconds.
    """
    reason = _final_reason(failed)
    if reason is not None:
        return reason
    delay_s = backoff_s(failed.attempts, rng)
    if now + delay_s >= failed.deadline:
        return GiveUp.deadline
    return delay_s if budget.spend() else GiveUp.budget


def backoff_s(attempts: int, rng: random.Random) -> float:
    """Return a random delay whose upper bound doubles with each attempt."""
    bound_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempts - 1))
    return rng.uniform(0, bound_s)


def _final_reason(failed: FailedAttempt) -> GiveUp | None:
    if failed.is_started:
        return GiveUp.answer_begun
    if failed.failure == Failure.broken and not failed.is_repeatable:
        return GiveUp.may_have_run
    return GiveUp.too_many_tries if failed.attempts >= MAX_ATTEMPTS else None


@dataclass(slots=True)
class WindowBudget:
    """Retry budget of one service on this host, in a sliding window.

    In any window all hosts together may make retries of up to `ratio` times
    the requests plus the slack. Each host counts its own requests and gets an
    equal part of the slack.

    Attributes
    ----------
    window_s : float
    ratio : float
    slack : float
        This host's part of the slack, in retries.
    requests, retries : deque of float
        Times of the requests and retries in the window.
    """

    window_s: float
    ratio: float
    slack: float
    requests: collections.deque[float] = field(
        default_factory=collections.deque,
    )
    retries: collections.deque[float] = field(
        default_factory=collections.deque,
    )

    def count_request(self, now: float) -> None:
        """Count one request, which raises the number of allowed retries."""
        self.requests.append(now)
        self._expire(now)

    def spend(self, now: float) -> bool:
        """Take one retry from the budget; return whether one was available."""
        self._expire(now)
        allowed = len(self.requests) * self.ratio + self.slack
        if len(self.retries) + 1 > allowed:
            return False
        self.retries.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()


@dataclass(slots=True)
class RetryBudgets:
    """The retry budgets of this host, by service.

    Attributes
    ----------
    window_s, ratio, slack : float
        The configured bounds for all hosts together.
    count_hosts : callable
        Returns how many hosts may be alive.
    by_service : dict of str to WindowBudget
    """

    window_s: float
    ratio: float
    slack: float
    count_hosts: Callable[[], int]
    by_service: dict[str, WindowBudget] = field(default_factory=dict)

    def for_service(self, service: str) -> WindowBudget:
        """Return a service's budget, its slack updated for the known hosts."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = WindowBudget(self.window_s, self.ratio * RATIO_FRACTION, 0)
            self.by_service[service] = budget
        hosts = max(self.count_hosts(), MIN_HOSTS)
        budget.slack = self.slack * SLACK_FRACTION / hosts
        return budget
