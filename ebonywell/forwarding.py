"""Converts requests for targets and forwards their answers to callers."""

import math
from typing import Protocol

import anyio
import msgspec

from .dispatch import REQUEST_ID, Exchange, OutgoingRequest
from .exceptions import TargetBrokenError, TargetRefusedError
from .messages import Call
from .reply import Headers
from .types import ServiceClass

MAX_ANSWER_BYTES = 8_388_608
_STATUS_OK = 200
_END_OF_EVENTS = b'data: [DONE]'
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
        REQUEST_ID,
        b'x-not-run',
    )
)


class AnswerReceiver(Protocol):
    """Receives an answer, whole or as a stream of events, such as `Reply`.

    Attributes
    ----------
    is_started : bool
        Whether any part of the answer has been sent to the caller.
    """

    is_started: bool

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Receive a whole answer."""

    async def start_events(self, status: int, headers: Headers) -> None:
        """Receive the status and headers of a stream of events."""

    async def chunk(self, part: bytes) -> None:
        """Receive a part of a stream."""

    async def end(self) -> None:
        """Receive the end of a stream."""


def make_outgoing(call: Call) -> OutgoingRequest:
    """Return a request in the form in which it is sent to a target."""
    left_s = call.deadline - anyio.current_time()
    headers = [
        *call.headers,
        (b'host', b'target'),
        (b'content-length', str(len(call.body)).encode()),
        (REQUEST_ID, call.request_id.encode()),
    ]
    if call.is_model:
        is_batch = call.entry.service_class == ServiceClass.batch
        priority = _BATCH_PRIORITY if is_batch else _INTERACTIVE_PRIORITY
        headers.append((b'x-ebonywell-priority', priority))
    return OutgoingRequest(
        call.method,
        call.path,
        headers,
        call.body,
        max(left_s, math.ulp(1)),
    )


async def relay(
    call: Call, exchange: Exchange, receiver: AnswerReceiver
) -> int:
    """Forward an answer and return how many tokens the request used.

    Raises
    ------
    TargetRefusedError
        If the target reports that the request has not run.
    TargetBrokenError
        If the answer is incomplete, or larger than `MAX_ANSWER_BYTES`.
    """
    if exchange.header(b'x-not-run'):
        raise TargetRefusedError(exchange.status)
    headers = [
        (name, content)
        for name, content in exchange.headers
        if name.lower() not in _HOP_HEADERS
    ]
    if call.is_streamed and exchange.status == _STATUS_OK:
        return await _relay_events(call, exchange, headers, receiver)
    return await _relay_whole(call, exchange, headers, receiver)


async def _relay_events(
    call: Call,
    exchange: Exchange,
    headers: Headers,
    receiver: AnswerReceiver,
) -> int:
    tail = b''
    events = 0
    async for chunk in exchange.chunks():
        if not receiver.is_started:
            await receiver.start_events(exchange.status, headers)
        events += chunk.count(b'data: ')
        tail = (tail + chunk)[-2 * len(_END_OF_EVENTS) :]
        await receiver.chunk(chunk)
    if _END_OF_EVENTS not in tail:
        raise TargetBrokenError('event stream ended without its [DONE] event')
    await receiver.end()
    return min(call.prompt_tokens + events, call.tokens)


async def _relay_whole(
    call: Call,
    exchange: Exchange,
    headers: Headers,
    receiver: AnswerReceiver,
) -> int:
    parts: list[bytes] = []
    size = 0
    async for chunk in exchange.chunks():
        size += len(chunk)
        if size > MAX_ANSWER_BYTES:
            raise TargetBrokenError('answer body exceeds MAX_ANSWER_BYTES')
        parts.append(chunk)
    body = b''.join(parts)
    await receiver.whole(exchange.status, headers, body)
    return _used_tokens(call, body)


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
