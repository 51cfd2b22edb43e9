"""The lease in the shared store, and when its holder may give orders."""

import random

import anyio
import pytest

from ebonywell.digests import Digest
from ebonywell.exceptions import (
    ConflictError,
    LogOutageError,
    TransportError,
)
from ebonywell.leadership import Candidacy, Leadership
from ebonywell.leasestate import (
    FENCED_WAIT_S,
    HOLDER_TIMEOUT_S,
    MAX_UNPROVEN_S,
    PROOF_TTL_S,
    LeaseRecord,
    LeaseState,
)
from ebonywell.logs import discard_event
from tests.memorystore import MemoryStore


def digest(fence, *, is_proven=True, is_ordering=True, end=5):
    return Digest(
        'other', 1, 1, '', '', '', True, 1, fence,
        is_proven, is_ordering, end,
    )  # fmt: skip


def holder(*, is_fenced=False, now=100.0):
    state = LeaseState(3, is_fenced)
    state.note_claimed(4, now, now)
    return state


def test_the_first_holder_gives_orders_at_once():
    state = holder()
    assert state.fence == 5
    assert state.may_order(100)


def test_a_holder_without_a_fresh_renewal_gives_no_orders():
    state = holder()
    assert not state.may_order(100.01 + PROOF_TTL_S)
    assert not state.may_order_cached(100.01 + PROOF_TTL_S)


def test_with_fenced_targets_orders_for_cached_weights_continue():
    state = holder(is_fenced=True)
    assert not state.may_order(100.01 + PROOF_TTL_S)
    assert state.may_order_cached(100.01 + PROOF_TTL_S)
    assert not state.may_order_cached(100.01 + MAX_UNPROVEN_S)


def test_these_orders_stop_when_the_next_holder_gives_orders():
    state = holder(is_fenced=True)
    state.note_holder(digest(9, is_ordering=False), 103)
    assert state.may_order_cached(103)
    state.note_holder(digest(9), 104)
    assert not state.may_order_cached(104)


def test_a_new_holder_waits_until_the_previous_lease_has_expired():
    state = LeaseState(3)
    state.note_holder(digest(5), 100)
    state.note_claimed(7, 101, 101)
    assert not state.may_order(101.5)
    state.note_renewed(8, 103)
    assert state.may_order(103.3)


def test_with_fenced_targets_it_waits_only_for_orders_in_flight():
    state = LeaseState(3, is_fenced=True)
    state.note_holder(digest(5), 100)
    state.note_claimed(7, 101, 101)
    assert not state.may_order(101)
    assert state.may_order(101 + FENCED_WAIT_S)


def test_hosts_claim_one_after_another_once_the_holder_is_silent():
    state = LeaseState(3)
    state.note_holder(digest(5), 100)
    assert not state.may_claim(100 + HOLDER_TIMEOUT_S - 0.1, 0)
    assert state.may_claim(100 + HOLDER_TIMEOUT_S, 0)
    assert not state.may_claim(100 + HOLDER_TIMEOUT_S, 1)


def test_the_status_of_a_previous_holder_is_ignored():
    state = LeaseState(3)
    state.note_holder(digest(9), 100)
    state.note_holder(digest(5), 200)
    assert state.other_renewed_at == 100


def test_a_renewal_found_in_the_store_is_no_proof_of_life():
    state = LeaseState(3, is_fenced=True)
    state.note_holder(digest(5, end=5), 100)
    # The holder renewed and stopped before it could send a digest.
    state.note_read(LeaseRecord('other', 1, 5), 5, 6, 101)
    assert state.may_claim(101, 0)
    state.note_claimed(6, 101, 101)
    assert state.may_order(101 + FENCED_WAIT_S)


def test_without_fencing_such_a_renewal_delays_the_next_holder():
    state = LeaseState(3)
    state.note_holder(digest(5, end=5), 100)
    state.note_read(LeaseRecord('other', 1, 5), 5, 6, 101)
    state.note_claimed(6, 101, 101)
    assert not state.may_order(103.9)


def test_a_claim_that_was_unknown_is_proof_of_life():
    state = LeaseState(3, is_fenced=True)
    state.note_holder(digest(5, end=5), 100)
    state.note_read(LeaseRecord('third', 1, 0), 7, 8, 101)
    assert not state.may_claim(101.5, 0)


def test_a_former_holder_does_not_claim_for_the_length_of_a_lease():
    state = holder(is_fenced=True)
    state.last_order_at = 100.5
    state.note_holder(digest(9), 101)
    assert state.fence == 0
    assert not state.may_claim(103.6, 0)
    assert state.may_claim(103.8, 0)


@pytest.mark.parametrize('is_fenced', [True, False])
def test_two_holders_do_not_alternate_within_the_length_of_a_lease(is_fenced):
    state = holder(is_fenced=is_fenced)
    state.last_order_at = 101.5
    state.note_holder(digest(9), 101.6)
    # The claim was already in flight.
    state.note_claimed(12, 101.7, 101.7)
    state.note_renewed(13, 104)
    assert not state.may_order(104.6)
    assert not state.may_order_cached(104.6)
    state.note_renewed(14, 104.7)
    assert state.may_order(104.9)


def make(store, name, state=None, *, is_cut_off=False):
    return Leadership(
        store,
        'own',
        name,
        state or LeaseState(3),
        Candidacy(lambda: True, int, lambda: is_cut_off),
        discard_event,
        random.Random(1),
    )


async def step(leadership):
    try:
        await leadership._step()
    except LogOutageError:
        pass


@pytest.mark.parametrize('is_fenced', [True, False])
@pytest.mark.parametrize('is_cut_off', [True, False])
def test_without_the_store_a_holder_that_is_not_cut_off_continues(
    monkeypatch, is_fenced, is_cut_off
):
    monkeypatch.setattr('ebonywell.leadership.boot_time', lambda: 105.0)
    state = holder(is_fenced=is_fenced)
    one = make(MemoryStore(), 'one', state, is_cut_off=is_cut_off)
    assert one.may_order() == (is_fenced and not is_cut_off)
    assert one.may_order_cached() == is_fenced
    state.note_holder(digest(9), 105)
    assert not one.may_order()


def test_of_two_racing_hosts_one_gets_the_lease():
    async def play():
        store = MemoryStore()
        one, other = make(store, 'one'), make(store, 'other')
        await one._read()
        await other._read()
        await step(one)
        await step(other)
        return one.state.fence, other.state.fence

    assert anyio.run(play) == (1, 0)


def test_a_lost_answer_to_a_renewal_does_not_lose_the_lease():
    async def play():
        store = MemoryStore()
        one = make(store, 'one')
        await step(one)
        fence = one.state.fence
        store.lost_answers = 1
        one.state.renewed_at = 0
        await step(one)
        await step(one)
        await step(one)
        return fence, one.state.fence, store.ends['own', 0]

    fence, after, _ = anyio.run(play)
    assert fence == after == 1


@pytest.mark.parametrize('lost_answers', [0, 1])
def test_a_holder_raises_its_number_without_a_pause(lost_answers):
    async def play():
        store = MemoryStore()
        one = make(store, 'one')
        await step(one)
        store.lost_answers = lost_answers
        one.state.request_raise()
        for _ in range(3):
            await step(one)
        assert one.may_order()
        return one.state.raised_from, one.state.fence

    assert anyio.run(play) == (1, 2)


def test_after_a_lost_answer_to_a_claim_the_end_is_unknown():
    async def play():
        store = MemoryStore()
        one = make(store, 'one')
        await one._read()
        store.lost_answers = 1
        await step(one)
        return one.state.fence, one.state.partition_end

    assert anyio.run(play) == (0, None)


def test_a_holder_that_was_frozen_notices_that_its_lease_is_lost():
    async def play():
        store = MemoryStore()
        one, other = make(store, 'one'), make(store, 'other')
        await step(one)
        await other._read()
        other.state.holder_seen_at = float('-inf')
        await step(other)
        one.state.renewed_at = 0
        await step(one)
        return one.state.fence, other.state.fence

    assert anyio.run(play) == (0, 2)


def test_a_holder_that_learns_of_a_claim_does_not_renew_after_it():
    async def play():
        store = MemoryStore()
        one, other = make(store, 'one'), make(store, 'other')
        await step(one)
        await other._read()
        other.state.holder_seen_at = float('-inf')
        await step(other)
        status = digest(other.state.fence, is_ordering=False, end=2)
        one.state.note_holder(status, other.state.renewed_at)
        one.state.renewed_at = 0
        await step(one)
        other.state.renewed_at = 0
        await step(other)
        return one.state.fence, other.state.fence

    assert anyio.run(play) == (0, 2)


def test_a_former_holder_does_not_reclaim_the_lease_at_once(monkeypatch):
    def claim_at(leadership, now):
        monkeypatch.setattr('ebonywell.leadership.boot_time', lambda: now)
        leadership.state.holder_seen_at = float('-inf')
        anyio.run(step, leadership)
        return leadership.state.fence

    store = MemoryStore()
    one, other = make(store, 'one'), make(store, 'other')
    assert claim_at(one, 100) == 1
    one.note_order()
    assert claim_at(other, 101) == 0
    assert claim_at(other, 101.2) == 2
    assert claim_at(one, 101.4) == 0
    # The successor has stopped.
    assert claim_at(one, 103.1) == 0
    assert claim_at(one, 103.3) == 3


def test_a_released_lease_can_be_claimed_at_once():
    async def play():
        store = MemoryStore()
        one, other = make(store, 'one'), make(store, 'other')
        await step(one)
        await one.release()
        await step(other)
        return one.state.fence, other.state.fence

    assert anyio.run(play) == (0, 3)


def test_an_unreadable_answer_to_a_release_does_not_break_the_stop(monkeypatch):
    async def play():
        store = MemoryStore()
        one = make(store, 'one')
        await step(one)

        async def append(*args):
            raise TransportError('unreadable answer')

        monkeypatch.setattr(store, 'append', append)
        await one.release()
        return one.state.fence

    assert anyio.run(play) == 0


def test_a_conflict_raises_a_conflict_error():
    async def play():
        store = MemoryStore()
        await store.append('own', 0, (('a', b'1'),))
        with pytest.raises(ConflictError):
            await store.append('own', 0, (('a', b'2'),), 0)

    anyio.run(play)
