"""Runs a host on the platform: ``python -m ebonywell.platform``."""

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


if __name__ == '__main__':
    main()
