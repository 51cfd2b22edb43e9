"""Time line: a bounded record of the latest events of a process."""

import time
from collections import Counter, deque
from collections.abc import Callable, Iterable

import anyio
import msgspec

from .logs import Logger, discard_event

MAX_EVENTS = 20_000
DEFAULT_SELECT_LIMIT = 5000


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """Event in a process.

    Attributes
    ----------
    time : float
        Unix time by the host's clock, in seconds. Within a process it never
        decreases, even if the clock is set back.
    host : str
        Host id and incarnation.
    sequence : int
        Number of the event within its process, from 1, without gaps.
    event : str
        Name of the event, in snake case.
    request : str
        Request id.
    workspace : str
    target : str
    fields : dict of str to str
        Further details of the event.
    """

    time: float
    host: str
    sequence: int
    event: str
    request: str = ''
    workspace: str = ''
    target: str = ''
    fields: dict[str, str] = {}


class EventFilter(msgspec.Struct, frozen=True):
    """Filter for events; an empty string matches any value.

    Attributes
    ----------
    request, workspace, target : str
    since : float
        Earliest event time, as Unix time in seconds.
    limit : int
        Maximum number of events; the latest ones are selected.
    """

    request: str = ''
    workspace: str = ''
    target: str = ''
    since: float = 0
    limit: int = DEFAULT_SELECT_LIMIT

    def accepts(self, event: Event) -> bool:
        """Return whether an event matches the filter, regardless of `limit`."""
        return (
            event.time >= self.since
            and self.request in {'', event.request}
            and self.workspace in {'', event.workspace}
            and self.target in {'', event.target}
        )


class Timeline:
    """Service ``timeline``, which keeps the latest events of a process.

    Attributes
    ----------
    host : str
        Host id and incarnation.
    events : deque of Event
        Latest events. When the deque is full, the oldest event is dropped.
    recorded_count : int
        Number of events recorded since the start, including dropped ones.
    counts : Counter of str
        Number of events recorded since the start, by event name.
    latest_at : float
        Unix time of the latest event, in seconds.
    """

    def __init__(
        self,
        host: str,
        log: Logger = discard_event,
        wall_clock: Callable[[], float] = time.time,
        capacity: int = MAX_EVENTS,
    ) -> None:
        self.host = host
        self.log = log
        self.wall_clock = wall_clock
        self.events: deque[Event] = deque(maxlen=capacity)
        self.recorded_count = 0
        self.counts: Counter[str] = Counter()
        self.latest_at: float = 0

    async def run(self, ready: Callable[[], None]) -> None:
        """Wait until cancelled; `record` works at any time."""
        ready()
        await anyio.sleep_forever()

    async def stop(self) -> None:
        """Do nothing, because events are kept until the process ends."""

    def record(
        self,
        event: str,
        /,
        request: str = '',
        workspace: str = '',
        target: str = '',
        **fields: object,
    ) -> None:
        """Record an event and write it to the log.

        Parameters
        ----------
        event : str
            Name of the event, in snake case.
        request : str
            Request id.
        workspace, target : str
        **fields : object
            Further details, stored as text. They must not contain a caller's
            key.
        """
        named = {'request': request, 'workspace': workspace, 'target': target}
        self.recorded_count += 1
        self.counts[event] += 1
        self.latest_at = max(self.latest_at, self.wall_clock())
        self.events.append(
            Event(
                time=self.latest_at,
                host=self.host,
                sequence=self.recorded_count,
                event=event,
                **named,
                fields={name: str(text) for name, text in fields.items()},
            ),
        )
        present = {name: text for name, text in named.items() if text}
        self.log(event, **present, **fields)

    def select(self, event_filter: EventFilter) -> list[Event]:
        """Return the latest events that a filter accepts, oldest first."""
        chosen: deque[Event] = deque(maxlen=max(event_filter.limit, 0))
        chosen.extend(filter(event_filter.accepts, self.events))
        return list(chosen)


def merge(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several processes, sorted by time.

    Events of one process keep the order in which they happened. Events of
    different processes are ordered by the hosts' clocks, so events that are
    closer together than the clock skew may appear in either order.
    """
    together = [event for part in parts for event in part]
    return sorted(together, key=_sort_key)


def _sort_key(event: Event) -> tuple[float, str, int]:
    return event.time, event.host, event.sequence
