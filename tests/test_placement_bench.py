"""The bench's promises, on ten minutes of seeded demand."""

from dataclasses import replace

import pytest

from lab.placement_bench import measure
from lab.placement_demand import NILECUT
from lab.placement_need import attainment

BOUND_SHARE = 0.9
WORST_WORKSPACE = 0.9


@pytest.fixture(scope='module')
def rows():
    """Rows by scale, shape, faults and policy."""
    return {
        (row.scale, row.shape, row.has_faults, row.policy): row
        for row in measure(3, 600)
    }


def test_the_placement_meets_its_targets_beside_the_bound(rows):
    for (*where, policy), row in rows.items():
        if policy == 'ebonywell':
            bound = rows[*where, 'bound']
            assert row.attainment >= BOUND_SHARE * bound.attainment
            assert row.worst_workspace >= WORST_WORKSPACE
            assert row.has_faults or not row.unreachable_s


def test_the_placement_serves_more_than_either_baseline(rows):
    for (*where, policy), row in rows.items():
        if policy in {'static', 'lru', 'lru_miss'}:
            own = rows[*where, 'ebonywell']
            assert own.attainment > row.attainment


def test_more_targets_never_serve_less():
    fewer, more = (
        attainment(replace(NILECUT, engines=engines), 1, 1800, 'ebonywell')
        for engines in (12, 14)
    )
    assert more >= fewer


def test_a_run_is_the_same_again():
    assert measure(3, 90) == measure(3, 90)
