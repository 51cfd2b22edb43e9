"""Tests of fair queueing among workspaces and between service classes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell.fairqueue import (
    BATCH_SHARE,
    MAX_WAITING_PER_WORKSPACE,
    FairQueue,
    QueuedCall,
)

COSTS = st.lists(st.floats(1, 1000), min_size=20, max_size=40)


@pytest.fixture
def queue():
    return FairQueue()


def _call(workspace, cost=1, *, weight=1, entry='quote', is_batch=False):
    return QueuedCall(workspace, weight, entry, is_batch, cost)


def _placed(waiting):
    return True


def _drain(queue, count):
    return [queue.pop(_placed) for _ in range(count)]


@given(COSTS, COSTS, st.floats(0.1, 10), st.floats(0.1, 10), st.integers(0, 9))
def test_the_difference_in_service_is_bounded(
    ours, theirs, our_weight, their_weight, before
):
    """The bound in any interval is the sum of the largest weighted costs."""
    queue = FairQueue()
    for cost in ours:
        queue.push(_call('ours', cost, weight=our_weight))
    # The second workspace starts later and gets no credit for its idle time.
    _drain(queue, before)
    for cost in theirs:
        queue.push(_call('theirs', cost, weight=their_weight))
    difference = 0
    differences = [difference]
    while all(queue.interactive.count(name) for name in ('ours', 'theirs')):
        call = queue.pop(_placed)
        sign = 1 if call.workspace == 'ours' else -1
        difference += sign * call.cost / call.weight
        differences.append(difference)
    bound = max(ours) / our_weight + max(theirs) / their_weight
    assert max(differences) - min(differences) <= bound * (1 + 1e-9)


def test_ten_times_the_requests_do_not_delay_a_small_workspace(queue):
    for _ in range(200):
        queue.push(_call('large'))
    for _ in range(20):
        queue.push(_call('small'))
    first = [call.workspace for call in _drain(queue, 40)]
    assert first.count('small') >= 19


def test_interactive_is_served_first_and_batch_is_not_starved(queue):
    for _ in range(400):
        queue.push(_call('a', 10))
        queue.push(_call('b', 10, is_batch=True))
    order = [call.is_batch for call in _drain(queue, 400)]
    assert not any(order[:10])
    assert order.count(True) == pytest.approx(400 * BATCH_SHARE, abs=2)


def test_an_entry_without_free_slots_does_not_block_another(queue):
    queue.push(_call('a', entry='full'))
    queue.push(_call('a', entry='free'))
    call = queue.pop(lambda waiting: waiting.entry == 'free')
    assert call.entry == 'free'
    assert queue.pop(lambda waiting: waiting.entry == 'free') is None


def test_one_workspace_fills_only_its_own_part_of_the_queue(queue):
    pushed = [queue.push(_call('a')) for _ in range(600)]
    assert pushed.count(True) == MAX_WAITING_PER_WORKSPACE
    assert queue.push(_call('b'))


def test_the_work_ahead_counts_a_fair_share_of_the_others(queue):
    for _ in range(100):
        queue.push(_call('large', 10))
    assert queue.work_ahead(_call('small', 10)) == 10
    assert queue.work_ahead(_call('large', 10)) == 1000
    assert queue.work_ahead(_call('small', 10, is_batch=True)) == 1000


def test_a_dropped_request_leaves_nothing_behind(queue):
    call = _call('a', 0.1)
    queue.push(call)
    queue.drop(call)
    assert (queue.size, queue.backlog) == (0, {})
    assert queue.pop(_placed) is None
