"""Admits, holds or rejects the requests of a host.

Made for overload with requests of several ranks and workspaces. A request for
which no target has headroom waits here, where it can be withdrawn and others
can go first, and not in the engine's queue.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import anyio

from ..clock import boot_time
from ..inbound import AdmittedRequest, RejectionError
from ..inventory import KnownTarget
from ..logs import Logger
from ..metrics import Metrics
from ..routetable import EngineSpec
from ..selection import Choice
from .cuts import Cuts
from .holding import HeldRequest, Holding
from .retrytimes import spread_retry_s
from .room import (
    ADMITTED,
    HELD,
    NO_ROOM,
    Cause,
    Judgement,
    Situation,
    Verdict,
    judge,
    max_hold_s,
)

# Interval between two examinations of the held requests. Loads of other hosts
# change several times in a digest period.
RECHECK_S = 0.025
# Held requests wake one by one. Examinations that follow each other within
# this time would see the same loads.
MIN_RECHECK_S = 0.01
_UNAVAILABLE = 503


class Selector(Protocol):
    """Selects the target to which a request would be sent now."""

    @property
    def engine_of(self) -> Callable[[str], EngineSpec | None]:
        """Returns the engines of a service."""

    def select(
        self,
        request: AdmittedRequest,
        avoided: set[str],
        *,
        is_trial: bool = False,
    ) -> tuple[KnownTarget, Choice] | None:
        """Return the best target and its choice, or None."""


@dataclass(slots=True)
class Gate:
    """Admits, holds or rejects the requests of a host.

    Attributes
    ----------
    selector : Selector
    holding : Holding
    cuts : Cuts
    examined_at : float
        When the held requests were last examined.
    """

    selector: Selector
    holding: Holding
    log: Logger
    metrics: Metrics
    rng: random.Random = field(default_factory=random.Random)
    cuts: Cuts = field(default_factory=Cuts)
    examined_at: float = 0

    async def wait_for_room(self, request: AdmittedRequest) -> None:
        """Return once a target has headroom for a request.

        Raises
        ------
        RejectionError
            If none has any, nor is due to have it in time.
        """
        judgement, cause = self._judge(request, 0)
        if self._is_cut(request, cause):
            judgement = NO_ROOM
        elif judgement is ADMITTED and self.holding.precedes(request):
            judgement = HELD
        if judgement.verdict is Verdict.hold:
            held = HeldRequest(request, boot_time(), cause)
            judgement = await self._hold(held)
        if judgement.verdict is Verdict.reject:
            left_s = request.deadline - boot_time()
            raise RejectionError(
                _UNAVAILABLE,
                judgement.reason,
                spread_retry_s(judgement.retry_after_s, left_s, self.rng),
            )

    def examine(self) -> None:
        """Judge the held requests again, as when a request has ended."""
        now = boot_time()
        self.examined_at = now

        def judge_one(held: HeldRequest) -> Judgement:
            return self._judge(held.request, now - held.begun_at)[0]

        self.holding.examine(judge_one)

    def note_ended(self) -> None:
        """Examine the held requests, since a request has ended."""
        if self.holding.requests:
            self.examine()

    def _is_cut(self, request: AdmittedRequest, cause: Cause) -> bool:
        """Return whether to turn away a request of a workspace at once.

        It then leaves its place to workspaces that are within their share.
        """
        engine = self.selector.engine_of(request.service)
        if engine is None or not engine.has_terms or not request.workspace:
            return False
        kind = request.service, request.rank
        excess = self.holding.excess_of(request.workspace.name)
        if excess <= 1:
            self.cuts.note(*kind, has_room=cause is Cause.nothing)
            return False
        is_cut = self.rng.random() < self.cuts.share(*kind, excess)
        if is_cut:
            self.metrics.count('requests_cut_total', rank=str(request.rank))
            self.log(
                'request_cut',
                request=request.request_id,
                workspace=request.workspace.name,
                rank=request.rank,
                excess=excess,
            )
        return is_cut

    async def _hold(self, held: HeldRequest) -> Judgement:
        displaced = self.holding.add(held)
        if displaced is not None:
            displaced.settle(NO_ROOM)
        result = 'withdrawn'
        try:
            while not held.settled.is_set():
                with anyio.move_on_after(RECHECK_S):
                    await held.settled.wait()
                self._recheck(held)
            result = held.judgement.reason or 'admitted'
        finally:
            self.holding.discard(held)
            self._record(held, result)
        return held.judgement

    def _recheck(self, held: HeldRequest) -> None:
        is_recent = boot_time() - self.examined_at < MIN_RECHECK_S
        if not is_recent and not held.settled.is_set():
            self.examine()

    def _judge(
        self, request: AdmittedRequest, held_s: float
    ) -> tuple[Judgement, Cause]:
        """Return what becomes of a request, and what its target lacks."""
        engine = self.selector.engine_of(request.service)
        if engine is None or not engine.has_terms:
            return ADMITTED, Cause.nothing
        selected = self.selector.select(request, set())
        if selected is None:
            return ADMITTED, Cause.nothing
        now = boot_time()
        choice = selected[1]
        goal_s = request.route.goal_s
        judgement = judge(
            Situation(
                choice.shortage,
                choice.wait_s,
                now - request.received_at,
                held_s,
                max_hold_s(goal_s, self.holding.admitted_share(request)),
                goal_s,
                min(request.first_byte_timeout_s, request.deadline - now),
                request.rank == engine.ranks[0],
            )
        )
        return judgement, choice.shortage.cause

    def _record(self, held: HeldRequest, result: str) -> None:
        """Log and count how the holding of a request ended."""
        request = held.request
        held_s = boot_time() - held.begun_at
        if result != 'withdrawn':
            is_admitted = held.judgement is ADMITTED
            self.holding.note_result(request, is_admitted=is_admitted)
        rank = str(request.rank)
        self.metrics.count('requests_held_total', rank=rank, result=result)
        self.metrics.observe(
            'requests_held_seconds', held_s, rank=rank, result=result
        )
        self.log(
            'request_held',
            request=request.request_id,
            workspace=request.workspace.name if request.workspace else None,
            rank=request.rank,
            lacked=held.cause.value,
            for_s=held_s,
            result=result,
            held=len(self.holding.requests),
            admitted_share=self.holding.admitted_share(request),
        )
