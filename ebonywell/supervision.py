"""Restarts failed services, so that the process keeps serving."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from .logs import Logger

# Delay between the failure of a service and its restart.
RESTART_DELAY_S = 0.5


async def supervise(
    name: str,
    run: Callable[[], Awaitable[None]],
    log: Logger,
) -> None:
    """Run a service until cancelled, and restart it when it fails.

    An unexpected error ends the current work of its service only, not the
    requests that the process is serving.

    Parameters
    ----------
    name : str
        Name of the service in the log.
    run : callable
        Called again after it has returned or raised an exception.
    log : Logger
    """
    while True:
        try:
            await run()
        except Exception as error:
            log(
                'service_failed',
                service=name,
                why=repr(error),
                trace=''.join(traceback.format_exception(error)),
            )
        await anyio.sleep(RESTART_DELAY_S)
