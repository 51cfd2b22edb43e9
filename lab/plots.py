"""Plots the results of the benches."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
import numpy as np
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from .figures import Table

mpl.use('Agg')

TEXT_COLOUR = '#22313f'
GRID_COLOUR = '#d9dee3'
COLOURS = ('#1f6f8b', '#d1603d', '#5b8c5a', '#8d6a9f', '#c9a227', '#3c3c3c')
PANEL_INCHES = (5.2, 3.6)
BAR_HEIGHT_INCHES = 0.32
MAX_PANELS_PER_ROW = 3
DPI = 130
CURVE_POINTS = 400
MIN_POWER_LAW_EXPONENT = 1.2
FULL_SIZE_HOSTS = 920
FULL_SIZE_TARGETS = 10_000
BUDGET_CORES = 0.015
BUDGET_BYTES_PER_S = 27_000
BudgetPanel = tuple[str, str, float, int]

_BUDGET_PANELS: tuple[BudgetPanel, ...] = (
    ('peers: core of one host', 'peers', BUDGET_CORES, FULL_SIZE_HOSTS),
    ('peers: sent by one host', 'peers', BUDGET_BYTES_PER_S, FULL_SIZE_HOSTS),
    ('polls: core of one host', 'targets', BUDGET_CORES, FULL_SIZE_TARGETS),
    (
        'polls: moved by one host',
        'targets',
        BUDGET_BYTES_PER_S,
        FULL_SIZE_TARGETS,
    ),
    ('idle process by hosts: core', 'hosts', BUDGET_CORES, FULL_SIZE_HOSTS),
    (
        'idle process by targets: core',
        'targets',
        BUDGET_CORES,
        FULL_SIZE_TARGETS,
    ),
)


def draw_budgets(table: Table, path: Path) -> None:
    """Draw the control cost of one host against its budget.

    Curves are extrapolated to the full size of the system.
    """
    figure, axes = plt.subplots(2, 3, figsize=(15, 8), layout='constrained')
    # Each column holds one source of cost.
    for axis, panel in zip(axes.T.flat, _BUDGET_PANELS, strict=True):
        _draw_budget(axis, table, panel)
    figure.suptitle(
        'Control cost of one entry process, and where it meets the budget',
        color=TEXT_COLOUR,
        fontsize=14,
    )
    _save_figure(figure, path)


def _draw_budget(axis: Axes, table: Table, panel: BudgetPanel) -> None:
    what, counted, budget, full = panel
    rows = [row for row in table if row['what'] == what]
    _style_axis(axis, what)
    if not rows:
        return
    sizes = [float(row['size']) for row in rows]
    values = [float(row['value']) for row in rows]
    curve_sizes = np.geomspace(sizes[0], full, CURVE_POINTS)
    curve = _extrapolate(sizes, values, curve_sizes)
    axis.plot(
        curve_sizes, curve, color=COLOURS[0], lw=1.4, label='through them'
    )
    axis.plot(sizes, values, 'o', color=COLOURS[0], label='measured')
    axis.axhline(budget, color=COLOURS[1], lw=1.4, ls='--', label='budget')
    axis.axvline(full, color=GRID_COLOUR, lw=6, zorder=0)
    axis.set(xscale='log', yscale='log', xlabel=counted, ylabel=rows[0]['unit'])
    axis.set_ylim(min(budget, values[0]) / 2)
    axis.legend(frameon=False, fontsize=8, loc='upper left')
    crossings = curve_sizes[curve >= budget]
    if len(crossings):
        axis.annotate(
            _describe_crossing(crossings[0], sizes[0], counted),
            (crossings[0], budget),
            xytext=(8, -14),
            textcoords='offset points',
            color=COLOURS[1],
            fontsize=9,
        )


def _extrapolate(
    sizes: list[float],
    values: list[float],
    curve_sizes: Any,
) -> Any:
    """Return values at more sizes, by a line or by a steeper power law."""
    power, factor = np.polyfit(np.log(sizes), np.log(values), 1)
    if power > MIN_POWER_LAW_EXPONENT:
        return np.exp(factor) * np.power(curve_sizes, power)
    per_one, at_zero = np.polyfit(sizes, values, 1)
    return at_zero + per_one * curve_sizes


def _describe_crossing(crossing: float, smallest: float, counted: str) -> str:
    if crossing <= smallest:
        return 'above the budget from the smallest size on'
    return f'met at about {crossing:.0f} {counted}'


def draw_record_kinds(table: Table, path: Path) -> None:
    """Draw memory and checkpoint bytes for one more record of each kind."""
    figure, axes = plt.subplots(1, 2, figsize=(13, 4.6), layout='constrained')
    for axis, prefix in zip(axes, ('memory: ', 'checkpoint: '), strict=True):
        slopes = {
            what.removeprefix(prefix): _slope_of(table, what)
            for what in dict.fromkeys(row['what'] for row in table)
            if what.startswith(prefix)
        }
        _draw_bars(axis, list(slopes), list(slopes.values()))
        _style_axis(axis, f'{prefix}bytes for one more')
    _save_figure(figure, path)


def _slope_of(table: Table, what: str) -> float:
    rows = [row for row in table if row['what'] == what]
    sizes = [row['size'] for row in rows]
    per_one, _ = np.polyfit(sizes, [row['value'] for row in rows], 1)
    return float(per_one)


def draw_columns(table: Table, path: Path) -> None:
    """Draw a panel of bars for each numeric column of a table."""
    columns = [
        name
        for name, cell in table[0].items()
        if isinstance(cell, int | float)
        and not isinstance(cell, bool)
        and name != 'seed'
    ]
    labels = [_label(row) for row in table]
    groups = [_group(row) for row in table]
    panels_per_row = min(len(columns), MAX_PANELS_PER_ROW)
    panel_rows = -(-len(columns) // panels_per_row)
    height = max(2.4, BAR_HEIGHT_INCHES * len(labels) + 1)
    figure, axes = plt.subplots(
        panel_rows,
        panels_per_row,
        figsize=(PANEL_INCHES[0] * panels_per_row, height * panel_rows),
        layout='constrained',
        squeeze=False,
    )
    for axis, column in zip(axes.flat, columns, strict=False):
        values = [float(row.get(column) or 0) for row in table]
        _draw_bars(axis, labels, values, groups)
        _style_axis(axis, column.replace('_', ' '))
    for unused in axes.flat[len(columns) :]:
        unused.set_visible(False)
    figure.suptitle(path.stem.replace('_', ' '), color=TEXT_COLOUR, fontsize=14)
    _save_figure(figure, path)


def draw_measures(table: Table, path: Path) -> None:
    """Draw a panel of bars for each quantity in a table of `BenchRow`."""
    names = list(dict.fromkeys(str(row['what']) for row in table))
    panels_per_row = min(len(names), MAX_PANELS_PER_ROW)
    panel_rows = -(-len(names) // panels_per_row)
    figure, axes = plt.subplots(
        panel_rows,
        panels_per_row,
        figsize=(
            PANEL_INCHES[0] * panels_per_row,
            PANEL_INCHES[1] * panel_rows,
        ),
        layout='constrained',
        squeeze=False,
    )
    for axis, name in zip(axes.flat, names, strict=False):
        rows = [row for row in table if row['what'] == name]
        _draw_bars(
            axis,
            [_label_case(row) for row in rows],
            [float(row['value']) for row in rows],
        )
        unit = rows[0].get('unit', '')
        _style_axis(axis, f'{name} {unit}')
    for unused in axes.flat[len(names) :]:
        unused.set_visible(False)
    figure.suptitle(path.stem.replace('_', ' '), color=TEXT_COLOUR, fontsize=14)
    _save_figure(figure, path)


def _label_case(row: dict[str, object]) -> str:
    hidden = {'what', 'value', 'unit'}
    return ', '.join(
        str(cell) for name, cell in row.items() if name not in hidden
    )


def _label(row: dict[str, object]) -> str:
    words = [str(cell) for cell in row.values() if isinstance(cell, str)]
    if row.get('has_faults'):
        words.append('faults')
    return ', '.join(words)


def _group(row: dict[str, object]) -> str:
    """Return the policy or design of a row, which determines its colour."""
    return str(row.get('policy') or row.get('design') or _label(row))


def _draw_bars(
    axis: Axes,
    labels: Sequence[str],
    values: Sequence[float],
    groups: Sequence[str] = (),
) -> None:
    positions = np.arange(len(labels))
    groups = groups or labels
    names = list(dict.fromkeys(groups))
    colours = [COLOURS[names.index(name) % len(COLOURS)] for name in groups]
    bars = axis.barh(positions, values, color=colours, height=0.7)
    axis.bar_label(bars, fmt='%.4g', padding=3, fontsize=8, color=TEXT_COLOUR)
    axis.set_yticks(positions, labels, fontsize=8)
    axis.invert_yaxis()
    axis.margins(x=0.15)


def _style_axis(axis: Axes, title: str) -> None:
    axis.set_title(title, loc='left', color=TEXT_COLOUR, fontsize=10)
    axis.grid(visible=True, color=GRID_COLOUR, lw=0.6)
    axis.set_axisbelow(True)
    axis.spines[['top', 'right']].set_visible(False)
    axis.tick_params(colors=TEXT_COLOUR, labelsize=8)


def _save_figure(figure: Figure, path: Path) -> None:
    figure.savefig(path, dpi=DPI)
    plt.close(figure)
