"""Authenticates and validates HTTP requests of callers."""

import anyio
from starlette.requests import Request

from . import messages
from .answers import RefusedError, refuse
from .catalogue import Catalogue, Key, find_key, is_approved, key_digest
from .changes import Entry
from .types import EntryKind

SERVICE_CALL_TOKENS = 1
_STATUS_BAD = 400
_STATUS_UNAUTHORIZED = 401
_STATUS_FORBIDDEN = 403
_STATUS_NOT_FOUND = 404
_STATUS_TOO_LARGE = 413
_BEARER = 'bearer '
_IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
# Request headers that are not forwarded: they apply to this hop only, or could
# contain a caller's key.
_HIDDEN_HEADERS = frozenset(
    (
        b'authorization',
        b'proxy-authorization',
        b'cookie',
        b'x-api-key',
        b'host',
        b'connection',
        b'keep-alive',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
        b'accept-encoding',
        b'idempotency-key',
        b'x-request-id',
        b'x-ebonywell-priority',
    )
)


def read_key(request: Request) -> str:
    """Return the key in a request's Authorization header, empty if missing."""
    header = request.headers.get('authorization', '')
    if not header.lower().startswith(_BEARER):
        return ''
    return header[len(_BEARER) :].strip()


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Return the whole body of a request.

    Raises
    ------
    RefusedError
        If the body is larger than `max_bytes`.
    """
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > max_bytes:
            raise refuse(
                'body_too_large',
                _STATUS_TOO_LARGE,
                f'The body is larger than {max_bytes} bytes.',
            )
        parts.append(part)
    return b''.join(parts)


def authorize(catalogue: Catalogue, key: str, entry: Entry) -> Key | None:
    """Check that a key may be used to call an entry.

    Returns
    -------
    Key or None
        The key's catalogue record; None if the entry is open to all.

    Raises
    ------
    RefusedError
        If the key is missing, unknown or withdrawn, or if its workspace has
        no approval for the entry.
    """
    if entry.open:
        return None
    record = authenticate(catalogue, key)
    if not is_approved(catalogue, record.workspace, entry.name):
        raise refuse(
            'not_approved',
            _STATUS_FORBIDDEN,
            f'Workspace {record.workspace} has no approval for {entry.name}.',
        )
    return record


def authenticate(catalogue: Catalogue, key: str) -> Key:
    """Return the catalogue record of a valid key.

    Raises
    ------
    RefusedError
        If the key is missing, unknown or withdrawn.
    """
    if not key:
        raise refuse('key_missing', _STATUS_UNAUTHORIZED, 'No key was sent.')
    record = find_key(catalogue, key)
    if record is None:
        raise refuse('key_unknown', _STATUS_UNAUTHORIZED, 'The key is unknown.')
    if record.withdrawn:
        raise refuse(
            'key_withdrawn',
            _STATUS_UNAUTHORIZED,
            'The key has been withdrawn.',
        )
    return record


def find_entry(catalogue: Catalogue, name: str, kind: EntryKind) -> Entry:
    """Return an entry of the catalogue.

    Raises
    ------
    RefusedError
        If the catalogue has no entry of that name and kind.
    """
    entry = catalogue.entries.get(name)
    if entry is None or entry.kind != kind:
        raise refuse(
            'entry_unknown',
            _STATUS_NOT_FOUND,
            f'The catalogue has no {kind} {name!r}.',
        )
    return entry


async def read_chat_call(
    request: Request,
    catalogue: Catalogue,
    max_bytes: int,
    request_id: str,
    deadline_s: float,
) -> messages.Call:
    """Validate a request of the OpenAI chat API.

    Raises
    ------
    RefusedError
        If the request is invalid or not allowed; nothing has run then.
    """
    key = read_key(request)
    authenticate_unless_open(catalogue, key)
    body = await read_body(request, max_bytes)
    chat = messages.read_chat(body)
    name, _, adapter = chat.model.partition(':')
    entry = find_entry(catalogue, name, EntryKind.model)
    if adapter and adapter not in {one.name for one in entry.adapters}:
        raise refuse(
            'entry_unknown',
            _STATUS_NOT_FOUND,
            f'Model {name} has no adapter {adapter!r}.',
        )
    record = authorize(catalogue, key, entry)
    max_tokens = messages.output_limit(chat, entry)
    prompt_tokens = messages.estimate_prompt_tokens(chat)
    path = '/v1/chat/completions'
    call = messages.Call(
        request_id=request_id,
        workspace=record.workspace if record else '',
        key_digest=key_digest(key) if record else '',
        entry=entry,
        adapter=adapter,
        method='POST',
        path=path,
        headers=[(b'content-type', b'application/json')],
        body=messages.limited_body(body, max_tokens),
        is_streamed=chat.stream,
        prompt_tokens=prompt_tokens,
        tokens=prompt_tokens + max_tokens,
        idempotency_key=request.headers.get('idempotency-key', ''),
        digest=messages.call_digest(chat.model, 'POST', path, body),
        deadline=anyio.current_time() + deadline_s,
        prefix=messages.prompt_prefix(chat),
    )
    _check_key_not_forwarded(call, key)
    return call


async def read_service_call(
    request: Request,
    catalogue: Catalogue,
    max_bytes: int,
    request_id: str,
    deadline_s: float,
) -> messages.Call:
    """Validate a request to a plain service.

    Raises
    ------
    RefusedError
        If the request is invalid or not allowed; nothing has run then.
    """
    key = read_key(request)
    name = request.path_params['entry']
    entry = find_entry(catalogue, name, EntryKind.service)
    record = authorize(catalogue, key, entry)
    body = await read_body(request, max_bytes)
    path = _service_path(request)
    call = messages.Call(
        request_id=request_id,
        workspace=record.workspace if record else '',
        key_digest=key_digest(key) if record else '',
        entry=entry,
        adapter='',
        method=request.method,
        path=path,
        headers=_visible_headers(request),
        body=body,
        is_streamed=False,
        prompt_tokens=0,
        tokens=SERVICE_CALL_TOKENS,
        idempotency_key=request.headers.get('idempotency-key', ''),
        digest=messages.call_digest(name, request.method, path, body),
        deadline=anyio.current_time() + deadline_s,
    )
    _check_key_not_forwarded(call, key)
    return call


def is_repeatable(call: messages.Call) -> bool:
    """Return whether a request may run more than once."""
    return call.entry.idempotent or call.method in _IDEMPOTENT_METHODS


def authenticate_unless_open(catalogue: Catalogue, key: str) -> None:
    """Check a key before the body is read, unless an entry needs no key.

    Raises
    ------
    RefusedError
        If no entry is open and the request has no valid key.
    """
    if not any(entry.open for entry in catalogue.entries.values()):
        authenticate(catalogue, key)


def _service_path(request: Request) -> str:
    raw_path = request.scope.get('raw_path') or request.url.path.encode()
    prefix_parts = 4
    path = raw_path.decode('latin-1').split('/', prefix_parts)[-1]
    query = request.url.query
    return f'/{path}?{query}' if query else f'/{path}'


def _visible_headers(request: Request) -> messages.Headers:
    return [
        (name, content)
        for name, content in request.headers.raw
        if name not in _HIDDEN_HEADERS
    ]


def _check_key_not_forwarded(call: messages.Call, key: str) -> None:
    if not key:
        return
    forwarded = [call.path.encode('latin-1', 'replace'), call.body]
    forwarded.extend(content for _, content in call.headers)
    if any(key.encode() in part for part in forwarded):
        raise _key_in_request()


def _key_in_request() -> RefusedError:
    return refuse(
        'key_in_request',
        _STATUS_BAD,
        'The key stands outside the Authorization header.',
    )
