"""Splits a stream into whole events, so that another target can resume it."""

from dataclasses import dataclass

_END = b'\n\n'
# Length of an end of event with carriage returns.
_TAIL_BYTES = 4
_ID = b'id:'
_NEXT_ID = b'\nid:'


@dataclass(slots=True)
class EventBoundary:
    """Tells whether a stream has ended between two events.

    Attributes
    ----------
    tail : bytes
        The last bytes of the stream.
    """

    tail: bytes = b''

    def feed(self, body: bytes) -> None:
        """Add bytes of the stream."""
        self.tail = (self.tail + body)[-_TAIL_BYTES:]

    @property
    def is_reached(self) -> bool:
        """Whether the last bytes completed an event."""
        return self.tail.replace(b'\r\n', b'\n').endswith(_END)


@dataclass(slots=True)
class EventSplitter:
    """Splits a resumable stream into whole events.

    Attributes
    ----------
    partial_event : bytes
        Beginning of an event that has not been received completely.
    last_id : bytes
        Id of the last whole event; empty before the first.
    """

    partial_event: bytes = b''
    last_id: bytes = b''

    def feed(self, body: bytes) -> bytes:
        """Add bytes and return the events that they complete."""
        data = (self.partial_event + body).replace(b'\r\n', b'\n')
        end = data.rfind(_END)
        if end < 0:
            self.partial_event = data
            return b''
        end += len(_END)
        events = data[:end]
        self.partial_event = data[end:]
        self._store_id(events)
        return events

    def discard_partial(self) -> None:
        """Drop a truncated event; the next target sends it completely."""
        self.partial_event = b''

    def _store_id(self, events: bytes) -> None:
        start = events.rfind(_NEXT_ID)
        start = start + 1 if start >= 0 else 0
        if events.startswith(_ID, start):
            line, _, _ = events[start:].partition(b'\n')
            self.last_id = line[len(_ID) :].strip()
