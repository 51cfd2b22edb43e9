"""What targets state about themselves in the heads of their answers.

A statement is about one incarnation of a target. It holds until a newer answer
states something else, or until the incarnation ends. Hosts tell each other of
statements, since an answer reaches one of them only.

The module is pure. It is designed for targets that state a limit suddenly
while all hosts send them requests, and for answers that overtake each other.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

Incarnation = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Statement:
    """What one answer says about its target.

    Attributes
    ----------
    rate_limit : float or None
        Requests per second that the target takes from all hosts together, None
        if it states no limit.
    """

    rate_limit: float | None = None


NOTHING_STATED = Statement()


@dataclass(slots=True, frozen=True)
class Notice:
    """What one answer asks of the host that gets it.

    Attributes
    ----------
    is_leaving : bool
        Whether the target takes no new requests, as it is about to leave.
    pause_s : float
        Time in seconds for which it wants no request from this host.
    max_rejections : float or None
        Requests a second that it can reject for want of room; more of them make
        it fall over. None if any number will do.
    """

    is_leaving: bool = False
    pause_s: float = 0
    max_rejections: float | None = None


NO_NOTICE = Notice()
# Bound for pauses that targets ask for by mistake; they end with the target.
MAX_PAUSE_S = 3600.0
# Rejections of a target that may fall over are counted over a second.
MIN_BRITTLE_PAUSE_S = 1.0
# Longest pause of hosts whose own requests were not rejected.
MAX_SHARED_PAUSE_S = 1.0
# Pause before a target that may not reject at all is tried again.
MAX_BRITTLE_PAUSE_S = 30.0


@dataclass(slots=True, frozen=True)
class KnownStatement:
    """A statement, and when a host received it.

    Attributes
    ----------
    statement : Statement
    received_at : float
        Time in seconds, by the clock of this process.
    """

    statement: Statement
    received_at: float


@dataclass(slots=True)
class Statements:
    """Newest statements of targets that have stated anything.

    Attributes
    ----------
    known : dict of (str, int) to KnownStatement
        Keyed by incarnation. A withdrawn statement stays, so that an older one
        that arrives later has no effect.
    """

    known: dict[Incarnation, KnownStatement] = field(default_factory=dict)

    def get(self, incarnation: Incarnation) -> Statement:
        """Return what a target states about itself."""
        found = self.known.get(incarnation)
        return NOTHING_STATED if found is None else found.statement

    def note_answer(
        self,
        incarnation: Incarnation,
        statement: Statement,
        sent_at: float,
        received_at: float,
    ) -> bool:
        """Record the statement of an answer; return whether that is a change.

        An answer withdraws a limit only if its request was sent after the
        limit was stated. The target may have begun an earlier answer before.
        """
        found = self.known.get(incarnation)
        if found is None and statement == NOTHING_STATED:
            return False
        if found is not None and statement.rate_limit is None:
            if sent_at <= found.received_at:
                return False
        return self.merge(incarnation, statement, received_at)

    def merge(
        self,
        incarnation: Incarnation,
        statement: Statement,
        received_at: float,
    ) -> bool:
        """Record a statement of a given age; return whether it is a change."""
        found = self.known.get(incarnation)
        if found is not None and found.received_at >= received_at:
            return False
        self.known[incarnation] = KnownStatement(statement, received_at)
        before = NOTHING_STATED if found is None else found.statement
        return statement != before

    def retain(self, incarnations: Iterable[Incarnation]) -> None:
        """Forget the statements of all incarnations except these."""
        for gone in self.known.keys() - set(incarnations):
            self.known.pop(gone)


def read_pause(value: str) -> float:
    """Return the pause that a target asks for, in seconds.

    Raises
    ------
    ValueError
        If it is not a number, or is negative or not finite.
    """
    pause_s = float(value)
    if not math.isfinite(pause_s) or pause_s < 0:
        raise ValueError(f'not a pause: {value!r}')
    return min(pause_s, MAX_PAUSE_S)


def brittle_pause_s(max_rejections: float | None, hosts: int) -> float:
    """Return for how long a host leaves a target alone that rejected it.

    If each host has one request rejected in that time, the target rejects no
    more than it can bear.

    Parameters
    ----------
    max_rejections : float or None
        Requests a second that the target can reject; None if any number.
    hosts : int
        Hosts that send it requests.
    """
    if max_rejections is None:
        return 0
    if max_rejections * MAX_BRITTLE_PAUSE_S <= hosts:
        return MAX_BRITTLE_PAUSE_S
    return max(MIN_BRITTLE_PAUSE_S, hosts / max_rejections)


def shared_pause_s(max_rejections: float) -> float:
    """Return for how long all hosts leave a target that has rejected one.

    If one request is rejected after each such pause, the target rejects no more
    than it can bear.

    Parameters
    ----------
    max_rejections : float
        Requests a second that the target can reject.
    """
    return MAX_SHARED_PAUSE_S / max(max_rejections, 1)


def read_rate(values: Iterable[str]) -> float | None:
    """Return the least of the rates that a target states, in one per second.

    Raises
    ------
    ValueError
        If a value is not a number, or is negative or not finite.
    """
    rates = [float(one) for one in values]
    if any(not math.isfinite(one) or one < 0 for one in rates):
        raise ValueError(f'not a rate: {rates}')
    return min(rates, default=None)
