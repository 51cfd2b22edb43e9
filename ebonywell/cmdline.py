"""Command line: parses the arguments and runs one command."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter
from cyclopts.config import Env

from . import config, entry, explain, opcommands
from .exceptions import SettingsError
from .platform.deployfile import check_deploy
from .platform.settings import check_settings
from .version import __version__
from .where.commands import ask_where

EXIT_USAGE = 2

app = App(
    name='ebonywell',
    version=__version__,
    help='Serve many models on fewer accelerators for many workspaces.',
    config=Env('EBONYWELL_', command=False),
)
opcommands.register(app)
config_app = App(name='config', help='Check configuration files.')
app.command(config_app)
app.command(ask_where, name='where', config=())


@app.command(name='entry')
def run_entry(
    settings: Annotated[config.Settings, Parameter(name='*')],
) -> None:
    """Run an entry process until SIGTERM or SIGINT.

    Each setting is given as a flag, or as an environment variable with the
    prefix EBONYWELL_, such as EBONYWELL_LOG_URL.
    """
    config.check(settings)
    entry.run(settings)


@config_app.command(name='check')
def check_config(path: Path) -> None:
    """Report all faults of a host's settings file or of a deploy file.

    Parameters
    ----------
    path
        A deploy file if its name ends with .toml, otherwise a settings file.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeError) as error:
        raise SettingsError(f'{path}: {error}') from error
    check = check_deploy if path.suffix == '.toml' else check_settings
    faults = check(text)
    for fault in faults:
        sys.stdout.write(f'{path}: {fault}\n')
    if faults:
        raise SettingsError(f'{len(faults)} faults in {path}')
    sys.stdout.write(f'{path}: no faults\n')


@app.command(name='explain')
def explain_request(request_id: str, files: list[Path]) -> None:
    """Show the log lines that explain how a request ended.

    Parameters
    ----------
    request_id
        The request id that the caller sent.
    files
        Log files of one or several processes, in any order.
    """
    lines: list[str] = []
    for path in files:
        try:
            lines.extend(path.read_text(errors='replace').splitlines())
        except OSError as error:
            raise SettingsError(f'{path}: {error.strerror}') from error
    related = explain.find_related_lines(request_id, lines)
    if not related:
        raise SettingsError(f'no line names request {request_id}')
    for line in related:
        sys.stdout.write(f'{line.text}\n')


def main() -> None:
    """Run the command line and exit with the command's exit code."""
    try:
        app(sys.argv[1:], print_error=False, exit_on_error=False)
    except (SettingsError, CycloptsError) as error:
        line = ' '.join(str(error).split())
        sys.stderr.write(f'ebonywell: {line}\n')
        sys.exit(EXIT_USAGE)
