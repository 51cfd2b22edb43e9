"""Converts results of benches to named figures and compares them."""

import math
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

MAX_STEADY_RATIO = 1.25
Table = list[dict[str, Any]]


@dataclass(slots=True)
class Comparison:
    """A figure in the current result and in an earlier one.

    Attributes
    ----------
    name : str
    earlier : float
    current : float
    """

    name: str
    earlier: float
    current: float

    @property
    def ratio(self) -> float:
        """Current divided by earlier; infinite if the earlier figure is 0."""
        if self.earlier == self.current:
            return 1
        return self.current / self.earlier if self.earlier else math.inf

    @property
    def is_steady(self) -> bool:
        """Whether both figures differ by at most `MAX_STEADY_RATIO`."""
        return 1 / MAX_STEADY_RATIO <= self.ratio <= MAX_STEADY_RATIO


def tabulate(rows: Sequence[object]) -> Table:
    """Return dataclasses, structs or dicts as a list of plain dicts."""
    table: Table = msgspec.to_builtins(list(rows))
    return table


def flatten(measured: object) -> Table:
    """Return one row for each number in nested dataclasses or structs."""
    return list(_flatten(msgspec.to_builtins(measured), ''))


def _flatten(fields: dict[str, Any], prefix: str) -> Iterator[dict[str, Any]]:
    for name, field in fields.items():
        path = f'{prefix}{name}'
        if isinstance(field, dict):
            yield from _flatten(field, f'{path}.')
        else:
            yield {'what': path, 'value': field}


def name_figures(table: Table) -> dict[str, float]:
    """Return every number of a table under a unique name.

    The name consists of the texts of the row, its size if it has one, and the
    name of the column.
    """
    figures: dict[str, float] = {}
    for row in table:
        labels = [
            str(cell)
            for column, cell in row.items()
            if column != 'unit' and (_is_label(cell) or column == 'size')
        ]
        name = ' '.join(labels)
        for column, cell in row.items():
            if column != 'size' and _is_number(cell):
                figures[f'{name} {column}'] = float(cell)
    return figures


def compare(
    earlier: Mapping[str, float],
    current: Mapping[str, float],
) -> list[Comparison]:
    """Return comparisons of the figures that are in both results."""
    return [
        Comparison(name, earlier[name], figure)
        for name, figure in current.items()
        if name in earlier
    ]


def format_table(table: Table) -> str:
    """Return a table as aligned text."""
    if not table:
        return '(no rows)'
    columns = list(table[0])
    cells = [
        [_format_cell(row.get(column)) for column in columns] for row in table
    ]
    widths = [
        max(map(len, column)) for column in zip(columns, *cells, strict=True)
    ]
    return '\n'.join(_align_line(line, widths) for line in (columns, *cells))


def _align_line(line: Sequence[str], widths: Sequence[int]) -> str:
    pairs = zip(line, widths, strict=True)
    return '  '.join(cell.ljust(width) for cell, width in pairs).rstrip()


def format_comparisons(comparisons: Sequence[Comparison]) -> str:
    """Return the number of steady figures, and a line for each other one."""
    changed = [one for one in comparisons if not one.is_steady]
    lines = [
        f'{one.ratio:8.2f}  {one.earlier:.4g} -> {one.current:.4g}  {one.name}'
        for one in sorted(changed, key=lambda one: -one.ratio)
    ]
    steady = len(comparisons) - len(changed)
    lines.insert(0, f'{steady} of {len(comparisons)} figures steady')
    return '\n'.join(lines)


def _is_label(cell: object) -> bool:
    return isinstance(cell, str | bool)


def _is_number(cell: object) -> bool:
    return isinstance(cell, int | float) and not isinstance(cell, bool)


def _format_cell(cell: object) -> str:
    return f'{cell:.4g}' if isinstance(cell, float) else str(cell)
