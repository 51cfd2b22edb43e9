"""Records the history of a run and checks the invariants of the system."""

from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Any

import msgspec

from .arrivals import CallKind
from .callers import Observation, Outcome

WITHDRAWAL_DEADLINE_S = 3.0
DRAIN_DEADLINE_S = 3.0
# Allows for the clock difference between caller and target and for a reply in
# transit.
CLOCK_MARGIN_S = 0.5


class Received(msgspec.Struct):
    """Call that a target received from a caller.

    Attributes
    ----------
    target : str
    path : str
    headers : dict of str to str
    body : str
    received_at : float
        Time in seconds since the epoch.
    """

    target: str
    path: str
    headers: dict[str, str]
    body: str
    received_at: float

    @property
    def request_id(self) -> str:
        """The id that the entry process assigned to the call."""
        return self.headers.get('x-request-id', '')


class Withdrawal(msgspec.Struct):
    """Withdrawal of a key by an operator.

    Attributes
    ----------
    key_id : str
    at : float
        When the operator command completed, in seconds since the epoch.
    """

    key_id: str
    at: float


class TargetDrain(msgspec.Struct):
    """Period in which a target reported that it was draining.

    Attributes
    ----------
    target : str
    at, until : float
        Start and end, in seconds since the epoch.
    """

    target: str
    at: float
    until: float


class PlannedStop(msgspec.Struct):
    """Planned stop of an entry process.

    Attributes
    ----------
    name : str
    address : str
    began_at, ended_at : float
        Time in seconds since the epoch.
    exit_code : int
    """

    name: str
    address: str
    began_at: float
    ended_at: float
    exit_code: int


class Freeze(msgspec.Struct):
    """Period in which an entry process was frozen by SIGSTOP.

    Attributes
    ----------
    address : str
        The ip:port on which the process serves callers.
    began_at, ended_at : float
        Time in seconds since the epoch.
    """

    address: str
    began_at: float
    ended_at: float


class Step(msgspec.Struct):
    """Injected fault.

    Attributes
    ----------
    name : str
    began_at, ended_at : float
        Time in seconds since the epoch.
    """

    name: str
    began_at: float
    ended_at: float


class Race(msgspec.Struct):
    """Concurrent operator changes to one record, based on one revision.

    Attributes
    ----------
    accepted : list of float
        The rates set by the accepted changes.
    final : float
        The rate that each entry process reports after the race.
    """

    accepted: list[float]
    final: list[float]


class History(msgspec.Struct):
    """Events of a run, as callers, targets and operators saw them.

    Attributes
    ----------
    observations : list of Observation
    received : list of Received
    withdrawals : list of Withdrawal
    leavings : list of TargetDrain
    stops : list of PlannedStop
    races : list of Race
    freezes : list of Freeze
    steps : list of Step
    keys : list of str
        All API keys that were issued.
    logs : dict of str to str
        The log text of each entry process, by name.
    """

    observations: list[Observation] = []
    received: list[Received] = []
    withdrawals: list[Withdrawal] = []
    leavings: list[TargetDrain] = []
    stops: list[PlannedStop] = []
    races: list[Race] = []
    freezes: list[Freeze] = []
    steps: list[Step] = []
    keys: list[str] = []
    logs: dict[str, str] = {}


Check = Callable[[History], Iterator[str]]


def add_journal(
    history: History,
    target: str,
    lines: list[dict[str, Any]],
) -> None:
    """Add the lines of a target's answer to ``GET /journal``."""
    history.received.extend(
        Received(
            target,
            line['path'],
            line['headers'],
            line['body'],
            line['received_at'],
        )
        for line in lines
    )


def find_violations(history: History) -> list[str]:
    """Return one sentence for each violated invariant."""
    return [
        f'{name}: {violation}'
        for name, check in CHECKS.items()
        for violation in check(history)
    ]


def check_at_most_once(history: History) -> Iterator[str]:
    """Yield the orders that targets received more than once in total."""
    for marker in _markers(history, CallKind.order):
        runs = [
            line.target
            for line in history.received
            if line.target.startswith('orders') and marker in line.body
        ]
        if len(runs) > 1:
            yield f'{marker} ran at {runs}'


def check_not_run(history: History) -> Iterator[str]:
    """Yield the calls that reached a target but were reported as not run."""
    received = {line.request_id: line.target for line in history.received}
    for observation in history.observations:
        if (
            observation.run_state == 'not_run'
            and observation.request_id in received
        ):
            target = received[observation.request_id]
            yield f'{observation.marker} ({observation.code}) reached {target}'


def check_key_hidden(history: History) -> Iterator[str]:
    """Yield the calls and logs that expose the key of a caller."""
    for line in history.received:
        shown = f'{line.path} {line.headers} {line.body}'
        if any(key in shown for key in history.keys):
            yield f'{line.target} saw a key on {line.path}'
    for name, text in history.logs.items():
        if any(key in text for key in history.keys):
            yield f'{name} logged a key'


def check_own_answers(history: History) -> Iterator[str]:
    """Yield the calls that got the complete answer of another call."""
    for observation in history.observations:
        if observation.outcome == Outcome.answered and not observation.is_own:
            yield f'{observation.marker} got another answer'


def check_withdrawn(history: History) -> Iterator[str]:
    """Yield the calls that a withdrawn key started or kept open too late.

    A frozen process cannot end calls. Answers that it sent before the freeze
    may reach the caller meanwhile, so its time to end calls starts at the end
    of the freeze.
    """
    withdrawn_at = {one.key_id: one.at for one in history.withdrawals}
    for observation in history.observations:
        key_withdrawn_at = withdrawn_at.get(observation.key_id)
        if key_withdrawn_at is None or observation.outcome != Outcome.answered:
            continue
        effective_at = _effective_from(
            history, observation.address, key_withdrawn_at
        )
        deadline = effective_at + WITHDRAWAL_DEADLINE_S + CLOCK_MARGIN_S
        if observation.started_at > deadline:
            yield f'{observation.marker} was let in with a withdrawn key'
        elif observation.ended_at > deadline:
            yield f'{observation.marker} went on with a withdrawn key'


def check_planned_stops(history: History) -> Iterator[str]:
    """Yield the planned stops that failed and the calls that they cut off."""
    for stop in history.stops:
        if stop.exit_code:
            yield f'{stop.name} exited with {stop.exit_code}'
        for seen in history.observations:
            if _is_cut_by(stop, seen):
                yield f'{stop.name} cut {seen.marker}: {seen.code}'


def check_leaving(history: History) -> Iterator[str]:
    """Yield the calls that a draining target received too late."""
    for leaving in history.leavings:
        since = leaving.at + DRAIN_DEADLINE_S + CLOCK_MARGIN_S
        for line in history.received:
            if line.target != leaving.target:
                continue
            if since < line.received_at < leaving.until:
                yield f'{line.target} got {line.request_id} while leaving'


def check_races(history: History) -> Iterator[str]:
    """Yield the races with several accepted changes or a lost change."""
    for race in history.races:
        if len(race.accepted) > 1:
            yield f'{race.accepted} were all accepted for one revision'
        if race.accepted and set(race.final) != set(race.accepted):
            yield f'{race.accepted} was accepted, but {race.final} is in force'


CHECKS: MappingProxyType[str, Check] = MappingProxyType(
    {
        'at_most_once': check_at_most_once,
        'not_run': check_not_run,
        'key_hidden': check_key_hidden,
        'own_answers': check_own_answers,
        'withdrawn': check_withdrawn,
        'planned_stops': check_planned_stops,
        'leaving': check_leaving,
        'races': check_races,
    }
)


def _effective_from(
    history: History, address: str, withdrawn_at: float
) -> float:
    for freeze in history.freezes:
        is_frozen = freeze.began_at <= withdrawn_at <= freeze.ended_at
        if freeze.address == address and is_frozen:
            return freeze.ended_at
    return withdrawn_at


def _markers(history: History, kind: CallKind) -> set[str]:
    return {
        observation.marker
        for observation in history.observations
        if observation.kind == kind
    }


def _is_cut_by(stop: PlannedStop, observation: Observation) -> bool:
    if (
        observation.address != stop.address
        or observation.started_at > stop.ended_at
    ):
        return False
    is_cut = observation.outcome in {Outcome.cut, Outcome.lost}
    return is_cut and observation.ended_at >= stop.began_at
