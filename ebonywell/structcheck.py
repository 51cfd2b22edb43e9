"""Finds all type faults of a parsed file, each with its place."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec


def find_faults(
    parsed: Any,
    struct_type: type[msgspec.Struct],
    place: str = '',
) -> Iterator[str]:
    """Yield a sentence for each field that is missing or of another type.

    Parameters
    ----------
    parsed : object
        Parsed YAML or TOML.
    struct_type : type
        Expected struct. Fields that it does not define are ignored.
    place : str
        Place of `parsed` in its file.
    """
    if not isinstance(parsed, Mapping):
        where = place or 'the file'
        yield f'{where}: must be a table'
        return
    for field in msgspec.structs.fields(struct_type):
        name = field.encode_name
        inner = f'{place}.{name}' if place else name
        if name not in parsed:
            if field.required:
                yield f'{inner}: is missing'
            continue
        yield from _field_faults(parsed[name], field.type, inner)


def _field_faults(parsed: Any, field_type: Any, place: str) -> Iterator[str]:
    if isinstance(field_type, type) and issubclass(field_type, msgspec.Struct):
        yield from find_faults(parsed, field_type, place)
        return
    try:
        msgspec.convert(parsed, field_type, strict=False)
    except msgspec.ValidationError as error:
        yield f'{place}: {error}'
