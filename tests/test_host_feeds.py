"""What a host believes of targets when the store is away or slow."""

import random
from types import SimpleNamespace

import pytest

from ebonywell.exceptions import LogOutageError
from ebonywell.feedpages import RelayedPage
from ebonywell.hostfeeds import HostFeeds
from ebonywell.intake import Intake
from ebonywell.inventory import (
    STORE_RECOVERY_GRACE_S,
    Announcement,
    Inventory,
    Resident,
    TargetState,
)
from ebonywell.logs import discard_event
from ebonywell.sharedstore import KeyedRecord, StorePage
from ebonywell.storereach import Witness
from ebonywell.translators import Translators

# Longer than a target's announcements take to arrive.
LATER_S = 10.0


def decode(name, body):
    """Return the announcement of a target that holds one model."""
    model = body.decode()
    return Announcement(
        name, 1, 'pool', '10.0.0.1:80', 'z', TargetState.ready, 8,
        {model: Resident(model)},
    )  # fmt: skip


@pytest.fixture
def feeds():
    translators = Translators(
        'op', 'config', None, 'servers', decode, 'own', None, None, None
    )
    rng = random.Random(1)
    found = HostFeeds(
        None, translators, Intake(rng, 5), Inventory(), discard_event, rng
    )
    found.apply_all_targets([KeyedRecord('t', b'old', 1)])
    return found


def tell(feeds, proven_at):
    """Let a reader tell that nothing is new."""
    feeds.targets._apply_relayed(
        RelayedPage(
            StorePage((), 2), proven_at, Witness(float('-inf'), proven_at)
        )
    )


def models_of(feeds):
    return set(feeds.inventory.targets['t'].models)


def test_an_old_announcement_does_not_undo_an_order_while_the_store_is_away(
    feeds,
):
    tell(feeds, 100.0)
    known = feeds.inventory.targets['t']
    known.confirm(3, {'new': Resident('new')}, 101.0)
    for step in range(40):
        feeds.refresh(101.0 + step / 2)
        assert models_of(feeds) == {'new'}


def test_an_announcement_that_stands_undoes_a_mistaken_belief(feeds):
    feeds.inventory.targets['t'].drop('old', '')
    for step in range(40):
        tell(feeds, 100.0 + step / 2)
        feeds.refresh(100.0 + step / 2)
    assert models_of(feeds) == {'old'}


def withdraw(feeds, sent_at):
    """Let the store tell that the target's entry is gone."""
    feeds.targets._note_answer(sent_at)
    feeds.apply_targets([KeyedRecord('t', None, 5)])


@pytest.fixture
def now(monkeypatch):
    time = SimpleNamespace(s=100.0)

    def clock():
        return time.s

    monkeypatch.setattr('ebonywell.following.boot_time', clock)
    monkeypatch.setattr('ebonywell.hostfeeds.boot_time', clock)
    return time


def fail(feeds):
    feeds.targets._note_failed(LogOutageError('no answer'))


def test_a_target_that_left_gets_nothing_long_after_a_failed_call(feeds, now):
    feeds.targets._note_answer(99.0)
    tell(feeds, 100.0)
    fail(feeds)
    for step in range(20):
        now.s = 101.0 + step
        tell(feeds, now.s)
    withdraw(feeds, now.s)
    assert not feeds.inventory.targets


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_return(
    feeds, now
):
    feeds.targets._note_answer(99.0)
    fail(feeds)
    now.s = 105.0
    withdraw(feeds, now.s)
    feeds.refresh(now.s)
    assert feeds.inventory.of_service('pool')
    feeds.refresh(now.s + STORE_RECOVERY_GRACE_S)
    assert not feeds.inventory.targets
