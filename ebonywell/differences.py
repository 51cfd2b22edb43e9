"""Computes the changes that make the catalogue match a catalogue file."""

from collections.abc import Iterator

from . import changes
from .catalogue import revision_name
from .catfile import DesiredCatalogue
from .opmessages import CatalogueView


def find_changes(
    desired: DesiredCatalogue,
    view: CatalogueView,
    prune: bool = False,
) -> list[changes.CatalogueRecord]:
    """Return the changes that turn the catalogue into the desired one.

    Parameters
    ----------
    desired : DesiredCatalogue
    view : CatalogueView
        Current catalogue. Each change names the revision that it replaces.
    prune : bool
        Whether to remove what the file does not list. Keys are not removed.

    Returns
    -------
    list of CatalogueRecord
        Changes in an order in which no change refers to an item that does not
        exist yet.
    """
    found: list[changes.CatalogueRecord] = [
        *_entry_changes(desired, view),
        *_workspace_changes(desired, view),
        *_approval_changes(desired, view),
    ]
    return [*found, *find_unlisted(desired, view)] if prune else found


def find_unlisted(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> list[changes.CatalogueRecord]:
    """Return removals for all items that a file does not list."""
    return [
        *_unlisted_approvals(desired, view),
        *_unlisted_entries(desired, view),
        *_unlisted_workspaces(desired, view),
    ]


def describe(change: changes.CatalogueRecord) -> str:
    """Return a short description of a change."""
    name = revision_name(change).replace('/', ' ', 1)
    match change:
        case changes.EntryRemoved() | changes.WorkspaceRemoved():
            return f'remove {name}'
        case changes.ApprovalSet(granted=False):
            return f'end {name}'
        case changes.ApprovalSet():
            return f'grant {name}'
        case changes.KeyIssued():
            return f'issue {name}'
        case changes.KeyWithdrawn():
            return f'withdraw {name}'
    return f'set {name}' if getattr(change, 'replaces', 0) else f'add {name}'


def revision_of(view: CatalogueView, kind: str, *names: str) -> int:
    """Return the current revision of an item, 0 if it never existed."""
    return view.revisions.get('/'.join((kind, *names)), 0)


def _entry_changes(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.EntrySet]:
    present = {entry.name: entry for entry in view.entries}
    for entry in desired.entries:
        if present.get(entry.name) != entry:
            revision = revision_of(view, 'entry', entry.name)
            yield changes.EntrySet(entry, revision)


def _workspace_changes(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.WorkspaceSet]:
    present = {workspace.name: workspace for workspace in view.workspaces}
    for workspace in desired.workspaces:
        if present.get(workspace.name) != workspace:
            revision = revision_of(view, 'workspace', workspace.name)
            yield changes.WorkspaceSet(workspace, revision)


def _approval_changes(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.ApprovalSet]:
    granted = _granted_pairs(view)
    for approval in desired.approvals:
        if (approval.workspace, approval.entry) not in granted:
            yield _approval_change(
                view,
                approval.workspace,
                approval.entry,
                granted=True,
            )


def _unlisted_approvals(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.ApprovalSet]:
    listed = {(one.workspace, one.entry) for one in desired.approvals}
    for workspace, entry in sorted(_granted_pairs(view) - listed):
        yield _approval_change(view, workspace, entry, granted=False)


def _unlisted_entries(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.EntryRemoved]:
    listed = {entry.name for entry in desired.entries}
    for entry in view.entries:
        if entry.name not in listed:
            revision = revision_of(view, 'entry', entry.name)
            yield changes.EntryRemoved(entry.name, revision)


def _unlisted_workspaces(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.WorkspaceRemoved]:
    listed = {workspace.name for workspace in desired.workspaces}
    for workspace in view.workspaces:
        if workspace.name not in listed:
            revision = revision_of(view, 'workspace', workspace.name)
            yield changes.WorkspaceRemoved(workspace.name, revision)


def _approval_change(
    view: CatalogueView,
    workspace: str,
    entry: str,
    *,
    granted: bool,
) -> changes.ApprovalSet:
    revision = revision_of(view, 'approval', workspace, entry)
    return changes.ApprovalSet(workspace, entry, granted, revision)


def _granted_pairs(view: CatalogueView) -> set[tuple[str, str]]:
    return {
        (approval.workspace, approval.entry)
        for approval in view.approvals
        if approval.granted
    }
