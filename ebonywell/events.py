"""Splits a stream into whole events, so that it can go on elsewhere."""

from dataclasses import dataclass

_END = b'\n\n'
_ID = b'id:'
_NEXT_ID = b'\nid:'


@dataclass(slots=True)
class EventSplitter:
    """Whole events of a stream that may be resumed.

    Attributes
    ----------
    partial_event : bytes
        The beginning of an event that is not whole yet.
    last_id : bytes
        The id of the last whole event; empty before the first.
    """

    partial_event: bytes = b''
    last_id: bytes = b''

    def feed(self, body: bytes) -> bytes:
        """Take bytes, and return the whole events that they complete."""
        data = (self.partial_event + body).replace(b'\r\n', b'\n')
        end = data.rfind(_END)
        if end < 0:
            self.partial_event = data
            return b''
        end += len(_END)
        whole = data[:end]
        self.partial_event = data[end:]
        self._note_id(whole)
        return whole

    def discard_partial(self) -> None:
        """Drop the event that was cut; the next run sends it whole."""
        self.partial_event = b''

    def _note_id(self, whole: bytes) -> None:
        start = whole.rfind(_NEXT_ID)
        start = start + 1 if start >= 0 else 0
        if whole.startswith(_ID, start):
            line, _, _ = whole[start:].partition(b'\n')
            self.last_id = line[len(_ID) :].strip()
