"""Splits the bytes of a caller's connection where a request may end.

A parser that is given one piece at a time stops at the end of each request,
so that requests sent ahead of their answers wait as bytes. The module is pure.
"""

from collections.abc import Sequence

_EMPTY_LINE = b'\r\n\r\n'
_TAIL_BYTES = len(_EMPTY_LINE) - 1


class RequestSplitter:
    """Finds the next piece to parse.

    Attributes
    ----------
    body_left : int
        Rest of a body whose length was stated. All else (heads, chunked bodies)
        ends with an empty line.
    tail : bytes
        End of the last piece, since an empty line may span two.
    """

    def __init__(self) -> None:
        self.body_left = 0
        self.tail = b''

    def take(self, received: bytes, start: int) -> bytes:
        """Return the piece that begins at `start`, at least one byte."""
        if self.body_left:
            piece = received[start : start + self.body_left]
            self.body_left -= len(piece)
            return piece
        piece = received[start : self._find_end(received, start)]
        end = (self.tail + piece)[-len(_EMPTY_LINE) :]
        self.tail = b'' if end == _EMPTY_LINE else end[-_TAIL_BYTES:]
        return piece

    def _find_end(self, received: bytes, start: int) -> int:
        if self.tail:
            seam = self.tail + received[start : start + _TAIL_BYTES]
            found = seam.find(_EMPTY_LINE)
            if found >= 0:
                return start + found + len(_EMPTY_LINE) - len(self.tail)
        found = received.find(_EMPTY_LINE, start)
        return len(received) if found < 0 else found + len(_EMPTY_LINE)


def stated_length(headers: Sequence[tuple[bytes, bytes]]) -> int:
    """Return the stated length of a body, 0 if it is absent or in chunks."""
    length = 0
    for name, content in headers:
        if name == b'transfer-encoding':
            return 0
        if name == b'content-length' and content.isdigit():
            length = int(content)
    return length
