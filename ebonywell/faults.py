"""Lets tests cut the links of a process that was started to allow it."""

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .logclient import LogClient
from .peers import Peers

_STATUS_OK = 200
_STATUS_BAD_REQUEST = 400


class CutRequest(msgspec.Struct, frozen=True):
    """The links to cut, by host name; the others are whole again.

    Attributes
    ----------
    refuse : tuple of str
    drop : tuple of str
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
            wanted = msgspec.json.decode(await request.body(), type=CutRequest)
        except msgspec.MsgspecError:
            return Response(status_code=_STATUS_BAD_REQUEST)
        peers.cuts.refuse = set(wanted.refuse)
        peers.cuts.drop = set(wanted.drop)
        log_client.is_cut = wanted.log
        return Response(status_code=_STATUS_OK)

    return [Route('/debug/links', cut_links, methods=['POST'])]
