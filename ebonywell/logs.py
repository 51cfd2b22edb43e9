"""Structured logs with one line of key=value pairs for each event."""

import json
import re
from logging import Formatter
from typing import Any, Protocol

from absl import logging

# Printable ASCII except spaces, double quotes, equals signs and backslashes.
_PLAIN = re.compile(r'[!#-<>-\[\]-~]+')


class Logger(Protocol):
    """Interface of a function that logs one event."""

    def __call__(self, event: str, /, **fields: Any) -> None:
        """Write an event with its fields."""


class _LineFormatter(Formatter):
    """Formats a record as a line that begins with a time=value pair."""

    def format(self, record: Any) -> str:
        """Return a record's line."""
        message = super().format(record)
        if not message.startswith('event='):
            # Messages of libraries are sentences or tracebacks, so they are
            # formatted as one event on one line.
            message = format_event(
                'library_message',
                logger=record.name,
                text=message,
            )
        return f'time={record.created:.6f} {message}'


def start_logging() -> None:
    """Write events of level info and above to standard error."""
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    handler = logging.get_absl_handler()
    handler.setFormatter(_LineFormatter())


def format_event(event: str, **fields: Any) -> str:
    """Return the line for an event.

    Values that hold spaces, quotes or control characters are quoted as JSON
    strings, so that a line never holds a line break.
    """
    pairs = ''.join(
        f' {key}={_format_value(value)}' for key, value in fields.items()
    )
    return f'event={event}{pairs}'


def _format_value(value: Any) -> str:
    if isinstance(value, float):
        return format(value, '.6g')
    text = str(value)
    return text if _PLAIN.fullmatch(text) else json.dumps(text)


def write_event(event: str, /, **fields: Any) -> None:
    """Write an event through absl's logging at level info."""
    logging.info('%s', format_event(event, **fields))


def bind(log: Logger, **bound: Any) -> Logger:
    """Return a logger that adds the given fields to every event."""

    def bound_log(event: str, /, **fields: Any) -> None:
        log(event, **bound, **fields)

    return bound_log


def discard_event(event: str, /, **fields: Any) -> None:
    """Discard an event; a logger for tests and benchmarks."""
