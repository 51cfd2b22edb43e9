"""Tells a caller's connection which of its answers are streams.

Only streams are read on from their targets while their callers read slowly. All
other answers have been received whole before they are sent, so that no target
waits for their callers.
"""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from ..streamheads import is_event_stream
from ..upstream import AnswerHead

# Name of the ASGI extension that holds the function to call when a stream
# begins.
EXTENSION = 'ebonywell.begin_stream'
_CONTENT_LENGTH = b'content-length'

Message = MutableMapping[str, Any]
Send = Callable[[Message], Awaitable[None]]


def note_streams(scope: Message, send: Send) -> Send:
    """Wrap a send function to note on the connection when a stream begins.

    Servers without the extension send as before.
    """
    begin_stream = scope.get('extensions', {}).get(EXTENSION)
    if begin_stream is None:
        return send

    async def send_noting(message: Message) -> None:
        is_start = message['type'] == 'http.response.start'
        if is_start and _is_stream(message):
            begin_stream()
        await send(message)

    return send_noting


def _is_stream(message: Message) -> bool:
    """Return whether an answer is a stream that a target still sends.

    Answers that were received whole have a length.
    """
    head = AnswerHead(message['status'], message['headers'])
    return is_event_stream(head) and head.get(_CONTENT_LENGTH) is None
