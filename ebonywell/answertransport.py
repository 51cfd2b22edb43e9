"""What a caller's connection reads from and writes its answers to."""

import asyncio

from uvicorn.protocols.http.flow_control import FlowControl

from .requestprogress import RequestProgress

# A connection that is closed before its request has ended is read for a while,
# since unread bytes would reset it and the caller might lose the answer.
LINGER_S = 1.0
MAX_LINGER_BYTES = 1_048_576


class ReadGate(FlowControl):
    """Flow control that the application cannot resume while it is shut.

    Attributes
    ----------
    is_shut : bool
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        super().__init__(transport)
        self.is_shut = False

    def resume_reading(self) -> None:
        """Resume reading, unless the gate is shut."""
        if not self.is_shut:
            super().resume_reading()

    def set_shut(self, *, is_shut: bool) -> None:
        """Shut the gate, or open it and resume reading."""
        if is_shut:
            self.is_shut = True
            self.pause_reading()
        elif self.is_shut:
            self.is_shut = False
            self.resume_reading()


class AnswerTransport:
    """What answers are written to.

    Attributes
    ----------
    transport : asyncio.Transport
    progress : RequestProgress
    is_lingering : bool
        Whether bytes are read only to be dropped.
    dropped_bytes : int
    closed_at : float or None
        When the connection was found to be closing, in seconds.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        progress: RequestProgress,
    ) -> None:
        self.transport = transport
        self.progress = progress
        self.is_lingering = False
        self.dropped_bytes = 0
        self.closed_at: float | None = None

    def write(self, content: bytes) -> None:
        """Write a part of an answer."""
        self.transport.write(content)

    def is_closing(self) -> bool:
        """Return whether no further request will be answered."""
        return self.is_lingering or self.transport.is_closing()

    def close(self) -> None:
        """Close the connection once the answer is sent.

        If the caller is still sending, its bytes are read and dropped for a
        while.
        """
        if self.is_closing():
            return
        if self.progress.is_receiving:
            self.is_lingering = True
            self.transport.write_eof()
        else:
            self.transport.close()

    def drop(self, received: bytes) -> None:
        """Drop bytes that were received after the close."""
        self.dropped_bytes += len(received)
        if self.dropped_bytes > MAX_LINGER_BYTES:
            # An abort might reach the caller before it has read the answer.
            self.transport.pause_reading()

    def check(self, now: float, unread_timeout_s: float) -> None:
        """Abort a closing connection whose caller takes too long."""
        if self.closed_at is None:
            self.closed_at = now
        is_sent = not self.transport.get_write_buffer_size()
        timeout_s = LINGER_S if is_sent else unread_timeout_s
        if now - self.closed_at > timeout_s:
            self.transport.abort()
