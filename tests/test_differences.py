"""Differences between a catalogue file and the catalogue, and their order."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ebonywell import catalogue, changes, differences, opviews
from ebonywell.catfile import Approval, DesiredCatalogue
from ebonywell.types import EntryKind

_NAMES = st.sampled_from(['a', 'b', 'c'])
_ENTRIES = st.dictionaries(_NAMES, st.integers(1, 3), max_size=3)
_PAIRS = st.sets(st.tuples(_NAMES, _NAMES), max_size=4)


@st.composite
def desired_catalogues(draw):
    """Draw the content of a file without faults."""
    entries = draw(_ENTRIES)
    workspaces = draw(_ENTRIES)
    return DesiredCatalogue(
        tuple(
            changes.Entry(name, EntryKind.model, bytes=size)
            for name, size in entries.items()
        ),
        tuple(
            changes.Workspace(name, size, size)
            for name, size in workspaces.items()
        ),
        tuple(
            Approval(workspace, entry)
            for workspace, entry in sorted(draw(_PAIRS))
            if workspace in workspaces and entry in entries
        ),
    )


def apply_file(table, desired, prune, offset):
    """Apply the differences in order; each of them must be accepted."""
    view = opviews.view_catalogue(table, offset)
    for change in differences.find_changes(desired, view, prune):
        offset += 1
        assert catalogue.apply(table, offset, change)
    return offset


@given(st.lists(desired_catalogues(), max_size=4))
def test_apply_with_pruning_makes_the_catalogue_match_the_file(files):
    table = catalogue.Catalogue()
    offset = 0
    for desired in files:
        offset = apply_file(table, desired, prune=True, offset=offset)
        assert table.entries == {one.name: one for one in desired.entries}
        assert table.workspaces == {one.name: one for one in desired.workspaces}
        granted = {pair for pair, is_on in table.approvals.items() if is_on}
        assert granted == {
            f'{one.workspace}/{one.entry}' for one in desired.approvals
        }
        view = opviews.view_catalogue(table, offset)
        assert not differences.find_changes(desired, view, prune=True)


@given(desired_catalogues(), desired_catalogues())
def test_apply_without_pruning_removes_nothing(first, second):
    table = catalogue.Catalogue()
    offset = apply_file(table, first, prune=False, offset=0)
    apply_file(table, second, prune=False, offset=offset)
    for desired in (first, second):
        assert {one.name for one in desired.entries} <= set(table.entries)
        for one in desired.approvals:
            assert catalogue.is_approved(table, one.workspace, one.entry)


@pytest.mark.parametrize(
    ('change', 'words'),
    [
        (changes.WorkspaceSet(changes.Workspace('a', 1, 1)), 'add workspace a'),
        (
            changes.WorkspaceSet(changes.Workspace('a', 1, 1), 7),
            'set workspace a',
        ),
        (changes.EntryRemoved('a', 7), 'remove entry a'),
        (changes.ApprovalSet('a', 'b', granted=True), 'grant approval a/b'),
        (changes.ApprovalSet('a', 'b', granted=False), 'end approval a/b'),
        (changes.KeyWithdrawn('k1'), 'withdraw key k1'),
    ],
)
def test_a_change_has_a_short_description(change, words):
    assert differences.describe(change) == words
