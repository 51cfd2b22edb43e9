"""Figures of benches: fitted lines and comparison by ratio."""

import pytest

from lab import figures, slopes


def test_fitted_line_passes_through_measurements():
    rows = [slopes.Row('x', size, 3 + 2 * size, 's') for size in (1, 10, 100)]
    line = slopes.fit_all(rows)[0]
    assert line.per_item == pytest.approx(2)
    assert line.value_at(1000) == pytest.approx(2003)


def test_figures_are_named_by_their_row_and_compared_by_ratio():
    earlier = figures.tabulate([slopes.Row('x', 1, 4, 's')])
    now = figures.tabulate([slopes.Row('x', 1, 8, 's')])
    comparison = figures.compare(
        figures.name_figures(earlier),
        figures.name_figures(now),
    )[0]
    assert (comparison.name, comparison.ratio) == ('x 1 value', 2)
    assert not comparison.is_steady
    assert '2.00' in figures.format_comparisons([comparison])
