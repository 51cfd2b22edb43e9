"""The signals that a process acts on, from its start to its end.

By default each of them ends the process at once, with all that it serves, so
they are held back while there is no receiver. Imports nothing that takes long,
since it is needed first.
"""

import signal
from collections.abc import Iterator
from contextlib import contextmanager

RELOAD = signal.SIGHUP
STOPS = (signal.SIGTERM, signal.SIGINT)


def hold_reloads() -> None:
    """Keep a reload pending until there is a receiver."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (RELOAD,))


@contextmanager
def delivering() -> Iterator[None]:
    """Deliver signals to an open receiver, and none after it."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (RELOAD,))
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, (RELOAD, *STOPS))
