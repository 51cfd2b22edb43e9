"""Who calls, and what: turns an HTTP request into a checked call."""

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
# Headers that concern this hop only, or could carry a caller's key.
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
    """Return the key that came with a request, empty if none did."""
    header = request.headers.get('authorization', '')
    if not header.lower().startswith(_BEARER):
        return ''
    return header[len(_BEARER) :].strip()


async def read_body(request: Request, max_bytes: int) -> bytes:
    """Return the whole body.

    Raises
    ------
    RefusedError
        If it is larger than `max_bytes`.
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
    """Return the key's workspace if it may call the entry.

    Returns
    -------
    Key or None
        None on an entry that is open to all.

    Raises
    ------
    RefusedError
        If the key is missing, unknown, withdrawn or not approved.
    """
    if entry.open:
        return None
    known = authenticate(catalogue, key)
    if not is_approved(catalogue, known.workspace, entry.name):
        raise refuse(
            'not_approved',
            _STATUS_FORBIDDEN,
            f'Workspace {known.workspace} has no approval for {entry.name}.',
        )
    return known


def authenticate(catalogue: Catalogue, key: str) -> Key:
    """Return what is known of a key that is in force.

    Raises
    ------
    RefusedError
        If the key is missing, unknown or withdrawn.
    """
    if not key:
        raise refuse('key_missing', _STATUS_UNAUTHORIZED, 'No key was sent.')
    known = find_key(catalogue, key)
    if known is None:
        raise refuse('key_unknown', _STATUS_UNAUTHORIZED, 'The key is unknown.')
    if known.withdrawn:
        raise refuse(
            'key_withdrawn',
            _STATUS_UNAUTHORIZED,
            'The key has been withdrawn.',
        )
    return known


def find_entry(catalogue: Catalogue, name: str, kind: EntryKind) -> Entry:
    """Return an entry of the catalogue.

    Raises
    ------
    RefusedError
        If there is none of that name and kind.
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
    """Return the call that a request of OpenAI's form stands for.

    Raises
    ------
    RefusedError
        If anything about it is not in order; nothing has run then.
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
    known = authorize(catalogue, key, entry)
    max_tokens = messages.output_limit(chat, entry)
    prompt_tokens = messages.estimate_prompt_tokens(chat)
    path = '/v1/chat/completions'
    call = messages.Call(
        request_id=request_id,
        workspace=known.workspace if known else '',
        key_digest=key_digest(key) if known else '',
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
    """Return the call of a plain service that a request stands for.

    Raises
    ------
    RefusedError
        If anything about it is not in order; nothing has run then.
    """
    key = read_key(request)
    name = request.path_params['entry']
    entry = find_entry(catalogue, name, EntryKind.service)
    known = authorize(catalogue, key, entry)
    body = await read_body(request, max_bytes)
    path = _service_path(request)
    call = messages.Call(
        request_id=request_id,
        workspace=known.workspace if known else '',
        key_digest=key_digest(key) if known else '',
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
    """Return whether a call may run more than once."""
    return call.entry.idempotent or call.method in _IDEMPOTENT_METHODS


def authenticate_unless_open(catalogue: Catalogue, key: str) -> None:
    """Check a key before the body is read, unless some entry needs none.

    Raises
    ------
    RefusedError
        If no key in force came and none of the entries is open.
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
    shown = [call.path.encode('latin-1', 'replace'), call.body]
    shown.extend(content for _, content in call.headers)
    if any(key.encode() in part for part in shown):
        raise _key_in_request()


def _key_in_request() -> RefusedError:
    return refuse(
        'key_in_request',
        _STATUS_BAD,
        'The key stands outside the Authorization header.',
    )
