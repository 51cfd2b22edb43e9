"""The operators' commands, their flags and their help."""

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
Exit codes: 0 done, 1 failed or refused, 2 wrong usage, 3 conflict with
another operator, 4 not reachable and nothing changed, 5 it may have been done.
"""
_DURATION = re.compile(r'(\d+(?:\.\d+)?)([smhd]?)')
_SECONDS_BY_UNIT = MappingProxyType(
    {'': 1, 's': 1, 'm': 60, 'h': 3600, 'd': 86400},
)


@dataclass(slots=True, kw_only=True)
class Access:
    """How to reach the entry processes, and how to print.

    Attributes
    ----------
    operator_url : list of str
        URL of an entry process, such as http://10.0.0.1:8080. Give it several
        times: the next one is asked when one cannot be reached.
    operator_token : str
        The operator token. Better set as EBONYWELL_OPERATOR_TOKEN, for flags
        show in the list of processes.
    output : str
        text for people, json for programs.
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
    help=f'Show and change entries, workspaces and approvals.\n{EXIT_CODES_HELP}',
    config=(),
)
key_app = App(
    name='key',
    help=f'Issue, withdraw and list the keys of workspaces.\n{EXIT_CODES_HELP}',
    config=(),
)
host_app = App(
    name='host',
    help=f'Tell what became of an entry host.\n{EXIT_CODES_HELP}',
    config=(),
)


@catalogue_app.command
def apply(path: Path, access: _Access, prune: _Prune = False) -> None:
    """Make the catalogue say what a file says.

    The file is checked as a whole first. Only differences are sent, each for
    the revision that was read; each is reported. After a conflict, look at the
    diff and apply again.

    Parameters
    ----------
    path : Path
        A catalogue file in TOML.
    access : Access
    prune : bool
        Also remove what the file does not name. Keys stay.
    """
    _run_and_report(access, lambda operator: operator.apply(path, prune))


@catalogue_app.command
def diff(path: Path, access: _Access, prune: _Prune = False) -> None:
    """Show what apply would change, and change nothing.

    Parameters
    ----------
    path : Path
        A catalogue file in TOML.
    access : Access
    prune : bool
        As if applied with --prune.
    """
    _run_and_report(access, lambda operator: operator.diff(path, prune))


@catalogue_app.command
def check(path: Path, output: Literal['text', 'json'] = 'text') -> None:
    """Check a catalogue file without asking any entry process.

    Parameters
    ----------
    path : Path
        A catalogue file in TOML.
    output : str
        text for people, json for programs.
    """
    _report(_check_file(path), output)


@catalogue_app.command
def show(access: _Access) -> None:
    """Show the catalogue in force, with revisions."""
    _run_and_report(access, lambda operator: operator.show_catalogue())


@catalogue_app.command
def remove(
    kind: Literal['entry', 'workspace', 'approval'],
    names: list[str],
    access: _Access,
) -> None:
    """Remove an entry or a workspace, or end an approval.

    Removing an entry ends its approvals; removing a workspace also withdraws
    its keys.

    Parameters
    ----------
    kind : str
    names : list of str
        One name; for an approval the workspace and the entry.
    access : Access
    """
    expected = 2 if kind == 'approval' else 1
    if len(names) != expected:
        raise SettingsError('an approval takes two names, all else takes one')
    _run_and_report(access, lambda operator: operator.remove(kind, names))


@key_app.command
def issue(*, workspace: str, access: _Access) -> None:
    """Make a key for a workspace and print it, this once only.

    The key is made by this command; only its digest is sent and kept.

    Parameters
    ----------
    workspace : str
    access : Access
    """
    _run_and_report(access, lambda operator: operator.issue_key(workspace))


@key_app.command
def withdraw(key_id: str, access: _Access) -> None:
    """Withdraw a key for good, at all given entry processes at once.

    Running calls of the key are cut. Done once one process reports it; give
    every address that you have when the log is down.

    Parameters
    ----------
    key_id : str
        As printed by issue and list; never the key itself.
    access : Access
    """
    _run_and_report(access, lambda operator: operator.withdraw_key(key_id))


@key_app.command(name='list')
def list_keys(access: _Access) -> None:
    """List key ids, their workspaces, and whether they are withdrawn."""
    _run_and_report(access, lambda operator: operator.list_keys())


@host_app.command
def ended(name: str, access: _Access) -> None:
    """Remove an entry host whose process has ended for certain.

    The others then take over its share of the limits at once. Never say it of
    a host that may only be frozen or cut off: its calls would not be counted.

    Parameters
    ----------
    name : str
        The host id.
    access : Access
    """
    _run_and_report(access, lambda operator: operator.end_host(name))


def status(access: _Access) -> None:
    """Show how every entry process is.

    Asks the given processes and those that they list. Exits 1 if one of them
    does not answer.
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
    """Show events of all entry processes in one order.

    Asks the given processes and those that they list. Events of one process
    stand in their order; between processes the hosts' clocks decide.

    Parameters
    ----------
    access : Access
    request : str
        Only events of this request id, from the header x-request-id.
    target : str
        Only events of this target.
    workspace : str
        Only events of this workspace.
    since : str
        How far to look back, such as 90s, 15m or 2h.
    limit : int
        Only the latest so many events of each process.
    """
    wanted = EventFilter(request, workspace, target, limit=limit)
    past_s = parse_duration(since) if since else 0
    _run_and_report(access, lambda operator: operator.timeline(wanted, past_s))


def register(app: App) -> None:
    """Add the operators' commands to the command line."""
    app.command(catalogue_app)
    app.command(key_app)
    app.command(host_app)
    app.command(status, config=())
    app.command(timeline, config=())


def parse_duration(text: str) -> float:
    """Return the seconds that ``90s``, ``15m``, ``2h`` or ``1d`` stand for.

    Raises
    ------
    SettingsError
        If the text is none of these.
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
