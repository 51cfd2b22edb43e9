"""Reads callers' requests from ASGI messages and sends answers as such."""

from collections.abc import Sequence
from typing import Any

import msgspec

from ..inbound import Generation, PromptPart, RejectionError
from ..intake import ReceivedRequest, count_header_bytes
from ..server import Message, Receive, Send
from . import headers

Headers = Sequence[tuple[bytes, bytes]]

READY_PATH = '/ready'
DIRECTORY_PATH = '/resolution'
# Maximum number of hosts in a directory answer; the host shuffles the list.
MAX_ADDRESSES = 64
# A token count with more digits is treated as malformed.
MAX_TOKEN_DIGITS = 12
_BEARER = 'bearer '
_ENCODING = 'latin-1'
_MS = 0.001
_OK = 200
_PLAIN_TEXT = ((b'content-type', b'text/plain'),)
_JSON = ((b'content-type', b'application/json'),)


class CallerGoneError(Exception):
    """The caller disconnected before its request was complete."""


class AsgiResponder:
    """Sends an answer as ASGI messages."""

    def __init__(self, send: Send) -> None:
        self.asgi_send = send

    async def start(self, status: int, answer_headers: Headers) -> None:
        """Send the status and headers."""
        await self.asgi_send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': list(answer_headers),
            }
        )

    async def send(self, body: bytes) -> None:
        """Send a chunk of the body."""
        await self.asgi_send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': True,
            }
        )

    async def finish(self) -> None:
        """End the body."""
        await self.asgi_send({'type': 'http.response.body', 'body': b''})


async def read_body(receive: Receive, max_bytes: int) -> bytes:
    """Return a request's body, or one byte more than `max_bytes` of it.

    The rest of a longer body is not waited for, since it may have no end.

    Raises
    ------
    CallerGoneError
        If the caller disconnects before the end of the body.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise CallerGoneError
        # One byte over the limit is enough for the request to be rejected, so
        # no more is kept in memory.
        body += message.get('body', b'')[: max_bytes + 1 - len(body)]
        is_too_long = len(body) > max_bytes
        if is_too_long or not message.get('more_body', False):
            return bytes(body)


def parse_request(
    scope: Message, body: bytes, received_at: float
) -> ReceivedRequest:
    """Return a caller's request; malformed headers are treated as absent."""
    raw: list[tuple[bytes, bytes]] = scope['headers']
    found = dict(raw)
    path = scope['raw_path']
    if scope['query_string']:
        path = b'%s?%s' % (path, scope['query_string'])
    return ReceivedRequest(
        request_id=_decode_text(found.get(headers.REQUEST_ID, b'')),
        method=scope['method'],
        host=_decode_text(found.get(b'host', b'')),
        path=path,
        key=_read_key(found.get(headers.AUTHORIZATION)),
        headers=_forwarded_headers(raw, found),
        header_bytes=count_header_bytes(raw),
        body=body,
        caller_timeout_s=_read_ms(found.get(headers.DEADLINE_MS)),
        generation=_read_generation(found),
        received_at=received_at,
        has_unread_body=_has_unread_body(found),
        resumes=_read_resumes(found),
        is_forwarded=headers.FORWARDED_BY in found,
    )


async def send_rejection(send: Send, error: RejectionError) -> None:
    """Answer a request with an error of this system."""
    body = f'{error.reason}\n'.encode()
    answer_headers = [
        *_PLAIN_TEXT,
        (b'content-length', str(len(body)).encode()),
    ]
    if error.retry_after_s is not None:
        seconds = format(error.retry_after_s, '.3f').encode()
        answer_headers.append((headers.RETRY_AFTER, seconds))
    responder = AsgiResponder(send)
    await responder.start(error.status, answer_headers)
    await responder.send(body)
    await responder.finish()


async def send_json(send: Send, content: Any) -> None:
    """Send an answer with a JSON body."""
    await _send_answer(send, _OK, _JSON, msgspec.json.encode(content))


async def send_text(send: Send, status: int, text: str) -> None:
    """Send an answer with a plain-text body."""
    await _send_answer(send, status, _PLAIN_TEXT, text.encode())


def directory_answer(addresses: list[str], ttl_s: float) -> dict[str, Any]:
    """Return the directory answer, which lists addresses for callers."""
    return {'addresses': addresses[:MAX_ADDRESSES], 'ttlS': ttl_s}


async def _send_answer(
    send: Send,
    status: int,
    answer_headers: Headers,
    body: bytes,
) -> None:
    length = (b'content-length', str(len(body)).encode())
    responder = AsgiResponder(send)
    await responder.start(status, [*answer_headers, length])
    await responder.send(body)
    await responder.finish()


def _decode_text(raw: bytes) -> str:
    return raw.decode(_ENCODING)


def _forwarded_headers(raw: Headers, found: dict[bytes, bytes]) -> Headers:
    dropped = headers.HOP_BY_HOP | headers.SET_BY_HOST
    listed = found.get(b'connection', b'').lower().split(b',')
    dropped = dropped.union(name.strip() for name in listed)
    return tuple(pair for pair in raw if pair[0] not in dropped)


def _read_resumes(found: dict[bytes, bytes]) -> str | None:
    if not found.get(headers.LAST_EVENT_ID):
        return None
    return _decode_text(found.get(headers.RESUMES, b''))


def _read_key(raw: bytes | None) -> str | None:
    text = _decode_text(raw or b'')
    if not text.lower().startswith(_BEARER):
        return None
    return text[len(_BEARER) :].strip()


def _read_ms(raw: bytes | None) -> float | None:
    try:
        return float(raw) * _MS if raw else None
    except ValueError:
        return None


def _read_generation(found: dict[bytes, bytes]) -> Generation | None:
    named = _decode_text(found.get(headers.MODEL, b''))
    if not named:
        return None
    model, _, adapter = named.partition('/')
    counts = _read_counts(found.get(headers.TOKEN_COUNT))
    if counts is None:
        return Generation(model, adapter)
    prompt, max_output = counts
    hint = _decode_text(found.get(headers.LENGTH_HINT, b''))
    likely = min(int(hint), max_output) if _is_token_count(hint) else max_output
    prefix = tuple(
        _read_parts(_decode_text(found.get(headers.PROMPT_PREFIX, b'')))
    )
    return Generation(model, adapter, prompt, max_output, likely, prefix)


def _read_counts(raw: bytes | None) -> tuple[int, int] | None:
    prompt, _, output = _decode_text(raw or b'').partition(',')
    if _is_token_count(prompt.strip()) and _is_token_count(output.strip()):
        return int(prompt), int(output)
    return None


def _read_parts(raw: str) -> list[PromptPart]:
    parts = []
    for one in raw.split(','):
        part_id, _, tokens = one.strip().partition(':')
        if not _is_token_count(tokens):
            break
        parts.append(PromptPart(part_id, int(tokens)))
    return parts


def _has_unread_body(found: dict[bytes, bytes]) -> bool:
    """Return whether the HTTP parser left the body unread.

    It stops at a request to upgrade and takes the body for data of the other
    protocol.
    """
    length = found.get(b'content-length', b'0').strip()
    has_body = length.strip(b'0') != b'' or b'transfer-encoding' in found
    return b'upgrade' in found and has_body


def _is_token_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_TOKEN_DIGITS
