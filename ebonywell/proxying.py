"""Proxies requests to targets, with retries where they are allowed."""

from collections.abc import Callable
from dataclasses import replace

import anyio

from .attempts import (
    EVACUATED,
    MIN_LEFT_S,
    UNREACHABLE,
    Attempts,
    add_content_length,
)
from .blame import NO_TRAITS
from .clock import boot_time
from .crashdetector import SETTLE_TIMEOUT_S, Breakage
from .crashguard import CrashGuard
from .inbound import AdmittedRequest, RejectionError, Responder
from .inventory import KnownTarget
from .logs import Logger
from .peerforwarding import PeerForwarder
from .progress import AttemptError, Outcome, Progress, Selector
from .retries import WindowBudget
from .selection import Choice

# Maximum number of times that a request is sent, including those that targets
# rejected.
MAX_SENDS = 5
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class Proxy:
    """Sends requests to targets, with retries where they are allowed.

    Attributes
    ----------
    attempts : Attempts
    budget_of : callable
        Returns the retry budget of a service.
    selector : Selector
    guard : CrashGuard
    forwarder : PeerForwarder
    """

    def __init__(
        self,
        attempts: Attempts,
        budget_of: Callable[[str], WindowBudget],
        selector: Selector,
        guard: CrashGuard,
        forwarder: PeerForwarder,
        log: Logger,
    ) -> None:
        self.attempts = attempts
        self.budget_of = budget_of
        self.selector = selector
        self.guard = guard
        self.forwarder = forwarder
        self.log = log

    async def serve(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        first: tuple[KnownTarget, Choice],
    ) -> Outcome:
        """Send a request, with retries, until it is answered.

        Parameters
        ----------
        request : AdmittedRequest
        responder : Responder
        progress : Progress
        first : (KnownTarget, Choice)
            Target of the first attempt.

        Raises
        ------
        RejectionError
            If all attempts failed and nothing was sent to the caller.
        """
        budget = self.budget_of(request.service)
        budget.count_request(boot_time())
        selected: tuple[KnownTarget, Choice] | None = first
        while selected is not None:
            try:
                return await self.attempts.run(
                    request,
                    responder,
                    progress,
                    selected,
                )
            except AttemptError as error:
                if progress.release is not None:
                    request = replace(request, release=progress.release)
                selected = await self._select_next(
                    request, responder, progress, error
                )
                if selected is None and error.head is not None:
                    return await self._forward_failure(
                        responder,
                        progress,
                        error,
                    )
        return self._give_up(progress)

    async def _select_next(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
        error: AttemptError,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the target of the next attempt, None if there is none."""
        progress.last_reason = error.reason
        if error.has_run:
            progress.runs += 1
            if not request.route.is_repeatable:
                return None
            if progress.runs >= request.route.max_runs:
                return None
        is_over = request.deadline - boot_time() < MIN_LEFT_S
        is_over = is_over or progress.sends >= MAX_SENDS
        if is_over or self.forwarder.is_needed(request):
            return None
        if not await self._readmit(request, progress):
            return None
        selected = await self.selector.reserve(
            request, progress.avoided, is_trial=bool(progress.trial)
        )
        was_reached = error.reason not in {EVACUATED, UNREACHABLE}
        if selected is None or not was_reached:
            return selected
        if not self.budget_of(request.service).spend(boot_time()):
            self.log(
                'retry_budget_empty',
                request=request.request_id,
                service=request.service,
            )
            return None
        self.log(
            'request_retried',
            request=request.request_id,
            reason=error.reason,
            target=selected[0].name,
            runs=progress.runs,
        )
        return selected

    async def _readmit(
        self, request: AdmittedRequest, progress: Progress
    ) -> bool:
        """Wait until a request whose attempt failed may be sent once more.

        Returns
        -------
        bool
            False if it must not be sent again, after a part of its answer.

        Raises
        ------
        RejectionError
            If it must not be sent again, before any part of its answer.
        """
        if progress.breakage is None:
            return True
        await self._wait_settled(request, progress.breakage)
        progress.breakage = None
        self.guard.end_trial(progress.trial)
        progress.trial = NO_TRAITS
        try:
            progress.trial = await self.guard.admit(request)
        except RejectionError as error:
            if not progress.is_started:
                raise
            progress.last_reason = error.reason
            return False
        return True

    async def _wait_settled(
        self, request: AdmittedRequest, breakage: Breakage
    ) -> None:
        """Wait until it is known whether the target of an attempt crashed.

        The wait leaves half of the time to the deadline for the repeat.
        """
        left_s = request.deadline - boot_time()
        with anyio.move_on_after(min(SETTLE_TIMEOUT_S, left_s / 2)):
            await breakage.settled.wait()
        if not breakage.settled.is_set():
            self.log(
                'breakage_unsettled',
                request=request.request_id,
                target=breakage.target.name,
                open_s=boot_time() - breakage.crash.noted_at,
            )

    def _give_up(self, progress: Progress) -> Outcome:
        if progress.is_started:
            return Outcome(0, f'cut_{progress.last_reason}')
        if progress.may_run:
            raise RejectionError(_BAD_GATEWAY, progress.last_reason)
        raise RejectionError(_UNAVAILABLE, progress.last_reason)

    async def _forward_failure(
        self,
        responder: Responder,
        progress: Progress,
        error: AttemptError,
    ) -> Outcome:
        assert error.head is not None
        if progress.is_started:
            return Outcome(0, f'cut_{error.reason}')
        answer_headers = self.attempts.format.answer_headers(error.head)
        headers = add_content_length(answer_headers, error.body)
        await responder.start(error.head.status, headers)
        progress.is_started = True
        await responder.send(error.body)
        await responder.finish()
        return Outcome(error.head.status, 'target_failed')
