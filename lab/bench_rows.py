"""Rows of measurements that the benches return and print."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class BenchRow:
    """One measurement.

    Attributes
    ----------
    what : str
        Name of the measured quantity.
    case : str
    value : float
    unit : str
    """

    what: str
    case: str
    value: float
    unit: str


def print_rows(rows: Iterable[BenchRow]) -> None:
    """Print one line for each measurement."""
    for row in rows:
        sys.stdout.write(
            f'{row.what:28} {row.case:36} {row.value:10.1f} {row.unit}\n'
        )
