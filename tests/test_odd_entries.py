"""Entries that another writer left among those of the targets."""

import random

import anyio
import pytest

from ebonywell.exceptions import RecordError
from ebonywell.hostfeeds import HostFeeds
from ebonywell.intake import Intake
from ebonywell.inventory import Inventory
from ebonywell.logs import discard_event
from ebonywell.platform.targets import TOPIC, decode_announcement
from ebonywell.translators import Translators

from .memorystore import MemoryStore

SOUND = b'{"service":"s","address":"10.0.0.1:%s","state":"ready","slots":%s}'
# Deeper than the interpreter's stack, in a field that is not ours.
DEEP = b'{"x":%b%b}' % (b'[' * 100_000, b']' * 100_000)
ODD = (
    DEEP,
    SOUND % (b'80', b'9' * 400),
    SOUND % (b'80', b'1e400'),
    SOUND % (b'80', b'-1'),
    SOUND % (b'0', b'4'),
    SOUND % (b'65536', b'4'),
    SOUND % (b'-5', b'4'),
    b'\xff\xfe',
    b'[]',
)
SOON_S = 2.0


@pytest.mark.parametrize('body', ODD)
def test_an_odd_entry_is_rejected_as_a_record(body):
    with pytest.raises(RecordError):
        decode_announcement('t', body)


@pytest.mark.parametrize('body', ODD)
def test_hosts_follow_the_targets_past_an_odd_entry(body):
    """The entry is written twice, as heartbeats are."""

    async def run():
        store = MemoryStore()
        rng = random.Random(1)
        inventory = Inventory()
        feeds = HostFeeds(
            store,
            Translators(
                'op', 'config', None, TOPIC, decode_announcement, 'own', None,
                None, None,
            ),
            Intake(rng, 5),
            inventory,
            discard_event,
            rng,
        )  # fmt: skip
        async with anyio.create_task_group() as group:
            group.start_soon(feeds.targets.run)
            for _ in range(2):
                await store.append(TOPIC, 0, (('odd', body),))
            await anyio.sleep(SOON_S / 2)
            for _ in range(2):
                await store.append(TOPIC, 0, (('odd', b' %b' % body),))
            await store.append(TOPIC, 0, (('good', SOUND % (b'80', b'4')),))
            await anyio.sleep(SOON_S)
            group.cancel_scope.cancel()
        assert set(inventory.targets) == {'good'}

    anyio.run(run)
