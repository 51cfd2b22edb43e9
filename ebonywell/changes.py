"""The items of the catalogue and the records that change them."""

import msgspec

from .types import EntryKind, ServiceClass


class Adapter(msgspec.Struct, frozen=True):
    """An adapter of a model.

    Attributes
    ----------
    name : str
        Callers select it as ``model:adapter``.
    bytes : int
        Accelerator memory that the adapter occupies.
    """

    name: str
    bytes: int


class Entry(msgspec.Struct, frozen=True):
    """One entry of the catalogue.

    Attributes
    ----------
    name : str
    kind : EntryKind
    owner : str
        Team that approves callers.
    service_class : ServiceClass
    open : bool
        Whether callers need neither an approval nor a key.
    bytes : int
        Accelerator memory that one replica of a model occupies.
    max_output_tokens : int
        Maximum number of tokens in one answer of a model.
    adapters : tuple of Adapter
    idempotent : bool
        Whether calls to a plain service may be repeated.
    targets : tuple of str
        Names of the targets of a plain service.
    """

    name: str
    kind: EntryKind
    owner: str = ''
    service_class: ServiceClass = msgspec.field(
        default=ServiceClass.interactive,
        name='class',
    )
    open: bool = False
    bytes: int = 0
    max_output_tokens: int = 1024
    adapters: tuple[Adapter, ...] = ()
    idempotent: bool = True
    targets: tuple[str, ...] = ()


class Workspace(msgspec.Struct, frozen=True):
    """A workspace and its limits.

    Attributes
    ----------
    name : str
    rate : float
        Tokens per second, summed over all hosts.
    burst : float
        Tokens that may be admitted in one burst.
    weight : float
        Relative share when workspaces wait for the same target.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0


class EntrySet(msgspec.Struct, frozen=True, tag='entry_set'):
    """Sets an entry; `replaces` is the revision that it replaces."""

    entry: Entry
    replaces: int = 0


class EntryRemoved(msgspec.Struct, frozen=True, tag='entry_removed'):
    """Removes an entry and its approvals."""

    name: str
    replaces: int = 0


class WorkspaceSet(msgspec.Struct, frozen=True, tag='workspace_set'):
    """Sets a workspace and its limits."""

    workspace: Workspace
    replaces: int = 0


class WorkspaceRemoved(msgspec.Struct, frozen=True, tag='workspace_removed'):
    """Removes a workspace, its approvals and its keys."""

    name: str
    replaces: int = 0


class ApprovalSet(msgspec.Struct, frozen=True, tag='approval_set'):
    """Grants or revokes a workspace's access to an entry."""

    workspace: str
    entry: str
    granted: bool
    replaces: int = 0


class KeyIssued(msgspec.Struct, frozen=True, tag='key_issued'):
    """Adds a key, of which only the digest is stored."""

    key_id: str
    digest: str
    workspace: str


class KeyWithdrawn(msgspec.Struct, frozen=True, tag='key_withdrawn'):
    """Withdraws a key permanently."""

    key_id: str


CatalogueRecord = (
    EntrySet
    | EntryRemoved
    | WorkspaceSet
    | WorkspaceRemoved
    | ApprovalSet
    | KeyIssued
    | KeyWithdrawn
)
