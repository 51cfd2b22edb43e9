"""HTTP route with which tests cut links of a process, if its settings allow."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .logclient import LogClient
from .peers import Peers

_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400


class CutRequest(msgspec.Struct, frozen=True):
    """Links to cut, by host name; all other links are restored.

    Attributes
    ----------
    refuse : tuple of str
        Hosts to which no connection is made or kept.
    drop : tuple of str
        Hosts whose messages are dropped, in both directions.
    log : bool
        Whether the link to the log service is cut.
    """

    refuse: tuple[str, ...] = ()
    drop: tuple[str, ...] = ()
    log: bool = False


def fault_routes(peers: Peers, log_client: LogClient) -> list[Route]:
    """Return the route that cuts links."""

    async def cut_links(request: Request) -> Response:
        try:
            links = msgspec.json.decode(await request.body(), type=CutRequest)
        except msgspec.MsgspecError:
            return Response(status_code=_STATUS_BAD_REQUEST)
        peers.cuts.refuse = set(links.refuse)
        peers.cuts.drop = set(links.drop)
        log_client.is_cut = links.log
        return Response(status_code=_STATUS_OK)

    return [Route('/debug/links', cut_links, methods=['POST'])]
