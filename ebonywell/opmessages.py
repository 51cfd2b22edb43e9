"""Bodies of the operators' HTTP API, shared by commands and entry processes."""

import msgspec

from .changes import Entry, Workspace
from .timeline import Event
from .types import RunState

PREFIX = '/operator/v1'


class ApprovalView(msgspec.Struct, frozen=True):
    """Approval of a workspace for an entry, granted or revoked."""

    workspace: str
    entry: str
    granted: bool


class CatalogueView(msgspec.Struct, frozen=True):
    """Catalogue without its keys.

    Attributes
    ----------
    applied : int
        Offset of the last record that the answering host has applied.
    entries : tuple of Entry
    workspaces : tuple of Workspace
    approvals : tuple of ApprovalView
    revisions : dict of str to int
        Current revisions, which a change must replace, by ``kind/name``.
        Removed items keep a revision; an item that never existed has
        revision 0.
    """

    applied: int
    entries: tuple[Entry, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    approvals: tuple[ApprovalView, ...] = ()
    revisions: dict[str, int] = {}


class KeyView(msgspec.Struct, frozen=True):
    """Key as shown to operators, without the key itself and its digest."""

    key_id: str
    workspace: str
    withdrawn: bool


class KeysView(msgspec.Struct, frozen=True):
    """All keys ever issued, including withdrawn ones."""

    keys: tuple[KeyView, ...] = ()


class StatusView(msgspec.Struct, frozen=True):
    """Status of an entry process.

    Attributes
    ----------
    host : str
        Host id and incarnation.
    applied : int
        Offset of the last record that the process has applied.
    log_age_s : float
        Time since the log last answered, in seconds; -1 if it never did.
    unreadable : int
        Number of log records that could not be read.
    parts : dict of str to object
        Status of the process's services.
    """

    host: str
    applied: int
    log_age_s: float
    unreadable: int = 0
    parts: dict[str, object] = {}


class TimelineView(msgspec.Struct, frozen=True):
    """Events of one process, oldest first."""

    events: tuple[Event, ...] = ()


class ChangeAccepted(msgspec.Struct, frozen=True):
    """Answer to a change that is in the log and is applied on one host."""

    revision: int


class Failure(msgspec.Struct, frozen=True):
    """Reason why a request failed or its outcome is unknown.

    Attributes
    ----------
    code : str
        Stable error code, on which scripts may rely.
    message : str
        One sentence for people.
    run_state : RunState
        Whether the change may still take effect.
    revision : int or None
        Current revision, if the failure is a conflict.
    """

    code: str
    message: str
    run_state: RunState = RunState.not_run
    revision: int | None = None


class FailureAnswer(msgspec.Struct, frozen=True):
    """Body of every error answer."""

    error: Failure


class HostEnded(msgspec.Struct, frozen=True):
    """Answer to the removal of a host that an operator reported as ended."""

    name: str
