"""Handling of the signals to stop a process and to reload its settings.

The default action of each of them ends the process at once, without finishing
its requests.
"""

import asyncio
import math
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

RELOAD_SIGNAL = signal.SIGHUP
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
Handler = Callable[[int, FrameType | None], None]


@contextmanager
def open_receiver() -> Iterator[MemoryObjectReceiveStream[signal.Signals]]:
    """Receive signals within the context, and ignore them after it.

    anyio's own receiver restores the default actions when it is closed. A
    reload signal that was blocked before (see `platform.__main__`) is received
    first.
    """
    loop = asyncio.get_running_loop()
    sending, received = anyio.create_memory_object_stream[signal.Signals](
        math.inf,
    )

    def forward(number: int, frame: FrameType | None) -> None:
        loop.call_soon_threadsafe(sending.send_nowait, signal.Signals(number))

    with sending, received:
        _set_handlers(forward)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (RELOAD_SIGNAL,))
        try:
            yield received
        finally:
            _set_handlers(signal.SIG_IGN)


def _set_handlers(handler: signal.Handlers | Handler) -> None:
    for number in (RELOAD_SIGNAL, *STOP_SIGNALS):
        signal.signal(number, handler)
