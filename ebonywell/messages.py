"""Callers' requests: validation of chat requests, and the common form."""

from dataclasses import dataclass
from typing import Any

import msgspec

from .answers import RefusedError, refuse
from .changes import Entry
from .misc import request_digest
from .types import EntryKind

_CHARACTERS_PER_TOKEN = 4
_STATUS_BAD = 400
PREFIX_BYTES = 256

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Call:
    """A validated request to a model or a plain service.

    Attributes
    ----------
    request_id : str
    workspace : str
        Empty if the entry is open to all.
    key_digest : str
        Digest of the caller's key; empty if the entry is open to all.
    entry : Entry
        The requested entry of the catalogue.
    adapter : str
        Empty if no adapter is requested.
    method : str
    path : str
        The path and query that are sent to the target.
    headers : list of (bytes, bytes)
        The headers that are forwarded to the target.
    body : bytes
        The body that is sent to the target.
    is_streamed : bool
        Whether the answer is requested as a stream of events.
    prompt_tokens : int
        Estimated number of tokens of the prompt.
    tokens : int
        Tokens that are reserved: those of the prompt plus the output limit.
    idempotency_key : str
        Empty if the request has none.
    digest : str
        Digest of the request, equal for every repeat of it.
    deadline : float
        Time in seconds by the process's clock.
    prefix : bytes
        Start of a model's prompt, the key of the engine's prefix cache.
    """

    request_id: str
    workspace: str
    key_digest: str
    entry: Entry
    adapter: str
    method: str
    path: str
    headers: Headers
    body: bytes
    is_streamed: bool
    prompt_tokens: int
    tokens: int
    idempotency_key: str
    digest: str
    deadline: float
    prefix: bytes = b''

    @property
    def is_model(self) -> bool:
        """Whether the request is for a model, not for a plain service."""
        return self.entry.kind == EntryKind.model


class _Message(msgspec.Struct):
    role: str
    content: str | list[Any] | None = None


class ChatRequest(msgspec.Struct):
    """The fields of a chat request that are validated.

    All other fields are forwarded unread.
    """

    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


def read_chat(body: bytes) -> ChatRequest:
    """Parse and validate a chat request.

    Raises
    ------
    RefusedError
        If the request is invalid; names the place and kind of the first
        error.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatRequest)
    except msgspec.ValidationError as fault:
        raise refuse('bad_request', _STATUS_BAD, f'{fault}') from fault
    except (msgspec.DecodeError, RecursionError) as fault:
        raise _not_json(fault) from fault
    if not chat.messages:
        raise refuse('bad_request', _STATUS_BAD, 'There are no messages.')
    limits = (chat.max_tokens, chat.max_completion_tokens)
    if any(limit is not None and limit < 1 for limit in limits):
        raise refuse('bad_request', _STATUS_BAD, 'max_tokens is less than 1.')
    return chat


def output_limit(chat: ChatRequest, entry: Entry) -> int:
    """Return the maximum number of tokens of the answer."""
    requested = chat.max_completion_tokens or chat.max_tokens
    return min(requested or entry.max_output_tokens, entry.max_output_tokens)


def estimate_prompt_tokens(chat: ChatRequest) -> int:
    """Return the number of tokens that are reserved for a prompt.

    The estimate per text is the number of words, or one token for each
    `_CHARACTERS_PER_TOKEN` characters if that is more.
    """
    texts = [str(message.content or '') for message in chat.messages]
    return sum(
        max(len(text.split()), len(text) // _CHARACTERS_PER_TOKEN)
        for text in texts
    )


def prompt_prefix(chat: ChatRequest) -> bytes:
    """Return the start of the prompt's text, by which engines cache it."""
    prompt = '\n'.join(_text_of(message) for message in chat.messages)
    return prompt[:PREFIX_BYTES].encode()[:PREFIX_BYTES]


def _text_of(message: _Message) -> str:
    return message.content if isinstance(message.content, str) else ''


def limited_body(body: bytes, max_tokens: int) -> bytes:
    """Return a chat request whose answer is limited to the reserved tokens.

    Raises
    ------
    RefusedError
        If a field that `read_chat` does not validate cannot be decoded.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
    except msgspec.DecodeError as fault:
        raise _not_json(fault) from fault
    fields.pop('max_completion_tokens', None)
    fields['max_tokens'] = max_tokens
    return msgspec.json.encode(fields)


def _not_json(fault: Exception) -> RefusedError:
    return refuse(
        'bad_json',
        _STATUS_BAD,
        f'The body is not JSON: {fault}',
    )


def call_digest(entry: str, method: str, path: str, body: bytes) -> str:
    """Return a digest that identifies repeats of the same request."""
    return request_digest(
        entry.encode(),
        method.encode(),
        path.encode(),
        body,
    )
