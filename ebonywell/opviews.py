"""Views of the catalogue for operators, and checks of changes in force."""

from . import catalogue, changes, opmessages


def view_catalogue(
    table: catalogue.Catalogue,
    applied: int,
) -> opmessages.CatalogueView:
    """Return the catalogue as shown to operators, without its keys."""
    approvals = [
        _view_approval(pair, granted)
        for pair, granted in table.approvals.items()
    ]
    revisions = {
        name: revision
        for name, revision in table.revisions.items()
        if not name.startswith('key/')
    }
    return opmessages.CatalogueView(
        applied,
        tuple(table.entries.values()),
        tuple(table.workspaces.values()),
        tuple(approvals),
        revisions,
    )


def _view_approval(pair: str, granted: bool) -> opmessages.ApprovalView:
    workspace, _, entry = pair.partition('/')
    return opmessages.ApprovalView(workspace, entry, granted)


def is_in_force(
    table: catalogue.Catalogue,
    change: changes.CatalogueRecord,
) -> bool:
    """Return whether the catalogue already contains a change.

    A command whose answer was lost resends its change. The second copy
    conflicts with the first one, which must be reported as a success.
    """
    match change:
        case changes.EntrySet():
            return table.entries.get(change.entry.name) == change.entry
        case changes.WorkspaceSet():
            name = change.workspace.name
            return table.workspaces.get(name) == change.workspace
        case changes.EntryRemoved():
            return _was_removed(table, change, change.name in table.entries)
        case changes.WorkspaceRemoved():
            return _was_removed(table, change, change.name in table.workspaces)
        case changes.ApprovalSet():
            pair = f'{change.workspace}/{change.entry}'
            return table.approvals.get(pair) is change.granted
        case changes.KeyIssued():
            return _is_issued(table, change)
    return False


def _was_removed(
    table: catalogue.Catalogue,
    change: changes.EntryRemoved | changes.WorkspaceRemoved,
    is_present: bool,
) -> bool:
    revision = table.revisions.get(catalogue.revision_name(change), 0)
    return not is_present and revision > change.replaces


def _is_issued(table: catalogue.Catalogue, change: changes.KeyIssued) -> bool:
    key = table.keys.get(change.digest)
    return key == catalogue.Key(change.key_id, change.workspace)
