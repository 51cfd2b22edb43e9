"""What callers send, checked: chat requests and calls of services."""

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
    """One call, as the rest of the process sees it.

    Attributes
    ----------
    request_id : str
    workspace : str
        Empty on a route that is open to all.
    key_digest : str
        Empty on a route that is open to all.
    entry : Entry
    adapter : str
        Empty if none is asked for.
    method : str
    path : str
        As the target gets it, with the query.
    headers : list of (bytes, bytes)
        Those that the target may see.
    body : bytes
        As the target gets it.
    is_streamed : bool
    estimate_prompt_tokens : int
    tokens : int
        Reserved for it: the prompt's and the most of the output.
    idempotency_key : str
        Empty if there is none.
    digest : str
        The same for every repeat of the same request.
    deadline : float
        By the process's clock, in seconds.
    prefix : bytes
        The start of a model's prompt, by which its engine caches it.
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
        """Whether a model is called, and not a plain service."""
        return self.entry.kind == EntryKind.model


class _Message(msgspec.Struct):
    role: str
    content: str | list[Any] | None = None


class ChatRequest(msgspec.Struct):
    """The part of a chat request that is looked at."""

    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


def read_chat(body: bytes) -> ChatRequest:
    """Return a chat request.

    Raises
    ------
    RefusedError
        With the place and kind of the first fault.
    """
    try:
        chat = msgspec.json.decode(body, type=ChatRequest)
    except msgspec.ValidationError as fault:
        raise refuse('bad_request', _STATUS_BAD, f'{fault}') from fault
    except (msgspec.DecodeError, RecursionError) as fault:
        raise _not_json(fault) from fault
    if not chat.messages:
        raise refuse('bad_request', _STATUS_BAD, 'There are no messages.')
    asked = (chat.max_tokens, chat.max_completion_tokens)
    if any(limit is not None and limit < 1 for limit in asked):
        raise refuse('bad_request', _STATUS_BAD, 'max_tokens is less than 1.')
    return chat


def output_limit(chat: ChatRequest, entry: Entry) -> int:
    """Return the most tokens that the answer may have."""
    asked = chat.max_completion_tokens or chat.max_tokens
    return min(asked or entry.max_output_tokens, entry.max_output_tokens)


def estimate_prompt_tokens(chat: ChatRequest) -> int:
    """Return how many tokens are reserved for a prompt."""
    texts = [str(message.content or '') for message in chat.messages]
    return sum(
        max(len(text.split()), len(text) // _CHARACTERS_PER_TOKEN)
        for text in texts
    )


def prompt_prefix(chat: ChatRequest) -> bytes:
    """Return the start of the prompt's text, as engines cache it."""
    prompt = '\n'.join(_text_of(message) for message in chat.messages)
    return prompt[:PREFIX_BYTES].encode()[:PREFIX_BYTES]


def _text_of(message: _Message) -> str:
    return message.content if isinstance(message.content, str) else ''


def limited_body(body: bytes, max_tokens: int) -> bytes:
    """Return a chat request whose answer cannot exceed what was reserved.

    Raises
    ------
    RefusedError
        If a field that `read_chat` did not look at cannot be read.
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
    """Return a digest by which a repeat of a request is known."""
    return request_digest(
        entry.encode(),
        method.encode(),
        path.encode(),
        body,
    )
