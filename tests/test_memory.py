"""Tests of memory accounting: what reserves memory, and what frees it."""

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

PROTECTED = ('a', 'b')


@pytest.fixture
def table():
    """Two targets with 10 bytes each, one of them with a model of 6 bytes."""
    built = {}
    for name, residents in (('t', {'a': Resident(6)}), ('u', {})):
        seen = TargetSeen(1, name, '1', 10, False, 0, residents)
        assert memory.apply(built, True, PROTECTED, seen)
    return built


def intend(table, action, model, size=0, target='t', **fields):
    holds = fields.pop('holds', True)
    order_id = fields.pop('order_id', f'{action}-{model}')
    incarnation = fields.pop('incarnation', '1')
    order = Order(order_id, target, incarnation, action, model, size, **fields)
    intent = OrdersIntended(1, (order,))
    return memory.apply(table, holds, PROTECTED, intent)


def settle(table, order_id, outcome, target='t'):
    ended = OrdersSettled(1, (Settlement(target, order_id, outcome),))
    return memory.apply(table, True, PROTECTED, ended)


def test_an_order_is_valid_only_if_it_fits_beside_all_others(table):
    assert not intend(table, Action.load, 'b', 5)
    assert intend(table, Action.load, 'b', 3)
    assert not intend(table, Action.load, 'c', 2)
    assert memory.reserved_bytes(table['t']) == 9


def test_only_an_outcome_or_a_new_incarnation_frees_memory(table):
    intend(table, Action.load, 'b', 3)
    assert settle(table, 'load-b', Outcome.failed)
    assert memory.reserved_bytes(table['t']) == 6
    intend(table, Action.load, 'b', 3)
    assert memory.apply(table, True, PROTECTED, TargetGone(1, 't'))
    assert memory.reserved_bytes(table['t']) == 9
    seen = TargetSeen(1, 't', '1', 10, False)
    assert memory.apply(table, True, PROTECTED, seen)
    assert memory.reserved_bytes(table['t']) == 9
    seen = TargetSeen(1, 't', '2', 10, False)
    assert memory.apply(table, True, PROTECTED, seen)
    assert memory.reserved_bytes(table['t']) == 0


def test_an_earlier_incarnation_never_returns(table):
    for incarnation, counts in (('2', True), ('1', False), ('2', False)):
        seen = TargetSeen(1, 't', incarnation, 10, False)
        assert memory.apply(table, True, PROTECTED, seen) is counts


def test_racing_unloads_keep_the_last_copy(table):
    assert not intend(table, Action.unload, 'a')
    intend(table, Action.load, 'a', 6, target='u')
    assert not intend(table, Action.unload, 'a')
    settle(table, 'load-a', Outcome.done, target='u')
    assert intend(table, Action.unload, 'a')
    assert not intend(table, Action.unload, 'a', target='u', order_id='x')
    settle(table, 'unload-a', Outcome.done)
    assert 'a' not in table['t'].residents


def test_loads_for_another_incarnation_or_of_a_resident_are_invalid(table):
    assert not intend(table, Action.load, 'b', 1, incarnation='0')
    assert not intend(table, Action.load, 'a', 1)


def test_records_of_a_previous_lease_holder_are_invalid(table):
    assert not intend(table, Action.load, 'b', 1, holds=False)


def test_adapters_need_their_model_and_prevent_its_unload(table):
    assert not intend(table, Action.load_adapter, 'b', 1, adapter='x')
    assert intend(table, Action.load_adapter, 'a', 1, adapter='x')
    assert not intend(table, Action.unload, 'a', order_id='y')
    settle(table, 'load_adapter-a', Outcome.done)
    assert memory.reserved_bytes(table['t']) == 7
