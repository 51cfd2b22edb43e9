"""A caller's connection on which one request is handled at a time."""

import asyncio
from http import HTTPStatus
from typing import Any

from uvicorn.config import Config
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from .answertransport import ReadGate
from .misc import bound_reads
from .requestprogress import RequestProgress, Stage
from .requestsplitter import RequestSplitter, stated_length
from .slowcallers.heldanswers import HoldingTransport
from .slowcallers.streamsends import EXTENSION


class SerialConnection(HttpToolsProtocol):
    """A connection on which one request is handled at a time.

    What follows a request is not parsed, and no more is read, until the request
    has been answered.

    Attributes
    ----------
    progress : RequestProgress
    splitter : RequestSplitter
    flow : ReadGate
    output : HoldingTransport
    keeps_alive : bool
        Whether the connection stays open after the answer, if the request has
        been received whole by then.
    """

    flow: ReadGate

    def __init__(self, config: Config, **server: Any) -> None:
        super().__init__(config, **server)
        self.progress = RequestProgress(self.loop.time())
        self.splitter = RequestSplitter()
        self.keeps_alive = False

    # Called by the event loop

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Set up reading and writing."""
        super().connection_made(transport)
        # What is read at once is the most that is kept of later requests.
        bound_reads(transport)
        self.flow = ReadGate(transport)
        self.output = HoldingTransport(transport, self.progress, self.loop.time)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop what would keep the request in memory."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        _drop_head(self)
        self.output.discard()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Return whether an answer is still to be sent."""
        super().eof_received()
        return self.output.end_reading()

    def data_received(self, data: bytes) -> None:
        """Parse the bytes up to the end of the request that they belong to."""
        if self.output.is_closing():
            self.output.drop(data)
            return
        self.progress.unparsed += data
        self.parse()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Begin a request."""
        super().on_message_begin()
        self.progress.begin_head(self.loop.time())
        self.output.begin_request()
        self.scope['extensions'] = {
            EXTENSION: self.output.begin_stream  # type: ignore[dict-item]
        }

    def on_header(self, name: bytes, content: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if self.progress.stage is Stage.head:
            super().on_header(name, content)

    def on_headers_complete(self) -> None:
        """Let the application handle the request.

        The connection is closed after the answer if that ends first.
        """
        super().on_headers_complete()
        self.progress.begin_body(self.loop.time())
        self.splitter.body_left = stated_length(self.headers)
        cycle = self.cycle
        cycle.transport = self.output  # type: ignore[assignment]
        # The parser leaves the body of a request to upgrade unread.
        self.keeps_alive = cycle.keep_alive and not self.parser.should_upgrade()
        cycle.keep_alive = False

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        super().on_body(body)
        self.progress.add_body(len(body))

    def on_message_complete(self) -> None:
        """Note that the request was received whole."""
        if self.progress.stage is not Stage.body:
            return
        self.progress.enter(Stage.answering, self.loop.time())
        if not self.cycle.response_complete:
            self.cycle.keep_alive = self.keeps_alive
        super().on_message_complete()

    # Called by the server and the application

    def on_response_complete(self) -> None:
        """Go on with the request that follows."""
        self.output.end_answer()
        self.progress.enter(Stage.idle, self.loop.time())
        super().on_response_complete()
        self.parse()

    def shutdown(self) -> None:
        """Close the connection as soon as it has no request."""
        self.keeps_alive = False
        if self.output.holds_back and self.output.state.is_ended:
            self.output.close()
        elif self.output.holds_back or not self.output.is_closing():
            super().shutdown()
        else:
            self.transport.close()

    # For subclasses

    def parse(self) -> None:
        """Parse what has been received of one request."""
        received, start = self.progress.unparsed, 0
        while start < len(received) and _may_parse(self):
            piece = self.splitter.take(received, start)
            start += len(piece)
            self.parse_piece(piece)
        self.progress.unparsed = received[start:]
        self.settle()

    def parse_piece(self, piece: bytes) -> None:
        """Parse a piece in which at most one request ends."""
        self.progress.add_piece(len(piece))
        HttpToolsProtocol.data_received(self, piece)

    def settle(self) -> None:
        """Update what depends on the bytes that are not parsed yet."""
        progress = self.progress
        if self.output.is_closing():
            progress.unparsed = b''
        if progress.stage is Stage.body and not progress.framing_bytes:
            progress.moved_at = self.loop.time()
        is_busy = (
            progress.stage is Stage.answering or self.output.backlog.is_behind
        )
        self.flow.set_shut(is_shut=is_busy and bool(progress.unparsed))

    def answer_early(self, answer: bytes) -> None:
        """Answer a request that was not received whole, and close."""
        is_begun = self.progress.stage is Stage.body
        if is_begun:
            self.cycle.disconnected = True
            self.cycle.body = bytearray()
            self.cycle.message_event.set()
        if is_begun and self.cycle.response_started:
            self.transport.abort()
        else:
            self.output.write(answer)
            self.output.close()
        _drop_head(self)
        self.settle()


def encode_rejection(
    status: HTTPStatus, headers: tuple[bytes, ...], body: bytes
) -> bytes:
    """Return an answer that closes its connection.

    Parameters
    ----------
    status : HTTPStatus
    headers : tuple of bytes
        Further lines of the head.
    body : bytes
    """
    lines = (
        f'HTTP/1.1 {status.value} {status.phrase}'.encode(),
        b'content-length: %d' % len(body),
        b'connection: close',
        *headers,
        b'',
        body,
    )
    return b'\r\n'.join(lines)


def _drop_head(connection: SerialConnection) -> None:
    connection.headers = []
    # The scope holds the same headers.
    connection.scope = None  # type: ignore[assignment]


def _may_parse(connection: SerialConnection) -> bool:
    output = connection.output
    is_answering = connection.progress.stage is Stage.answering
    is_busy = is_answering or output.backlog.is_behind
    return not is_busy and not output.is_closing()
