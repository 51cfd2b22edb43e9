"""Memory for answers of targets that are buffered before they are forwarded.

Faulty targets may send answers without end. The module is pure; it is designed
for many such answers at the same time, beside sound ones.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

# Maximum size of all answers that are buffered at the same time, if the memory
# limit of the process is not known.
MAX_BUFFERED_ANSWERS_BYTES = 50_331_648


@dataclass(slots=True, eq=False)
class AnswerBuffer:
    """The part of an answer that has been received.

    Attributes
    ----------
    body : bytearray
    is_dropped : bool
        Whether it was given up for other answers.
    """

    body: bytearray = field(default_factory=bytearray)
    is_dropped: bool = False


@dataclass(slots=True)
class AnswerBuffers:
    """All answers that are being buffered.

    Attributes
    ----------
    in_use : set of AnswerBuffer
    total_bytes : int
    max_bytes : int
    """

    in_use: set[AnswerBuffer] = field(default_factory=set)
    total_bytes: int = 0
    max_bytes: int = MAX_BUFFERED_ANSWERS_BYTES

    @contextmanager
    def open(self) -> Iterator[AnswerBuffer]:
        """Hold a buffer for one answer."""
        buffer = AnswerBuffer()
        self.in_use.add(buffer)
        try:
            yield buffer
        finally:
            self.in_use.remove(buffer)
            self.total_bytes -= len(buffer.body)

    def add(self, buffer: AnswerBuffer, part: bytes) -> None:
        """Add a part of an answer.

        If all answers together are too large, the largest is given up, so that
        answers without end take no room from sound ones.
        """
        if buffer.is_dropped:
            return
        buffer.body += part
        self.total_bytes += len(part)
        if self.total_bytes > self.max_bytes:
            largest = max(self.in_use, key=lambda one: len(one.body))
            self.total_bytes -= len(largest.body)
            largest.body = bytearray()
            largest.is_dropped = True
