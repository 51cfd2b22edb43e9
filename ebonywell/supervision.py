"""Keeps a process serving when one of its services fails."""

import traceback
from collections.abc import Awaitable, Callable

import anyio

from .logs import Logger

# Between the failure of a service and its next start.
RESTART_DELAY_S = 0.5


async def supervise(
    name: str,
    run: Callable[[], Awaitable[None]],
    log: Logger,
) -> None:
    """Run a service until cancelled, and start it again when it fails.

    An error that nobody expected ends what its service was doing, but none of
    the requests that the process serves.

    Parameters
    ----------
    name : str
        For the log.
    run : callable
        May be called again after it has raised.
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
