"""The program of a host: its settings, its run and its exit code."""

import sys

import anyio

from ..exceptions import SettingsError
from .assembly import run
from .settings import find_file, read_settings

EXIT_USAGE = 2


def main() -> None:
    """Run until told to stop, and exit with the process's code."""
    try:
        settings = read_settings(find_file())
    except SettingsError as error:
        sys.stderr.write(f'ebonywell: {error}\n')
        sys.exit(EXIT_USAGE)
    anyio.run(run, settings)
