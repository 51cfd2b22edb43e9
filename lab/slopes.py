"""Measurements at several sizes, and the straight lines fitted to them."""

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
    """Fitted line: the cost of one more item.

    Attributes
    ----------
    what : str
    per_item : float
        Increase of the value with each item.
    at_zero : float
        Value at size 0.
    power : float
        Exponent of the size in the best power law; 1 is a straight line.
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
        """Return the line's value at a size."""
        return self.at_zero + self.per_item * size


def fit(rows: Sequence[Row]) -> Slope:
    """Return the line fitted to measurements of one quantity.

    Parameters
    ----------
    rows : sequence of Row
        Measurements at three sizes or more.
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
    """Return the line fitted to each measured quantity."""
    by_name: dict[str, list[Row]] = {}
    for row in rows:
        by_name.setdefault(row.what, []).append(row)
    return [fit(same_quantity) for same_quantity in by_name.values()]


def min_cpu_seconds(job: Callable[[], object], repeats: int = 3) -> float:
    """Return the smallest CPU time of several runs of a job, in seconds."""
    times_s = []
    for _ in range(repeats):
        started_at = time.process_time()
        job()
        times_s.append(time.process_time() - started_at)
    return min(times_s)


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the memory used by the value that `build` returns, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built  # noqa: WPS420 - kept alive until its memory is measured
    return size


def format_rows(rows: Sequence[Row]) -> str:
    """Return measurements as a text table."""
    return '\n'.join(
        f'{row.what:44} {row.size:8} {row.value:14.4g} {row.unit}'
        for row in rows
    )


def format_slopes(slopes: Sequence[Slope]) -> str:
    """Return fitted lines as a text table."""
    head = f'{"":44} {"each":>12} {"at zero":>12} {"power":>6}  unit'
    lines = [
        f'{slope.what:44} {slope.per_item:12.4g} {slope.at_zero:12.4g} '
        f'{slope.power:6.2f}  {slope.unit}'
        for slope in slopes
    ]
    return '\n'.join([head, *lines])
