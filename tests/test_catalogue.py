"""Tests of catalogue changes: conflicts, approvals and withdrawn keys."""

import pytest

from ebonywell import catalogue, changes, records, state
from ebonywell.exceptions import RecordError
from ebonywell.types import EntryKind

QUOTE = changes.Entry('quote', EntryKind.model)
COUNTER = changes.Workspace('counter', rate=100, burst=200)


@pytest.fixture
def built():
    """Build a catalogue with one entry, one workspace and one key."""
    table = catalogue.Catalogue()
    catalogue.apply(table, 1, changes.EntrySet(QUOTE))
    catalogue.apply(table, 2, changes.WorkspaceSet(COUNTER))
    digest = catalogue.key_digest('secret')
    catalogue.apply(table, 3, changes.KeyIssued('k1', digest, 'counter'))
    return table


def test_the_second_of_two_conflicting_changes_has_no_effect(built):
    first = changes.EntrySet(changes.Entry('quote', EntryKind.model, 'a'), 2)
    second = changes.EntrySet(changes.Entry('quote', EntryKind.model, 'b'), 2)
    assert catalogue.apply(built, 4, first)
    assert not catalogue.apply(built, 5, second)
    assert built.entries['quote'].owner == 'a'


def test_an_approval_needs_a_known_workspace_and_entry(built):
    known = changes.ApprovalSet('counter', 'quote', granted=True)
    unknown = changes.ApprovalSet('counter', 'nothing', granted=True)
    assert catalogue.apply(built, 4, known)
    assert not catalogue.apply(built, 5, unknown)
    assert catalogue.is_approved(built, 'counter', 'quote')


def test_a_withdrawn_key_cannot_be_issued_again(built):
    assert catalogue.apply(built, 4, changes.KeyWithdrawn('k1'))
    digest = catalogue.key_digest('secret')
    again = changes.KeyIssued('k1', digest, 'counter')
    assert not catalogue.apply(built, 5, again)
    assert catalogue.find_key(built, 'secret').withdrawn


def test_a_state_survives_encoding_and_rejects_applied_offsets(built):
    whole = state.State(applied=3, catalogue=built)
    assert state.decode_state(state.encode_state(whole)) == whole
    late = records.make_record(changes.KeyWithdrawn('k1'), 'h', 0)
    with pytest.raises(RecordError):
        state.apply_record(whole, 3, late)
