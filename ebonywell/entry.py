"""Runs an entry process from its start to its planned stop."""

import anyio

from . import assembly, logs, signals
from .config import Settings
from .kernel import Kernel
from .types import HostId, new_incarnation
from .web import Web


def run(settings: Settings) -> None:
    """Run an entry process until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Already checked.

    Raises
    ------
    ExceptionGroup
        What failing services raised.
    """
    logs.start_logging()
    host = HostId(settings.host_id, new_incarnation())
    anyio.run(_run, assembly.build(settings, host))


async def _run(kernel: Kernel) -> None:
    stopping = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_watch_signals, kernel, stopping)
        await kernel.run(stopping)
        group.cancel_scope.cancel()
    assembly.find_log(kernel)('stopped')


async def _watch_signals(kernel: Kernel, stopping: anyio.Event) -> None:
    """Stop gracefully at the first signal, and at once at the second.

    SIGHUP changes nothing: there is no file to read again.
    """
    log = assembly.find_log(kernel)
    with signals.open_receiver() as received:
        async for number in received:
            log('signal', number=int(number))
            if number == signals.RELOAD_SIGNAL:
                continue
            if stopping.is_set():
                kernel.find(assembly.WEB, Web).cut()
            stopping.set()
