"""Implementation of the operators' commands."""

import secrets
import time
from collections.abc import Iterable, Sequence
from pathlib import Path
from urllib.parse import urlencode

import anyio
import msgspec

from . import catfile, changes, differences, opmessages
from .batches import (
    Batch,
    ChangeReport,
    ChangeState,
    report_line,
    worst_exit_code,
)
from .catalogue import key_digest
from .exceptions import OperatorError, OutcomeUnknownError
from .exitcodes import ExitCode, exit_code
from .opclient import OperatorClient
from .outcomes import Outcome, catalogue_lines, event_line
from .timeline import EventFilter

KEY_BYTES = 32
KEY_ID_BYTES = 6


class OperatorCommands:
    """Runs operators' commands through a client.

    Attributes
    ----------
    client : OperatorClient
        Client for the entry processes.
    """

    def __init__(self, client: OperatorClient) -> None:
        self.client = client

    async def show_catalogue(self) -> Outcome:
        """Return the current catalogue."""
        view = await self._fetch_catalogue()
        return Outcome(ExitCode.ok, view, catalogue_lines(view))

    async def diff(self, path: Path, prune: bool) -> Outcome:
        """Return the changes that `apply` would send."""
        desired = catfile.read_file(path)
        view = await self._fetch_catalogue()
        found = differences.find_changes(desired, view, prune)
        planned = [differences.describe(change) for change in found]
        kept = _describe_unlisted(desired, view, prune)
        lines = planned or ['nothing to change']
        return Outcome(
            ExitCode.ok,
            {'changes': planned, 'not_in_file': kept},
            [*lines, *_unlisted_lines(kept)],
        )

    async def apply(self, path: Path, prune: bool) -> Outcome:
        """Send the changes that make the catalogue match a file."""
        desired = catfile.read_file(path)
        view = await self._fetch_catalogue()
        found = differences.find_changes(desired, view, prune)
        batch = Batch(self.client)
        await batch.send(found)
        kept = _describe_unlisted(desired, view, prune)
        lines = [report_line(report) for report in batch.reports]
        return Outcome(
            worst_exit_code(batch.reports),
            {'changes': batch.reports, 'not_in_file': kept},
            [*(lines or ['nothing to change']), *_unlisted_lines(kept)],
        )

    async def remove(self, kind: str, names: Sequence[str]) -> Outcome:
        """Remove an entry or a workspace, or revoke an approval."""
        view = await self._fetch_catalogue()
        revision = differences.revision_of(view, kind, *names)
        change = _removal_record(kind, names, revision)
        accepted = await self.client.send_change(change)
        report = ChangeReport(
            differences.describe(change),
            ChangeState.accepted,
            accepted,
        )
        return Outcome(ExitCode.ok, report, [report_line(report)])

    async def issue_key(self, workspace: str) -> Outcome:
        """Generate a key, send its digest, and return the key.

        Raises
        ------
        OutcomeUnknownError
            If the key may have been issued; the message holds the key id, so
            that the key can be withdrawn.
        """
        key = secrets.token_urlsafe(KEY_BYTES)
        key_id = secrets.token_hex(KEY_ID_BYTES)
        issued = changes.KeyIssued(key_id, key_digest(key), workspace)
        try:
            await self.client.send_change(issued)
        except OutcomeUnknownError as error:
            raise OutcomeUnknownError(
                f'{error}; withdraw key {key_id} and issue another',
            ) from error
        body = {'key_id': key_id, 'workspace': workspace, 'key': key}
        lines = [f'key_id     {key_id}', f'workspace  {workspace}']
        return Outcome(ExitCode.ok, body, [*lines, f'key        {key}'])

    async def withdraw_key(self, key_id: str) -> Outcome:
        """Withdraw a key at all given processes at once."""
        outcomes = await self.client.send_change_to_all(
            changes.KeyWithdrawn(key_id),
        )
        lines: list[str] = []
        results: dict[str, object] = {}
        accepted = False
        errors: list[Exception] = []
        for url, outcome in outcomes.items():
            if isinstance(outcome, int):
                accepted = True
                lines.append(f'accepted  {url}  revision {outcome}')
                results[url] = {'revision': outcome}
            else:
                errors.append(outcome)
                lines.append(f'failed    {outcome}')
                results[url] = {'error': str(outcome)}
        code = ExitCode.ok if accepted else max(map(exit_code, errors))
        return Outcome(code, {'key_id': key_id, 'hosts': results}, lines)

    async def list_keys(self) -> Outcome:
        """Return the ids, workspaces and states of all keys."""
        path = f'{opmessages.PREFIX}/keys'
        view = await self.client.fetch(path, opmessages.KeysView)
        lines = [
            f'{key.key_id}  {key.workspace}  {_key_state(key)}'
            for key in view.keys
        ]
        return Outcome(ExitCode.ok, view, lines)

    async def end_host(self, name: str) -> Outcome:
        """Remove an entry host whose process is known to have ended."""
        path = f'{opmessages.PREFIX}/hosts/{name}/ended'
        view = await self.client.fetch(path, opmessages.HostEnded, 'POST')
        return Outcome(ExitCode.ok, view, [f'removed  {view.name}'])

    async def status(self) -> Outcome:
        """Return the status of all given and all listed processes."""
        await self._discover_hosts()
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
            _exit_code_for(len(views), len(missing)),
            {'hosts': views, 'missing': missing},
            lines,
        )

    async def timeline(
        self, event_filter: EventFilter, lookback_s: float
    ) -> Outcome:
        """Return the events of all processes, sorted by time.

        Parameters
        ----------
        event_filter : EventFilter
            Its ``since`` is replaced.
        lookback_s : float
            How far to look back, in seconds; 0 returns all events that the
            processes keep.
        """
        await self._discover_hosts()
        query = msgspec.to_builtins(event_filter)
        query['since'] = time.time() - lookback_s if lookback_s else 0
        events, missing = await self.client.fetch_timeline(urlencode(query))
        reasons = {url: str(error) for url, error in missing.items()}
        found = len(self.client.urls) - len(missing)
        lines = [event_line(event) for event in events]
        return Outcome(
            _exit_code_for(found, len(missing)),
            {'events': events, 'missing': reasons},
            lines,
            [f'missing  {reason}' for reason in reasons.values()],
        )

    async def _fetch_catalogue(self) -> opmessages.CatalogueView:
        path = f'{opmessages.PREFIX}/catalogue'
        return await self.client.fetch(path, opmessages.CatalogueView)

    async def _discover_hosts(self) -> None:
        try:
            await self.client.discover_hosts()
        except OperatorError:
            # The given addresses are queried nevertheless, and each one that
            # does not answer is reported.
            return


def check_file(path: Path) -> Outcome:
    """Return a summary of a catalogue file, without connecting to a process.

    Raises
    ------
    CatalogueFileError
        If the file has faults; the error holds all of them.
    """
    desired = catfile.read_file(path)
    models = catfile.count_models(desired)
    counts = {
        'models': models,
        'services': len(desired.entries) - models,
        'workspaces': len(desired.workspaces),
        'approvals': len(desired.approvals),
    }
    listed = ', '.join(f'{count} {name}' for name, count in counts.items())
    return Outcome(ExitCode.ok, counts, [f'{path}: {listed}, no faults'])


def _removal_record(
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


def _describe_unlisted(
    desired: catfile.DesiredCatalogue,
    view: opmessages.CatalogueView,
    prune: bool,
) -> list[str]:
    if prune:
        return []
    removals = differences.find_unlisted(desired, view)
    return [differences.describe(removal) for removal in removals]


def _unlisted_lines(kept: Iterable[str]) -> list[str]:
    return [f'not in the file, kept: {unlisted}' for unlisted in kept]


def _exit_code_for(found: int, missing: int) -> ExitCode:
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
