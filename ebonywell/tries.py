"""Tries one call on targets until one of them answers."""

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
from .forwarding import Receiver, make_outgoing, relay
from .logs import Logger
from .messages import Call
from .placing import Ending
from .quarantine import Quarantine
from .retries import FailedTry, Failure, GiveUp, RetryBudget, decide
from .targets import Target

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


class Place(Protocol):
    """Gives slots on targets."""

    def __call__(
        self,
        call: Call,
        avoided: frozenset[str],
        *,
        is_alone: bool = False,
    ) -> AbstractAsyncContextManager[Target]:
        """Hold a slot on a target that is not avoided."""


@dataclass(slots=True)
class OpenCall:
    """A call that has not ended.

    Attributes
    ----------
    call : Call
    scope : anyio.CancelScope
        Cancelled to cut the call.
    cut : Refusal or None
        Why it was cut.
    is_handed : bool
        Whether bytes of it may have reached a target.
    used_tokens : int
        Those of the answer so far, with the prompt's.
    target : str
        The last target that it was sent to.
    tries : int
    """

    call: Call
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    cut: Refusal | None = None
    is_handed: bool = False
    used_tokens: int = 0
    target: str = ''
    tries: int = 0


class Tries:
    """Sends calls to targets.

    Attributes
    ----------
    place : callable
        Gives a slot on a target, given those to avoid, or raises
        RefusedError.
    observe : callable
        Told how each exchange with a target ended.
    budget : RetryBudget
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        place: Place,
        observe: Observe,
        quarantine: Quarantine,
        log: Logger,
        rng: random.Random,
    ) -> None:
        self.dispatcher = dispatcher
        self.place = place
        self.observe = observe
        self.quarantine = quarantine
        self.log = log
        self.rng = rng
        self.budget = RetryBudget()

    async def run(self, opened: OpenCall, receiver: Receiver) -> None:
        """Try a call until it is answered.

        Raises
        ------
        RefusedError
            If it is given up.
        """
        self.budget.count_request()
        tried: frozenset[str] = frozenset()
        while True:
            try:
                failure = await self._try_somewhere(opened, tried, receiver)
            except RefusedError as refused:
                raise _restated(refused, opened) from refused
            if failure is None:
                return
            tried |= {opened.target}
            await self._pause(opened, failure, receiver)

    async def _try_somewhere(
        self,
        opened: OpenCall,
        tried: frozenset[str],
        receiver: Receiver,
    ) -> Failure | None:
        digest = opened.call.digest
        while await self.quarantine.wait_for_trial(digest):
            async with self.place(opened.call, tried, is_alone=True) as target:
                trial = await self.quarantine.start_trial(digest, target.name)
                if trial:
                    return await self._hold_trial(
                        opened, target, trial, receiver
                    )
        async with self.place(opened.call, tried) as target:
            return await self._try(opened, target, receiver)

    async def _hold_trial(
        self,
        opened: OpenCall,
        target: Target,
        trial: str,
        receiver: Receiver,
    ) -> Failure | None:
        is_clear = False
        try:
            failure = await self._try(opened, target, receiver)
            is_clear = failure is None
        finally:
            self.quarantine.end_trial(
                opened.call.digest,
                trial,
                is_clear=is_clear,
            )
        return failure

    async def _try(
        self,
        opened: OpenCall,
        target: Target,
        receiver: Receiver,
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
                # The caller gets its answer now, whatever the log does.
                self.quarantine.enqueue_break(*crash)
            elif await self.quarantine.report_break(*crash):
                self.observe(target, Ending.unreachable)
            return Failure.broken
        self.observe(target, Ending.answered)
        return None

    async def _exchange(
        self,
        opened: OpenCall,
        target: Target,
        receiver: Receiver,
    ) -> None:
        opened.target = target.name
        opened.tries += 1
        was_handed = opened.is_handed
        used_before = opened.used_tokens
        opened.is_handed = True
        # All is charged until the target has said how much it was.
        opened.used_tokens = opened.call.tokens
        outgoing = make_outgoing(opened.call)
        address = target.listed.address
        try:
            async with self.dispatcher.exchange(address, outgoing) as exchange:
                used = await relay(opened.call, exchange, receiver)
        except (TargetUnreachableError, TargetRefusedError):
            opened.is_handed = was_handed
            opened.used_tokens = used_before
            raise
        opened.used_tokens = used

    async def _pause(
        self,
        opened: OpenCall,
        failure: Failure,
        receiver: Receiver,
    ) -> None:
        decided = decide(
            FailedTry(
                failure,
                opened.tries,
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
            raise _given_up(opened, decided)
        await anyio.sleep(decided)

    def _log_failure(self, opened: OpenCall, error: Exception) -> None:
        self.log(
            'try_failed',
            request=opened.call.request_id,
            target=opened.target,
            reason=str(error),
        )


def _restated(refused: RefusedError, opened: OpenCall) -> RefusedError:
    reason = refused.refusal
    if not opened.is_handed:
        return refused
    return unknown(
        reason.code,
        reason.status,
        reason.message,
        reason.retry_after_s,
    )


def _given_up(opened: OpenCall, reason: GiveUp) -> RefusedError:
    if reason in {GiveUp.may_have_run, GiveUp.answer_begun}:
        return unknown(
            'target_broken',
            _STATUS_BAD_GATEWAY,
            'The target broke off; the call may have run.',
        )
    make = unknown if opened.is_handed else refuse
    return make(
        'targets_failing',
        _STATUS_UNAVAILABLE,
        f'Every target that was tried failed ({reason}).',
        _RETRY_AFTER_S,
    )
