"""Runs a host on the platform: ``python -m ebonywell.platform``."""

import importlib
import signal


def main() -> None:
    """Import the program and run it.

    A reload waits until there is a receiver; by default it ends the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    importlib.import_module('.program', __package__).main()


if __name__ == '__main__':
    main()
