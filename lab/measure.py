"""Runs the benches, writes tables, JSON and plots, and compares results.

``make measure`` runs it. Results go to var/measure; ``--store`` also stores
them in docs/measurements, and later runs are compared with those by ratio.
"""

import importlib
import os
import platform
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import anyio
import cyclopts
import msgspec

from .capacity import summarise
from .figures import (
    Table,
    compare,
    flatten,
    format_comparisons,
    format_table,
    name_figures,
    tabulate,
)
from .slopes import Row

ADDED_TIME = 'added_time'
SCRIPTS = (
    ADDED_TIME,
    'limits_bench',
    'placement_bench',
    'requests_bench',
    'serving_bench',
    'state_bench',
    'configuration_bench',
    'capacity',
)
CALL_PAIRS = 1000
THROUGHPUT_S = 10.0
SCRIPT_TIMEOUT_S = 180.0
TOTAL_TIMEOUT_S = 570.0
OUTPUT_DIRECTORY = Path('var/measure')
STORE_DIRECTORY = Path('docs/measurements')

app = cyclopts.App(help=__doc__)


@dataclass(slots=True)
class Result:
    """Result of one bench.

    Attributes
    ----------
    script : str
        Name of the module in lab.
    seed : int
    seconds : float
        Duration of the run.
    machine : str
        Architecture, number of cores and Python version.
    rows : list of dict
    """

    script: str
    seed: int
    seconds: float
    machine: str
    rows: Table = field(default_factory=list)


class MeasureError(Exception):
    """A bench failed or timed out."""


@app.default
def run(*scripts: str, seed: int = 1, store: bool = False) -> None:
    """Run the named benches, or all of them.

    Parameters
    ----------
    scripts : str
        Names of modules in lab.
    seed : int
    store : bool
        Store the results for comparison with later runs.
    """
    started_at = time.monotonic()
    failures: list[str] = []
    for script in scripts or SCRIPTS:
        if not Path(__file__).with_name(f'{script}.py').exists():
            print(f'== {script}: no such bench')
            continue
        remaining_s = TOTAL_TIMEOUT_S - (time.monotonic() - started_at)
        try:
            _print_result(_run_script(script, seed, remaining_s), store)
        except MeasureError as error:
            failures.append(f'{script}: {error}')
    for failure in failures:
        print(f'FAILED {failure}')
    print(f'{time.monotonic() - started_at:.0f} s in total')
    if failures:
        sys.exit(1)


@app.command
def one(script: str, path: Path, seed: int = 1) -> None:
    """Run one bench in this process and write its result as JSON.

    Parameters
    ----------
    script : str
        Name of a module in lab.
    path : Path
        File to write.
    seed : int
    """
    module = importlib.import_module(f'lab.{script}')
    started_at = time.monotonic()
    if script == ADDED_TIME:
        measured = anyio.run(module.measure, CALL_PAIRS, THROUGHPUT_S)
        rows = flatten(measured)
    else:
        rows = tabulate(module.measure(seed))
    result = Result(
        script,
        seed,
        time.monotonic() - started_at,
        f'{platform.machine()}, {os.cpu_count()} cores, '
        f'Python {platform.python_version()}',
        rows,
    )
    encoded = msgspec.json.format(msgspec.json.encode(result))
    path.write_bytes(encoded)


def _run_script(script: str, seed: int, remaining_s: float) -> Result:
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_DIRECTORY / f'{script}.json'
    path.unlink(missing_ok=True)
    arguments = ['one', script, str(path), f'--seed={seed}']
    timeout_s = max(1, min(SCRIPT_TIMEOUT_S, remaining_s))
    try:
        subprocess.run(
            [sys.executable, '-m', 'lab.measure', *arguments],
            check=True,
            timeout=timeout_s,
        )
    except subprocess.CalledProcessError as ended:
        raise MeasureError(f'exit code {ended.returncode}') from ended
    except subprocess.TimeoutExpired as late:
        raise MeasureError(f'timed out after {timeout_s:.0f} s') from late
    return msgspec.json.decode(path.read_bytes(), type=Result)


def _print_result(result: Result, store: bool) -> None:
    print(f'== {result.script}: {result.seconds:.0f} s, seed {result.seed}')
    print(format_table(result.rows))
    if result.script == 'capacity':
        print(summarise([Row(**row) for row in result.rows]))
    _draw_plots(result)
    stored = STORE_DIRECTORY / f'{result.script}.json'
    if stored.exists():
        earlier = msgspec.json.decode(stored.read_bytes(), type=Result)
        comparisons = compare(
            name_figures(earlier.rows),
            name_figures(result.rows),
        )
        print(f'-- compared with {stored}, {earlier.machine}')
        print(format_comparisons(comparisons))
    if store:
        STORE_DIRECTORY.mkdir(parents=True, exist_ok=True)
        encoded = msgspec.json.encode(result)
        stored.write_bytes(msgspec.json.format(encoded))
    print(flush=True)


def _draw_plots(result: Result) -> None:
    # Importing the plots takes a second, which the command `one` avoids.
    plots = importlib.import_module('lab.plots')
    if result.script == 'capacity':
        plots.draw_budgets(
            result.rows, OUTPUT_DIRECTORY / 'capacity_budgets.png'
        )
        plots.draw_record_kinds(
            result.rows, OUTPUT_DIRECTORY / 'capacity_kinds.png'
        )
    elif result.rows and 'what' in result.rows[0]:
        plots.draw_measures(
            result.rows, OUTPUT_DIRECTORY / f'{result.script}.png'
        )
    elif result.rows:
        plots.draw_columns(
            result.rows, OUTPUT_DIRECTORY / f'{result.script}.png'
        )


if __name__ == '__main__':
    app()
