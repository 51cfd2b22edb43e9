"""Sends several changes, concurrently where their order allows it."""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import anyio

from . import changes, differences
from .exceptions import ConflictError, OperatorError
from .exitcodes import ExitCode, exit_code
from .opclient import OperatorClient

MAX_CONCURRENT_CHANGES = 32


class _Phase(enum.Enum):
    settings = enum.auto()
    approvals = enum.auto()
    removals = enum.auto()


class ChangeState(enum.StrEnum):
    """Result of one change."""

    accepted = 'accepted'
    conflict = 'conflict'
    refused = 'refused'
    not_reachable = 'not_reachable'
    outcome_unknown = 'outcome_unknown'
    not_sent = 'not_sent'


@dataclass(slots=True)
class ChangeReport:
    """Result of one change of a batch.

    Attributes
    ----------
    change : str
        Short description of the change.
    state : ChangeState
    revision : int or None
        Revision of the change, if it was accepted.
    message : str
        Reason of the failure, if it was not accepted.
    """

    change: str
    state: ChangeState = ChangeState.not_sent
    revision: int | None = None
    message: str = ''


_STOPPING_STATES = frozenset(
    (ChangeState.not_reachable, ChangeState.outcome_unknown),
)


class Batch:
    """Changes that are sent together.

    Attributes
    ----------
    client : OperatorClient
    reports : list of ChangeReport
        Results, one for each change, in the order of sending.
    is_stopped : bool
        Whether the remaining changes are skipped.
    """

    def __init__(self, client: OperatorClient) -> None:
        self.client = client
        self.reports: list[ChangeReport] = []
        self.is_stopped = False
        self.limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CHANGES)

    async def send(self, found: Sequence[changes.CatalogueRecord]) -> None:
        """Send all changes and collect their results in `reports`."""
        for phase in _phases(found):
            async with anyio.create_task_group() as group:
                for change in phase:
                    report = ChangeReport(differences.describe(change))
                    self.reports.append(report)
                    group.start_soon(self._send_one, change, report)

    async def _send_one(
        self,
        change: changes.CatalogueRecord,
        report: ChangeReport,
    ) -> None:
        async with self.limiter:
            if self.is_stopped:
                return
            try:
                report.revision = await self.client.send_change(change)
            except (OperatorError, ConflictError) as error:
                report.state = _state_of(error)
                report.message = str(error)
                # All later changes would fail in the same way. A conflict or a
                # rejection concerns one change only.
                self.is_stopped = report.state in _STOPPING_STATES
            else:
                report.state = ChangeState.accepted


def worst_exit_code(reports: Iterable[ChangeReport]) -> ExitCode:
    """Return the exit code of the worst result."""
    codes = {
        ChangeState.accepted: ExitCode.ok,
        ChangeState.refused: ExitCode.failed,
        ChangeState.conflict: ExitCode.conflict,
        ChangeState.not_reachable: ExitCode.not_reachable,
        ChangeState.outcome_unknown: ExitCode.outcome_unknown,
        ChangeState.not_sent: ExitCode.failed,
    }
    return max((codes[report.state] for report in reports), default=ExitCode.ok)


def report_line(report: ChangeReport) -> str:
    """Return a result as a line of text output."""
    if report.revision is not None:
        return f'{report.state}  {report.change}  revision {report.revision}'
    return f'{report.state}  {report.change}  {report.message}'.rstrip()


def _phases(
    found: Sequence[changes.CatalogueRecord],
) -> list[list[changes.CatalogueRecord]]:
    return [
        [change for change in found if _phase_of(change) == phase]
        for phase in _Phase
    ]


def _phase_of(change: changes.CatalogueRecord) -> _Phase:
    # Approvals refer to entries and workspaces, which are therefore sent
    # first. Removals are sent last.
    match change:
        case changes.ApprovalSet():
            return _Phase.approvals
        case changes.EntryRemoved() | changes.WorkspaceRemoved():
            return _Phase.removals
    return _Phase.settings


def _state_of(error: Exception) -> ChangeState:
    states = {
        ExitCode.conflict: ChangeState.conflict,
        ExitCode.not_reachable: ChangeState.not_reachable,
        ExitCode.outcome_unknown: ChangeState.outcome_unknown,
    }
    return states.get(exit_code(error), ChangeState.refused)
