"""Writes log lines to standard output without blocking the process."""

import collections
import logging
import os
import select
import sys
import time
from typing import Any

from .clock import boot_time
from .logs import Logger, format_event

# Maximum number of buffered lines while the output is not read; the oldest are
# dropped.
MAX_PENDING_LINES = 2000
# Default limit of lines per second for each pair of an event and a status.
# Lines over the limit are left out and counted.
MAX_LINES_PER_S = 100
# A pipe that is ready for writing takes this much without blocking (PIPE_BUF).
PIPE_BYTES = 4096
# Events of normal operation, except starts, stops and reloads, which are logged
# even in brief mode.
ROUTINE_EVENTS = frozenset(
    (
        'request_routed',
        'placement_decided',
        'order_given',
        'target_announced',
        'target_gone',
        'target_pace_changed',
        'configuration_applied',
        'joined',
        'limit_refused',
        'peer_heard',
        'fleet_heard',
    )
)
_ABORTED = 0
_SERVER_ERROR = 500
_NO_TIMEOUT = 0
_FORMATTER = logging.Formatter()


def is_problem(event: str, fields: dict[str, Any]) -> bool:
    """Return whether an event may be a problem, so that brief logs hold it."""
    if event == 'request_ended':
        status = int(fields['status'])
        return status == _ABORTED or status >= _SERVER_ERROR
    return event not in ROUTINE_EVENTS


# An event and its status, or None if it has no status.
EventKind = tuple[str, int | None]


class LineLog:
    """The log of one process; `event` is its `Logger`.

    Attributes
    ----------
    descriptor : int
    bound : dict
        Fields that are added to every line.
    pending : deque of bytes
        Lines that are not written yet.
    lines_per_s : int
        Maximum number of lines per second for each kind of event; a reload may
        change it.
    is_brief : bool
        Whether only problems are logged; a reload may change it.
    dropped : int
        Lines lost since the start because the output was not read.
    """

    def __init__(self, descriptor: int | None = None, **bound: Any) -> None:
        self.descriptor = (
            sys.stdout.fileno() if descriptor is None else descriptor
        )
        self.bound = bound
        self.pending: collections.deque[bytes] = collections.deque()
        self.lines_per_s = MAX_LINES_PER_S
        self.is_brief = False
        self.dropped = 0
        self.current_second = 0
        self.counts: collections.Counter[EventKind] = collections.Counter()
        self.poll = select.poll()
        self.poll.register(self.descriptor, select.POLLOUT)

    def event(self, event: str, /, **fields: Any) -> None:
        """Write an event with its fields, unless it exceeds the line rate."""
        if self.is_brief and not is_problem(event, fields):
            return
        self._report_left_out()
        # Each status has its own limit, so that many answers with one status do
        # not suppress the few with another.
        kind = (event, fields.get('status'))
        self.counts[kind] += 1
        if self.counts[kind] <= self.lines_per_s:
            self._add(event, fields)
            self.flush()

    def flush(self) -> None:
        """Write pending lines as far as the output accepts them."""
        while self.pending and self.poll.poll(_NO_TIMEOUT):
            try:
                written = os.write(
                    self.descriptor,
                    self.pending[0][:PIPE_BYTES],
                )
            except OSError:
                # The reader has closed the output, so the lines cannot be
                # written and the error cannot be reported.
                self.dropped += len(self.pending)
                self.pending.clear()
                return
            rest = self.pending.popleft()[written:]
            if rest:
                self.pending.appendleft(rest)

    def _report_left_out(self) -> None:
        second = int(boot_time())
        if second == self.current_second:
            return
        left_out = {
            kind: count - self.lines_per_s
            for kind, count in self.counts.items()
            if count > self.lines_per_s
        }
        self.current_second = second
        self.counts.clear()
        for (event, status), count in left_out.items():
            left = {'of': event, 'status': status, 'count': count}
            self._add('lines_left_out', left)

    def _add(self, event: str, fields: dict[str, Any]) -> None:
        if len(self.pending) >= MAX_PENDING_LINES:
            self.pending.popleft()
            self.dropped += 1
        shown = {
            name: content
            for name, content in fields.items()
            if content is not None
        }
        line = format_event(event, **self.bound, **shown)
        now = time.time()
        self.pending.append(f'time={now:.6f} {line}\n'.encode())


class LibraryHandler(logging.Handler):
    """Writes log messages of libraries as events, with the same rate limit.

    Attributes
    ----------
    log : Logger
    """

    def __init__(self, log: Logger) -> None:
        super().__init__()
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Write one message, with the traceback of its exception if any."""
        trace = None
        if record.exc_info:
            trace = _FORMATTER.formatException(record.exc_info)
        self.log(
            'library_message',
            logger=record.name,
            level=record.levelname.lower(),
            text=record.getMessage(),
            trace=trace,
        )


def capture_library_messages(log: Logger) -> None:
    """Replace the root logger's handlers by one that writes events."""
    root = logging.getLogger()
    for handler in tuple(root.handlers):
        root.removeHandler(handler)
    root.addHandler(LibraryHandler(log))
    root.setLevel(logging.WARNING)
