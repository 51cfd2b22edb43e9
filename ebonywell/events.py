"""Splits a stream into whole events, so that another target can resume it."""

from dataclasses import dataclass, field

from .exceptions import EventOrderError, EventTooLongError

# Faulty targets may send an event without end.
MAX_EVENT_BYTES = 262_144
_END = b'\n\n'
# Length of an end of event with carriage returns.
_TAIL_BYTES = 4
_ID = b'id:'
_NEXT_ID = b'\nid:'
_COMMENT = b':'


@dataclass(slots=True)
class EventBoundary:
    """Tells whether a stream has ended between two events.

    Attributes
    ----------
    tail : bytes
        The last bytes of the stream.
    partial_bytes : int
        Bytes received since the last event that is complete.
    """

    tail: bytes = b''
    partial_bytes: int = 0

    def feed(self, body: bytes) -> None:
        """Add bytes of the stream.

        Raises
        ------
        EventTooLongError
            If an event does not end.
        """
        seen = (self.tail + body).replace(b'\r\n', b'\n')
        _, end, rest = seen.rpartition(_END)
        if end:
            self.partial_bytes = len(rest)
        else:
            self.partial_bytes += len(body)
        self.tail = (self.tail + body)[-_TAIL_BYTES:]
        if self.partial_bytes > MAX_EVENT_BYTES:
            raise EventTooLongError(f'{self.partial_bytes} bytes')

    @property
    def is_reached(self) -> bool:
        """Whether the last bytes completed an event."""
        return self.tail.replace(b'\r\n', b'\n').endswith(_END)


@dataclass(slots=True)
class EventSplitter:
    """Splits a resumable stream into whole events.

    Attributes
    ----------
    partial_event : bytearray
        Beginning of an event that has not been received completely. It holds
        no end of an event, and is not searched again.
    carriage_return : bytes
        The last byte received, if it may be the first of a line's end.
    last_id : bytes
        Id of the last whole event; empty before the first.
    resumed_after : bytes
        Id after which the next event has to follow, if the stream is resumed
        at another target; empty once it has.
    """

    partial_event: bytearray = field(default_factory=bytearray)
    carriage_return: bytes = b''
    last_id: bytes = b''
    resumed_after: bytes = b''

    def resume(self) -> None:
        """Expect the continuation of the stream from another target.

        A truncated event is dropped; the other target sends it completely.
        """
        self.partial_event.clear()
        self.carriage_return = b''
        self.resumed_after = self.last_id

    def feed(self, body: bytes) -> bytes:
        """Add bytes and return the events that they complete.

        Raises
        ------
        EventOrderError
            If the stream was resumed and does not go on after its last event.
        """
        received = self.carriage_return + body
        self.carriage_return = b'\r' if received.endswith(b'\r') else b''
        received = received.removesuffix(b'\r').replace(b'\r\n', b'\n')
        searched = max(0, len(self.partial_event) + 1 - len(_END))
        self.partial_event += received
        end = self.partial_event.rfind(_END, searched)
        if end < 0:
            return b''
        end += len(_END)
        events = bytes(self.partial_event[:end])
        self.partial_event = self.partial_event[end:]
        if self.resumed_after:
            self._check_continuation(events)
        self._store_id(events)
        return events

    def _check_continuation(self, events: bytes) -> None:
        """Check the first event after the resumption, skipping comments."""
        for event in events.removesuffix(_END).split(_END):
            lines = event.split(b'\n')
            ids = [line for line in lines if line.startswith(_ID)]
            if ids:
                found = ids[-1][len(_ID) :].strip()
                if not follows(self.resumed_after, found):
                    raise EventOrderError(f'{found!r} after {self.last_id!r}')
                self.resumed_after = b''
                return
            if not all(line.startswith(_COMMENT) for line in lines):
                raise EventOrderError(f'no id after {self.last_id!r}')

    def _store_id(self, events: bytes) -> None:
        start = events.rfind(_NEXT_ID)
        start = start + 1 if start >= 0 else 0
        if events.startswith(_ID, start):
            line, _, _ = events[start:].partition(b'\n')
            self.last_id = line[len(_ID) :].strip()


def follows(earlier_id: bytes, later_id: bytes) -> bool:
    """Return whether one event's id may come after another's.

    Ids rise within a stream. Those that are no decimal numbers can only be
    told apart.
    """
    if earlier_id.isdigit() and later_id.isdigit():
        return int(later_id) > int(earlier_id)
    return later_id != earlier_id
