"""Runs all measuring scripts: tables, JSON, plots, comparison by ratio.

``make measure`` calls it. Results go to var/measure; ``--store`` also keeps
them in docs/measurements, with which later runs are compared.
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
    """What one script measured.

    Attributes
    ----------
    script : str
    seed : int
    seconds : float
        How long it ran.
    machine : str
    rows : list of dict
    """

    script: str
    seed: int
    seconds: float
    machine: str
    rows: Table = field(default_factory=list)


class MeasureError(Exception):
    """A measuring script failed or took too long."""


@app.default
def run(*scripts: str, seed: int = 1, store: bool = False) -> None:
    """Run measuring scripts, all of them unless some are named.

    Parameters
    ----------
    scripts : str
        Names of modules of lab.
    seed : int
    store : bool
        Keep the results as those with which later runs are compared.
    """
    began = time.monotonic()
    failures: list[str] = []
    for script in scripts or SCRIPTS:
        if not Path(__file__).with_name(f'{script}.py').exists():
            print(f'== {script}: not there')
            continue
        left_s = TOTAL_TIMEOUT_S - (time.monotonic() - began)
        try:
            _print_result(_run_script(script, seed, left_s), store)
        except MeasureError as error:
            failures.append(f'{script}: {error}')
    for failure in failures:
        print(f'FAILED {failure}')
    print(f'{time.monotonic() - began:.0f} s in all')
    if failures:
        sys.exit(1)


@app.command
def one(script: str, path: Path, seed: int = 1) -> None:
    """Run one measuring script in this process and write its JSON.

    Parameters
    ----------
    script : str
        Name of a module of lab.
    path : Path
        Where to write.
    seed : int
    """
    module = importlib.import_module(f'lab.{script}')
    began = time.monotonic()
    if script == ADDED_TIME:
        measured = anyio.run(module.measure, CALL_PAIRS, THROUGHPUT_S)
        rows = flatten(measured)
    else:
        rows = tabulate(module.measure(seed))
    result = Result(
        script,
        seed,
        time.monotonic() - began,
        f'{platform.machine()}, {os.cpu_count()} cores, '
        f'Python {platform.python_version()}',
        rows,
    )
    encoded = msgspec.json.format(msgspec.json.encode(result))
    path.write_bytes(encoded)


def _run_script(script: str, seed: int, left_s: float) -> Result:
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_DIRECTORY / f'{script}.json'
    path.unlink(missing_ok=True)
    arguments = ['one', script, str(path), f'--seed={seed}']
    timeout_s = max(1, min(SCRIPT_TIMEOUT_S, left_s))
    try:
        subprocess.run(
            [sys.executable, '-m', 'lab.measure', *arguments],
            check=True,
            timeout=timeout_s,
        )
    except subprocess.CalledProcessError as ended:
        raise MeasureError(f'exit code {ended.returncode}') from ended
    except subprocess.TimeoutExpired as late:
        raise MeasureError(f'not done after {timeout_s:.0f} s') from late
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
        found = compare(
            name_figures(earlier.rows),
            name_figures(result.rows),
        )
        print(f'-- against {stored}, {earlier.machine}')
        print(format_comparisons(found))
    if store:
        STORE_DIRECTORY.mkdir(parents=True, exist_ok=True)
        encoded = msgspec.json.encode(result)
        stored.write_bytes(msgspec.json.format(encoded))
    print(flush=True)


def _draw_plots(result: Result) -> None:
    # Drawing takes a second to import, which `one` need not wait for.
    plots = importlib.import_module('lab.plots')
    if result.script == 'capacity':
        plots.draw_budgets(
            result.rows, OUTPUT_DIRECTORY / 'capacity_budgets.png'
        )
        plots.draw_kinds(result.rows, OUTPUT_DIRECTORY / 'capacity_kinds.png')
    elif result.rows and 'what' in result.rows[0]:
        plots.draw_things(
            result.rows, OUTPUT_DIRECTORY / f'{result.script}.png'
        )
    elif result.rows:
        plots.draw_columns(
            result.rows, OUTPUT_DIRECTORY / f'{result.script}.png'
        )


if __name__ == '__main__':
    app()
