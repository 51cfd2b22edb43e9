"""Finds all faults of a file at once, each with its place."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec


def find_faults(
    found: Any,
    wanted: type[msgspec.Struct],
    place: str = '',
) -> Iterator[str]:
    """Yield a sentence for each field that is missing or of another type.

    Parameters
    ----------
    found : object
        What was read: parsed YAML or TOML.
    wanted : type
        A struct; fields that it does not have are no faults.
    place : str
        Where `found` stands in its file.
    """
    if not isinstance(found, Mapping):
        where = place or 'the file'
        yield f'{where}: must be a table'
        return
    for field in msgspec.structs.fields(wanted):
        name = field.encode_name
        inner = f'{place}.{name}' if place else name
        if name not in found:
            if field.required:
                yield f'{inner}: is missing'
            continue
        yield from _field_faults(found[name], field.type, inner)


def _field_faults(found: Any, wanted: Any, place: str) -> Iterator[str]:
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        yield from find_faults(found, wanted, place)
        return
    try:
        msgspec.convert(found, wanted, strict=False)
    except msgspec.ValidationError as error:
        yield f'{place}: {error}'
