"""What operators set, and the records by which they change it."""

import msgspec

from .types import EntryKind, ServiceClass


class Adapter(msgspec.Struct, frozen=True):
    """An adapter of a model.

    Attributes
    ----------
    name : str
        Callers ask for ``model:adapter``.
    bytes : int
        Accelerator memory that it takes.
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
        The team that approves callers.
    service_class : ServiceClass
    open : bool
        Whether it may be called without an approval or a key.
    bytes : int
        Accelerator memory that one replica of a model takes.
    max_output_tokens : int
        The most tokens that one answer of a model has.
    adapters : tuple of Adapter
    idempotent : bool
        Whether a plain service's calls may be repeated.
    targets : tuple of str
        The targets that serve a plain service.
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
        Tokens a second over all hosts together.
    burst : float
        Tokens that may be admitted at once.
    weight : float
        Its share when workspaces wait for the same target.
    """

    name: str
    rate: float
    burst: float
    weight: float = 1.0


class EntrySet(msgspec.Struct, frozen=True, tag='entry_set'):
    """Sets an entry; `replaces` is the revision that it was written for."""

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
    """Grants or ends a workspace's access to an entry."""

    workspace: str
    entry: str
    granted: bool
    replaces: int = 0


class KeyIssued(msgspec.Struct, frozen=True, tag='key_issued'):
    """Adds a key, known by its digest only."""

    key_id: str
    digest: str
    workspace: str


class KeyWithdrawn(msgspec.Struct, frozen=True, tag='key_withdrawn'):
    """Withdraws a key for good."""

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
