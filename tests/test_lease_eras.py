"""The lease in a store that comes back from an older copy of itself."""

import random

import anyio
import msgspec
import pytest

from ebonywell.digests import HolderStatus
from ebonywell.exceptions import LogServiceError
from ebonywell.leadership import LEASE_KEY, LEASE_PARTITION
from ebonywell.leasestate import (
    LOST_RECORDS,
    MAX_PADDING,
    LeaseRecord,
    LeaseState,
)
from tests.leaseworld import play
from tests.memorystore import MemoryStore

from .test_leadership import make, step

SETTLE_S = 4


def check(world):
    __tracebackhide__ = True
    assert world.shared_fences() == {}
    assert world.misplaced_claims() == []
    if not world.is_fenced:
        assert world.lowered_fences() == []


@pytest.mark.parametrize('age_s', [0.5, 1, 2, 4, 8])
@pytest.mark.parametrize('is_stopped', [True, False])
def test_no_two_holders_share_a_fencing_number_after_a_rollback(
    monkeypatch, age_s, is_stopped
):
    """The store loses the claim of a holder that has given orders."""

    async def scenario(world):
        await anyio.sleep(SETTLE_S)
        if is_stopped:
            await world.hosts['host-0'].leadership.release()
            world.kill('host-0')
        await anyio.sleep(3)
        await world.store.drill(age_s, 0.5)
        await anyio.sleep(2 * SETTLE_S)

    world = play(monkeypatch, 1, scenario, is_fenced=True)
    check(world)
    assert world.orders[-1][0] > SETTLE_S + 8


@pytest.mark.parametrize('is_fenced', [True, False])
def test_three_rollbacks_in_a_row_reuse_no_fencing_number(
    monkeypatch, is_fenced
):
    """The last two lose the claims that followed the one before."""

    async def scenario(world):
        await anyio.sleep(SETTLE_S)
        for age_s in (2, 6, 9):
            await world.store.drill(age_s, 0.3)
            await anyio.sleep(3)
        await anyio.sleep(2 * SETTLE_S)

    check(play(monkeypatch, 2, scenario, is_fenced=is_fenced))


def test_a_claim_lost_with_its_holder_leaves_its_number_unused(monkeypatch):
    """Nobody has heard of the claim: its host dies in the lost seconds."""

    async def scenario(world):
        await anyio.sleep(SETTLE_S)
        world.is_split = True
        world.kill('host-0')
        await anyio.sleep(3)
        claimants = {name for _, name, _ in world.orders}
        for name in claimants & set(world.hosts):
            world.kill(name)
        await world.store.drill(3, 0.2)
        for name in claimants:
            world.start(name)
        await anyio.sleep(2 * SETTLE_S)

    check(play(monkeypatch, 3, scenario, is_fenced=True))


async def disturb(world):
    """Lay a random fault over the hosts or the store."""
    rng = world.rng
    name = rng.choice(list(world.hosts))
    match rng.choice(('drill', 'drill', 'kill', 'freeze', 'split', 'late')):
        case 'drill':
            await world.store.drill(rng.uniform(0, 10), rng.uniform(0, 1))
        case 'kill':
            world.kill(name)
            await anyio.sleep(rng.uniform(0.1, 2))
            world.start(name)
        case 'freeze':
            world.hosts[name].is_frozen = True
            await anyio.sleep(rng.uniform(0.5, 5))
            world.hosts[name].is_frozen = False
        case 'split':
            world.is_split = True
            await anyio.sleep(rng.uniform(0.5, 4))
            world.is_split = False
        case 'late':
            world.store.late_share = 0.4
            await anyio.sleep(rng.uniform(0.5, 4))
            world.store.late_share = 0


@pytest.mark.parametrize('is_fenced', [True, False])
@pytest.mark.parametrize('seed', range(40))
def test_no_order_of_faults_lets_two_holders_share_a_fencing_number(
    monkeypatch, seed, is_fenced
):
    async def scenario(world):
        for _ in range(20):
            await anyio.sleep(world.rng.uniform(0, 3))
            async with anyio.create_task_group() as group:
                for _ in range(world.rng.choice((1, 1, 2))):
                    group.start_soon(disturb, world)
        await anyio.sleep(2 * SETTLE_S)
        world.ended_at = anyio.current_time()

    world = play(monkeypatch, seed, scenario, is_fenced=is_fenced)
    check(world)
    assert world.orders[-1][0] > world.ended_at - SETTLE_S


async def raise_often(world, seed):
    """Have the holder take a new fencing number, again and again."""
    rng = random.Random(seed)
    while True:
        await anyio.sleep(rng.uniform(0, 1))
        for host in world.hosts.values():
            host.leadership.state.request_raise()


# Guards against a raised fencing number that another holder has, or that a
# holder goes on with whose lease is lost.
@pytest.mark.parametrize('is_fenced', [True, False])
@pytest.mark.parametrize('seed', range(40))
def test_raised_fencing_numbers_are_held_by_one_host_each(
    monkeypatch, seed, is_fenced
):
    async def scenario(world):
        async with anyio.create_task_group() as raising:
            raising.start_soon(raise_often, world, seed)
            for _ in range(12):
                await anyio.sleep(world.rng.uniform(0, 3))
                await disturb(world)
            raising.cancel_scope.cancel()
        await anyio.sleep(2 * SETTLE_S)
        world.ended_at = anyio.current_time()

    world = play(monkeypatch, seed, scenario, is_fenced=is_fenced)
    assert 'lease_raised' in {event for event, _ in world.events}
    check(world)
    assert world.orders[-1][0] > world.ended_at - SETTLE_S


def era_store(era, records=3):
    """Return a store in an era with records that state none."""
    store = MemoryStore()
    store.era = era
    body = msgspec.json.encode(LeaseRecord('old', 1, 2, is_released=True))
    for _ in range(records):
        anyio.run(store.append, 'own', LEASE_PARTITION, [(LEASE_KEY, body)])
    return store


def test_a_claim_after_a_takeover_that_was_heard_of_is_not_padded_again(
    monkeypatch,
):
    """Or a later era would give its number out a second time."""
    monkeypatch.setattr('ebonywell.leadership.boot_time', lambda: 100.0)
    store = era_store(2)

    async def run():
        one, other = make(store, 'one'), make(store, 'other')
        await other._read()
        await step(one)
        fence = one.state.fence
        status = HolderStatus(
            fence, 1, is_proven=True, is_ordering=True, lease_end=fence,
            name='one',
        )  # fmt: skip
        other.state.note_holder(status, 90)
        await step(other)
        return fence, other.state.fence

    assert anyio.run(run) == (
        3 + 2 * LOST_RECORDS + 1,
        3 + 2 * LOST_RECORDS + 2,
    )


@pytest.mark.parametrize('is_renewal', [False, True])
def test_an_answer_that_comes_after_the_end_of_its_era_gives_no_lease(
    monkeypatch, is_renewal
):
    """The host learns of the new era from another answer of the store."""
    monkeypatch.setattr('ebonywell.leadership.boot_time', lambda: 100.0)
    store = era_store(2)

    async def run():
        one = make(store, 'one')
        if is_renewal:
            await step(one)
            one.state.renewed_at = 0
        append = store.append

        async def append_slowly(*call):
            appended = await append(*call)
            one.note_era(3)
            return appended

        monkeypatch.setattr(store, 'append', append_slowly)
        with pytest.raises(LogServiceError):
            await one._step()
        return one.state

    state = anyio.run(run)
    assert state.fence == 0
    assert state.partition_end is None
    assert not state.is_padding_known


def test_a_claim_of_the_earlier_release_does_not_hide_the_padding():
    """Its hosts read the lease by its key and don't write padding."""
    store = era_store(5)

    async def run():
        one, other = make(store, 'one'), make(store, 'other')
        await step(one)
        end = store.ends['own', LEASE_PARTITION]
        body = msgspec.json.encode(LeaseRecord('old', 4, is_released=True))
        await store.append('own', LEASE_PARTITION, [(LEASE_KEY, body)], end)
        await step(other)
        return end, other.state.fence

    end, fence = anyio.run(run)
    assert end == 3 + 5 * LOST_RECORDS + 1
    assert fence == end + 2


def test_a_claim_without_a_rollback_is_numbered_as_by_the_earlier_release():
    """Its hosts claim later with the number after the claim's offset."""

    async def run():
        store = MemoryStore()
        one, other = make(store, 'one'), make(store, 'other')
        await step(one)
        await one.release()
        await step(other)
        page = await store.read_newest('own', 0)
        return other.state.fence, page.records[-1].offset, page.next_offset

    assert anyio.run(run) == (3, 2, 3)


def test_the_padding_of_a_claim_is_bounded():
    state = LeaseState(3)
    state.note_era(10**9, 0)
    state.note_read(None, 0, 0, 0)
    assert state.padding == MAX_PADDING
