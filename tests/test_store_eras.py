"""A store that comes back from an older copy gives offsets out again."""

import random

import anyio
import pytest

from ebonywell.feedtail import FeedTail
from ebonywell.following import Feed, Follower
from ebonywell.inventory import STORE_RECOVERY_GRACE_S
from ebonywell.logs import discard_event

from .memorystore import MemoryStore

WAIT_S = 0.05
SOON_S = 0.5


def make_follower(store):
    applied = {}

    def apply(records):
        applied.update({one.key: one.value for one in records})

    follower = Follower(
        store, Feed('t', 0, WAIT_S, 0), apply, apply, FeedTail(bytes.__ne__),
        discard_event, random.Random(1),
    )  # fmt: skip
    return follower, applied


@pytest.mark.parametrize('count', [1, 2, 5])
def test_records_at_reused_offsets_are_not_skipped(count):
    """New records stand at the lost offsets before the next read."""

    async def run():
        store = MemoryStore()
        for number in range(5):
            await store.append('t', 0, ((f'k{number}', b'old'),))
        follower, applied = make_follower(store)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(SOON_S)
            assert follower.state.offset == 5
            store.roll_back(count)
            for number in range(count):
                await store.append('t', 0, ((f'n{number}', b'new'),))
            await anyio.sleep(SOON_S)
            group.cancel_scope.cancel()
        assert {f'n{number}' for number in range(count)} <= applied.keys()
        assert follower.state.offset == 5
        assert follower.state.reach.era == 1

    anyio.run(run)


def test_a_rolled_back_store_counts_as_an_outage():
    async def run():
        store = MemoryStore()
        await store.append('t', 0, (('k', b'old'),))
        follower, _ = make_follower(store)
        async with anyio.create_task_group() as group:
            group.start_soon(follower.run)
            await anyio.sleep(SOON_S)
            store.roll_back(1)
            await anyio.sleep(SOON_S)
            group.cancel_scope.cancel()
        reach = follower.state.reach
        age_s = reach.proven_at - reach.recovered_at
        assert 0 < age_s < STORE_RECOVERY_GRACE_S

    anyio.run(run)
