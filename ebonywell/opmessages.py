"""What the operators' commands and the entry processes tell each other."""

import msgspec

from .changes import Entry, Workspace
from .timeline import Event
from .types import RunState

PREFIX = '/operator/v1'


class ApprovalView(msgspec.Struct, frozen=True):
    """An approval, granted or ended."""

    workspace: str
    entry: str
    granted: bool


class CatalogueView(msgspec.Struct, frozen=True):
    """The catalogue but for its keys.

    Attributes
    ----------
    applied : int
        The offset of the last record in force on the host that answers.
    entries : tuple of Entry
    workspaces : tuple of Workspace
    approvals : tuple of ApprovalView
    revisions : dict of str to int
        The revision that a change has to name, by ``kind/name``. What was
        removed stays in it; what never was has revision 0.
    """

    applied: int
    entries: tuple[Entry, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    approvals: tuple[ApprovalView, ...] = ()
    revisions: dict[str, int] = {}


class KeyView(msgspec.Struct, frozen=True):
    """A key as operators see it: neither the key nor its digest."""

    key_id: str
    workspace: str
    withdrawn: bool


class KeysView(msgspec.Struct, frozen=True):
    """All keys that were ever issued."""

    keys: tuple[KeyView, ...] = ()


class StatusView(msgspec.Struct, frozen=True):
    """How an entry process is.

    Attributes
    ----------
    host : str
        Host id and incarnation.
    applied : int
        The offset of the last record in force.
    log_age_s : float
        How long ago the log last answered, in seconds; -1 if it never did.
    unreadable : int
        Records of the log that could not be read.
    parts : dict of str to object
        What the process's services say of themselves.
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
    """A change is in the log, counts, and is in force on one host."""

    revision: int


class Failure(msgspec.Struct, frozen=True):
    """Why something was not done, or may not have been.

    Attributes
    ----------
    code : str
        Stable; scripts may rely on it.
    message : str
        One sentence.
    run_state : RunState
        Whether the change may take effect all the same.
    revision : int or None
        On a conflict, the revision that is in force.
    """

    code: str
    message: str
    run_state: RunState = RunState.not_run
    revision: int | None = None


class FailureAnswer(msgspec.Struct, frozen=True):
    """The body of every answer that is no success."""

    error: Failure


class HostEnded(msgspec.Struct, frozen=True):
    """A host that was removed on an operator's word."""

    name: str
