"""Progress of the request that a caller's connection receives.

The module is pure; it is designed for callers that send slowly or without end.
"""

import enum
from dataclasses import dataclass

from .routetable import CallerLimits

# Estimated memory for the objects of a header and of a request in progress.
HEADER_COST_BYTES = 200
REQUEST_COST_BYTES = 16_384
# A request line may have this size in addition to the headers.
REQUEST_LINE_BYTES = 8192


class Stage(enum.Enum):
    """What a connection is doing.

    Attributes
    ----------
    idle
        No byte of a request has been received since the last answer.
    head
        A request's head is being received.
    body
        Its body is being received; the application has begun to handle it.
    answering
        It was received whole and its answer has not ended.
    """

    idle = 'idle'
    head = 'head'
    body = 'body'
    answering = 'answering'


@dataclass(slots=True)
class RequestProgress:
    """Progress of the request on a connection.

    Times are those of the event loop's clock, in seconds.

    Attributes
    ----------
    since : float
        When the stage began.
    stage : Stage
    moved_at : float
        When the last bytes of the body were received.
    framing_bytes : int
        Bytes of the head, or of the body's framing since the last byte of the
        body itself.
    piece_bytes : int
        Size of the piece that is being parsed.
    head_bytes, body_bytes : int
    unparsed : bytes
        Beginning of the requests that follow.
    """

    since: float
    stage: Stage = Stage.idle
    moved_at: float = 0
    framing_bytes: int = 0
    piece_bytes: int = 0
    head_bytes: int = 0
    body_bytes: int = 0
    unparsed: bytes = b''

    def enter(self, stage: Stage, now: float) -> None:
        """Begin a stage."""
        self.stage = stage
        self.since = now
        self.moved_at = now

    def begin_head(self, now: float) -> None:
        """Begin a request with the piece that is being parsed."""
        self.enter(Stage.head, now)
        self.framing_bytes = self.piece_bytes
        self.head_bytes = 0
        self.body_bytes = 0

    def begin_body(self, now: float) -> None:
        """End the head of the request."""
        self.enter(Stage.body, now)
        self.head_bytes = self.framing_bytes
        self.framing_bytes = 0

    def add_piece(self, size: int) -> None:
        """Count a piece before it is parsed."""
        self.piece_bytes = size
        self.framing_bytes += size

    def add_body(self, size: int) -> None:
        """Count a part of the body."""
        self.framing_bytes = 0
        self.body_bytes += size

    @property
    def is_receiving(self) -> bool:
        """Whether the caller may be sending more."""
        is_whole = self.stage in {Stage.idle, Stage.answering}
        return not is_whole or bool(self.unparsed)

    def count_kept(self, headers: int) -> int:
        """Return the memory that what was received takes, in bytes.

        Parameters
        ----------
        headers : int
            Number of headers received.
        """
        kept_bytes = len(self.unparsed)
        if self.stage is Stage.idle:
            return kept_bytes
        kept_bytes += headers * HEADER_COST_BYTES
        if self.stage is Stage.head:
            return kept_bytes + self.framing_bytes
        return (
            kept_bytes + self.head_bytes + self.body_bytes + REQUEST_COST_BYTES
        )

    def has_endless_framing(self, limits: CallerLimits) -> bool:
        """Return whether a head, or the framing of a body, is too long."""
        limit = limits.max_header_bytes + REQUEST_LINE_BYTES
        is_received = self.stage is not Stage.answering
        return is_received and self.framing_bytes > limit

    def find_overdue(self, now: float, limits: CallerLimits) -> str | None:
        """Return what the caller takes too long for, if anything."""
        age_s = now - self.since
        if self.stage is Stage.idle:
            return 'idle' if age_s > limits.idle_timeout_s else None
        if self.stage is Stage.head:
            return 'head_timeout' if age_s > limits.header_timeout_s else None
        is_stalled = now - self.moved_at > limits.idle_timeout_s
        is_late = is_stalled or age_s > limits.body_timeout_s
        is_sending = self.stage is Stage.body
        return 'body_timeout' if is_late and is_sending else None
