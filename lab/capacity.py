"""Measures costs at several sizes, the figures behind docs/CAPACITY.md.

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
    """Return all rows. The seed has no effect."""
    return [
        *measure_state(),
        *measure_placement(),
        *measure_routing(),
        *measure_picks(),
        *anyio.run(measure_links),
        *anyio.run(measure_processes),
    ]


def summarise(rows: list[Row]) -> str:
    """Return the fitted lines of quantities measured at enough sizes."""
    names = [row.what for row in rows]
    rows_to_fit = [
        row for row in rows if names.count(row.what) >= MIN_FIT_SIZES
    ]
    return format_slopes(fit_all(rows_to_fit))


@app.default
def main() -> None:
    """Print all measurements and the lines fitted through them."""
    rows = measure()
    print(format_rows(rows))
    print()
    print(summarise(rows))


if __name__ == '__main__':
    app()
