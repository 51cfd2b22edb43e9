"""The answer to a caller while it is being sent."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

from .answers import (
    Refusal,
    RefusedError,
    encode_event,
    encode_refusal,
    refusal_headers,
    unknown,
)
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
    check : callable
        Raises RefusedError while the host may be out of date. A host that was
        frozen may find an answer in its sockets whose caller's key has been
        withdrawn meanwhile, so it is asked before each part is sent.
    """

    def __init__(self, send: Send, request_id: str) -> None:
        self.send = send
        self.request_id = request_id
        self.status = 0
        self.is_started = False
        self.is_events = False
        self.headers = [(b'x-request-id', request_id.encode())]
        self.check: Callable[[], None] = _check_nothing

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer.

        Raises
        ------
        RefusedError
            If the host may be out of date; nothing has been sent then.
        """
        self._check_current()
        await self._send_whole(status, headers, body)

    async def start_events(self, status: int, headers: Headers) -> None:
        """Begin an answer that is a stream of events.

        Raises
        ------
        RefusedError
            As for a whole answer.
        """
        self._check_current()
        self.is_events = True
        await self._start(status, headers)

    async def chunk(self, part: bytes) -> None:
        """Send a part of a streamed answer.

        Raises
        ------
        RefusedError
            If the host may be out of date; the part has not been sent then.
        """
        self._check_current()
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
            await self._send_whole(
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
            event = encode_event(cut, self.request_id)
            await self._send_body(event, has_more=True)
            await self.end()

    def _check_current(self) -> None:
        try:
            self.check()
        except RefusedError as refused:
            raise unknown(
                refused.refusal.code,
                refused.refusal.status,
                'This host lost touch while the call ran.',
                refused.refusal.retry_after_s,
            ) from refused

    async def _send_whole(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        length = (b'content-length', str(len(body)).encode())
        await self._start(status, [*headers, length])
        await self._send_body(body, has_more=False)

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


def _check_nothing() -> None:
    """Take the host to be up to date."""
