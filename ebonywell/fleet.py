"""Creates the services through which the entry processes cooperate."""

from collections.abc import Callable
from functools import partial

import anyio
from starlette.routing import Route

from .calls import Settle
from .config import Settings
from .faults import fault_routes
from .hostlist import ROLE, HostLine, HostListClient
from .kernel import Kernel
from .limits import Limits, stale_refusal
from .logs import Logger
from .membership import Membership
from .messages import Call
from .peers import Peers
from .relay import Relay
from .replica import Replica
from .targets import ListedHost
from .types import HostId


class Fleet:
    """Services of a process that communicate with the other entry processes.

    Attributes
    ----------
    peers : Peers
    membership : Membership
    relay : Relay
    limits : Limits
    """

    def __init__(
        self,
        settings: Settings,
        host: HostId,
        replica: Replica,
        listed: Callable[[], tuple[ListedHost, ...]],
        log: Logger,
    ) -> None:
        self.allows_faults = settings.allow_faults
        self.replica = replica
        self.peers = Peers(
            host,
            settings.peer_listen,
            settings.fleet_secret,
            log,
        )
        line = ListedHost(
            settings.host_id,
            ROLE,
            settings.listen,
            settings.zone,
            peer_address=settings.peer_listen,
        )
        self.membership = Membership(
            host,
            HostLine(line, HostListClient(settings.host_list_url), log),
            replica,
            self.peers,
            listed,
            log,
        )
        self.relay = Relay(replica, self.peers, log)
        self.limits = Limits(host, replica, self.peers, self.membership, log)

    def add_to(self, kernel: Kernel) -> None:
        """Add the services and the replica in their start order.

        A host that starts while the log is down gets its state from its
        peers, so the peer links start before the replica.
        """
        kernel.add('peers', self.peers)
        kernel.add('replica', self.replica)
        kernel.add('membership', self.membership)
        kernel.add('limits', self.limits)

    def routes(self) -> list[Route]:
        """Return the routes with which tests cut links, if they are allowed."""
        if not self.allows_faults:
            return []
        return fault_routes(self.peers, self.replica.client)

    def check_fresh(self) -> None:
        """Raise RefusedError while this host's state may be stale."""
        if self.membership.is_stale(anyio.current_time()):
            raise stale_refusal()

    async def reserve(self, call: Call) -> Settle:
        """Reserve a call's tokens and return the function that settles them.

        Raises
        ------
        RefusedError
            If the workspace's limit does not allow the tokens now.
        """
        if not call.workspace:
            return _settle_nothing
        reservation = await self.limits.reserve(
            call.workspace,
            call.tokens,
            call.deadline,
        )
        return partial(self.limits.settle, reservation)


class Announcer:
    """Service that announces this host to callers; starts last, stops first.

    Attributes
    ----------
    membership : Membership
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership

    async def run(self, ready: Callable[[], None]) -> None:
        """Announce this host to callers, now that all services run."""
        self.membership.announce()
        ready()
        await anyio.sleep_forever()

    async def stop(self) -> None:
        """Stop announcing this host to callers; it still serves calls."""
        await self.membership.leave()


def _settle_nothing(used_tokens: int) -> None:
    """Do nothing: a call without a workspace has no reservation."""
