"""State space search for two planners and one target.

Orders may be lost, delayed, duplicated and reordered.
"""

import pytest

from ebonywell.orders import Outcome
from ebonywell.outstanding import NextStep, OrderState, Step, next_step
from lab.planner_search import search_all, search_randomly
from lab.search_model import Rules

WITH_AND_WITHOUT_FENCING = pytest.mark.parametrize('checks', [True, False])


def trust_any_fencing(incarnation, order_fencing, evidence):
    """Abandon orders unknown to a target that acknowledged a newer lease."""
    is_newer = evidence.fencing > order_fencing
    if is_newer and evidence.state is OrderState.unknown:
        return NextStep(Step.settle, Outcome.fenced)
    return next_step(incarnation, order_fencing, evidence)


@WITH_AND_WITHOUT_FENCING
def test_no_short_history_overcommits_a_target(checks):
    found = search_all(Rules(checks), max_depth=12, max_worlds=20000)
    assert found.fault is None
    assert found.depth == 12


@WITH_AND_WITHOUT_FENCING
def test_no_random_history_overcommits_a_target(checks):
    found = search_randomly(Rules(checks), seed=5, walks=300, length=60)
    assert found.fault is None


SEEDED_FAULTS = {
    'orders reach a later incarnation': {'is_incarnation_bound': False},
    'an order is sent before its record is read back': {'waits_for_log': False},
    'any target is trusted to fence': {
        'decide_step': trust_any_fencing,
        'max_incarnations': 1,
    },
    'a successor renumbers old orders': {
        'renumbers_orders': True,
        'max_incarnations': 1,
    },
}


@pytest.mark.parametrize('name', SEEDED_FAULTS)
def test_the_search_finds_a_seeded_fault(name):
    found = [
        search_randomly(Rules(checks, **SEEDED_FAULTS[name]), 5, 1000, 60)
        for checks in (True, False)
    ]
    assert any(one.fault for one in found)
