"""Claims once-only calls in the log and records how they ended."""

from collections.abc import Callable
from dataclasses import dataclass
from types import TracebackType
from typing import Protocol

import anyio

from .answers import Refusal, RefusedError, refuse, unknown
from .appender import Ticket
from .exceptions import LogOutageError
from .logs import Logger
from .onceonly import (
    CallAbandoned,
    CallClaimed,
    CallFinished,
    Outcome,
    Verdict,
    call_key,
    check_call,
)
from .records import Body, Record
from .replica import Watcher
from .state import State
from .types import RunState, new_id

RETRY_AFTER_S = 1.0
# Two heartbeat periods, for a heartbeat and its echo, and a margin for a busy
# machine.
MAX_CATCH_UP_S = 1.5
CATCH_UP_POLL_S = 0.05
MAX_GIVEN_UP_CLAIMS = 10_000
_STATUS_CONFLICT = 409
_STATUS_GONE = 410
_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503

EnqueueRecord = Callable[[CallFinished | CallAbandoned], anyio.Event]


class LogAccess(Protocol):
    """The part of `Replica` that claims and the quarantine need."""

    state: State
    watchers: list[Watcher]

    async def append(self, body: Body) -> Ticket:
        """Append a record and wait until it is read back."""


@dataclass(slots=True, frozen=True)
class OnceRequest:
    """The values that identify a once-only call."""

    workspace: str
    entry: str
    idempotency_key: str
    digest: str


class Claim:
    """The right to run a call; settled in the log when the context is left.

    Attributes
    ----------
    record : CallClaimed
    enqueue_record : callable
        Queues the record that ends the claim.
    is_sent : bool
        Whether a byte of the call may have reached a target.
    outcome : Outcome or None
        Set once the whole answer was received.
    recorded : anyio.Event
        Set once the log has the record that ends the claim.
    """

    def __init__(
        self,
        record: CallClaimed,
        enqueue_record: EnqueueRecord,
    ) -> None:
        self.record = record
        self.enqueue_record = enqueue_record
        self.is_sent = False
        self.outcome: Outcome | None = None
        self.recorded = anyio.Event()

    def __enter__(self) -> 'Claim':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        names = (self.record.call_key, self.record.claim_id)
        if self.is_sent:
            self.recorded = self.enqueue_record(
                CallFinished(*names, self.outcome)
            )
        else:
            self.recorded = self.enqueue_record(CallAbandoned(*names))


class OnceCalls:
    """Claims once-only calls for this process.

    Attributes
    ----------
    is_alive : callable
        Returns whether a claimant, by name and incarnation, is known to be
        alive.
    is_current : callable
        Returns whether this host knows all claims made before a given time by
        its clock.
    given_up : dict of str to None
        Ids of claims whose append was not confirmed; their calls must not run.
    enqueue_record : callable
        Queues the record that ends a claim.
    """

    def __init__(
        self,
        replica: LogAccess,
        host: str,
        is_alive: Callable[[str], bool],
        is_current: Callable[[float], bool],
        enqueue_record: EnqueueRecord,
        log: Logger,
    ) -> None:
        self.replica = replica
        self.enqueue_record = enqueue_record
        self.host = host
        self.is_alive = is_alive
        self.is_current = is_current
        self.log = log
        self.given_up: dict[str, None] = {}
        replica.watchers.append(self.watch)

    async def claim(self, request: OnceRequest) -> Claim | Outcome:
        """Claim a call, or return its outcome if it has run before.

        Raises
        ------
        RefusedError
            If the call must not run at present.
        """
        received_at = anyio.current_time()
        known = self._find_outcome(request)
        if known is not None:
            return known
        record = self._make_claim(request)
        try:
            ticket = await self.replica.append(record)
        except LogOutageError as outage:
            self._give_up(record)
            is_current = await self._catch_up(received_at)
            # Another host's claim may have been read in the meantime.
            known = self._find_outcome(request)
            if known is None:
                raise self._refuse_unlogged(request, is_current) from outage
            return known
        except BaseException:
            # Cancelled: the log may hold the claim although the call will not
            # be run.
            self._give_up(record)
            raise
        if ticket.took_effect:
            return Claim(record, self.enqueue_record)
        known = self._find_outcome(request)
        if known is None:
            raise _lost_claim_refusal()
        return known

    def watch(self, _: int, record: Record, took_effect: bool) -> None:
        """Abandon a claim that was given up but has appeared in the log."""
        body = record.body
        if not isinstance(body, CallClaimed):
            return
        if body.claim_id in self.given_up:
            self.given_up.pop(body.claim_id)
            if took_effect:
                self.enqueue_record(CallAbandoned(body.call_key, body.claim_id))

    def _make_claim(self, request: OnceRequest) -> CallClaimed:
        return CallClaimed(
            call_key(request.workspace, request.idempotency_key),
            new_id(),
            request.workspace,
            request.entry,
            request.digest,
            self.host,
        )

    def _find_outcome(self, request: OnceRequest) -> Outcome | None:
        table = self.replica.state.once_only
        key = call_key(request.workspace, request.idempotency_key)
        verdict = check_call(table, key, request.digest, self.is_alive)
        if verdict == Verdict.unclaimed:
            return None
        outcome = table.calls[key].outcome
        if verdict != Verdict.finished or outcome is None:
            raise _refuse_claimed(verdict)
        if not outcome.is_kept:
            raise _unkept_refusal(outcome)
        return outcome

    async def _catch_up(self, since: float) -> bool:
        deadline = anyio.current_time() + MAX_CATCH_UP_S
        while not self.is_current(since):
            if anyio.current_time() >= deadline:
                return False
            await anyio.sleep(CATCH_UP_POLL_S)
        return True

    def _refuse_unlogged(
        self,
        request: OnceRequest,
        is_current: bool,
    ) -> RefusedError:
        self.log('claim_unanswered', entry=request.entry)
        # Another host may have run the same call while this host was cut off.
        make = refuse if is_current else unknown
        return make(
            'log_unavailable',
            _STATUS_UNAVAILABLE,
            'The call could not be recorded, so this request was not sent.',
            RETRY_AFTER_S,
        )

    def _give_up(self, record: CallClaimed) -> None:
        call = self.replica.state.once_only.calls.get(record.call_key)
        if call is not None and call.claim_id == record.claim_id:
            self.enqueue_record(CallAbandoned(record.call_key, record.claim_id))
            return
        self.given_up[record.claim_id] = None
        if len(self.given_up) > MAX_GIVEN_UP_CLAIMS:
            self.given_up.pop(next(iter(self.given_up)))


def _refuse_claimed(verdict: Verdict) -> RefusedError:
    if verdict == Verdict.conflict:
        return refuse(
            'idempotency_conflict',
            _STATUS_CONFLICT,
            'This Idempotency-Key was used with another request.',
        )
    if verdict == Verdict.in_progress:
        return unknown(
            'call_in_progress',
            _STATUS_CONFLICT,
            'A call with this Idempotency-Key runs now.',
            RETRY_AFTER_S,
        )
    return unknown(
        'outcome_unknown',
        _STATUS_BAD_GATEWAY,
        'An earlier call with this Idempotency-Key may have run.',
    )


def _unkept_refusal(outcome: Outcome) -> RefusedError:
    return RefusedError(
        Refusal(
            'answer_not_kept',
            _STATUS_GONE,
            f'The call ran with status {outcome.status}; '
            'its answer is no longer kept.',
            RunState.ran,
        )
    )


def _lost_claim_refusal() -> RefusedError:
    return refuse(
        'claim_lost',
        _STATUS_UNAVAILABLE,
        'The call could not be claimed and was not sent.',
        RETRY_AFTER_S,
    )
