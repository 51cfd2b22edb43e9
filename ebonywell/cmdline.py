"""The command line: parses arguments and calls one controlling object."""

import cyclopts

from .version import __version__

app = cyclopts.App(name='ebonywell', version=__version__)


def main() -> None:
    """Run the command line and exit with its code."""
    app()
