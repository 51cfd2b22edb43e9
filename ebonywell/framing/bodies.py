"""Writes requests whose bodies are too large to be copied.

A transport copies what it can't send at once. Answers the load of many large
requests to targets that read slowly.
"""

import asyncio

# A larger body is written piece by piece, each at most of this size.
MAX_JOINED_BYTES = 65_536
_NOTHING = memoryview(b'')


class BodyWriter(asyncio.Protocol):
    """A protocol that writes one request at a time.

    Attributes
    ----------
    transport : asyncio.Transport or None
    unwritten : memoryview
        Rest of the body.
    is_write_paused : bool
        Whether the transport has enough to send.
    """

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.unwritten = _NOTHING
        self.is_write_paused = False

    def write_request(self, head: bytes, body: bytes) -> None:
        """Write the head of a request, and its body as fast as it is sent."""
        assert self.transport is not None
        if len(body) <= MAX_JOINED_BYTES:
            self.transport.write(head + body)
            return
        self.transport.write(head)
        self.unwritten = memoryview(body)
        self._write_body()

    def drop_body(self) -> None:
        """Write no more of the body, since the connection is closed."""
        self.unwritten = _NOTHING

    def pause_writing(self) -> None:
        """Wait until the peer has read some of what was written."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Write on."""
        self.is_write_paused = False
        self._write_body()

    def _write_body(self) -> None:
        assert self.transport is not None
        while self.unwritten and not self.is_write_paused:
            piece = self.unwritten[:MAX_JOINED_BYTES]
            self.unwritten = self.unwritten[MAX_JOINED_BYTES:]
            self.transport.write(piece)
