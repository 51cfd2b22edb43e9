"""Sends one request to targets, with retries, until one of them answers."""

import random
from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Protocol

import anyio

from .answers import Refusal, RefusedError, refuse, unknown
from .dispatch import Dispatcher
from .edge import is_repeatable
from .exceptions import (
    TargetBrokenError,
    TargetRefusedError,
    TargetUnreachableError,
)
from .forwarding import AnswerReceiver, make_outgoing, relay
from .logs import Logger
from .messages import Call
from .quarantine import Quarantine
from .retries import FailedAttempt, Failure, GiveUp, RetryBudget, decide
from .targets import Target
from .targetselector import Ending

_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503
_RETRY_AFTER_S = 1.0
_STATUS_NOT_FOUND = 404
_ENDINGS = MappingProxyType(
    {
        _STATUS_UNAVAILABLE: Ending.leaving,
        _STATUS_NOT_FOUND: Ending.not_loaded,
    }
)

Observe = Callable[[Target, Ending], None]


class AcquireSlot(Protocol):
    """Acquires slots on targets, such as `Admission.slot`."""

    def __call__(
        self,
        call: Call,
        avoided: frozenset[str],
        *,
        is_alone: bool = False,
    ) -> AbstractAsyncContextManager[Target]:
        """Hold a slot on a target, preferably one that is not avoided."""


@dataclass(slots=True)
class OpenCall:
    """A request that has not ended.

    Attributes
    ----------
    call : Call
    scope : anyio.CancelScope
        Cancelled to end the request early.
    cut_reason : Refusal or None
        Why the request was cancelled; None if it was not.
    is_sent : bool
        Whether bytes of the request may have reached a target.
    used_tokens : int
        Tokens to charge: those of the prompt and of the answer so far.
    target : str
        The target of the latest attempt.
    attempts : int
        The number of attempts so far.
    """

    call: Call
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    cut_reason: Refusal | None = None
    is_sent: bool = False
    used_tokens: int = 0
    target: str = ''
    attempts: int = 0


class CallAttempts:
    """Sends requests to targets, one attempt at a time.

    Attributes
    ----------
    acquire_slot : callable
        Acquires a slot on a target, given the targets to avoid, or raises
        RefusedError.
    observe : callable
        Receives how each exchange with a target ended.
    quarantine : Quarantine
        Limits the requests that are suspected of crashing targets.
    budget : RetryBudget
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        acquire_slot: AcquireSlot,
        observe: Observe,
        quarantine: Quarantine,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self.acquire_slot = acquire_slot
        self.observe = observe
        self.quarantine = quarantine
        self.log = log
        self.rng = rng
        self.budget = RetryBudget()

    async def run(self, opened: OpenCall, receiver: AnswerReceiver) -> None:
        """Send a request to targets until one of them answers.

        Raises
        ------
        RefusedError
            If the request is rejected or not retried any more.
        """
        self.budget.count_request()
        attempted: frozenset[str] = frozenset()
        while True:
            try:
                failure = await self._attempt_call(opened, attempted, receiver)
            except RefusedError as refused:
                raise _with_run_state(refused, opened) from refused
            if failure is None:
                return
            attempted |= {opened.target}
            await self._back_off(opened, failure, receiver)

    async def _attempt_call(
        self,
        opened: OpenCall,
        attempted: frozenset[str],
        receiver: AnswerReceiver,
    ) -> Failure | None:
        digest = opened.call.digest
        while await self.quarantine.wait_for_trial(digest):
            async with self.acquire_slot(
                opened.call, attempted, is_alone=True
            ) as target:
                trial = await self.quarantine.start_trial(digest, target.name)
                if trial:
                    return await self._run_trial(
                        opened, target, trial, receiver
                    )
        async with self.acquire_slot(opened.call, attempted) as target:
            return await self._attempt_on(opened, target, receiver)

    async def _run_trial(
        self,
        opened: OpenCall,
        target: Target,
        trial: str,
        receiver: AnswerReceiver,
    ) -> Failure | None:
        is_clear = False
        try:
            failure = await self._attempt_on(
                opened, target, receiver, is_trial=True
            )
            is_clear = failure is None
        finally:
            self.quarantine.end_trial(
                opened.call.digest,
                trial,
                is_clear=is_clear,
            )
        return failure

    async def _attempt_on(
        self,
        opened: OpenCall,
        target: Target,
        receiver: AnswerReceiver,
        *,
        is_trial: bool = False,
    ) -> Failure | None:
        incarnation = target.report.incarnation if target.report else ''
        try:
            await self._exchange(opened, target, receiver)
        except TargetUnreachableError as unreachable:
            self._log_failure(opened, unreachable)
            self.observe(target, Ending.unreachable)
            return Failure.not_run
        except TargetRefusedError as refused:
            self._log_failure(opened, refused)
            self.observe(target, _ENDINGS.get(refused.status, Ending.busy))
            return Failure.not_run
        except TargetBrokenError as broken:
            self._log_failure(opened, broken)
            self.observe(target, Ending.broken)
            crash = (opened.call.digest, target, incarnation)
            if receiver.is_started or not is_repeatable(opened.call):
                # There is no retry, so the caller gets the error without
                # waiting for the log.
                self.quarantine.enqueue_break(*crash, is_trial=is_trial)
            elif await self.quarantine.report_break(*crash, is_trial=is_trial):
                self.observe(target, Ending.unreachable)
            return Failure.broken
        self.observe(target, Ending.answered)
        return None

    async def _exchange(
        self,
        opened: OpenCall,
        target: Target,
        receiver: AnswerReceiver,
    ) -> None:
        opened.target = target.name
        opened.attempts += 1
        was_sent = opened.is_sent
        used_before = opened.used_tokens
        opened.is_sent = True
        # Everything that was reserved is charged until the target has
        # reported the tokens that it used.
        opened.used_tokens = opened.call.tokens
        outgoing = make_outgoing(opened.call)
        address = target.listed.address
        try:
            async with self.dispatcher.exchange(address, outgoing) as exchange:
                used = await relay(opened.call, exchange, receiver)
        except (TargetUnreachableError, TargetRefusedError):
            opened.is_sent = was_sent
            opened.used_tokens = used_before
            raise
        opened.used_tokens = used

    async def _back_off(
        self,
        opened: OpenCall,
        failure: Failure,
        receiver: AnswerReceiver,
    ) -> None:
        decided = decide(
            FailedAttempt(
                failure,
                opened.attempts,
                is_repeatable(opened.call),
                receiver.is_started,
                opened.call.deadline,
            ),
            self.budget,
            anyio.current_time(),
            self.rng,
        )
        if isinstance(decided, GiveUp):
            self.log(
                'call_given_up',
                request=opened.call.request_id,
                reason=decided,
            )
            raise _give_up_error(opened, decided)
        await anyio.sleep(decided)

    def _log_failure(self, opened: OpenCall, error: Exception) -> None:
        self.log(
            'try_failed',
            request=opened.call.request_id,
            target=opened.target,
            reason=str(error),
        )


def _with_run_state(refused: RefusedError, opened: OpenCall) -> RefusedError:
    reason = refused.refusal
    if not opened.is_sent:
        return refused
    return unknown(
        reason.code,
        reason.status,
        reason.message,
        reason.retry_after_s,
    )


def _give_up_error(opened: OpenCall, reason: GiveUp) -> RefusedError:
    if reason in {GiveUp.may_have_run, GiveUp.answer_begun}:
        return unknown(
            'target_broken',
            _STATUS_BAD_GATEWAY,
            'The target broke off; the call may have run.',
        )
    make = unknown if opened.is_sent else refuse
    return make(
        'targets_failing',
        _STATUS_UNAVAILABLE,
        f'Every target that was tried failed ({reason}).',
        _RETRY_AFTER_S,
    )
