"""Measurements at several sizes, and the straight lines through them."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import numpy as np


@dataclass(slots=True)
class Row:
    """One measurement.

    Attributes
    ----------
    what : str
    size : int
    value : float
    unit : str
    """

    what: str
    size: int
    value: float
    unit: str


@dataclass(slots=True)
class Slope:
    """What one more of something costs.

    Attributes
    ----------
    what : str
    per_item : float
        Value for one more.
    at_zero : float
        Value at size 0.
    power : float
        The exponent of the size that fits best: 1 is a straight line.
    unit : str
    sizes : list of int
    """

    what: str
    per_item: float
    at_zero: float
    power: float
    unit: str
    sizes: list[int]

    def value_at(self, size: float) -> float:
        """Return the value that the line gives for a size."""
        return self.at_zero + self.per_item * size


def fit(rows: Sequence[Row]) -> Slope:
    """Return the line through measurements of one thing.

    Parameters
    ----------
    rows : sequence of Row
        Of at least three sizes.
    """
    sizes = [row.size for row in rows]
    values = [row.value for row in rows]
    per_one, at_zero = np.polyfit(sizes, values, 1)
    power, _ = np.polyfit(np.log(sizes), np.log(values), 1)
    return Slope(
        rows[0].what,
        float(per_one),
        float(at_zero),
        float(power),
        rows[0].unit,
        sizes,
    )


def fit_all(rows: Sequence[Row]) -> list[Slope]:
    """Return the lines through all things that were measured."""
    by_name: dict[str, list[Row]] = {}
    for row in rows:
        by_name.setdefault(row.what, []).append(row)
    return [fit(of_one) for of_one in by_name.values()]


def min_cpu_seconds(job: Callable[[], object], repeats: int = 3) -> float:
    """Return the least CPU time of several runs of a job, in seconds."""
    spent = []
    for _ in range(repeats):
        began = time.process_time()
        job()
        spent.append(time.process_time() - began)
    return min(spent)


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the memory that what a function returns takes, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built  # noqa: WPS420 - kept alive until it has been measured
    return size


def format_rows(rows: Sequence[Row]) -> str:
    """Return measurements as a table."""
    return '\n'.join(
        f'{row.what:44} {row.size:8} {row.value:14.4g} {row.unit}'
        for row in rows
    )


def format_slopes(slopes: Sequence[Slope]) -> str:
    """Return lines as a table."""
    head = f'{"":44} {"each":>12} {"at zero":>12} {"power":>6}  unit'
    lines = [
        f'{slope.what:44} {slope.per_item:12.4g} {slope.at_zero:12.4g} '
        f'{slope.power:6.2f}  {slope.unit}'
        for slope in slopes
    ]
    return '\n'.join([head, *lines])
