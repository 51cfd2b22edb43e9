"""The command line: parses arguments and calls one controlling object."""

import sys
from typing import Annotated

from cyclopts import App, CycloptsError, Parameter
from cyclopts.config import Env

from . import config, entry, opcommands
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


def main() -> None:
    """Run the command line and exit with its code."""
    try:
        app(sys.argv[1:], print_error=False, exit_on_error=False)
    except (SettingsError, CycloptsError) as error:
        line = ' '.join(str(error).split())
        sys.stderr.write(f'ebonywell: {line}\n')
        sys.exit(EXIT_USAGE)
