"""Reserved memory: what an intent may take, and what gives it back."""

import pytest

from ebonywell import memory
from ebonywell.orders import (
    Action,
    Order,
    OrdersIntended,
    OrdersSettled,
    Outcome,
    Resident,
    Settlement,
    TargetGone,
    TargetSeen,
)

KEPT = ('a', 'b')


@pytest.fixture
def table():
    """Two targets with room for ten, one of them with a model of six."""
    built = {}
    for name, residents in (('t', {'a': Resident(6)}), ('u', {})):
        seen = TargetSeen(1, name, '1', 10, False, 0, residents)
        assert memory.apply(built, True, KEPT, seen)
    return built


def intend(table, action, model, size=0, target='t', **fields):
    holds = fields.pop('holds', True)
    order_id = fields.pop('order_id', f'{action}-{model}')
    incarnation = fields.pop('incarnation', '1')
    order = Order(order_id, target, incarnation, action, model, size, **fields)
    intent = OrdersIntended(1, (order,))
    return memory.apply(table, holds, KEPT, intent)


def settle(table, order_id, outcome, target='t'):
    ended = OrdersSettled(1, (Settlement(target, order_id, outcome),))
    return memory.apply(table, True, KEPT, ended)


def test_an_intent_counts_only_while_it_fits_beside_all_others(table):
    assert not intend(table, Action.load, 'b', 5)
    assert intend(table, Action.load, 'b', 3)
    assert not intend(table, Action.load, 'c', 2)
    assert memory.reserved(table['t']) == 9


def test_only_evidence_gives_memory_back(table):
    intend(table, Action.load, 'b', 3)
    assert settle(table, 'load-b', Outcome.failed)
    assert memory.reserved(table['t']) == 6
    intend(table, Action.load, 'b', 3)
    assert memory.apply(table, True, KEPT, TargetGone(1, 't'))
    assert memory.reserved(table['t']) == 9
    seen = TargetSeen(1, 't', '1', 10, False)
    assert memory.apply(table, True, KEPT, seen)
    assert memory.reserved(table['t']) == 9
    seen = TargetSeen(1, 't', '2', 10, False)
    assert memory.apply(table, True, KEPT, seen)
    assert memory.reserved(table['t']) == 0


def test_an_earlier_life_never_comes_back(table):
    for incarnation, counts in (('2', True), ('1', False), ('2', False)):
        seen = TargetSeen(1, 't', incarnation, 10, False)
        assert memory.apply(table, True, KEPT, seen) is counts


def test_the_last_copy_stays_also_when_two_unloads_race(table):
    assert not intend(table, Action.unload, 'a')
    intend(table, Action.load, 'a', 6, target='u')
    assert not intend(table, Action.unload, 'a')
    settle(table, 'load-a', Outcome.done, target='u')
    assert intend(table, Action.unload, 'a')
    assert not intend(table, Action.unload, 'a', target='u', order_id='x')
    settle(table, 'unload-a', Outcome.done)
    assert 'a' not in table['t'].residents


def test_loads_for_another_life_or_twice_do_not_count(table):
    assert not intend(table, Action.load, 'b', 1, incarnation='0')
    assert not intend(table, Action.load, 'a', 1)


def test_records_of_a_past_holder_do_not_count(table):
    assert not intend(table, Action.load, 'b', 1, holds=False)


def test_adapters_need_their_model_and_hold_it(table):
    assert not intend(table, Action.load_adapter, 'b', 1, adapter='x')
    assert intend(table, Action.load_adapter, 'a', 1, adapter='x')
    assert not intend(table, Action.unload, 'a', order_id='y')
    settle(table, 'load_adapter-a', Outcome.done)
    assert memory.reserved(table['t']) == 7
