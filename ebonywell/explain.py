"""Tells a request's story from the logs of several processes."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

# Beliefs that changed so long before a request ended may explain its end.
LOOKBACK_S = 10.0
LOOKAHEAD_S = 0.5
# Events that change what a process believes, whatever request it serves.
STATE_EVENTS = frozenset(
    (
        'started',
        'stopping',
        'stopped',
        'signal',
        'joined',
        'configuration_applied',
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
    """One line of a log.

    Attributes
    ----------
    time : float
        Unix time, in seconds.
    event : str
    fields : dict of str to str
    text : str
    """

    time: float
    event: str
    fields: dict[str, str]
    text: str


def parse_line(text: str) -> LogLine | None:
    """Return a line's fields, None if it is none of this project's."""
    fields = {name: found.strip('"') for name, found in _PAIR.findall(text)}
    try:
        at = float(fields.pop('time', ''))
    except ValueError:
        return None
    event = fields.pop('event', '')
    return LogLine(at, event, fields, text.strip()) if event else None


def find_related_lines(request_id: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the lines that tell a request's story, in the order of time.

    Those are the request's own, what its hosts and targets went through
    shortly before, and the orders for its model.
    """
    parsed = [one for one in map(parse_line, lines) if one is not None]
    own = [one for one in parsed if one.fields.get('request') == request_id]
    if not own:
        return []
    story = [one for one in parsed if one in own or _is_related(one, own)]
    return sorted(story, key=lambda one: one.time)


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
