"""Makes calls as callers do, and records what came of each."""

import enum
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from .arrivals import CallKind
from .client import Answer, Client, ClientError, Stream, bearer
from .engine_answers import expected_words

_STATUS_OK = 200
_DATA_PREFIX = b'data: '
_DONE_EVENT = b'[DONE]'


class Outcome(enum.StrEnum):
    """How a call ended for its caller."""

    answered = 'answered'
    refused = 'refused'
    cut = 'cut'
    lost = 'lost'


class Observation(msgspec.Struct):
    """What a caller saw of one call.

    Attributes
    ----------
    marker : str
        Stands in the call's body or path, different for each call.
    workspace : str
    kind : CallKind
    address : str
        The ip:port of the entry process.
    key_id : str
    started_at : float
        Seconds since the epoch, as all times.
    first_byte_at : float
        0 if nothing came.
    ended_at : float
    outcome : Outcome
        ``lost`` if the connection broke without a last word.
    status : int
    code : str
        Of the error, if there was one.
    run_state : str
        What the error says: ``not_run``, ``unknown`` or ``ran``.
    request_id : str
    is_own : bool
        Whether the answer is the one to this call, whole and in order.
    chunks : int
        Of a streamed answer.
    """

    marker: str
    workspace: str
    kind: CallKind
    address: str
    key_id: str = ''
    started_at: float = 0
    first_byte_at: float = 0
    ended_at: float = 0
    outcome: Outcome = Outcome.lost
    status: int = 0
    code: str = ''
    run_state: str = ''
    request_id: str = ''
    is_own: bool = False
    chunks: int = 0


@dataclass(slots=True)
class CallSpec:
    """One call to make.

    Attributes
    ----------
    kind : CallKind
    address : str
    workspace : str
    key : str
    marker : str
    key_id : str
    tokens : int
        Of a model's answer.
    """

    kind: CallKind
    address: str
    workspace: str
    key: str
    marker: str
    key_id: str = ''
    tokens: int = 8


class _Error(msgspec.Struct):
    code: str
    run_state: str = ''


class _Failure(msgspec.Struct):
    error: _Error


async def call(
    client: Client,
    spec: CallSpec,
    clock: Callable[[], float] = time.time,
) -> Observation:
    """Make a call and return what the caller saw of it."""
    seen = Observation(
        spec.marker,
        spec.workspace,
        spec.kind,
        spec.address,
        spec.key_id,
        started_at=clock(),
    )
    method, path, headers, body = _build_request(spec)
    url = f'http://{spec.address}{path}'
    try:
        async with client.stream(method, url, headers, body) as stream:
            await _read_answer(stream, spec, seen, clock)
    except ClientError:
        seen.outcome = Outcome.lost
    seen.ended_at = clock()
    return seen


def _build_request(spec: CallSpec) -> tuple[str, str, dict[str, str], Any]:
    headers = bearer(spec.key)
    if spec.kind == CallKind.stock:
        return 'GET', f'/v1/services/stock/coils/{spec.marker}', headers, None
    if spec.kind == CallKind.order:
        headers['idempotency-key'] = spec.marker
        body = {'coil': spec.marker, 'pieces': 40}
        return 'POST', '/v1/services/orders/cut', headers, body
    chat = {
        'model': _model(spec.kind),
        'messages': [{'role': 'user', 'content': _prompt(spec)}],
        'stream': spec.kind == CallKind.stream,
        'max_tokens': spec.tokens,
    }
    return 'POST', '/v1/chat/completions', headers, chat


def _model(kind: CallKind) -> str:
    return 'reconcile' if kind == CallKind.batch else 'quote'


def _prompt(spec: CallSpec) -> str:
    return f'price of coil {spec.marker} cut to length'


async def _read_answer(
    stream: Stream,
    spec: CallSpec,
    seen: Observation,
    clock: Callable[[], float],
) -> None:
    seen.status = stream.status
    seen.request_id = stream.headers.get('x-request-id', '')
    parts = []
    async for part in stream.chunks():
        seen.first_byte_at = seen.first_byte_at or clock()
        parts.append(part)
    body = b''.join(parts)
    is_ok = stream.status == _STATUS_OK
    if is_ok and spec.kind == CallKind.stream:
        _read_events(body, spec, seen)
    elif is_ok:
        answer = Answer(stream.status, stream.headers, body)
        seen.outcome = Outcome.answered
        seen.is_own = _is_expected_answer(answer, spec)
    else:
        _read_error(body, seen, Outcome.refused)


def _read_events(body: bytes, spec: CallSpec, seen: Observation) -> None:
    events = [
        line[len(_DATA_PREFIX) :]
        for line in body.split(b'\n')
        if line.startswith(_DATA_PREFIX)
    ]
    last = events[-1] if events else b''
    if last != _DONE_EVENT:
        _read_error(last, seen, Outcome.cut)
        return
    seen.chunks = len(events) - 1
    seen.outcome = Outcome.answered
    deltas = [msgspec.json.decode(event) for event in events[:-1]]
    text = ''.join(one['choices'][0]['delta']['content'] for one in deltas)
    seen.is_own = text == _expected_text(spec)


def _read_error(body: bytes, seen: Observation, outcome: Outcome) -> None:
    try:
        error = msgspec.json.decode(body, type=_Failure).error
    except msgspec.MsgspecError:
        # Neither an end nor a reason: the caller cannot know what happened.
        seen.outcome = Outcome.lost
        return
    seen.outcome = outcome
    seen.code = error.code
    seen.run_state = error.run_state


def _is_expected_answer(answer: Answer, spec: CallSpec) -> bool:
    try:
        said = answer.json()
    except ClientError:
        return False
    if spec.kind == CallKind.stock:
        return bool(said.get('path', '').endswith(f'/{spec.marker}'))
    if spec.kind == CallKind.order:
        return spec.marker in said.get('body', '')
    text = said['choices'][0]['message']['content']
    return bool(text == _expected_text(spec))


def _expected_text(spec: CallSpec) -> str:
    words = expected_words(_model(spec.kind), _prompt(spec), spec.tokens)
    return ''.join(words)
