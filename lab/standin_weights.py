"""Stand-in for the platform's weight store."""

from dataclasses import dataclass, field

import anyio
import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .standin_common import Faults, answer, bind, failure, serve

app = cyclopts.App()
_UNAVAILABLE = 503
ADAPTER_TRANSFER_S = 0.008
MAX_FULL_SPEED_ADAPTERS = 25


@dataclass(slots=True)
class WeightStore:
    """Serves weights at a limited rate.

    Attributes
    ----------
    loads_a_second : float
        The maximum number of transfers that start per second.
    at_once : int
        The number of transfers that run at full speed; with more, the
        transfers share that speed.
    transfer_s : float
        The time of one transfer at full speed, in seconds.
    """

    loads_a_second: float
    at_once: int
    transfer_s: float
    running: int = 0
    adapters_running: int = 0
    gate: anyio.Lock = field(default_factory=anyio.Lock)
    faults: Faults = field(default_factory=Faults)

    async def get(self, request: Request) -> Response:
        """Answer ``GET /weights/{model}``."""
        if self.faults.is_set('outage'):
            return failure(_UNAVAILABLE, 'outage')
        async with self.gate:
            await anyio.sleep(1 / self.loads_a_second)
        self.running += 1
        try:
            slowdown = max(1, self.running / self.at_once)
            extra_s = self.faults.field('slow', 'seconds', 0)
            await anyio.sleep(self.transfer_s * slowdown + extra_s)
        finally:
            self.running -= 1
        return answer({'model': request.path_params['model']})

    async def get_adapter(self, request: Request) -> Response:
        """Answer ``GET /adapters/{adapter}``."""
        if self.faults.is_set('outage'):
            return failure(_UNAVAILABLE, 'outage')
        self.adapters_running += 1
        try:
            slowdown = max(1, self.adapters_running / MAX_FULL_SPEED_ADAPTERS)
            extra_s = self.faults.field('slow', 'seconds', 0)
            await anyio.sleep(ADAPTER_TRANSFER_S * slowdown + extra_s)
        finally:
            self.adapters_running -= 1
        return answer({'adapter': request.path_params['adapter']})


@app.default
def main(
    *,
    listen: str = '127.0.0.1:0',
    loads_a_second: float = 2.5,
    at_once: int = 3,
    transfer_s: float = 0.4,
) -> None:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    listen
        The ip:port to listen on.
    loads_a_second
        The maximum number of transfers that start per second.
    at_once
        The number of transfers that run at full speed.
    transfer_s
        The time of a transfer at full speed, in seconds.
    """
    anyio.run(_run, listen, loads_a_second, at_once, transfer_s)


async def _run(
    listen: str,
    loads_a_second: float,
    at_once: int,
    transfer_s: float,
) -> None:
    store = WeightStore(loads_a_second, at_once, transfer_s)
    routes = [
        Route('/weights/{model}', store.get),
        Route('/adapters/{adapter}', store.get_adapter),
        *store.faults.routes(),
    ]
    await serve(Starlette(routes=routes), bind(listen))


if __name__ == '__main__':
    app()
