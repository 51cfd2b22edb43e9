"""A connection of a caller, bounded in what it keeps and how long it takes."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from uvicorn.config import Config

from .callers import Callers
from .requestprogress import Stage
from .serialconnection import SerialConnection, encode_rejection

# Unsent bytes of an answer beyond which its caller is behind with reading. What
# follows of a stream is held back then; any other answer has to wait.
MAX_UNSENT_BYTES = 16_384
# A caller that gets 503 for lack of memory should retry after this time.
MEMORY_RETRY_S = 1.0


class CallerConnection(SerialConnection):
    """A connection of a caller.

    Attributes
    ----------
    callers : Callers
    holding : Holding
    noted_unread_bytes : int
        Bytes of answers that `holding` counts.
    """

    def __init__(self, callers: Callers, config: Config, **server: Any) -> None:
        super().__init__(config, **server)
        self.callers = callers
        self.holding = callers.memory.open(self.give_up)
        self.noted_unread_bytes = 0

    @property
    def waits_since(self) -> float | None:
        """Time since which no request is in progress, None if one is."""
        is_waiting = self.progress.stage in {Stage.idle, Stage.head}
        return self.progress.since if is_waiting else None

    # Called by the event loop

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Bound the unsent bytes, and the number of connections."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        self.output.note_held = self._note_kept
        self.callers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Free what the connection keeps."""
        super().connection_lost(exc)
        self.callers.remove(self)
        self.callers.memory.close(self.holding)

    def pause_writing(self) -> None:
        """Note that the caller falls behind with reading.

        What follows of a stream is held back; other answers wait.
        """
        self.output.block()
        if not self.output.is_streaming:
            super().pause_writing()
        self._note_kept()

    def resume_writing(self) -> None:
        """Send what was held back, or note that the caller has caught up."""
        output = self.output
        output.unblock()
        is_free = not output.state.is_blocked
        if is_free or (output.is_streaming and not output.backlog.is_full):
            super().resume_writing()
        self._note_kept()
        if not output.backlog.is_behind:
            self.parse()

    # Called by the parser and `SerialConnection`

    def send_400_response(  # noqa: WPS114 - the name is uvicorn's
        self, msg: str
    ) -> None:
        """Reject a request that cannot be parsed."""
        self.reject(HTTPStatus.BAD_REQUEST, 'malformed')

    def parse_piece(self, piece: bytes) -> None:
        """Parse a piece; reject heads and framing without end."""
        super().parse_piece(piece)
        if self.output.is_closing():
            return
        if not self.progress.has_endless_framing(self.callers.limits()):
            return
        if self.progress.stage is Stage.body:
            self.reject(HTTPStatus.BAD_REQUEST, 'framing_too_long')
        else:
            self.reject(
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, 'head_too_long'
            )

    def settle(self) -> None:
        """Update what the connection keeps."""
        super().settle()
        self._note_kept()

    # Called for all connections together

    def check(self, now: float) -> None:
        """End the connection if its caller takes too long."""
        limits = self.callers.limits()
        reason = self.output.find_fault(
            now, limits.idle_timeout_s, is_paused=self.flow.write_paused
        )
        if reason:
            self.cut(reason)
            return
        is_behind = self.output.backlog.is_behind
        if is_behind or self.output.unread_bytes != self.noted_unread_bytes:
            self._note_kept()
        if not is_behind and self.output.is_closing():
            self.output.check(now, limits.idle_timeout_s)
        elif not is_behind:
            self._check_overdue(self.progress.find_overdue(now, limits))

    def cut(self, reason: str) -> None:
        """End the connection at once and free its memory."""
        self._report(reason)
        if self.output.state.is_stream and self.output.backlog.is_behind:
            self.callers.count('slow_streams_cut_total', reason=reason)
        self.transport.abort()
        self.output.discard()
        self.callers.memory.close(self.holding)

    def give_up(self) -> None:
        """End what the connection is doing and free its memory."""
        if self.output.backlog.is_behind:
            self.cut('memory_full')
            return
        retry_after = b'retry-after: %.3f' % MEMORY_RETRY_S
        self.reject(
            HTTPStatus.SERVICE_UNAVAILABLE, 'memory_full', (retry_after,)
        )

    def reject(
        self, status: HTTPStatus, reason: str, headers: tuple[bytes, ...] = ()
    ) -> None:
        """Answer a request that was not received whole, and close."""
        self._report(reason, status)
        content_type, body = self.callers.describe(status, reason)
        content = b'content-type: %s' % content_type
        self.answer_early(encode_rejection(status, (content, *headers), body))

    def _check_overdue(self, reason: str | None) -> None:
        if reason and self.progress.stage is Stage.idle:
            self.transport.close()
        elif reason:
            self.reject(HTTPStatus.REQUEST_TIMEOUT, reason)

    def _note_kept(self) -> None:
        """Count what the connection keeps; let a full stream's target wait."""
        if self.output.is_streaming and self.output.backlog.is_full:
            self.flow.pause_writing()
        self.noted_unread_bytes = self.output.unread_bytes
        kept_bytes = self.noted_unread_bytes
        unread_since = self.output.backlog.unread_since
        is_closing = self.output.is_closing()
        if not is_closing:
            kept_bytes += self.progress.count_kept(len(self.headers or ()))
        is_unfinished = self.progress.stage in {Stage.head, Stage.body}
        self.callers.memory.update(
            self.holding,
            kept_bytes,
            is_optional=unread_since is not None
            or (is_unfinished and not is_closing),
            unread_since=unread_since,
        )

    def _report(self, reason: str, status: int | None = None) -> None:
        progress = self.progress
        now = self.loop.time()
        unread_since = self.output.backlog.unread_since
        request_id = dict(self.headers or ()).get(
            self.callers.request_id_header, b''
        )
        self.callers.count('caller_connections_ended_total', reason=reason)
        self.callers.log(
            'caller_ended',
            status=status,
            reason=reason,
            request=request_id.decode('latin-1') or None,
            stage=progress.stage.value,
            caller=self.client and self.client[0],
            port=self.server and self.server[1],
            head_bytes=progress.head_bytes or progress.framing_bytes,
            body_bytes=progress.body_bytes,
            unsent_bytes=self.output.unread_bytes,
            behind_s=None if unread_since is None else now - unread_since,
            age_s=now - progress.since,
            kept_bytes=self.callers.memory.total_bytes,
        )


def connection_factory(callers: Callers) -> Callable[..., CallerConnection]:
    """Return a function that makes the protocol of a new connection.

    Parameters
    ----------
    callers : Callers
        All connections of the server.
    """

    def make_connection(config: Config, **server: Any) -> CallerConnection:
        return CallerConnection(callers, config, **server)

    return make_connection
