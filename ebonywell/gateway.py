"""Takes requests through admission, limits, routing and to their answers."""

import math
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from .clock import boot_time
from .inbound import Charge, InboundCall, RejectionError, Responder
from .intake import Arrival, Intake
from .inventory import KnownTarget
from .logs import Logger
from .metrics import Metrics
from .modeldemand import DemandBook
from .overload import (
    ABSENT_RETRY_S,
    PATIENCE_SHARE,
    absent_refusal_s,
    refusal_s,
)
from .progress import Outcome, Progress, Verdict
from .proxying import MAX_SENDS, Proxy
from .selection import Choice
from .shutdown import STOPPING_RETRY_AFTER_S, Shutdown
from .targeting import Targeting, holder_name
from .wants import MODEL_S, Wants

# Between two looks at whether a model or an adapter has come to a target.
LOOK_GAP_S = 0.02
# An adapter that takes longer to come to the best target is used elsewhere.
ADAPTER_WAIT_S = 0.25
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_CLIENT_CLOSED = 499


@dataclass(slots=True)
class Active:
    """A request that is being served, and how to end it.

    Attributes
    ----------
    call : InboundCall
    scope : CancelScope
    ends_by : str
        The reason of its end if it does not end by itself.
    """

    call: InboundCall
    scope: anyio.CancelScope
    ends_by: str = 'timeout'


@dataclass(slots=True)
class Gateway:
    """The request path of one host.

    Attributes
    ----------
    intake : Intake
    targeting : Targeting
    proxy : Proxy
    charge : callable
        Takes a request's tokens from its workspace's limit, or raises.
    wants : Wants
        Asks for missing models and adapters.
    demand : DemandBook
    shutdown : Shutdown
        The host's planned stop.
    active : dict of int to Active
        Requests that are being served.
    """

    intake: Intake
    targeting: Targeting
    proxy: Proxy
    charge: Charge
    wants: Wants
    demand: DemandBook
    log: Logger
    metrics: Metrics
    shutdown: Shutdown = field(default_factory=Shutdown)
    active: dict[int, Active] = field(default_factory=dict)

    async def serve(
        self,
        arrival: Arrival,
        responder: Responder,
        wait_gone: Callable[[], Awaitable[None]],
    ) -> None:
        """Serve a request until it is answered or its caller has gone.

        Parameters
        ----------
        arrival : Arrival
        responder : Responder
        wait_gone : callable
            Returns once the caller has closed its connection.

        Raises
        ------
        RejectionError
            If this host answers it; nothing was sent to the caller.
        """
        progress = Progress()
        outcome = Outcome(0, 'cancelled')
        try:
            call = self._admit(arrival)
            outcome = await self._run(call, responder, wait_gone, progress)
        except RejectionError as error:
            outcome = Outcome(error.status, error.reason)
            _refund(progress, outcome)
            raise
        except Exception as error:
            outcome = self._note_failed(arrival, progress, error)
            _refund(progress, outcome)
            if not progress.is_started:
                raise RejectionError(outcome.status, outcome.reason) from error
        finally:
            self._note(arrival, progress, outcome)

    def abort(self) -> None:
        """End all requests that are still being served, for the stop."""
        for active in self.active.values():
            active.ends_by = 'stopped'
            active.scope.cancel()

    def _admit(self, arrival: Arrival) -> InboundCall:
        call = self.intake.admit(arrival)
        if self.shutdown.may_serve(boot_time(), call.deadline):
            return call
        raise RejectionError(_UNAVAILABLE, 'stopping', STOPPING_RETRY_AFTER_S)

    async def _run(
        self,
        call: InboundCall,
        responder: Responder,
        wait_gone: Callable[[], Awaitable[None]],
        progress: Progress,
    ) -> Outcome:
        """Serve a request within its deadline, as long as its caller stays."""
        outcome: Outcome | None = None
        rejection: RejectionError | None = None
        gone = anyio.Event()
        left_s = call.deadline - boot_time()
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                await wait_gone()
                gone.set()
                group.cancel_scope.cancel()

            group.start_soon(watch)
            with anyio.move_on_after(max(0, left_s)) as scope:
                active = Active(call, scope)
                self.active[id(call)] = active
                try:
                    outcome = await self._send(call, responder, progress)
                except RejectionError as error:
                    rejection = error
                finally:
                    self.active.pop(id(call), None)
            group.cancel_scope.cancel()
        if rejection is not None:
            raise rejection
        if gone.is_set() and outcome is None:
            return Outcome(_CLIENT_CLOSED, 'caller_gone')
        if outcome is None:
            return _cut(progress, active.ends_by)
        return outcome

    async def _send(
        self,
        call: InboundCall,
        responder: Responder,
        progress: Progress,
    ) -> Outcome:
        if call.workspace is not None:
            progress.refund = self.charge(call.workspace, call)
        if call.generation is not None:
            self.demand.note(call.service, call.generation, boot_time())
        while True:
            placed = await self._find_target(call)
            self._note_prefix(call, placed[0])
            try:
                return await self.proxy.serve(
                    call,
                    responder,
                    progress,
                    placed,
                )
            except RejectionError as error:
                # What a target lacked by the time it was asked may be had
                # elsewhere, or be brought.
                is_lacking = error.reason == Verdict.absent.value
                if not is_lacking or progress.sends >= MAX_SENDS:
                    raise
            progress.avoided.clear()

    def _note_prefix(self, call: InboundCall, known: KnownTarget) -> None:
        generation = call.generation
        if generation is not None:
            self.targeting.prefixes.note(
                known.name,
                holder_name(generation),
                generation.prefix,
            )

    async def _find_target(
        self,
        call: InboundCall,
    ) -> tuple[KnownTarget, Choice]:
        """Return where to send a request, once it can be anywhere.

        Raises
        ------
        RejectionError
            If no target can answer it in time.
        """
        await self._bring_adapter(call)
        placed = self.targeting.place(call, set())
        if placed is None:
            await self._wait_for_target(call)
            placed = self.targeting.place(call, set())
        if placed is None:
            raise RejectionError(_UNAVAILABLE, 'no_target', ABSENT_RETRY_S)
        patience_s = min(call.patience_s, call.deadline - boot_time())
        pause_s = refusal_s(placed[1].wait_s, call.route.goal_s, patience_s)
        if pause_s:
            raise RejectionError(_UNAVAILABLE, 'overloaded', pause_s)
        return placed

    async def _bring_adapter(self, call: InboundCall) -> None:
        """Have an adapter brought to the target that suits best.

        Where that fails, the request goes to one that has the adapter.
        """
        generation = call.generation
        if generation is None or not generation.adapter:
            return
        best = self.targeting.place_anywhere(call)
        if best is None:
            return
        known = best[0]
        with anyio.move_on_after(ADAPTER_WAIT_S):
            while not known.holds(generation.model, generation.adapter):
                if math.isinf(self.wants.want(call, known.name)):
                    return
                await anyio.sleep(LOOK_GAP_S)

    async def _wait_for_target(self, call: InboundCall) -> None:
        """Ask for what is missing, and wait if it may come in time."""
        patience_s = min(call.patience_s, call.deadline - boot_time())
        wait_s = self.wants.want(call)
        if wait_s > patience_s * PATIENCE_SHARE:
            raise RejectionError(
                _UNAVAILABLE,
                'model_absent',
                min(wait_s, ABSENT_RETRY_S),
            )
        if call.generation is None:
            return
        is_absent = wait_s >= MODEL_S
        with self.demand.waiting(
            call.service,
            call.generation,
            is_absent=is_absent,
        ):
            began_at = boot_time()
            while not self.targeting.able(call, set()):
                await anyio.sleep(LOOK_GAP_S)
                self.wants.want(call)
                is_coming = not is_absent or self.wants.is_coming(call)
                pause_s = absent_refusal_s(
                    boot_time() - began_at,
                    patience_s,
                    is_coming=is_coming,
                )
                if pause_s:
                    reason = 'no_target' if is_coming else 'model_not_coming'
                    raise RejectionError(_UNAVAILABLE, reason, pause_s)

    def _note_failed(
        self,
        arrival: Arrival,
        progress: Progress,
        error: Exception,
    ) -> Outcome:
        """Log an error that nobody expected, and return what it means."""
        self.log(
            'request_failed',
            request=arrival.request_id,
            why=repr(error),
            trace=''.join(traceback.format_exception(error)),
        )
        if progress.is_started:
            return Outcome(0, 'cut_internal_error')
        status = _BAD_GATEWAY if progress.sends else _UNAVAILABLE
        return Outcome(status, 'internal_error')

    def _note(
        self,
        arrival: Arrival,
        progress: Progress,
        outcome: Outcome,
    ) -> None:
        took_s = boot_time() - arrival.received_at
        self.metrics.count(
            'requests_total',
            status=str(outcome.status),
            reason=outcome.reason,
        )
        self.metrics.observe('request_seconds', took_s)
        generation = arrival.generation
        self.log(
            'request_ended',
            request=arrival.request_id,
            status=outcome.status,
            reason=outcome.reason,
            took_s=took_s,
            first_byte_s=progress.first_byte_s,
            sends=progress.sends,
            runs=progress.runs,
            target=progress.target or None,
            model=generation.model if generation else None,
            version=self.intake.version,
            stop_age_s=self.shutdown.age_s(arrival.received_at),
        )


def _refund(progress: Progress, outcome: Outcome) -> None:
    """Take the charge back of a request that was said not to have run."""
    if outcome.status == _UNAVAILABLE and progress.refund is not None:
        progress.refund()


def _cut(progress: Progress, reason: str) -> Outcome:
    if progress.is_started:
        return Outcome(0, f'cut_{reason}')
    if progress.may_run or progress.is_pending:
        raise RejectionError(_GATEWAY_TIMEOUT, reason)
    raise RejectionError(_UNAVAILABLE, reason)
