"""Checks of catalogue changes that their types do not express."""

import math
import re
from collections.abc import Iterable, Iterator

import msgspec

from . import changes
from .types import EntryKind

MAX_NAME_LENGTH = 64
DIGEST_PATTERN = re.compile('[0-9a-f]{64}')
_NAME_PATTERN = re.compile('[A-Za-z0-9][A-Za-z0-9._-]*')


def find_faults(record: changes.CatalogueRecord) -> list[str]:
    """Return a sentence for each fault of a change, none if it is valid."""
    match record:
        case changes.EntrySet():
            return list(entry_faults(record.entry))
        case changes.WorkspaceSet():
            return list(workspace_faults(record.workspace))
        case changes.KeyIssued():
            return list(_key_faults(record))
        case _:
            return []


def name_faults(kind: str, name: str) -> Iterator[str]:
    """Yield a sentence for each fault of a name."""
    if not _NAME_PATTERN.fullmatch(name):
        yield (
            f'{kind} {name!r} must be made of letters, digits, dots, '
            'underscores and hyphens, and start with a letter or digit'
        )
    if len(name) > MAX_NAME_LENGTH:
        yield f'{kind} is longer than {MAX_NAME_LENGTH} characters'


def entry_faults(entry: changes.Entry) -> Iterator[str]:
    """Yield a sentence for each fault of an entry."""
    yield from name_faults('name', entry.name)
    if entry.kind == EntryKind.model:
        yield from _model_faults(entry)
    else:
        yield from _service_faults(entry)


def workspace_faults(workspace: changes.Workspace) -> Iterator[str]:
    """Yield a sentence for each fault of a workspace and its limits."""
    yield from name_faults('name', workspace.name)
    for name in ('rate', 'burst', 'weight'):
        number = getattr(workspace, name)
        if not math.isfinite(number) or number <= 0:
            yield f'{name} must be a number greater than 0, not {number}'


def unknown_fields(
    given: object, decoded: object, place: str = ''
) -> list[str]:
    """Return the places of fields that decoding has ignored.

    Parameters
    ----------
    given : object
        Parsed JSON or TOML, before decoding.
    decoded : object
        Decoded struct, converted to plain lists and dicts.
    place : str
        Place of both values in the document.
    """
    if isinstance(given, dict) and isinstance(decoded, dict):
        return [
            fault
            for name, inner in given.items()
            for fault in _field_faults(name, inner, decoded, place)
        ]
    if isinstance(given, list) and isinstance(decoded, list | tuple):
        return [
            fault
            for index, pair in enumerate(zip(given, decoded, strict=True))
            for fault in unknown_fields(*pair, f'{place}[{index}]')
        ]
    return []


def _field_faults(
    name: str,
    inner: object,
    decoded: dict[str, object],
    place: str,
) -> list[str]:
    here = f'{place}.{name}' if place else name
    if name not in decoded:
        return [here]
    return unknown_fields(inner, decoded[name], here)


def to_plain(struct: msgspec.Struct) -> object:
    """Convert a struct to plain lists and dicts, for `unknown_fields`."""
    return msgspec.to_builtins(struct)


def _model_faults(entry: changes.Entry) -> Iterator[str]:
    if entry.bytes <= 0:
        yield 'bytes must be greater than 0 for a model'
    if entry.max_output_tokens <= 0:
        yield 'max_output_tokens must be greater than 0'
    if entry.targets:
        yield 'targets are for services; models are placed by the system'
    for adapter in entry.adapters:
        yield from name_faults('adapter', adapter.name)
        if adapter.bytes <= 0:
            yield f'adapter {adapter.name}: bytes must be greater than 0'
    yield from _duplicate_faults(
        'adapter', (one.name for one in entry.adapters)
    )


def _service_faults(entry: changes.Entry) -> Iterator[str]:
    if not entry.targets:
        yield 'targets must name at least one target of the service'
    if entry.adapters or entry.bytes:
        yield 'bytes and adapters are for models'
    for target in entry.targets:
        yield from name_faults('target', target)
    yield from _duplicate_faults('target', entry.targets)


def _duplicate_faults(kind: str, names: Iterable[str]) -> Iterator[str]:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            yield f'{kind} {name} stands twice'
        seen.add(name)


def _key_faults(record: changes.KeyIssued) -> Iterator[str]:
    yield from name_faults('key_id', record.key_id)
    if not DIGEST_PATTERN.fullmatch(record.digest):
        yield 'digest must be a SHA-256 digest in lower-case hex'
