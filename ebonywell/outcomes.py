"""Outcomes of the operators' commands, and their output formats."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgspec

from .changes import Entry
from .logs import format_event
from .opmessages import CatalogueView
from .timeline import Event
from .types import EntryKind


@dataclass(slots=True)
class Outcome:
    """Outcome of a command.

    Attributes
    ----------
    code : int
        Exit code.
    body : object
        Value that ``--output json`` prints.
    lines : list of str
        Lines that ``--output text`` prints.
    stderr_lines : list of str
        Lines that ``--output text`` writes to standard error.
    """

    code: int
    body: object
    lines: list[str]
    stderr_lines: list[str] = field(default_factory=list)


def encode_body(body: object) -> str:
    """Encode a body as one line of JSON."""
    return msgspec.json.encode(body).decode()


def event_line(event: Event) -> str:
    """Return an event as one line of text that starts with its time in UTC."""
    moment = datetime.fromtimestamp(event.time, UTC)
    stamp = moment.isoformat(timespec='microseconds').replace('+00:00', 'Z')
    named = {
        'request': event.request,
        'workspace': event.workspace,
        'target': event.target,
    }
    present = {name: text for name, text in named.items() if text}
    pairs = format_event(event.event, **present, **event.fields)
    return f'{stamp} host={event.host} sequence={event.sequence} {pairs}'


def catalogue_lines(view: CatalogueView) -> list[str]:
    """Return a catalogue as lines of text output."""
    return [
        *_entry_lines(view),
        *_workspace_lines(view),
        *(
            f'approval   {one.workspace} may call {one.entry}'
            for one in view.approvals
            if one.granted
        ),
    ]


def _entry_lines(view: CatalogueView) -> Iterator[str]:
    for entry in view.entries:
        access = 'open to all' if entry.open else 'by approval'
        details = [entry.service_class, access, *_entry_details(entry)]
        listed = ', '.join(details)
        revision = view.revisions.get(f'entry/{entry.name}', 0)
        kind = entry.kind.ljust(len('workspace'))
        yield f'{kind}  {entry.name}  {listed}  revision {revision}'


def _entry_details(entry: Entry) -> list[str]:
    if entry.kind == EntryKind.model:
        adapters = len(entry.adapters)
        return [f'{entry.bytes} bytes', f'{adapters} adapters']
    return ['idempotent' if entry.idempotent else 'not idempotent']


def _workspace_lines(view: CatalogueView) -> Iterator[str]:
    for workspace in view.workspaces:
        limits = {
            'rate': workspace.rate,
            'burst': workspace.burst,
            'weight': workspace.weight,
        }
        listed = ', '.join(map(_format_limit, limits.items()))
        revision = view.revisions.get(f'workspace/{workspace.name}', 0)
        yield f'workspace  {workspace.name}  {listed}  revision {revision}'


def _format_limit(limit: tuple[str, float]) -> str:
    name, number = limit
    shown = format(number, 'g')
    return f'{name} {shown}'
