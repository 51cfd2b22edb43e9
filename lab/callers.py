"""Makes calls as a caller does and records the result of each."""

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
    """How a call ended, as the caller sees it."""

    answered = 'answered'
    refused = 'refused'
    cut = 'cut'
    lost = 'lost'


class Observation(msgspec.Struct):
    """Result of one call, as the caller sees it.

    Attributes
    ----------
    marker : str
        A unique text in the body or path of the call.
    workspace : str
    kind : CallKind
    address : str
        The ip:port of the entry process.
    key_id : str
        The id of the API key that the call used.
    started_at : float
        Time in seconds since the epoch, like all times here.
    first_byte_at : float
        0 if nothing was received.
    ended_at : float
    outcome : Outcome
        ``lost`` if the connection broke without an end marker or an error.
    status : int
    code : str
        The code of the error, if there was one.
    run_state : str
        The run state in the error: ``not_run``, ``unknown`` or ``ran``.
    request_id : str
    is_own : bool
        Whether the answer belongs to this call, complete and in order.
    chunks : int
        The number of chunks of a streamed answer.
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
    """Description of one call to make.

    Attributes
    ----------
    kind : CallKind
    address : str
        The ip:port of the entry process.
    workspace : str
    key : str
        The API key.
    marker : str
        A unique text for the body or path of the call.
    key_id : str
    tokens : int
        The maximum number of tokens in the answer of a model.
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
    """Make a call and return its result as the caller sees it."""
    observation = Observation(
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
            await _read_answer(stream, spec, observation, clock)
    except ClientError:
        observation.outcome = Outcome.lost
    observation.ended_at = clock()
    return observation


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
    observation: Observation,
    clock: Callable[[], float],
) -> None:
    observation.status = stream.status
    observation.request_id = stream.headers.get('x-request-id', '')
    parts = []
    async for part in stream.chunks():
        observation.first_byte_at = observation.first_byte_at or clock()
        parts.append(part)
    body = b''.join(parts)
    is_ok = stream.status == _STATUS_OK
    if is_ok and spec.kind == CallKind.stream:
        _read_events(body, spec, observation)
    elif is_ok:
        answer = Answer(stream.status, stream.headers, body)
        observation.outcome = Outcome.answered
        observation.is_own = _is_expected_answer(answer, spec)
    else:
        _read_error(body, observation, Outcome.refused)


def _read_events(body: bytes, spec: CallSpec, observation: Observation) -> None:
    events = [
        line[len(_DATA_PREFIX) :]
        for line in body.split(b'\n')
        if line.startswith(_DATA_PREFIX)
    ]
    last = events[-1] if events else b''
    if last != _DONE_EVENT:
        _read_error(last, observation, Outcome.cut)
        return
    observation.chunks = len(events) - 1
    observation.outcome = Outcome.answered
    deltas = [msgspec.json.decode(event) for event in events[:-1]]
    text = ''.join(delta['choices'][0]['delta']['content'] for delta in deltas)
    observation.is_own = text == _expected_text(spec)


def _read_error(
    body: bytes, observation: Observation, outcome: Outcome
) -> None:
    try:
        error = msgspec.json.decode(body, type=_Failure).error
    except msgspec.MsgspecError:
        # Without an end marker and an error, the outcome is unknown to the
        # caller.
        observation.outcome = Outcome.lost
        return
    observation.outcome = outcome
    observation.code = error.code
    observation.run_state = error.run_state


def _is_expected_answer(answer: Answer, spec: CallSpec) -> bool:
    try:
        parsed = answer.json()
    except ClientError:
        return False
    if spec.kind == CallKind.stock:
        return bool(parsed.get('path', '').endswith(f'/{spec.marker}'))
    if spec.kind == CallKind.order:
        return spec.marker in parsed.get('body', '')
    text = parsed['choices'][0]['message']['content']
    return bool(text == _expected_text(spec))


def _expected_text(spec: CallSpec) -> str:
    words = expected_words(_model(spec.kind), _prompt(spec), spec.tokens)
    return ''.join(words)
