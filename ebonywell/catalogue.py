"""The catalogue: entries, workspaces, approvals and keys."""

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field

from .changes import (
    ApprovalSet,
    CatalogueRecord,
    Entry,
    EntryRemoved,
    EntrySet,
    KeyIssued,
    KeyWithdrawn,
    Workspace,
    WorkspaceRemoved,
    WorkspaceSet,
)


@dataclass(slots=True)
class Key:
    """A key as the catalogue stores it."""

    key_id: str
    workspace: str
    withdrawn: bool = False


@dataclass(slots=True)
class Catalogue:
    """The table of everything that operators configure through the log.

    Attributes
    ----------
    entries : dict of str to Entry
    workspaces : dict of str to Workspace
    approvals : dict of str to bool
        Whether access is granted, by ``workspace/entry``.
    keys : dict of str to Key
        Keyed by the key's digest.
    key_digests : dict of str to str
        Digest of each key, by key id.
    revisions : dict of str to int
        Revision of each item by ``kind/name``: the offset of its last change
        plus one.
    """

    entries: dict[str, Entry] = field(default_factory=dict)
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    approvals: dict[str, bool] = field(default_factory=dict)
    keys: dict[str, Key] = field(default_factory=dict)
    key_digests: dict[str, str] = field(default_factory=dict)
    revisions: dict[str, int] = field(default_factory=dict)


def key_digest(key: str) -> str:
    """Return the digest under which a key is stored and looked up."""
    return hashlib.sha256(key.encode()).hexdigest()


def find_key(catalogue: Catalogue, key: str) -> Key | None:
    """Return the record of a caller's key, or None if it is unknown."""
    return catalogue.keys.get(key_digest(key))


def is_approved(catalogue: Catalogue, workspace: str, entry: str) -> bool:
    """Return whether a workspace may call an entry."""
    return catalogue.approvals.get(f'{workspace}/{entry}', False)


def revision_name(record: CatalogueRecord) -> str:
    """Return the name of the item whose revision a record changes."""
    match record:
        case EntrySet():
            return _join('entry', record.entry.name)
        case EntryRemoved():
            return _join('entry', record.name)
        case WorkspaceSet():
            return _join('workspace', record.workspace.name)
        case WorkspaceRemoved():
            return _join('workspace', record.name)
        case ApprovalSet():
            return _join('approval', record.workspace, record.entry)
        case _:
            return _join('key', record.key_id)


def _join(*parts: str) -> str:
    return '/'.join(parts)


def apply(
    catalogue: Catalogue,
    offset: int,
    record: CatalogueRecord,
) -> bool:
    """Apply a record and return whether it took effect.

    Parameters
    ----------
    catalogue : Catalogue
        Changed in place.
    offset : int
        The record's offset. The revision of the changed item becomes this
        plus one, so that revision 0 means that the item was never set.
    record : CatalogueRecord

    Returns
    -------
    bool
        False if the record changed nothing: it was written for another
        revision, or names something that does not exist or exists already.
    """
    name = revision_name(record)
    replaces = getattr(record, 'replaces', None)
    if replaces is not None and catalogue.revisions.get(name, 0) != replaces:
        return False
    if not _apply_change(catalogue, record):
        return False
    catalogue.revisions[name] = offset + 1
    return True


def _apply_change(catalogue: Catalogue, record: CatalogueRecord) -> bool:
    match record:
        case EntrySet():
            catalogue.entries[record.entry.name] = record.entry
        case EntryRemoved():
            return _remove_entry(catalogue, record.name)
        case WorkspaceSet():
            catalogue.workspaces[record.workspace.name] = record.workspace
        case WorkspaceRemoved():
            return _remove_workspace(catalogue, record.name)
        case ApprovalSet():
            return _set_approval(catalogue, record)
        case KeyIssued():
            return _issue_key(catalogue, record)
        case KeyWithdrawn():
            return _withdraw_key(catalogue, record.key_id)
    return True


def _remove_entry(catalogue: Catalogue, name: str) -> bool:
    _drop_approvals(catalogue, lambda _, entry: entry == name)
    return catalogue.entries.pop(name, None) is not None


def _remove_workspace(catalogue: Catalogue, name: str) -> bool:
    _drop_approvals(catalogue, lambda workspace, _: workspace == name)
    for key in catalogue.keys.values():
        key.withdrawn = key.withdrawn or key.workspace == name
    return catalogue.workspaces.pop(name, None) is not None


def _drop_approvals(
    catalogue: Catalogue,
    is_dropped: Callable[[str, str], bool],
) -> None:
    for pair in list(catalogue.approvals):
        if is_dropped(*pair.split('/', 1)):
            catalogue.approvals.pop(pair)


def _set_approval(catalogue: Catalogue, record: ApprovalSet) -> bool:
    is_known = (
        record.workspace in catalogue.workspaces
        and record.entry in catalogue.entries
    )
    if is_known:
        pair = f'{record.workspace}/{record.entry}'
        catalogue.approvals[pair] = record.granted
    return is_known


def _issue_key(catalogue: Catalogue, record: KeyIssued) -> bool:
    is_taken = (
        record.key_id in catalogue.key_digests
        or record.digest in catalogue.keys
    )
    if is_taken or record.workspace not in catalogue.workspaces:
        return False
    catalogue.keys[record.digest] = Key(record.key_id, record.workspace)
    catalogue.key_digests[record.key_id] = record.digest
    return True


def _withdraw_key(catalogue: Catalogue, key_id: str) -> bool:
    digest = catalogue.key_digests.get(key_id)
    if digest is None:
        return False
    catalogue.keys[digest].withdrawn = True
    return True
