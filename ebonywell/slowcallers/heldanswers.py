"""Writes answers to a connection and holds back what its caller does not read.

What was written is either in the buffer of the transport, up to its high-water
mark and one piece, or held back here, so that each byte is counted once. Small
parts are held back in one buffer, since as objects of their own they would take
many times their size.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..answertransport import AnswerTransport
from ..requestprogress import RequestProgress
from .backlog import Backlog

# Bytes that are passed on to the transport at once when the caller has read
# what it had.
PIECE_BYTES = 65_536


@dataclass(slots=True)
class StreamState:
    """State of the stream that is written to a connection.

    Attributes
    ----------
    is_stream : bool
        Whether the answer is a stream, which is read on from its target.
    is_ended : bool
        Whether all of the answer was written, or no more of it will be.
    is_blocked : bool
        Whether the transport has more than its high-water mark.
    closes_when_sent : bool
        Whether the connection is closed once nothing is held back.
    held : bytearray
    """

    is_stream: bool = False
    is_ended: bool = False
    is_blocked: bool = False
    closes_when_sent: bool = False
    held: bytearray = field(default_factory=bytearray)


class HoldingTransport(AnswerTransport):
    """What answers are written to; streams are held back for slow callers.

    Attributes
    ----------
    clock : callable
        Returns the time in seconds.
    note_held : callable
        Called after something was held back.
    backlog : Backlog
    state : StreamState
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        progress: RequestProgress,
        clock: Callable[[], float],
    ) -> None:
        super().__init__(transport, progress)
        self.clock = clock
        self.note_held: Callable[[], None] = _note_nothing
        self.backlog = Backlog()
        self.state = StreamState()

    @property
    def unread_bytes(self) -> int:
        """Bytes that were written and not passed on to the kernel."""
        return self.transport.get_write_buffer_size() + len(self.state.held)

    @property
    def holds_back(self) -> bool:
        """Whether something is held back that the transport does not have."""
        return bool(self.state.held)

    @property
    def is_streaming(self) -> bool:
        """Whether more of a stream may follow."""
        return self.state.is_stream and not self.state.is_ended

    def begin_stream(self) -> None:
        """Note that the answer that begins is a stream."""
        self.state.is_stream = True

    def begin_request(self) -> None:
        """Note that what is written from now on answers another request."""
        self.state.is_stream = False
        self.state.is_ended = False

    def end_answer(self) -> None:
        """Note that all of the answer was written."""
        self.state.is_ended = True

    def write(self, content: bytes) -> None:
        """Write a part of an answer, or hold it back."""
        was_behind = self.backlog.is_behind
        state = self.state
        if state.held or (state.is_blocked and state.is_stream):
            state.held += content
        else:
            super().write(content)
        if was_behind:
            self.backlog.add(len(content), self.clock())
            self.note_held()

    def block(self) -> None:
        """Note that the transport has more than its high-water mark."""
        self.state.is_blocked = True
        if not self.backlog.is_behind:
            self.backlog.begin(self.unread_bytes, self.clock())

    def unblock(self) -> None:
        """Pass on what was held back, as much as the transport takes."""
        state = self.state
        state.is_blocked = False
        while state.held and not state.is_blocked:
            piece = bytes(state.held[:PIECE_BYTES])
            # The transport may pass the time to the owner, which counts what
            # is held.
            del state.held[:PIECE_BYTES]  # noqa: WPS420 - frees its memory
            self.transport.write(piece)
        if state.held or state.is_blocked:
            self.backlog.update(self.unread_bytes, self.clock())
            return
        self.backlog.clear()
        if state.closes_when_sent:
            state.closes_when_sent = False
            self.close()

    def is_closing(self) -> bool:
        """Return whether no further request will be answered."""
        return self.state.closes_when_sent or super().is_closing()

    def close(self) -> None:
        """Close the connection once all that was written is sent."""
        self.state.is_ended = True
        if self.state.held:
            self.state.closes_when_sent = True
        else:
            super().close()

    def end_reading(self) -> bool:
        """Act on the caller's end of the connection.

        A caller that ends it while a stream is sent has left. The transport
        would otherwise tell only after it has sent what it has.

        Returns
        -------
        bool
            Whether the rest of a whole answer is still to be sent.
        """
        if self.is_streaming:
            self.transport.abort()
        elif self.state.held:
            self.close()
            return True
        return False

    def find_fault(
        self, now: float, idle_timeout_s: float, *, is_paused: bool
    ) -> str | None:
        """Return the reason to cut the caller off now, None if there is none.

        Parameters
        ----------
        now : float
        idle_timeout_s : float
            Longest time without any byte taken.
        is_paused : bool
            Whether the application has to wait before it writes more.
        """
        if not self.backlog.is_behind:
            return None
        self.backlog.update(self.unread_bytes, now)
        if self.state.is_ended:
            self.backlog.note_ended(now)
        return self.backlog.find_fault(
            now,
            idle_timeout_s,
            is_target_waiting=is_paused and self.is_streaming,
        )

    def discard(self) -> None:
        """Free what is held back; the connection has ended."""
        self.state.held = bytearray()
        self.state.closes_when_sent = False
        self.backlog.clear()
        # Without the reference back, the connection is freed at once.
        self.note_held = _note_nothing


def _note_nothing() -> None:
    """Do nothing; the connection has ended."""
