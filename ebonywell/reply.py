"""The answer to a caller while it is being sent."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from .answers import Refusal, encode_event, encode_refusal, refusal_headers
from .types import RunState

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]
Headers = list[tuple[bytes, bytes]]


class Reply:
    """Sends one answer, whole or streamed, and knows how far it is.

    Attributes
    ----------
    send : callable
        ASGI's.
    request_id : str
        Sent with every answer.
    status : int
        The HTTP status sent; 0 before.
    is_started : bool
        Whether the caller has been sent anything.
    is_events : bool
        Whether the answer is a stream of events.
    headers : list of (bytes, bytes)
        Added to every answer.
    """

    def __init__(self, send: Send, request_id: str, headers: Headers) -> None:
        self.send = send
        self.request_id = request_id
        self.status = 0
        self.is_started = False
        self.is_events = False
        self.headers = [*headers, (b'x-request-id', request_id.encode())]

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b'content-length', str(len(body)).encode())
        await self._start(status, [*headers, length])
        await self._send_body(body, has_more=False)

    async def start_events(self, status: int, headers: Headers) -> None:
        """Begin an answer that is a stream of events."""
        self.is_events = True
        await self._start(status, headers)

    async def chunk(self, part: bytes) -> None:
        """Send a part of a streamed answer."""
        await self._send_body(part, has_more=True)

    async def end(self) -> None:
        """End a streamed answer."""
        await self._send_body(b'', has_more=False)

    async def refuse(self, refusal: Refusal) -> None:
        """End the answer with a refusal, in the way that is still open.

        A stream gets a last event. An answer of another kind that has begun is
        left without its end, so that the caller's library reports it as cut.
        """
        if not self.is_started:
            await self.whole(
                refusal.status,
                refusal_headers(refusal),
                encode_refusal(refusal, self.request_id),
            )
        elif self.is_events:
            cut = Refusal(
                refusal.code,
                refusal.status,
                refusal.message,
                RunState.ran,
                refusal.retry_after_s,
            )
            await self.chunk(encode_event(cut, self.request_id))
            await self.end()

    async def _start(self, status: int, headers: Headers) -> None:
        self.is_started = True
        self.status = status
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [*headers, *self.headers],
            }
        )

    async def _send_body(self, body: bytes, *, has_more: bool) -> None:
        await self.send(
            {
                'type': 'http.response.body',
                'body': body,
                'more_body': has_more,
            }
        )
