"""What has to change for the catalogue to say what a file says."""

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
    """Return the changes that turn the catalogue into the wanted one.

    Parameters
    ----------
    desired : DesiredCatalogue
    view : CatalogueView
        What is in force; each change names the revision that it replaces.
    prune : bool
        Whether to remove what the file does not name. Keys stay.

    Returns
    -------
    list of CatalogueRecord
        In an order in which nothing refers to what is not there yet.
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
    """Return the removals of all that a file does not name."""
    return [
        *_unlisted_approvals(desired, view),
        *_unlisted_entries(desired, view),
        *_unlisted_workspaces(desired, view),
    ]


def describe(change: changes.CatalogueRecord) -> str:
    """Return a change in a few words."""
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
    """Return the revision that a change of something has to name."""
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
    named = {(one.workspace, one.entry) for one in desired.approvals}
    for workspace, entry in sorted(_granted_pairs(view) - named):
        yield _approval_change(view, workspace, entry, granted=False)


def _unlisted_entries(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.EntryRemoved]:
    named = {entry.name for entry in desired.entries}
    for entry in view.entries:
        if entry.name not in named:
            revision = revision_of(view, 'entry', entry.name)
            yield changes.EntryRemoved(entry.name, revision)


def _unlisted_workspaces(
    desired: DesiredCatalogue,
    view: CatalogueView,
) -> Iterator[changes.WorkspaceRemoved]:
    named = {workspace.name for workspace in desired.workspaces}
    for workspace in view.workspaces:
        if workspace.name not in named:
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
