"""Brings requests to answers, repeating what may be repeated."""

from collections.abc import Callable

from .attempts import MIN_LEFT_S, Attempts, frame
from .clock import boot_time
from .inbound import InboundCall, RejectionError, Responder
from .inventory import KnownTarget
from .logs import Logger
from .progress import Outcome, Placer, Progress, TryError
from .retries import WindowBudget
from .selection import Choice

# Sends of one request, those that targets rejected among them.
MAX_SENDS = 5
_BAD_GATEWAY = 502
_UNAVAILABLE = 503


class Proxy:
    """Sends requests to targets, repeating what may be repeated.

    Attributes
    ----------
    attempts : Attempts
    budget_of : callable
        The retry budget of a service.
    placer : Placer
    """

    def __init__(
        self,
        attempts: Attempts,
        budget_of: Callable[[str], WindowBudget],
        placer: Placer,
        log: Logger,
    ) -> None:
        self.attempts = attempts
        self.budget_of = budget_of
        self.placer = placer
        self.log = log

    async def serve(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        first: tuple[KnownTarget, Choice],
    ) -> Outcome:
        """Bring a request to an answer.

        Parameters
        ----------
        call : InboundCall
        responder : Responder
        progress : Progress
        first : (KnownTarget, Choice)
            Where to send it first.

        Raises
        ------
        RejectionError
            If this host has to answer it.
        """
        budget = self.budget_of(call.service)
        budget.count_request(boot_time())
        placed: tuple[KnownTarget, Choice] | None = first
        while placed is not None:
            try:
                return await self.attempts.run(
                    call,
                    responder,
                    progress,
                    placed,
                )
            except TryError as error:
                placed = await self._next(call, responder, progress, error)
                if placed is None and error.head is not None:
                    return await self._pass_failure(
                        responder,
                        progress,
                        error,
                    )
        return self._give_up(progress)

    async def _next(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
        error: TryError,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return where to send a request next, None if nowhere."""
        progress.last_reason = error.reason
        if error.has_run:
            progress.runs += 1
            progress.may_run = True
            if not call.route.is_repeatable:
                return None
            if progress.runs >= call.route.max_runs:
                return None
        if progress.sends >= MAX_SENDS:
            return None
        if call.deadline - boot_time() < MIN_LEFT_S:
            return None
        placed = self.placer.place(call, progress.avoided)
        is_arrival = error.reason != 'unreachable'
        if placed is None or not is_arrival:
            return placed
        if not self.budget_of(call.service).spend(boot_time()):
            self.log(
                'retry_budget_empty',
                request=call.request_id,
                service=call.service,
            )
            return None
        self.log(
            'request_retried',
            request=call.request_id,
            reason=error.reason,
            target=placed[0].name,
            runs=progress.runs,
        )
        return placed

    def _give_up(self, progress: Progress) -> Outcome:
        if progress.is_started:
            return Outcome(0, f'cut_{progress.last_reason}')
        if progress.may_run:
            raise RejectionError(_BAD_GATEWAY, progress.last_reason)
        raise RejectionError(_UNAVAILABLE, progress.last_reason)

    async def _pass_failure(
        self,
        responder: Responder,
        progress: Progress,
        error: TryError,
    ) -> Outcome:
        assert error.head is not None
        if progress.is_started:
            return Outcome(0, f'cut_{error.reason}')
        answer_headers = self.attempts.format.answer_headers(error.head)
        headers = frame(answer_headers, error.body)
        await responder.start(error.head.status, headers)
        progress.is_started = True
        await responder.send(error.body)
        await responder.finish()
        return Outcome(error.head.status, 'target_failed')
