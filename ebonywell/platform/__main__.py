"""Runs a host on the platform: ``python -m ebonywell.platform``."""

import importlib

from ..signals import hold_reloads


def main() -> None:
    """Import the program with reloads held back, and run it."""
    hold_reloads()
    importlib.import_module('.program', __package__).main()


if __name__ == '__main__':
    main()
