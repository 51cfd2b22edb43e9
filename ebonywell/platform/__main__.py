"""Entry point of a host on the platform: ``python -m ebonywell.platform``."""

import importlib
import signal


def main() -> None:
    """Import the program and run it.

    The reload signal is blocked until a handler is installed, since its
    default action ends the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    importlib.import_module('.program', __package__).main()


if __name__ == '__main__':
    main()
