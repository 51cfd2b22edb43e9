"""Reads and checks catalogue files."""

import tomllib
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from . import checks
from .changes import Entry, Workspace
from .exceptions import CatalogueFileError
from .types import EntryKind

SECTIONS = ('entry', 'workspace', 'approval')
MAX_FILE_BYTES = 1 << 24
_Part = TypeVar('_Part', bound=msgspec.Struct)


class Approval(msgspec.Struct, frozen=True):
    """Approval of a workspace for an entry, as listed in a catalogue file."""

    workspace: str
    entry: str


@dataclass(slots=True, frozen=True)
class DesiredCatalogue:
    """Content of a catalogue file.

    Attributes
    ----------
    entries : tuple of Entry
    workspaces : tuple of Workspace
    approvals : tuple of Approval
    """

    entries: tuple[Entry, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    approvals: tuple[Approval, ...] = ()


class _Reader:
    """Reads one catalogue file and collects all of its faults.

    Attributes
    ----------
    document : dict of str to object
        Parsed TOML document.
    faults : list of str
        Faults as ``place: sentence``, in the order of detection.
    """

    def __init__(self, document: dict[str, Any]) -> None:
        self.document = document
        self.faults: list[str] = []

    def read(self) -> DesiredCatalogue:
        """Return the items that could be read; `faults` lists all faults."""
        for name in self.document:
            if name not in SECTIONS:
                self.faults.append(f'{name}: no such section')
        desired = DesiredCatalogue(
            self._read_section('entry', Entry, checks.entry_faults),
            self._read_section(
                'workspace',
                Workspace,
                checks.workspace_faults,
            ),
            self._read_section('approval', Approval, lambda _: ()),
        )
        self.faults.extend(_approval_faults(desired))
        return desired

    def _read_section(
        self,
        section: str,
        kind: type[_Part],
        find_faults: Callable[[_Part], Iterable[str]],
    ) -> tuple[_Part, ...]:
        tables = self.document.get(section, [])
        if not isinstance(tables, list):
            self.faults.append(f'{section}: write it as [[{section}]]')
            return ()
        parts: list[_Part] = []
        first_places: dict[str, str] = {}
        for number, table in enumerate(tables, 1):
            place = _place(section, number, table)
            part = self._read_part(place, table, kind)
            if part is None:
                continue
            parts.append(part)
            self._add_faults(place, find_faults(part))
            first = first_places.setdefault(_identity(part), place)
            if first != place:
                self._add_faults(place, [f'is a duplicate of {first}'])
        return tuple(parts)

    def _read_part(
        self,
        place: str,
        table: object,
        kind: type[_Part],
    ) -> _Part | None:
        try:
            part = msgspec.convert(table, kind)
        except msgspec.ValidationError as error:
            self._add_faults(place, [str(error)])
            return None
        unknown = checks.unknown_fields(table, checks.to_plain(part))
        self._add_faults(place, [f'no such field: {name}' for name in unknown])
        return part

    def _add_faults(self, place: str, sentences: Iterable[str]) -> None:
        self.faults.extend(f'{place}: {sentence}' for sentence in sentences)


def read_file(path: Path) -> DesiredCatalogue:
    """Read and check a catalogue file.

    Raises
    ------
    CatalogueFileError
        If the file has faults; the error holds all of them, each with the
        path, the place in the file and a sentence.
    """
    try:
        return parse(_read_text(path))
    except CatalogueFileError as error:
        faults = [f'{path}: {fault}' for fault in error.args]
        raise CatalogueFileError(*faults) from error


def parse(text: str) -> DesiredCatalogue:
    """Parse and check the text of a catalogue file.

    Raises
    ------
    CatalogueFileError
        If the text has faults; the error holds all of them.
    """
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise CatalogueFileError(f'not TOML: {error}') from error
    reader = _Reader(document)
    desired = reader.read()
    if reader.faults:
        raise CatalogueFileError(*reader.faults)
    return desired


def _read_text(path: Path) -> str:
    try:
        with path.open('rb') as stream:
            content = stream.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise CatalogueFileError(f'{error.strerror}') from error
    if len(content) > MAX_FILE_BYTES:
        raise CatalogueFileError(f'longer than {MAX_FILE_BYTES} bytes')
    try:
        return content.decode()
    except UnicodeDecodeError as error:
        raise CatalogueFileError(f'not UTF-8: {error}') from error


def _place(section: str, number: int, table: object) -> str:
    name = table.get('name') if isinstance(table, dict) else None
    shown = f' {name!r}' if isinstance(name, str) else ''
    return f'{section} {number}{shown}'


def _identity(part: msgspec.Struct) -> str:
    if isinstance(part, Approval):
        return f'{part.workspace}/{part.entry}'
    return str(getattr(part, 'name', ''))


def _approval_faults(desired: DesiredCatalogue) -> Iterator[str]:
    entries = {entry.name for entry in desired.entries}
    workspaces = {workspace.name for workspace in desired.workspaces}
    for number, approval in enumerate(desired.approvals, 1):
        place = f'approval {number}'
        if approval.workspace not in workspaces:
            yield f'{place}: no workspace {approval.workspace!r} in this file'
        if approval.entry not in entries:
            yield f'{place}: no entry {approval.entry!r} in this file'


def count_models(desired: DesiredCatalogue) -> int:
    """Return the number of entries that are models."""
    return sum(entry.kind == EntryKind.model for entry in desired.entries)
