"""The time line: a bounded record of the latest events of one process."""

import time
from collections import Counter, deque
from collections.abc import Callable, Iterable

import anyio
import msgspec

from .logs import Logger, discard_event

MAX_EVENTS = 20_000
DEFAULT_SELECT_LIMIT = 5000


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that happened in one process.

    Attributes
    ----------
    time : float
        Seconds since the epoch by the host's clock. Within one process it
        never goes back, even if the clock does.
    host : str
        Host id and incarnation.
    sequence : int
        Counts the events of one process from 1, without gaps.
    event : str
        What happened, as a short name.
    request : str
        Request id.
    workspace : str
    target : str
    fields : dict of str to str
        What else there is to say.
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
    """Which events are asked for; an empty string asks for all.

    Attributes
    ----------
    request, workspace, target : str
    since : float
        Seconds since the epoch.
    limit : int
        Only the latest so many events.
    """

    request: str = ''
    workspace: str = ''
    target: str = ''
    since: float = 0
    limit: int = DEFAULT_SELECT_LIMIT

    def accepts(self, event: Event) -> bool:
        """Return whether an event is one of those asked for."""
        return (
            event.time >= self.since
            and self.request in {'', event.request}
            and self.workspace in {'', event.workspace}
            and self.target in {'', event.target}
        )


class Timeline:
    """The service named ``timeline``: the latest events of one process.

    Attributes
    ----------
    host : str
        Host id and incarnation.
    events : deque of Event
        Bounded: the oldest go first.
    recorded_count : int
        How many events there have been, kept or not.
    counts : Counter of str
        How many there have been of each name.
    latest_at : float
        The time of the latest event, in seconds since the epoch.
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
        """Do nothing until cancelled; events are taken at any time."""
        ready()
        await anyio.sleep_forever()

    async def stop(self) -> None:
        """Do nothing; events are kept until the process ends."""

    def record(
        self,
        event: str,
        /,
        request: str = '',
        workspace: str = '',
        target: str = '',
        **fields: object,
    ) -> None:
        """Keep an event and write it to the log.

        Parameters
        ----------
        event : str
            A short name in snake case.
        request : str
            Request id.
        workspace, target : str
        **fields : object
            Kept as text. Never a caller's key.
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
    """Return the events of several processes in one order.

    Events of one process stand in the order in which they happened. Between
    processes the hosts' clocks decide, so that events closer together than
    these clocks agree may stand in either order.
    """
    together = [event for part in parts for event in part]
    return sorted(together, key=_sort_key)


def _sort_key(event: Event) -> tuple[float, str, int]:
    return event.time, event.host, event.sequence
