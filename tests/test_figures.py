"""Results of measuring scripts: lines through them, comparison by ratio."""

import pytest

from lab import figures, slopes


def test_a_line_goes_through_what_was_measured():
    rows = [slopes.Row('x', size, 3 + 2 * size, 's') for size in (1, 10, 100)]
    line = slopes.fit_all(rows)[0]
    assert line.per_item == pytest.approx(2)
    assert line.value_at(1000) == pytest.approx(2003)


def test_figures_are_named_by_their_row_and_compared_by_ratio():
    earlier = figures.tabulate([slopes.Row('x', 1, 4, 's')])
    now = figures.tabulate([slopes.Row('x', 1, 8, 's')])
    found = figures.compare(
        figures.name_figures(earlier),
        figures.name_figures(now),
    )[0]
    assert (found.name, found.ratio) == ('x 1 value', 2)
    assert not found.is_steady
    assert '2.00' in figures.format_comparisons([found])
