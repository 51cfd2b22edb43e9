"""When a failed call may be tried again, and how many retries in all."""

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
# All hosts together must keep the bounds, although hosts may join while others
# have used their parts, and two windows count requests differently.
SLACK_FRACTION = 0.7
RATIO_FRACTION = 0.95
# Into so many parts the slack is divided before other hosts are known.
MIN_HOSTS = 8


class Failure(enum.StrEnum):
    """How a try failed."""

    not_run = 'not_run'
    broken = 'broken'


class GiveUp(enum.StrEnum):
    """Why a call is not tried again."""

    may_have_run = 'may_have_run'
    answer_begun = 'answer_begun'
    too_many_tries = 'too_many_tries'
    deadline = 'deadline'
    budget = 'budget'


@dataclass(slots=True)
class RetryBudget:
    """Keeps retries to a share of the requests, save for the first few.

    In any history retries are at most ``max(INITIAL_RETRIES, RETRY_RATIO * n)``
    for `n` requests; no more than `MAX_SAVED_RETRIES` are saved up.

    Attributes
    ----------
    balance : float
        How many retries may be made now.
    uncredited_requests : float
        Requests that add nothing yet, since their retries were free.
    """

    balance: float = INITIAL_RETRIES
    uncredited_requests: float = INITIAL_RETRIES / RETRY_RATIO

    def count_request(self) -> None:
        """Add what one more request allows."""
        if self.uncredited_requests >= 1:
            self.uncredited_requests -= 1
            return
        saved = self.balance + RETRY_RATIO
        self.balance = min(saved, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry, and say whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


@dataclass(slots=True, frozen=True)
class FailedAttempt:
    """A try that failed, and the call that it belongs to.

    Attributes
    ----------
    failure : Failure
    attempts : int
        Made so far, this one included.
    is_repeatable : bool
    is_started : bool
        Whether the caller has been sent anything.
    deadline : float
        In seconds by the process's clock.
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
    """Return how long to wait before the next try, or why there is none.

    Parameters
    ----------
    failed : FailedAttempt
    budget : RetryBudget
        Charged if the call is to be tried again.
    now : float
        In seconds by the process's clock.
    rng : random.Random
        Spreads the retries of calls that failed together.

    Returns
    -------
    float or GiveUp
        A pause in seconds.
    """
    final = _final_reason(failed)
    if final is not None:
        return final
    pause_s = backoff_s(failed.attempts, rng)
    if now + pause_s >= failed.deadline:
        return GiveUp.deadline
    return pause_s if budget.spend() else GiveUp.budget


def backoff_s(attempts: int, rng: random.Random) -> float:
    """Return a random pause whose bound doubles with each try."""
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
    """Retries of one service in a sliding window, this host's part of them.

    All hosts together may make `ratio` times the requests, and `slack` on
    top, in any window; each host counts its own requests and has an even part
    of the slack.

    Attributes
    ----------
    window_s : float
    ratio : float
    slack : float
        This host's part.
    requests, retries : deque of float
        When they were made.
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
        """Add what one more request allows."""
        self.requests.append(now)
        self._expire(now)

    def spend(self, now: float) -> bool:
        """Take one retry, and say whether there was one."""
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
    """What each service's retries may be on this host.

    Attributes
    ----------
    window_s, ratio, slack : float
        The bounds over all hosts together.
    count_hosts : callable
        How many hosts may be alive.
    by_service : dict of str to WindowBudget
    """

    window_s: float
    ratio: float
    slack: float
    count_hosts: Callable[[], int]
    by_service: dict[str, WindowBudget] = field(default_factory=dict)

    def for_service(self, service: str) -> WindowBudget:
        """Return a service's budget, with the slack divided as of now."""
        budget = self.by_service.get(service)
        if budget is None:
            budget = WindowBudget(self.window_s, self.ratio * RATIO_FRACTION, 0)
            self.by_service[service] = budget
        hosts = max(self.count_hosts(), MIN_HOSTS)
        budget.slack = self.slack * SLACK_FRACTION / hosts
        return budget
