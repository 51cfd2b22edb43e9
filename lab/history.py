"""The history of a run, and the checks of what must hold in it."""

from collections.abc import Callable, Iterator
from types import MappingProxyType
from typing import Any

import msgspec

from .arrivals import CallKind
from .callers import Observation, Outcome

WITHDRAWAL_DEADLINE_S = 3.0
DRAIN_DEADLINE_S = 3.0
# What a caller's clock and a target's may differ by, with a reply on its way.
CLOCK_MARGIN_S = 0.5


class Received(msgspec.Struct):
    """A caller's call that a target received.

    Attributes
    ----------
    target : str
    path : str
    headers : dict of str to str
    body : str
    received_at : float
        Seconds since the epoch.
    """

    target: str
    path: str
    headers: dict[str, str]
    body: str
    received_at: float

    @property
    def request_id(self) -> str:
        """The id that the entry process gave to the call."""
        return self.headers.get('x-request-id', '')


class Withdrawal(msgspec.Struct):
    """A key that an operator withdrew.

    Attributes
    ----------
    key_id : str
    at : float
        When the operator's command had ended, in seconds since the epoch.
    """

    key_id: str
    at: float


class TargetDrain(msgspec.Struct):
    """A target that said that it leaves; the time as in a withdrawal."""

    target: str
    at: float
    until: float


class PlannedStop(msgspec.Struct):
    """An entry process that was asked to stop.

    Attributes
    ----------
    name : str
    address : str
    began_at, ended_at : float
        Seconds since the epoch.
    exit_code : int
    """

    name: str
    address: str
    began_at: float
    ended_at: float
    exit_code: int


class Freeze(msgspec.Struct):
    """An entry process that was stopped and went on.

    Attributes
    ----------
    address : str
        Its ip:port for callers.
    began_at, ended_at : float
        Seconds since the epoch.
    """

    address: str
    began_at: float
    ended_at: float


class Step(msgspec.Struct):
    """A fault that was injected.

    Attributes
    ----------
    name : str
    began_at, ended_at : float
        Seconds since the epoch.
    """

    name: str
    began_at: float
    ended_at: float


class Race(msgspec.Struct):
    """Operators who changed the same thing for the same revision.

    Attributes
    ----------
    accepted : list of float
        The rate that each accepted change set.
    final : float
        The rate that every entry process shows in the end.
    """

    accepted: list[float]
    final: list[float]


class History(msgspec.Struct):
    """All that callers, targets and operators saw of a run.

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
    logs : dict of str to str
        What each entry process logged, by name.
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
    """Add what a target answered to ``GET /journal``."""
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
    """Return a sentence for each thing that does not hold."""
    return [
        f'{name}: {fault}'
        for name, check in CHECKS.items()
        for fault in check(history)
    ]


def check_at_most_once(history: History) -> Iterator[str]:
    """Yield the orders that more than one target, or one twice, received."""
    for marker in _markers(history, CallKind.order):
        runs = [
            line.target
            for line in history.received
            if line.target.startswith('orders') and marker in line.body
        ]
        if len(runs) > 1:
            yield f'{marker} ran at {runs}'


def check_not_run(history: History) -> Iterator[str]:
    """Yield the calls that a target received though they were "not run"."""
    received = {line.request_id: line.target for line in history.received}
    for seen in history.observations:
        if seen.run_state == 'not_run' and seen.request_id in received:
            target = received[seen.request_id]
            yield f'{seen.marker} ({seen.code}) reached {target}'


def check_key_hidden(history: History) -> Iterator[str]:
    """Yield the places where a caller's key stands but must not."""
    for line in history.received:
        shown = f'{line.path} {line.headers} {line.body}'
        if any(key in shown for key in history.keys):
            yield f'{line.target} saw a key on {line.path}'
    for name, text in history.logs.items():
        if any(key in text for key in history.keys):
            yield f'{name} logged a key'


def check_own_answers(history: History) -> Iterator[str]:
    """Yield the calls that were given something else as a whole answer."""
    for seen in history.observations:
        if seen.outcome == Outcome.answered and not seen.is_own:
            yield f'{seen.marker} got another answer'


def check_withdrawn(history: History) -> Iterator[str]:
    """Yield the calls that a withdrawn key still made, or kept open.

    A process that is frozen can end no call. What it had answered before may
    reach the caller meanwhile, and its time to stop runs from its end.
    """
    withdrawn_at = {one.key_id: one.at for one in history.withdrawals}
    for seen in history.observations:
        told_at = withdrawn_at.get(seen.key_id)
        if told_at is None or seen.outcome != Outcome.answered:
            continue
        told_at = _effective_from(history, seen.address, told_at)
        stops_at = told_at + WITHDRAWAL_DEADLINE_S + CLOCK_MARGIN_S
        if seen.started_at > stops_at:
            yield f'{seen.marker} was let in with a withdrawn key'
        elif seen.ended_at > stops_at:
            yield f'{seen.marker} went on with a withdrawn key'


def check_planned_stops(history: History) -> Iterator[str]:
    """Yield the planned stops that failed, and the calls that they cut."""
    for stop in history.stops:
        if stop.exit_code:
            yield f'{stop.name} exited with {stop.exit_code}'
        for seen in history.observations:
            if _is_cut_by(stop, seen):
                yield f'{stop.name} cut {seen.marker}: {seen.code}'


def check_leaving(history: History) -> Iterator[str]:
    """Yield the calls that a leaving target was still given."""
    for leaving in history.leavings:
        since = leaving.at + DRAIN_DEADLINE_S + CLOCK_MARGIN_S
        for line in history.received:
            if line.target != leaving.target:
                continue
            if since < line.received_at < leaving.until:
                yield f'{line.target} got {line.request_id} while leaving'


def check_races(history: History) -> Iterator[str]:
    """Yield the races that more than one operator won, or whose win is lost."""
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
    return {seen.marker for seen in history.observations if seen.kind == kind}


def _is_cut_by(stop: PlannedStop, seen: Observation) -> bool:
    if seen.address != stop.address or seen.started_at > stop.ended_at:
        return False
    is_cut = seen.outcome in {Outcome.cut, Outcome.lost}
    return is_cut and seen.ended_at >= stop.began_at
