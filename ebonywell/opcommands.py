"""Commands for operators, with their flags and help texts."""

import re
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Annotated, Literal

import anyio
from cyclopts import App, Parameter

from .control import OperatorCommands, check_file
from .exceptions import (
    CatalogueFileError,
    ConflictError,
    OperatorError,
    SettingsError,
)
from .exitcodes import ExitCode, exit_code
from .opclient import OperatorClient
from .outcomes import Outcome, encode_body
from .timeline import EventFilter

EXIT_CODES_HELP = """
Exit codes: 0 success, 1 failed or rejected, 2 usage error, 3 conflict with
another operator, 4 not reachable and nothing changed, 5 outcome unknown.
"""
_DURATION = re.compile(r'(\d+(?:\.\d+)?)([smhd]?)')
_SECONDS_BY_UNIT = MappingProxyType(
    {'': 1, 's': 1, 'm': 60, 'h': 3600, 'd': 86400},
)


@dataclass(slots=True, kw_only=True)
class Access:
    """Access to the entry processes, and the output format.

    Attributes
    ----------
    operator_url : list of str
        URL of an entry process, such as http://10.0.0.1:8080. May be given
        several times: if a process cannot be reached, the next one is used.
    operator_token : str
        Operator token. Prefer EBONYWELL_OPERATOR_TOKEN, because flags are
        visible in the process list.
    output : str
        Output format: text for people, json for programs.
    """

    operator_url: Annotated[
        list[str],
        Parameter(env_var='EBONYWELL_OPERATOR_URL', negative=''),
    ]
    operator_token: Annotated[
        str,
        Parameter(env_var='EBONYWELL_OPERATOR_TOKEN', show_default=False),
    ]
    output: Literal['text', 'json'] = 'text'


_Access = Annotated[Access, Parameter(name='*')]
_Prune = Annotated[bool, Parameter(negative='')]

catalogue_app = App(
    name='catalogue',
    help=(
        f'Show and change entries, workspaces and approvals.\n{EXIT_CODES_HELP}'
    ),
    config=(),
)
key_app = App(
    name='key',
    help=f'Issue, withdraw and list the keys of workspaces.\n{EXIT_CODES_HELP}',
    config=(),
)
host_app = App(
    name='host',
    help=f'Report that an entry host has ended.\n{EXIT_CODES_HELP}',
    config=(),
)


@catalogue_app.command
def apply(path: Path, access: _Access, prune: _Prune = False) -> None:
    """Change the catalogue to match a catalogue file.

    The whole file is checked before anything is sent. Only differences are
    sent, each with the revision that it replaces, and the result of each one
    is reported. After a conflict, review the diff and apply again.

    Parameters
    ----------
    path : Path
        Catalogue file in TOML.
    access : Access
    prune : bool
        Also remove what the file does not list. Keys are not removed.
    """
    _run_and_report(access, lambda operator: operator.apply(path, prune))


@catalogue_app.command
def diff(path: Path, access: _Access, prune: _Prune = False) -> None:
    """Show what apply would change, without changing it.

    Parameters
    ----------
    path : Path
        Catalogue file in TOML.
    access : Access
    prune : bool
        Show the result of apply with --prune.
    """
    _run_and_report(access, lambda operator: operator.diff(path, prune))


@catalogue_app.command
def check(path: Path, output: Literal['text', 'json'] = 'text') -> None:
    """Check a catalogue file without connecting to an entry process.

    Parameters
    ----------
    path : Path
        Catalogue file in TOML.
    output : str
        Output format: text for people, json for programs.
    """
    _report(_check_file(path), output)


@catalogue_app.command
def show(access: _Access) -> None:
    """Show the current catalogue, with revisions."""
    _run_and_report(access, lambda operator: operator.show_catalogue())


@catalogue_app.command
def remove(
    kind: Literal['entry', 'workspace', 'approval'],
    names: list[str],
    access: _Access,
) -> None:
    """Remove an entry or a workspace, or revoke an approval.

    Removing an entry also revokes its approvals. Removing a workspace also
    withdraws its keys.

    Parameters
    ----------
    kind : str
    names : list of str
        Name of the entry or workspace; for an approval, the names of the
        workspace and the entry.
    access : Access
    """
    expected = 2 if kind == 'approval' else 1
    if len(names) != expected:
        raise SettingsError('an approval needs two names, other kinds need one')
    _run_and_report(access, lambda operator: operator.remove(kind, names))


@key_app.command
def issue(*, workspace: str, access: _Access) -> None:
    """Issue a key for a workspace and print it; it cannot be shown again.

    This command generates the key. Only the key's digest is sent and stored.

    Parameters
    ----------
    workspace : str
    access : Access
    """
    _run_and_report(access, lambda operator: operator.issue_key(workspace))


@key_app.command
def withdraw(key_id: str, access: _Access) -> None:
    """Withdraw a key permanently, at all given entry processes at once.

    Running calls that use the key are cut. The command succeeds as soon as one
    process confirms the withdrawal. While the log is down, give the addresses
    of all entry processes.

    Parameters
    ----------
    key_id : str
        Key id as printed by issue and list, not the key itself.
    access : Access
    """
    _run_and_report(access, lambda operator: operator.withdraw_key(key_id))


@key_app.command(name='list')
def list_keys(access: _Access) -> None:
    """List all key ids, with their workspaces and states."""
    _run_and_report(access, lambda operator: operator.list_keys())


@host_app.command
def ended(name: str, access: _Access) -> None:
    """Remove an entry host whose process has certainly ended.

    The other hosts take over its share of the limits immediately. Do not use
    it for a host that may only be frozen or partitioned: the calls that such a
    host still serves would not count towards the limits.

    Parameters
    ----------
    name : str
        Host id.
    access : Access
    """
    _run_and_report(access, lambda operator: operator.end_host(name))


def status(access: _Access) -> None:
    """Show the status of all entry processes.

    Queries the given processes and those that they list. Exits with 1 if one
    of them does not answer.
    """
    _run_and_report(access, lambda operator: operator.status())


def timeline(
    *,
    access: _Access,
    request: str = '',
    target: str = '',
    workspace: str = '',
    since: str = '',
    limit: int = 1000,
) -> None:
    """Show the events of all entry processes, sorted by time.

    Queries the given processes and those that they list. Events of one process
    keep their order; events of different processes are ordered by the hosts'
    clocks.

    Parameters
    ----------
    access : Access
    request : str
        Show only events of this request id, from the header x-request-id.
    target : str
        Show only events of this target.
    workspace : str
        Show only events of this workspace.
    since : str
        How far to look back, such as 90s, 15m or 2h.
    limit : int
        Show at most this number of events of each process, the latest ones.
    """
    event_filter = EventFilter(request, workspace, target, limit=limit)
    lookback_s = parse_duration(since) if since else 0
    _run_and_report(
        access, lambda operator: operator.timeline(event_filter, lookback_s)
    )


def register(app: App) -> None:
    """Add the operators' commands to the command line."""
    app.command(catalogue_app)
    app.command(key_app)
    app.command(host_app)
    app.command(status, config=())
    app.command(timeline, config=())


def parse_duration(text: str) -> float:
    """Convert a duration such as ``90s``, ``15m``, ``2h`` or ``1d`` to seconds.

    A number without a unit is in seconds.

    Raises
    ------
    SettingsError
        If the text is not a duration.
    """
    found = _DURATION.fullmatch(text)
    if found is None:
        raise SettingsError(f'--since {text!r} is not like 90s, 15m or 2h')
    return float(found[1]) * _SECONDS_BY_UNIT[found[2]]


def _check_file(path: Path) -> Outcome:
    try:
        return check_file(path)
    except CatalogueFileError as error:
        return _failure_outcome(error)


def _run_and_report(
    access: Access,
    command: Callable[[OperatorCommands], Awaitable[Outcome]],
) -> None:
    _report(anyio.run(_run_command, access, command), access.output)


async def _run_command(
    access: Access,
    command: Callable[[OperatorCommands], Awaitable[Outcome]],
) -> Outcome:
    client = OperatorClient(access.operator_url, access.operator_token)
    async with client:
        try:
            return await command(OperatorCommands(client))
        except (OperatorError, ConflictError) as error:
            return _failure_outcome(error)


def _failure_outcome(error: Exception) -> Outcome:
    code = exit_code(error)
    messages = [str(part) for part in error.args]
    body = {'error': {'code': code.name, 'messages': messages}}
    return Outcome(code, body, [], messages)


def _report(outcome: Outcome, output: str) -> None:
    if output == 'json':
        lines = [encode_body(outcome.body)]
    else:
        lines = outcome.lines
        sys.stderr.writelines(f'{line}\n' for line in outcome.stderr_lines)
    sys.stdout.writelines(f'{line}\n' for line in lines)
    if outcome.code != ExitCode.ok:
        sys.exit(outcome.code)
