"""Runs one call: admits it, picks a target, relays the answer."""

import math
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import msgspec

from .answers import Refusal, RefusedError, refuse, unknown
from .catalogue import Catalogue, is_approved
from .dispatch import Dispatcher, Exchange, Outgoing
from .edge import is_repeatable
from .exceptions import (
    TargetBrokenError,
    TargetRefusedError,
    TargetUnreachableError,
)
from .logs import Logger
from .messages import Call
from .reply import Headers, Reply
from .targets import Target
from .types import RunState, ServiceClass

MAX_TRIES = 3
_MIB = 1024 * 1024
MAX_ANSWER_BYTES = 8 * _MIB
STOP_POLL_S = 0.05
_STATUS_OK = 200
_STATUS_BAD = 400
_STATUS_BAD_GATEWAY = 502
_STATUS_UNAVAILABLE = 503
_STATUS_TIMEOUT = 504
_STATUS_UNAUTHORIZED = 401
_END_OF_EVENTS = b'data: [DONE]'
_RETRY_AFTER_S = 1.0
_INTERACTIVE_PRIORITY = b'0'
_BATCH_PRIORITY = b'10'
_HOP_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'transfer-encoding',
        b'content-length',
        b'date',
        b'server',
        b'x-request-id',
        b'x-not-run',
    )
)

Settle = Callable[[int], None]
Reserve = Callable[[Call], Awaitable[Settle]]
Choose = Callable[[Call, frozenset[str]], Target]


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
    """

    call: Call
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)
    cut: Refusal | None = None
    is_handed: bool = False
    used_tokens: int = 0
    target: str = ''


class Calls:
    """The calls of this process.

    Attributes
    ----------
    open : dict of str to OpenCall
        By request id.
    reserve : callable
        Takes a call's tokens from its workspace's limit or raises; returns
        what settles them.
    choose : callable
        Picks a target, given those tried already, or raises.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        choose: Choose,
        reserve: Reserve,
        log: Logger,
    ) -> None:
        self.dispatcher = dispatcher
        self.choose = choose
        self.reserve = reserve
        self.log = log
        self.open: dict[str, OpenCall] = {}

    async def run(self, ready: Callable[[], None]) -> None:
        """Own the connections to targets until cancelled."""
        async with self.dispatcher:
            ready()
            await anyio.sleep_forever()

    async def stop(self) -> None:
        """Wait until every open call has ended."""
        while self.open:
            await anyio.sleep(STOP_POLL_S)

    async def answer(self, call: Call, reply: Reply) -> None:
        """Run a call to its end and send the caller its answer."""
        opened = OpenCall(call)
        self.open[call.request_id] = opened
        opened.scope.deadline = call.deadline
        try:
            with opened.scope:
                await self._admit(opened, reply)
            if opened.scope.cancelled_caught:
                await reply.refuse(_cut_refusal(opened))
        finally:
            self.open.pop(call.request_id, None)

    def cut(self, is_cut: Callable[[Call], bool], refusal: Refusal) -> int:
        """Cut the open calls that a test picks, and say how many.

        Parameters
        ----------
        is_cut : callable
        refusal : Refusal
            Its `run_state` is replaced by each call's own.
        """
        count = 0
        for opened in list(self.open.values()):
            if opened.cut is None and is_cut(opened.call):
                opened.cut = refusal
                opened.scope.cancel()
                count += 1
        return count

    def cut_unapproved(self, catalogue: Catalogue) -> int:
        """Cut the open calls that the catalogue no longer allows."""
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
        tried: frozenset[str] = frozenset()
        _check_may_run(opened.call)
        for _ in range(MAX_TRIES):
            target = self.choose(opened.call, tried)
            tried |= {target.name}
            if await self._try(opened, target, reply):
                return
        raise _tries_refusal(opened)

    async def _try(
        self,
        opened: OpenCall,
        target: Target,
        reply: Reply,
    ) -> bool:
        try:
            await self._attempt(opened, target, reply)
        except (TargetUnreachableError, TargetRefusedError) as not_run:
            self._log_try(opened, target, not_run)
            return False
        except TargetBrokenError as broken:
            self._log_try(opened, target, broken)
            if reply.is_started or not is_repeatable(opened.call):
                raise _broken_refusal() from broken
            return False
        return True

    def _log_try(
        self,
        opened: OpenCall,
        target: Target,
        error: Exception,
    ) -> None:
        self.log(
            'try_failed',
            request=opened.call.request_id,
            target=target.name,
            reason=str(error),
        )

    async def _attempt(
        self,
        opened: OpenCall,
        target: Target,
        reply: Reply,
    ) -> None:
        opened.target = target.name
        was_handed = opened.is_handed
        used_before = opened.used_tokens
        opened.is_handed = True
        # All is charged until the target has said how much it was.
        opened.used_tokens = opened.call.tokens
        outgoing = _outgoing(opened.call)
        address = target.listed.address
        try:
            with _counted(target):
                async with self.dispatcher.exchange(
                    address,
                    outgoing,
                ) as exchange:
                    await _relay(opened, exchange, reply)
        except (TargetUnreachableError, TargetRefusedError):
            opened.is_handed = was_handed
            opened.used_tokens = used_before
            raise


def _check_may_run(call: Call) -> None:
    if not is_repeatable(call) and not call.idempotency_key:
        raise refuse(
            'idempotency_key_missing',
            _STATUS_BAD,
            'This call may not be repeated and needs an Idempotency-Key.',
        )


@contextmanager
def _counted(target: Target) -> Iterator[None]:
    target.in_flight += 1
    try:
        yield
    finally:
        target.in_flight -= 1


def _outgoing(call: Call) -> Outgoing:
    left_s = call.deadline - anyio.current_time()
    headers = [
        *call.headers,
        (b'host', b'target'),
        (b'content-length', str(len(call.body)).encode()),
        (b'x-request-id', call.request_id.encode()),
    ]
    if call.is_model:
        is_batch = call.entry.service_class == ServiceClass.batch
        priority = _BATCH_PRIORITY if is_batch else _INTERACTIVE_PRIORITY
        headers.append((b'x-ebonywell-priority', priority))
    return Outgoing(
        call.method,
        call.path,
        headers,
        call.body,
        max(left_s, math.ulp(1)),
    )


async def _relay(opened: OpenCall, exchange: Exchange, reply: Reply) -> None:
    if exchange.header(b'x-not-run'):
        raise TargetRefusedError(f'status {exchange.status}, not run')
    headers = [
        (name, content)
        for name, content in exchange.headers
        if name.lower() not in _HOP_HEADERS
    ]
    if opened.call.is_streamed and exchange.status == _STATUS_OK:
        await _relay_events(opened, exchange, headers, reply)
    else:
        await _relay_whole(opened, exchange, headers, reply)


async def _relay_events(
    opened: OpenCall,
    exchange: Exchange,
    headers: Headers,
    reply: Reply,
) -> None:
    tail = b''
    events = 0
    async for chunk in exchange.chunks():
        if not reply.is_started:
            await reply.start_events(exchange.status, headers)
        events += chunk.count(b'data: ')
        tail = (tail + chunk)[-2 * len(_END_OF_EVENTS) :]
        await reply.chunk(chunk)
    if _END_OF_EVENTS not in tail:
        raise TargetBrokenError('the stream ended before its end')
    opened.used_tokens = min(
        opened.call.prompt_tokens + events,
        opened.call.tokens,
    )
    await reply.end()


async def _relay_whole(
    opened: OpenCall,
    exchange: Exchange,
    headers: Headers,
    reply: Reply,
) -> None:
    parts: list[bytes] = []
    size = 0
    async for chunk in exchange.chunks():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise TargetBrokenError('the answer is too large')
        parts.append(chunk)
    body = b''.join(parts)
    opened.used_tokens = _used_tokens(opened.call, body)
    await reply.whole(exchange.status, headers, body)


class _Usage(msgspec.Struct):
    total_tokens: int


class _Answered(msgspec.Struct):
    usage: _Usage


def _used_tokens(call: Call, body: bytes) -> int:
    if not call.is_model:
        return call.tokens
    try:
        return msgspec.json.decode(body, type=_Answered).usage.total_tokens
    except msgspec.MsgspecError:
        return call.tokens


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
    reason = opened.cut or late
    state = RunState.unknown if opened.is_handed else RunState.not_run
    return msgspec.structs.replace(reason, run_state=state)


def _broken_refusal() -> RefusedError:
    return unknown(
        'target_broken',
        _STATUS_BAD_GATEWAY,
        'The target broke off; the call may have run.',
    )


def _tries_refusal(opened: OpenCall) -> RefusedError:
    make = unknown if opened.is_handed else refuse
    return make(
        'targets_failing',
        _STATUS_UNAVAILABLE,
        'Every target that was tried failed.',
        _RETRY_AFTER_S,
    )
