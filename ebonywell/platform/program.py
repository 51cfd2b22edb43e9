"""Main program of a host: reads the settings, runs, and sets the exit code."""

import sys

import anyio

from ..exceptions import SettingsError
from ..processmemory.allocator import return_freed_blocks
from .assembly import run
from .settings import find_file, read_settings

EXIT_USAGE = 2


def main() -> None:
    """Run a host until it is stopped; exit with 2 on invalid settings."""
    try:
        settings = read_settings(find_file())
    except SettingsError as error:
        sys.stderr.write(f'ebonywell: {error}\n')
        sys.exit(EXIT_USAGE)
    return_freed_blocks()
    anyio.run(run, settings)
