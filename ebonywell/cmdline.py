"""The command line: parses arguments and calls one controlling object."""

import sys
from pathlib import Path
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter
from cyclopts.config import Env

from . import config, entry, explain, opcommands
from .exceptions import SettingsError
from .version import __version__

EXIT_USAGE = 2

app = App(
    name='ebonywell',
    version=__version__,
    help='Serve many models on fewer accelerators for many workspaces.',
    config=Env('EBONYWELL_', command=False),
)
opcommands.register(app)


@app.command(name='entry')
def run_entry(
    settings: Annotated[config.Settings, Parameter(name='*')],
) -> None:
    """Run an entry process until SIGTERM or SIGINT.

    Every setting is a flag, or an environment variable of the same name after
    EBONYWELL_, such as EBONYWELL_LOG_URL.
    """
    config.check(settings)
    entry.run(settings)


@app.command(name='explain')
def explain_request(request_id: str, files: list[Path]) -> None:
    """Tell a request's story from the logs of several processes.

    Parameters
    ----------
    request_id
        As the caller sent it.
    files
        Log files of the processes, in any order.
    """
    lines: list[str] = []
    for path in files:
        try:
            lines.extend(path.read_text(errors='replace').splitlines())
        except OSError as error:
            raise SettingsError(f'{path}: {error.strerror}') from error
    story = explain.explain(request_id, lines)
    if not story:
        raise SettingsError(f'no line names request {request_id}')
    for line in story:
        sys.stdout.write(f'{line.text}\n')


def main() -> None:
    """Run the command line and exit with its code."""
    try:
        app(sys.argv[1:], print_error=False, exit_on_error=False)
    except (SettingsError, CycloptsError) as error:
        line = ' '.join(str(error).split())
        sys.stderr.write(f'ebonywell: {line}\n')
        sys.exit(EXIT_USAGE)
