"""Runs an entry process from start to planned stop."""

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
        Validated settings.

    Raises
    ------
    ExceptionGroup
        Exceptions of services that failed.
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
    """Stop gracefully at the first signal, and immediately at the second.

    SIGHUP has no effect, because there is no file to reload.
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
