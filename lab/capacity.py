"""Measures slopes at several sizes, from which docs/CAPACITY.md is worked out.

Run as ``python -m lab.capacity``.
"""

import anyio
import cyclopts

from .capacity_links import measure_links
from .capacity_placement import (
    measure_picks,
    measure_placement,
    measure_routing,
)
from .capacity_process import measure_processes
from .capacity_state import measure_state
from .slopes import Row, fit_all, format_rows, format_slopes

app = cyclopts.App()
MIN_FIT_SIZES = 3


def measure(seed: int = 1) -> list[Row]:
    """Return all rows; nothing in them depends on the seed."""
    return [
        *measure_state(),
        *measure_placement(),
        *measure_routing(),
        *measure_picks(),
        *anyio.run(measure_links),
        *anyio.run(measure_processes),
    ]


def summarise(rows: list[Row]) -> str:
    """Return the lines through what was measured at several sizes."""
    names = [row.what for row in rows]
    several = [row for row in rows if names.count(row.what) >= MIN_FIT_SIZES]
    return format_slopes(fit_all(several))


@app.default
def main() -> None:
    """Print all measurements, and the lines through them."""
    rows = measure()
    print(format_rows(rows))
    print()
    print(summarise(rows))


if __name__ == '__main__':
    app()
