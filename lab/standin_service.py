"""Stand-in for a plain service."""

import anyio
import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .standin_common import (
    AbortedResponse,
    address_of,
    answer,
    bind,
    not_run,
    serve,
)
from .standin_target import Identity, TargetState, register

app = cyclopts.App()
_UNAVAILABLE = 503
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')


class PlainService:
    """Runs any call and records it in a journal.

    Attributes
    ----------
    state : TargetState
    runs : int
        The number of calls that have run.
    """

    def __init__(self, identity: Identity) -> None:
        self.state = TargetState(identity)
        self.runs = 0

    async def report(self, request: Request) -> Response:
        """Answer ``GET /report``."""
        identity = self.state.identity
        return answer(
            {
                'name': identity.name,
                'incarnation': identity.incarnation,
                'role': identity.role,
                'zone': identity.zone,
                'draining': self.state.faults.is_set('draining'),
                'running': self.state.running,
            }
        )

    async def call(self, request: Request) -> Response:
        """Run the call of a caller."""
        faults = self.state.faults
        if faults.is_set('draining'):
            return not_run(_UNAVAILABLE, 'draining')
        if faults.consume('cut_before_run'):
            return AbortedResponse()
        line = await self.state.journal.record(request)
        self.state.crash_if_triggered(line.body)
        if faults.consume('hang'):
            await anyio.sleep_forever()
        self.state.running += 1
        try:
            await anyio.sleep(faults.field('slow', 'seconds', 0))
        finally:
            self.state.running -= 1
        self.runs += 1
        line.finished = True
        if faults.consume('cut_after_run'):
            return AbortedResponse()
        response = answer(
            {
                'service': self.state.identity.name,
                'path': line.path,
                'body': line.body,
                'run': self.runs,
            }
        )
        request_id = request.headers.get('x-request-id')
        if request_id:
            response.headers['x-request-id'] = request_id
        return response


@app.default
def main(
    *,
    name: str,
    listen: str = '127.0.0.1:0',
    zone: str = 'z1',
    host_list_url: str = '',
) -> None:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    name
        The target's name in the host list.
    listen
        The ip:port to listen on.
    zone
        The target's availability zone.
    host_list_url
        The host list where the target registers; empty to not register.
    """
    anyio.run(_run, name, listen, zone, host_list_url)


async def _run(name: str, listen: str, zone: str, host_list_url: str) -> None:
    service = PlainService(Identity(name, 'service', zone))
    routes = [
        Route('/report', service.report),
        Route('/journal', service.state.journal.get),
        *service.state.faults.routes(),
        Route('/{path:path}', service.call, methods=_METHODS),
    ]
    bound = bind(listen)
    await register(host_list_url, service.state.identity, address_of(bound))
    await serve(Starlette(routes=routes), bound)


if __name__ == '__main__':
    app()
