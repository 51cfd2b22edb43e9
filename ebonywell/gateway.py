"""Serves requests: admission, limits, target selection and the answer."""

import math
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from .attempts import UNREACHABLE
from .clock import boot_time
from .crashguard import CRASHES_TARGETS, CrashGuard
from .headroom.arrivals import count_pauses, describe_pauses
from .headroom.gate import Gate
from .inbound import AdmittedRequest, Charge, RejectionError, Responder
from .intake import Intake, ReceivedRequest
from .inventory import KnownTarget
from .loadrequests import LoadRequests
from .logs import Logger
from .metrics import Metrics
from .modeldemand import HostDemand
from .overload import (
    ABSENT_RETRY_S,
    MAX_WAIT_SHARE,
    absent_retry_after_s,
    overload_retry_after_s,
)
from .peerforwarding import PeerForwarder
from .progress import Outcome, Progress, Verdict, make_truthful
from .proxying import MAX_SENDS, Proxy
from .selection import Choice
from .shutdown import STOPPING_RETRY_AFTER_S, Shutdown
from .targeting import TargetSelector, is_evacuated

# Interval between checks whether a model or an adapter has been loaded.
RECHECK_INTERVAL_S = 0.02
# If loading an adapter on the best target takes longer, the request goes to a
# target that already has it.
ADAPTER_WAIT_S = 0.25
# Reasons for which a request is passed on if this host reaches no target.
LINK_FAILURES = frozenset(
    (
        UNREACHABLE,
        'no_target',
        'silent',
        'broken',
        'model_absent',
        'model_not_coming',
    )
)
# Time for which a rejected request counts as demand for its model. Callers
# return within a third of the time that they have left.
MAX_RETURNING_S = 4.0
# Shortest time after which a caller retries a request held back by a limit.
MIN_LIMIT_RETRY_S = 0.1

_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504
_CLIENT_CLOSED = 499


@dataclass(slots=True)
class ActiveRequest:
    """A request in flight, and the scope that cancels it.

    Attributes
    ----------
    request : AdmittedRequest
    scope : CancelScope
    cancel_reason : str
        Reason that is reported if the scope is cancelled.
    rejection : RejectionError or None
        What the caller gets then, if the answer has not begun.
    """

    request: AdmittedRequest
    scope: anyio.CancelScope
    cancel_reason: str = 'timeout'
    rejection: RejectionError | None = None


@dataclass(slots=True)
class Gateway:
    """The request path of one host.

    Attributes
    ----------
    intake : Intake
    selector : TargetSelector
    proxy : Proxy
    charge : callable
        Charges a request to its workspace's limit, or raises
        `RejectionError`.
    load_requests : LoadRequests
        Sends load requests for missing models and adapters.
    demand : HostDemand
        Records which models are requested.
    guard : CrashGuard
        Holds back requests that crash targets.
    forwarder : PeerForwarder
        Passes requests on while this host reaches no target.
    shutdown : Shutdown
        State of the host's planned stop.
    active : dict of int to ActiveRequest
        Requests in flight, by the identity of the request object.
    gate : Gate or None
        Holds requests until a target has headroom; None to hold none.
    """

    intake: Intake
    selector: TargetSelector
    proxy: Proxy
    charge: Charge
    load_requests: LoadRequests
    demand: HostDemand
    guard: CrashGuard
    forwarder: PeerForwarder
    log: Logger
    metrics: Metrics
    shutdown: Shutdown = field(default_factory=Shutdown)
    active: dict[int, ActiveRequest] = field(default_factory=dict)
    gate: Gate | None = None

    async def serve(
        self,
        received: ReceivedRequest,
        responder: Responder,
        wait_disconnected: Callable[[], Awaitable[None]],
    ) -> None:
        """Serve a request until it is answered or its caller disconnects.

        Parameters
        ----------
        received : ReceivedRequest
        responder : Responder
        wait_disconnected : callable
            Returns once the caller has closed its connection.

        Raises
        ------
        RejectionError
            If this host rejects the request; nothing was sent to the caller.
        """
        progress = Progress()
        outcome = Outcome(0, 'cancelled')
        try:
            request = self._admit(received)
            outcome = await self._serve_in_time(
                request, responder, wait_disconnected, progress
            )
        except RejectionError as error:
            rejection = make_truthful(error, progress)
            outcome = Outcome(rejection.status, rejection.reason)
            _refund(progress, outcome)
            if rejection is error:
                raise
            raise rejection from error
        except Exception as error:
            outcome = self._log_internal_error(received, progress, error)
            _refund(progress, outcome)
            if not progress.is_started:
                raise RejectionError(outcome.status, outcome.reason) from error
        finally:
            self._record_end(received, progress, outcome)

    def abort(self) -> None:
        """Cancel all requests in flight when the host stops."""
        for active in self.active.values():
            active.cancel_reason = 'stopped'
            active.scope.cancel()

    def stop_quarantined(self) -> None:
        """Cancel requests that have been found to crash targets.

        Targets drop those that they have not begun to run.
        """
        for active in self.active.values():
            active.rejection = self.guard.find_rejection(active.request)
            if active.rejection is not None:
                active.cancel_reason = CRASHES_TARGETS
                active.scope.cancel()

    def _admit(self, received: ReceivedRequest) -> AdmittedRequest:
        request = self.intake.admit(received)
        if self.shutdown.may_serve(boot_time(), request.deadline):
            return request
        raise RejectionError(_UNAVAILABLE, 'stopping', STOPPING_RETRY_AFTER_S)

    async def _serve_in_time(
        self,
        request: AdmittedRequest,
        responder: Responder,
        wait_disconnected: Callable[[], Awaitable[None]],
        progress: Progress,
    ) -> Outcome:
        """Serve a request until its deadline or its caller's disconnection."""
        outcome: Outcome | None = None
        rejection: RejectionError | None = None
        disconnected = anyio.Event()
        left_s = request.deadline - boot_time()
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                await wait_disconnected()
                disconnected.set()
                group.cancel_scope.cancel()

            group.start_soon(watch)
            with anyio.move_on_after(max(0, left_s)) as scope:
                active = ActiveRequest(request, scope)
                self.active[id(request)] = active
                try:
                    outcome = await self._send(request, responder, progress)
                except RejectionError as error:
                    rejection = error
                finally:
                    self.active.pop(id(request), None)
            group.cancel_scope.cancel()
        if rejection is not None:
            raise rejection
        if disconnected.is_set() and outcome is None:
            return Outcome(_CLIENT_CLOSED, 'caller_gone')
        if outcome is None:
            return _end_cancelled(progress, active)
        return outcome

    async def _send(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
    ) -> Outcome:
        """Serve a request at a target, or at another host if none is reached.

        The other host charges the request, so this one does not.
        """
        if not self.forwarder.is_needed(request):
            try:
                return await self._send_to_target(request, responder, progress)
            except RejectionError as error:
                if not self._may_forward(request, progress, error.reason):
                    raise
            if progress.refund is not None and not progress.may_run:
                progress.refund()
                progress.refund = None
        return await self.forwarder.serve(request, responder, progress)

    def _may_forward(
        self, request: AdmittedRequest, progress: Progress, reason: str
    ) -> bool:
        """Return whether another host may serve a rejected request."""
        if progress.is_started or reason not in LINK_FAILURES:
            return False
        is_cut = self.forwarder.is_cut() or self.selector.is_unreachable(
            request
        )
        if not is_cut or not self.forwarder.can_forward(request):
            return False
        if not progress.may_run:
            return True
        is_allowed = (
            request.route.is_repeatable
            and progress.runs < request.route.max_runs
        )
        return is_allowed and self.proxy.budget_of(request.service).spend(
            boot_time()
        )

    async def _send_to_target(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
    ) -> Outcome:
        if request.resumes is not None:
            request = await self.proxy.attempts.origins.pin(request)
        progress.trial = await self.guard.admit(request)
        try:
            return await self._send_admitted(request, responder, progress)
        finally:
            self.guard.end_trial(progress.trial)

    async def _send_admitted(
        self,
        request: AdmittedRequest,
        responder: Responder,
        progress: Progress,
    ) -> Outcome:
        if request.workspace is not None:
            progress.refund = self.charge(request.workspace, request)
        if request.generation is not None:
            now = boot_time()
            model = request.generation.model
            cost = self.selector.paces.cost(request.service, model, now)
            self.demand.count_request(
                request.service, request.generation, now, cost
            )
        while True:
            selected = await self._find_target(
                request, is_trial=bool(progress.trial)
            )
            try:
                return await self.proxy.serve(
                    request,
                    responder,
                    progress,
                    selected,
                )
            except RejectionError as error:
                is_worthwhile = may_find_another(request, error.reason)
                if not is_worthwhile or progress.sends >= MAX_SENDS:
                    raise
            progress.avoided.clear()

    async def _find_target(
        self,
        request: AdmittedRequest,
        *,
        is_trial: bool = False,
    ) -> tuple[KnownTarget, Choice]:
        """Return the target for a request, waiting for a load if needed.

        Raises
        ------
        RejectionError
            If no target can answer the request in time.
        """
        await self._request_adapter(request)
        if self.gate and not is_trial and request.release is None:
            await self.gate.wait_for_room(request)
        selected = await self.selector.reserve(
            request, set(), is_trial=is_trial
        )
        if selected is None:
            self._check_limits(request)
            await self._wait_for_target(request)
            selected = await self.selector.reserve(
                request, set(), is_trial=is_trial
            )
        if selected is None:
            self._check_limits(request)
            raise RejectionError(_UNAVAILABLE, 'no_target', ABSENT_RETRY_S)
        max_first_byte_s = min(
            request.first_byte_timeout_s, request.deadline - boot_time()
        )
        retry_after_s = overload_retry_after_s(
            selected[1].wait_s, request.route.goal_s, max_first_byte_s
        )
        if retry_after_s and request.release is None:
            raise RejectionError(_UNAVAILABLE, 'overloaded', retry_after_s)
        return selected

    def _check_limits(self, request: AdmittedRequest) -> None:
        """Reject a request that only the limits of its targets hold back.

        Another target is asked to load the model meanwhile.
        """
        check_evacuated(self.selector, request)
        due_s = self.selector.limit_due_s(request)
        if due_s is None:
            return
        self.load_requests.request_load(request)
        raise RejectionError(
            _UNAVAILABLE, 'target_limit', max(due_s, MIN_LIMIT_RETRY_S)
        )

    async def _request_adapter(self, request: AdmittedRequest) -> None:
        """Request a missing adapter on the best target and wait briefly for it.

        If the adapter is not loaded in time, the request goes to a target
        that already has it.
        """
        generation = request.generation
        if generation is None or not generation.adapter:
            return
        best = self.selector.select_ignoring_adapter(request)
        if best is None:
            return
        known = best[0]
        with anyio.move_on_after(ADAPTER_WAIT_S):
            while not known.holds(generation.model, generation.adapter):
                if math.isinf(
                    self.load_requests.request_load(request, known.name)
                ):
                    return
                await anyio.sleep(RECHECK_INTERVAL_S)

    async def _wait_for_target(self, request: AdmittedRequest) -> None:
        """Send a load request, and wait if the load can finish in time."""
        max_first_byte_s = min(
            request.first_byte_timeout_s, request.deadline - boot_time()
        )
        wait_s = self.load_requests.request_load(request)
        if wait_s > max_first_byte_s * MAX_WAIT_SHARE:
            retry_after_s = max(
                ABSENT_RETRY_S, self.load_requests.left_s(request)
            )
            _count_returning(self.demand, request, retry_after_s)
            raise RejectionError(_UNAVAILABLE, 'model_absent', retry_after_s)
        if request.generation is None:
            return
        is_absent = self.load_requests.lacks_model(request)
        load_s = self.load_requests.expected_load_s(request)
        with self.demand.count_waiting(
            request.service,
            request.generation,
            is_absent=is_absent,
        ):
            started_at = boot_time()
            while not self.selector.list_eligible(request, set()):
                await anyio.sleep(RECHECK_INTERVAL_S)
                check_evacuated(self.selector, request)
                self.load_requests.request_load(request)
                is_loading = not is_absent or self.load_requests.is_loading(
                    request
                )
                retry_after_s = absent_retry_after_s(
                    boot_time() - started_at,
                    max_first_byte_s,
                    is_loading=is_loading,
                    spare_s=request.route.goal_s - load_s,
                    load_left_s=self.load_requests.left_s(request),
                )
                if retry_after_s:
                    _count_returning(self.demand, request, retry_after_s)
                    reason = 'no_target' if is_loading else 'model_not_coming'
                    raise RejectionError(_UNAVAILABLE, reason, retry_after_s)

    def _log_internal_error(
        self,
        received: ReceivedRequest,
        progress: Progress,
        error: Exception,
    ) -> Outcome:
        """Log an unexpected error and return the outcome of the request."""
        self.log(
            'request_failed',
            request=received.request_id,
            why=repr(error),
            trace=''.join(traceback.format_exception(error)),
        )
        if progress.is_started:
            return Outcome(0, 'cut_internal_error')
        status = _BAD_GATEWAY if progress.sends else _UNAVAILABLE
        return Outcome(status, 'internal_error')

    def _record_end(
        self,
        received: ReceivedRequest,
        progress: Progress,
        outcome: Outcome,
    ) -> None:
        if self.gate is not None:
            self.gate.note_ended()
        took_s = boot_time() - received.received_at
        self.metrics.count(
            'requests_total',
            status=str(outcome.status),
            reason=outcome.reason,
        )
        self.metrics.observe('request_seconds', took_s)
        count_pauses(self.metrics, progress.arrivals)
        generation = received.generation
        self.log(
            'request_ended',
            request=received.request_id,
            status=outcome.status,
            reason=outcome.reason,
            took_s=took_s,
            first_byte_s=progress.first_byte_s,
            sends=progress.sends,
            runs=progress.runs,
            may_run=progress.may_run,
            target=progress.target or None,
            model=generation.model if generation else None,
            version=self.intake.version,
            stop_age_s=self.shutdown.age_s(received.received_at),
            **describe_pauses(progress.arrivals),
        )


def check_evacuated(selector: TargetSelector, request: AdmittedRequest) -> None:
    """Reject a request that only targets of evacuated zones could serve."""
    if is_evacuated(selector.inventory, request):
        raise RejectionError(_UNAVAILABLE, 'evacuated', ABSENT_RETRY_S)


def may_find_another(request: AdmittedRequest, reason: str) -> bool:
    """Return whether to look for a target again after a rejection.

    If a target no longer has the model or adapter, another one may have it, or
    it may be loaded again. A stream that goes on at one release only may have
    lost the last target there that holds its model.
    """
    if reason == Verdict.absent.value:
        return True
    return request.release is not None and reason == UNREACHABLE


def _count_returning(
    demand: HostDemand, request: AdmittedRequest, retry_after_s: float
) -> None:
    """Count a rejected request as demand until its caller returns."""
    if request.generation is not None:
        demand.count_returning(
            request.service,
            request.generation,
            boot_time() + min(retry_after_s, MAX_RETURNING_S),
        )


def _refund(progress: Progress, outcome: Outcome) -> None:
    """Refund the charge of a request that is reported as not run."""
    if outcome.status == _UNAVAILABLE and progress.refund is not None:
        progress.refund()


def _end_cancelled(progress: Progress, active: ActiveRequest) -> Outcome:
    reason = active.cancel_reason
    if progress.is_started:
        return Outcome(0, f'cut_{reason}')
    if active.rejection is not None:
        raise active.rejection
    if progress.may_run:
        raise RejectionError(_GATEWAY_TIMEOUT, reason)
    raise RejectionError(_UNAVAILABLE, reason)
