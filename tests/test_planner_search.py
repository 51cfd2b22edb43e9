"""Two planners, one target, orders lost, late, doubled and reordered."""

import pytest

from ebonywell.orders import Outcome
from ebonywell.outstanding import NextStep, OrderState, Step, next_step
from lab.planner_search import search_all, search_randomly
from lab.search_model import Rules

KINDS = pytest.mark.parametrize('checks', [True, False])


def trust_any_fencing(incarnation, intended_under, evidence):
    """Release what any target does not know once the lease has moved on."""
    is_newer = evidence.fencing > intended_under
    if is_newer and evidence.state is OrderState.unknown:
        return NextStep(Step.settle, Outcome.fenced)
    return next_step(incarnation, intended_under, evidence)


@KINDS
def test_no_near_history_overcommits_a_target(checks):
    found = search_all(Rules(checks), max_depth=12, max_worlds=20000)
    assert found.fault is None
    assert found.depth == 12


@KINDS
def test_no_random_history_overcommits_a_target(checks):
    found = search_randomly(Rules(checks), seed=5, walks=300, length=60)
    assert found.fault is None


BREAKS = {
    'orders reach a later life': {'is_bound': False},
    'an order goes out before its intent counts': {'waits_for_log': False},
    'any target is trusted to fence': {
        'judge': trust_any_fencing,
        'max_lives': 1,
    },
    'a successor renumbers old orders': {
        'is_renumbered': True,
        'max_lives': 1,
    },
}


@pytest.mark.parametrize('name', BREAKS)
def test_the_search_finds_a_deliberate_break(name):
    found = [
        search_randomly(Rules(checks, **BREAKS[name]), 5, 1000, 60)
        for checks in (True, False)
    ]
    assert any(one.fault for one in found)
