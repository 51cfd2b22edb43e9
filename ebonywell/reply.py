"""Sends answers and error responses to callers over ASGI."""

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
    """Sends one answer, whole or streamed, and tracks its progress.

    Attributes
    ----------
    send : callable
        The ASGI send function.
    request_id : str
        Sent as a header of every answer.
    status : int
        The HTTP status that was sent, 0 before.
    is_started : bool
        Whether any part of the answer has been sent.
    is_events : bool
        Whether the answer is a stream of events.
    headers : list of (bytes, bytes)
        Headers that are added to every answer.
    check : callable
        Raises RefusedError while this host's state may be stale. A host that
        resumes after a freeze may find an answer in its sockets although the
        caller's key has been withdrawn meanwhile, so the check runs before
        each part is sent.
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
            If the host's state may be stale; nothing has been sent then.
        """
        self._check_current()
        await self._send_whole(status, headers, body)

    async def start_events(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a stream of events.

        Raises
        ------
        RefusedError
            If the host's state may be stale; nothing has been sent then.
        """
        self._check_current()
        self.is_events = True
        await self._start(status, headers)

    async def chunk(self, part: bytes) -> None:
        """Send a part of a streamed answer.

        Raises
        ------
        RefusedError
            If the host's state may be stale; the part has not been sent then.
        """
        self._check_current()
        await self._send_body(part, has_more=True)

    async def end(self) -> None:
        """End a streamed answer."""
        await self._send_body(b'', has_more=False)

    async def refuse(self, refusal: Refusal) -> None:
        """End the answer with an error.

        If nothing has been sent, the caller gets an error response. A stream
        ends with an error event. Any other answer that has begun is left
        incomplete, so that the caller's HTTP library reports it as truncated.
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
    """Accept the host's state as fresh, the default of `Reply.check`."""
