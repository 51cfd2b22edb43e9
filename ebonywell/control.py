"""What the operators' commands do, and the outcomes that they report."""

import enum
import secrets
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import urlencode

import anyio
import msgspec

from . import catfile, changes, differences, opmessages
from .catalogue import key_digest
from .exceptions import (
    ConflictError,
    NotReachableError,
    OperatorError,
    OutcomeUnknownError,
)
from .opclient import OperatorClient
from .outcomes import Outcome, catalogue_lines, event_line
from .timeline import EventFilter

KEY_BYTES = 32
KEY_ID_BYTES = 6
CHANGES_AT_ONCE = 32


class ExitCode(enum.IntEnum):
    """How a command ended, for scripts."""

    ok = 0
    failed = 1
    usage = 2
    conflict = 3
    not_reachable = 4
    outcome_unknown = 5


class _Phase(enum.Enum):
    settings = enum.auto()
    approvals = enum.auto()
    removals = enum.auto()


class ChangeState(enum.StrEnum):
    """What became of one change."""

    accepted = 'accepted'
    conflict = 'conflict'
    refused = 'refused'
    not_reachable = 'not_reachable'
    outcome_unknown = 'outcome_unknown'
    not_sent = 'not_sent'


@dataclass(slots=True)
class ChangeReport:
    """What became of one change of several.

    Attributes
    ----------
    change : str
        The change in a few words.
    state : ChangeState
    revision : int or None
        If it was accepted.
    message : str
        If it was not.
    """

    change: str
    state: ChangeState = ChangeState.not_sent
    revision: int | None = None
    message: str = ''


@dataclass(slots=True)
class _Batch:
    """Changes on their way, and whether to go on sending."""

    reports: list[ChangeReport] = field(default_factory=list)
    is_stopped: bool = False


def exit_code(error: Exception) -> ExitCode:
    """Return the exit code that stands for an error."""
    if isinstance(error, ConflictError):
        return ExitCode.conflict
    if isinstance(error, NotReachableError):
        return ExitCode.not_reachable
    if isinstance(error, OutcomeUnknownError):
        return ExitCode.outcome_unknown
    return ExitCode.failed


class Operator:
    """Does what one command asks, through a client.

    Attributes
    ----------
    client : OperatorClient
    """

    def __init__(self, client: OperatorClient) -> None:
        self.client = client

    async def show_catalogue(self) -> Outcome:
        """Return the catalogue in force."""
        view = await self._fetch_catalogue()
        return Outcome(ExitCode.ok, view, catalogue_lines(view))

    async def diff(self, path: Path, prune: bool) -> Outcome:
        """Return what `apply` would change."""
        wanted = catfile.read_file(path)
        view = await self._fetch_catalogue()
        found = differences.find_changes(wanted, view, prune)
        planned = [differences.describe(change) for change in found]
        kept = _extras(wanted, view, prune)
        lines = planned or ['nothing to change']
        return Outcome(
            ExitCode.ok,
            {'changes': planned, 'not_in_file': kept},
            [*lines, *_kept_lines(kept)],
        )

    async def apply(self, path: Path, prune: bool) -> Outcome:
        """Send the differences between a file and the catalogue."""
        wanted = catfile.read_file(path)
        view = await self._fetch_catalogue()
        found = differences.find_changes(wanted, view, prune)
        batch = _Batch()
        for phase in _phases(found):
            await self._send_phase(phase, batch)
        kept = _extras(wanted, view, prune)
        lines = [_report_line(report) for report in batch.reports]
        return Outcome(
            _worst(report.state for report in batch.reports),
            {'changes': batch.reports, 'not_in_file': kept},
            [*(lines or ['nothing to change']), *_kept_lines(kept)],
        )

    async def remove(self, kind: str, names: Sequence[str]) -> Outcome:
        """Remove an entry or a workspace, or end an approval."""
        view = await self._fetch_catalogue()
        revision = differences.revision_of(view, kind, *names)
        change = _removal(kind, names, revision)
        accepted = await self.client.change(change)
        report = ChangeReport(
            differences.describe(change),
            ChangeState.accepted,
            accepted,
        )
        return Outcome(ExitCode.ok, report, [_report_line(report)])

    async def issue_key(self, workspace: str) -> Outcome:
        """Make a key, send its digest, and return the key once.

        Raises
        ------
        OutcomeUnknownError
            With the id, so that the key can be withdrawn.
        """
        key = secrets.token_urlsafe(KEY_BYTES)
        key_id = secrets.token_hex(KEY_ID_BYTES)
        issued = changes.KeyIssued(key_id, key_digest(key), workspace)
        try:
            await self.client.change(issued)
        except OutcomeUnknownError as error:
            raise OutcomeUnknownError(
                f'{error}; withdraw key {key_id} and issue another',
            ) from error
        body = {'key_id': key_id, 'workspace': workspace, 'key': key}
        lines = [f'key_id     {key_id}', f'workspace  {workspace}']
        return Outcome(ExitCode.ok, body, [*lines, f'key        {key}'])

    async def withdraw_key(self, key_id: str) -> Outcome:
        """Withdraw a key at all given processes at once."""
        outcomes = await self.client.change_at_all(
            changes.KeyWithdrawn(key_id),
        )
        lines: list[str] = []
        told: dict[str, object] = {}
        accepted = False
        errors: list[Exception] = []
        for url, outcome in outcomes.items():
            if isinstance(outcome, int):
                accepted = True
                lines.append(f'accepted  {url}  revision {outcome}')
                told[url] = {'revision': outcome}
            else:
                errors.append(outcome)
                lines.append(f'failed    {outcome}')
                told[url] = {'error': str(outcome)}
        code = ExitCode.ok if accepted else max(map(exit_code, errors))
        return Outcome(code, {'key_id': key_id, 'hosts': told}, lines)

    async def list_keys(self) -> Outcome:
        """Return all keys' ids, workspaces and states."""
        path = f'{opmessages.PREFIX}/keys'
        view = await self.client.fetch(path, opmessages.KeysView)
        lines = [
            f'{key.key_id}  {key.workspace}  {_key_state(key)}'
            for key in view.keys
        ]
        return Outcome(ExitCode.ok, view, lines)

    async def status(self) -> Outcome:
        """Return how every process is that can be reached or is listed."""
        await self._find_hosts()
        views: list[opmessages.StatusView] = []
        missing: dict[str, str] = {}
        path = f'{opmessages.PREFIX}/status'

        async def collect(url: str) -> None:
            try:
                view = await self.client.fetch_from(
                    url,
                    path,
                    opmessages.StatusView,
                )
            except OperatorError as error:
                missing[url] = str(error)
            else:
                views.append(view)

        async with anyio.create_task_group() as group:
            for each in self.client.urls:
                group.start_soon(collect, each)
        views.sort(key=lambda view: view.host)
        lines = [
            *(_status_line(view) for view in views),
            *(f'missing  {reason}' for reason in missing.values()),
        ]
        return Outcome(
            _code_of_missing(len(views), len(missing)),
            {'hosts': views, 'missing': missing},
            lines,
        )

    async def timeline(self, wanted: EventFilter, past_s: float) -> Outcome:
        """Return the events of all processes in one order.

        Parameters
        ----------
        wanted : EventFilter
            Its ``since`` is replaced.
        past_s : float
            How far to look back, in seconds; 0 for all that is kept.
        """
        await self._find_hosts()
        query = msgspec.to_builtins(wanted)
        query['since'] = time.time() - past_s if past_s else 0
        events, missing = await self.client.fetch_timeline(urlencode(query))
        reasons = {url: str(error) for url, error in missing.items()}
        found = len(self.client.urls) - len(missing)
        lines = [event_line(event) for event in events]
        return Outcome(
            _code_of_missing(found, len(missing)),
            {'events': events, 'missing': reasons},
            lines,
            [f'missing  {reason}' for reason in reasons.values()],
        )

    async def _fetch_catalogue(self) -> opmessages.CatalogueView:
        path = f'{opmessages.PREFIX}/catalogue'
        return await self.client.fetch(path, opmessages.CatalogueView)

    async def _find_hosts(self) -> None:
        try:
            await self.client.find_hosts()
        except OperatorError:
            # The given addresses are asked all the same, and each one that
            # does not answer is reported.
            return

    async def _send_phase(
        self,
        phase: Iterable[changes.CatalogueRecord],
        batch: _Batch,
    ) -> None:
        limiter = anyio.CapacityLimiter(CHANGES_AT_ONCE)
        async with anyio.create_task_group() as group:
            for change in phase:
                report = ChangeReport(differences.describe(change))
                batch.reports.append(report)
                group.start_soon(self._send, change, report, batch, limiter)

    async def _send(
        self,
        change: changes.CatalogueRecord,
        report: ChangeReport,
        batch: _Batch,
        limiter: anyio.CapacityLimiter,
    ) -> None:
        async with limiter:
            if batch.is_stopped:
                return
            try:
                report.revision = await self.client.change(change)
            except (OperatorError, ConflictError) as error:
                report.state = _state_of(error)
                report.message = str(error)
                # Nothing that follows would fare better; a conflict or a
                # refusal concerns one change only.
                batch.is_stopped = report.state in _STOPPING
            else:
                report.state = ChangeState.accepted


_STOPPING = frozenset(
    (ChangeState.not_reachable, ChangeState.outcome_unknown),
)


def check_file(path: Path) -> Outcome:
    """Return what a catalogue file holds, without asking any process.

    Raises
    ------
    CatalogueFileError
        With every fault of the file.
    """
    wanted = catfile.read_file(path)
    models = catfile.count_models(wanted)
    counts = {
        'models': models,
        'services': len(wanted.entries) - models,
        'workspaces': len(wanted.workspaces),
        'approvals': len(wanted.approvals),
    }
    listed = ', '.join(f'{count} {name}' for name, count in counts.items())
    return Outcome(ExitCode.ok, counts, [f'{path}: {listed}, no faults'])


def _removal(
    kind: str,
    names: Sequence[str],
    revision: int,
) -> changes.CatalogueRecord:
    if kind == 'entry':
        return changes.EntryRemoved(names[0], revision)
    if kind == 'workspace':
        return changes.WorkspaceRemoved(names[0], revision)
    return changes.ApprovalSet(
        workspace=names[0],
        entry=names[1],
        granted=False,
        replaces=revision,
    )


def _phases(
    found: Sequence[changes.CatalogueRecord],
) -> list[list[changes.CatalogueRecord]]:
    return [
        [change for change in found if _phase_of(change) == phase]
        for phase in _Phase
    ]


def _phase_of(change: changes.CatalogueRecord) -> _Phase:
    # Approvals refer to entries and workspaces, so that these go first; what
    # is removed goes last.
    match change:
        case changes.ApprovalSet():
            return _Phase.approvals
        case changes.EntryRemoved() | changes.WorkspaceRemoved():
            return _Phase.removals
    return _Phase.settings


def _extras(
    wanted: catfile.WantedCatalogue,
    view: opmessages.CatalogueView,
    prune: bool,
) -> list[str]:
    if prune:
        return []
    extras = differences.find_extras(wanted, view)
    return [differences.describe(extra) for extra in extras]


def _kept_lines(kept: Iterable[str]) -> list[str]:
    return [f'not in the file, kept: {extra}' for extra in kept]


def _state_of(error: Exception) -> ChangeState:
    states = {
        ExitCode.conflict: ChangeState.conflict,
        ExitCode.not_reachable: ChangeState.not_reachable,
        ExitCode.outcome_unknown: ChangeState.outcome_unknown,
    }
    return states.get(exit_code(error), ChangeState.refused)


def _worst(states: Iterable[ChangeState]) -> ExitCode:
    codes = {
        ChangeState.accepted: ExitCode.ok,
        ChangeState.refused: ExitCode.failed,
        ChangeState.conflict: ExitCode.conflict,
        ChangeState.not_reachable: ExitCode.not_reachable,
        ChangeState.outcome_unknown: ExitCode.outcome_unknown,
        ChangeState.not_sent: ExitCode.failed,
    }
    return max((codes[state] for state in states), default=ExitCode.ok)


def _report_line(report: ChangeReport) -> str:
    if report.revision is not None:
        return f'{report.state}  {report.change}  revision {report.revision}'
    return f'{report.state}  {report.change}  {report.message}'.rstrip()


def _code_of_missing(found: int, missing: int) -> ExitCode:
    if not found:
        return ExitCode.not_reachable
    return ExitCode.failed if missing else ExitCode.ok


def _key_state(key: opmessages.KeyView) -> str:
    return 'withdrawn' if key.withdrawn else 'in force'


def _status_line(view: opmessages.StatusView) -> str:
    return (
        f'{view.host}  applied {view.applied}  '
        f'log answered {view.log_age_s:.1f} s ago  '
        f'unreadable {view.unreadable}'
    )
