"""Stand-in for the platform's host list."""

import time
from dataclasses import dataclass, field
from typing import Any

import anyio
import cyclopts
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .standin_common import Faults, answer, bind, failure, serve

app = cyclopts.App()
_UNAVAILABLE = 503


@dataclass(slots=True)
class ListVersion:
    """Content of the host list from a point in time on."""

    since: float
    hosts: dict[str, Any]


@dataclass(slots=True)
class HostList:
    """Host list whose answers can lag behind its changes."""

    versions: list[ListVersion] = field(
        default_factory=lambda: [ListVersion(0, {})],
    )
    faults: Faults = field(default_factory=Faults)

    async def get(self, request: Request) -> Response:
        """Answer ``GET /hosts``."""
        if self.faults.is_set('outage'):
            return failure(_UNAVAILABLE, 'outage')
        visible_until = time.monotonic() - self.faults.field(
            'lag', 'seconds', 0
        )
        shown: dict[str, Any] = {}
        for version in self.versions:
            if version.since <= visible_until:
                shown = version.hosts
        return answer({'hosts': list(shown.values())})

    async def put(self, request: Request) -> Response:
        """Answer ``PUT /hosts/{name}``."""
        host = msgspec.json.decode(await request.body())
        return self._change({request.path_params['name']: host})

    async def delete(self, request: Request) -> Response:
        """Answer ``DELETE /hosts/{name}``."""
        return self._change({request.path_params['name']: None})

    def _change(self, changes: dict[str, Any]) -> Response:
        if self.faults.is_set('outage'):
            return failure(_UNAVAILABLE, 'outage')
        merged = {**self.versions[-1].hosts, **changes}
        hosts = {name: host for name, host in merged.items() if host}
        self.versions.append(ListVersion(time.monotonic(), hosts))
        return answer({'hosts': len(hosts)})


@app.default
def main(*, listen: str = '127.0.0.1:0') -> None:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    listen
        The ip:port to listen on.
    """
    anyio.run(_run, listen)


async def _run(listen: str) -> None:
    hosts = HostList()
    routes = [
        Route('/hosts', hosts.get),
        Route('/hosts/{name}', hosts.put, methods=['PUT']),
        Route('/hosts/{name}', hosts.delete, methods=['DELETE']),
        *hosts.faults.routes(),
    ]
    await serve(Starlette(routes=routes), bind(listen))


if __name__ == '__main__':
    app()
