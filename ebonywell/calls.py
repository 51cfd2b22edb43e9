"""Runs requests: reserves their tokens, sends them and relays the answers."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio
import msgspec

from .answers import Refusal, RefusedError, refuse
from .bufferedanswer import BufferedAnswer, ClaimedCallRun
from .callattempts import CallAttempts, OpenCall
from .catalogue import Catalogue, is_approved
from .edge import is_repeatable
from .logs import Logger
from .messages import Call
from .oncecalls import OnceCalls, OnceRequest
from .onceonly import Outcome
from .reply import Reply
from .types import RunState

STOP_POLL_S = 0.05
MAX_QUEUED_CLAIMS = 10_000
RECORD_WAIT_S = 0.5
_STATUS_BAD = 400
_STATUS_TIMEOUT = 504
_STATUS_UNAUTHORIZED = 401

Settle = Callable[[int], None]
Reserve = Callable[[Call], Awaitable[Settle]]
OnEnded = Callable[[OpenCall, Reply, float], None]


class Calls:
    """Runs the requests of this process.

    Attributes
    ----------
    open : dict of str to OpenCall
        Requests whose callers wait for an answer, by request id.
    reserve : callable
        Reserves a request's tokens in its workspace's token bucket, or raises
        RefusedError. Returns a function that settles the tokens used.
    attempts : CallAttempts
    once : OnceCalls
    on_ended : callable
        Called with each request that has ended, its reply and its duration in
        seconds.
    claimed : dict of str to OpenCall
        Running requests that may not be repeated, by request id.
    """

    def __init__(
        self,
        attempts: CallAttempts,
        once: OnceCalls,
        reserve: Reserve,
        log: Logger,
    ) -> None:
        self.attempts = attempts
        self.once = once
        self.reserve = reserve
        self.log = log
        self.on_ended: OnEnded = _ignore_ended
        self.open: dict[str, OpenCall] = {}
        self.claimed: dict[str, OpenCall] = {}
        sender, receiver = anyio.create_memory_object_stream[ClaimedCallRun](
            MAX_QUEUED_CLAIMS,
        )
        self.claimed_sender = sender
        self.claimed_receiver = receiver

    async def run(self, ready: Callable[[], None]) -> None:
        """Keep the connections to targets and run claims until cancelled."""
        async with self.attempts.dispatcher, anyio.create_task_group() as group:
            ready()
            async for claimed in self.claimed_receiver:
                group.start_soon(self._run_claimed, claimed)

    async def stop(self) -> None:
        """Wait until every request has ended."""
        while self.open or self.claimed:
            await anyio.sleep(STOP_POLL_S)

    async def answer(self, call: Call, reply: Reply) -> None:
        """Run a request to its end and send the caller its answer."""
        opened = OpenCall(call)
        began = anyio.current_time()
        self.open[call.request_id] = opened
        opened.scope.deadline = call.deadline
        try:
            with opened.scope:
                await self._admit(opened, reply)
            if opened.scope.cancelled_caught:
                await reply.refuse(_cut_refusal(opened))
        finally:
            self.open.pop(call.request_id, None)
            self.on_ended(opened, reply, anyio.current_time() - began)

    def cut(self, is_cut: Callable[[Call], bool], refusal: Refusal) -> int:
        """Cancel open requests and return how many were cancelled.

        Parameters
        ----------
        is_cut : callable
            Returns whether a request is to be cancelled.
        refusal : Refusal
            The error that callers get, with `run_state` replaced by that of
            each request.
        """
        count = 0
        for opened in list(self.open.values()):
            if opened.cut_reason is None and is_cut(opened.call):
                opened.cut_reason = refusal
                opened.scope.cancel()
                count += 1
        if count:
            self.log('calls_cut', code=refusal.code, count=count)
        return count

    def abort(self, refusal: Refusal) -> None:
        """Cancel all requests, also those whose callers may have left."""
        self.cut(lambda _: True, refusal)
        for opened in self.claimed.values():
            opened.cut_reason = refusal
            opened.scope.cancel()

    def cut_unapproved(self, catalogue: Catalogue) -> int:
        """Cancel the open requests that the catalogue no longer allows."""
        return self.cut(
            lambda call: not _is_allowed(catalogue, call),
            Refusal(
                'key_withdrawn',
                _STATUS_UNAUTHORIZED,
                'The key or its approval has been withdrawn.',
            ),
        )

    async def _admit(self, opened: OpenCall, reply: Reply) -> None:
        try:
            settle = await self.reserve(opened.call)
        except RefusedError as refused:
            await reply.refuse(refused.refusal)
            return
        try:
            await self._run(opened, reply)
        except RefusedError as refused:
            self.log(
                'call_refused',
                request=opened.call.request_id,
                code=refused.refusal.code,
            )
            await reply.refuse(refused.refusal)
        finally:
            settle(opened.used_tokens)

    async def _run(self, opened: OpenCall, reply: Reply) -> None:
        call = opened.call
        _check_may_run(call)
        if is_repeatable(call):
            await self.attempts.run(opened, reply)
            return
        claimed = await self.once.claim(
            OnceRequest(
                call.workspace,
                call.entry.name,
                call.idempotency_key,
                call.digest,
            )
        )
        if isinstance(claimed, Outcome):
            await _replay(claimed, reply)
            return
        # The request continues when its caller disconnects, so that a repeat
        # of the request gets the answer. If this handler is cancelled from
        # here on, it is unknown whether the request ran.
        opened.is_sent = True
        opened.used_tokens = call.tokens
        held = BufferedAnswer()
        self.claimed_sender.send_nowait(ClaimedCallRun(claimed, call, held))
        await held.done.wait()
        opened.used_tokens = held.used_tokens
        await held.send_to(reply)

    async def _run_claimed(self, run: ClaimedCallRun) -> None:
        opened = OpenCall(replace(run.call, is_streamed=False))
        self.claimed[run.call.request_id] = opened
        opened.scope.deadline = run.call.deadline
        try:
            with run.claim:
                await self._hold_answer(opened, run)
            # Once the answer is recorded, a repeat on another host finds it.
            # The caller waits for that only briefly if the log is slow.
            with anyio.move_on_after(RECORD_WAIT_S):
                await run.claim.recorded.wait()
        finally:
            self.claimed.pop(run.call.request_id)
            run.answer.finish(_cut_refusal(opened), opened.used_tokens)

    async def _hold_answer(self, opened: OpenCall, run: ClaimedCallRun) -> None:
        try:
            with opened.scope:
                await self.attempts.run(opened, run.answer)
                run.claim.outcome = run.answer.outcome()
        except RefusedError as refused:
            run.answer.refusal = refused.refusal
        finally:
            run.claim.is_sent = opened.is_sent


def _ignore_ended(opened: OpenCall, reply: Reply, seconds: float) -> None:
    """Ignore a request that has ended, the default of `Calls.on_ended`."""


def _check_may_run(call: Call) -> None:
    if not is_repeatable(call) and not call.idempotency_key:
        raise refuse(
            'idempotency_key_missing',
            _STATUS_BAD,
            'This call may not be repeated and needs an Idempotency-Key.',
        )


async def _replay(outcome: Outcome, reply: Reply) -> None:
    headers = [
        (b'content-type', outcome.content_type.encode()),
        (b'idempotent-replayed', b'true'),
    ]
    await reply.whole(outcome.status, headers, outcome.body)


def _is_allowed(catalogue: Catalogue, call: Call) -> bool:
    entry = catalogue.entries.get(call.entry.name)
    if entry is None:
        return False
    if entry.open:
        return True
    key = catalogue.keys.get(call.key_digest)
    if key is None or key.withdrawn:
        return False
    return is_approved(catalogue, key.workspace, entry.name)


def _cut_refusal(opened: OpenCall) -> Refusal:
    late = Refusal(
        'deadline_exceeded',
        _STATUS_TIMEOUT,
        'The call took longer than its deadline.',
    )
    reason = opened.cut_reason or late
    state = RunState.unknown if opened.is_sent else RunState.not_run
    return msgspec.structs.replace(reason, run_state=state)
