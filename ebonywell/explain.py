"""Finds the log lines of several processes that explain a request's result."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

# A state change up to this long before a request's last line may explain its
# result.
LOOKBACK_S = 10.0
LOOKAHEAD_S = 0.5
# Events that change the state of a whole process, not of a single request.
STATE_EVENTS = frozenset(
    (
        'started',
        'stopping',
        'stopped',
        'signal',
        'joined',
        'configuration_applied',
        'evacuation_begun',
        'evacuation_ended',
        'store_lost',
        'store_regained',
        'lease_claimed',
        'lease_lost',
        'lease_released',
        'orders_begin',
        'orders_end',
        'peer_silent',
        'peer_heard',
    )
)
_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(slots=True, frozen=True)
class LogLine:
    """Parsed log line.

    Attributes
    ----------
    time : float
        Unix time, in seconds.
    event : str
        Name of the event.
    fields : dict of str to str
        All fields except the time and the event.
    text : str
        Line as it was written.
    """

    time: float
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not in this project's format."""
    fields = {name: found.strip('"') for name, found in _PAIR.findall(text)}
    try:
        unix_time = float(fields.pop('time', ''))
    except ValueError:
        return None
    event = fields.pop('event', '')
    return LogLine(unix_time, event, fields, text.strip()) if event else None


def find_related_lines(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that explain a request's result, sorted by time.

    These are the request's own lines, the state changes of its hosts shortly
    before its last line, and lines of that period that name its targets or its
    model, such as orders, and belong to no other request.
    """
    parsed = [one for one in map(parse_line, lines) if one is not None]
    own = [one for one in parsed if one.fields.get('request') == request_id]
    if not own:
        return []
    related = [one for one in parsed if one in own or _is_related(one, own)]
    return sorted(related, key=lambda one: one.time)


def _is_related(line: LogLine, own: list[LogLine]) -> bool:
    last = max(one.time for one in own)
    if not last - LOOKBACK_S <= line.time <= last + LOOKAHEAD_S:
        return False
    if line.event in STATE_EVENTS:
        return line.fields.get('host') in set(_values(own, 'host'))
    if 'request' in line.fields:
        return False
    named = {*_values(own, 'target'), *_values(own, 'model')}
    return bool(named & set(line.fields.values()))


def _values(lines: Iterable[LogLine], name: str) -> Iterator[str]:
    for line in lines:
        found = line.fields.get(name)
        if found is not None:
            yield found
