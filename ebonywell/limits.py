"""Keeps the workspaces' limits over all hosts together."""

from collections.abc import Callable

import anyio

from . import ledger as books
from . import lending, wire
from .answers import RefusedError, refuse
from .changes import Workspace, WorkspaceSet
from .ledger import Ledger
from .logs import Logger
from .membership import Membership
from .peers import Peers
from .records import Record
from .registry import EpochSettled
from .replica import Replica
from .shares import Account, Reservation, Waiter, refund
from .types import HostId

TICK_S = 0.1
WAITING_TICK_S = 0.02
READY_TIMEOUT_S = 5.0
_STATUS_LIMITED = 429
_STATUS_STALE = 503
_STALE_RETRY_S = 1.0


class Limits:
    """Takes tokens for requests and moves them between hosts.

    Attributes
    ----------
    ledger : Ledger
    rejected : int
        Reservations refused since the start.
    """

    def __init__(
        self,
        host: HostId,
        replica: Replica,
        peers: Peers,
        membership: Membership,
        log: Logger,
        clock: Callable[[], float] = anyio.current_time,
    ) -> None:
        self.replica = replica
        self.peers = peers
        self.membership = membership
        self.log = log
        self.clock = clock
        self.ledger = Ledger(host.name, str(host), self._send)
        self.rejected = 0
        replica.watchers.append(self._handle_record)
        replica.adopters.append(self._handle_adopted_state)
        peers.add_handler(wire.Transfers, self._receive_transfers)

    async def run(self, ready: Callable[[], None]) -> None:
        """Move tokens to where they are asked for, until cancelled.

        Ready once this host has its share, or soon after if it gets none
        because the log is down.
        """
        ready_at = self.clock() + READY_TIMEOUT_S
        is_ready = False
        while True:
            now = self.apply_epoch()
            if not is_ready and (self.ledger.has_full_share or now > ready_at):
                is_ready = True
                ready()
            lending.tick(self.ledger, now)
            is_waiting = any(
                self.ledger.accounts[name].waiters
                for name in self.ledger.active
            )
            await anyio.sleep(WAITING_TICK_S if is_waiting else TICK_S)

    async def stop(self) -> None:
        """Give the peers all tokens; this host admits nothing any more."""
        lending.hand_over(self.ledger, self.apply_epoch())
        await anyio.sleep(TICK_S)

    async def reserve(
        self,
        workspace: str,
        tokens: int,
        deadline: float,
    ) -> Reservation:
        """Take tokens for a request, at once if they are here.

        Parameters
        ----------
        workspace : str
        tokens : int
            The prompt's and the most that the output may have.
        deadline : float
            Until when the request may wait, by the clock of this process.

        Raises
        ------
        RefusedError
            If the workspace may not have the tokens now, or this host
            cannot know.
        """
        now = self.apply_epoch()
        account = self.open_account(workspace, now)
        if tokens > account.burst:
            raise refuse(
                'request_too_large',
                _STATUS_LIMITED,
                f'{tokens} tokens are more than the burst of {workspace}.',
            )
        reservation = books.reserve(self.ledger, account, tokens, now)
        if reservation is None:
            reservation = await self._wait(account, tokens, deadline)
        if reservation is None:
            raise self._limit_error(account, tokens)
        return reservation

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Give back what a request did not use."""
        account = self.ledger.accounts[reservation.workspace]
        refund(account, reservation, used_tokens, self.apply_epoch())

    def apply_epoch(self) -> float:
        """Take over the registry's epoch, and return the time."""
        now = self.clock()
        books.apply_epoch(self.ledger, self.replica.state.registry, now)
        return now

    def open_account(self, workspace: str, now: float) -> Account:
        """Return a workspace's account.

        Raises
        ------
        RefusedError
            If this host may be out of date, has no share of the limits, or
            there is no such workspace.
        """
        if self.membership.is_stale(now):
            raise stale_refusal()
        if not self.ledger.members:
            raise refuse(
                'host_not_registered',
                _STATUS_STALE,
                'This host has no share of the limits yet.',
                _STALE_RETRY_S,
            )
        limit = self.replica.state.catalogue.workspaces.get(workspace)
        if limit is None:
            raise refuse(
                'unknown_workspace',
                _STATUS_LIMITED,
                f'There is no workspace {workspace}.',
            )
        return books.open_account(
            self.ledger,
            workspace,
            limit.rate,
            limit.burst,
            now,
        )

    async def _wait(
        self,
        account: Account,
        tokens: int,
        deadline: float,
    ) -> Reservation | None:
        now = self.clock()
        done = anyio.Event()
        expires_at = min(deadline, now + lending.MAX_WAIT_S)
        waiter = Waiter(tokens, expires_at, done.set)
        if not lending.enqueue(self.ledger, account, waiter, now):
            return None
        is_over = False
        try:
            with anyio.move_on_after(max(0, expires_at - now)):
                await done.wait()
            is_over = not self.membership.is_stale(self.clock())
        finally:
            lending.leave_queue(account, waiter)
            if waiter.reservation and not is_over:
                # The caller has gone, or this host was frozen meanwhile.
                self.settle(waiter.reservation, 0)
        return waiter.reservation if is_over else None

    def _limit_error(self, account: Account, tokens: int) -> RefusedError:
        self.rejected += 1
        return refuse(
            'workspace_limit',
            _STATUS_LIMITED,
            f'The rate and burst of {account.workspace} are used up.',
            books.retry_after(account, tokens, self.clock()),
        )

    def _send(self, name: str, message: wire.Transfers) -> None:
        self.peers.send(name, message)

    def _receive_transfers(
        self, sender: HostId, message: wire.Transfers
    ) -> None:
        lending.receive(self.ledger, sender.name, message, self.apply_epoch())

    def _handle_adopted_state(self) -> None:
        if self.replica.state.registry.epoch != self.ledger.epoch:
            books.discard_holdings(self.ledger, self.clock())

    def _handle_record(self, _: int, record: Record, counted: bool) -> None:
        # No epoch may be skipped: the share of this host may have been less
        # in one that a page of records passes over.
        now = self.apply_epoch()
        if not counted:
            return
        if isinstance(record.body, EpochSettled):
            books.fill_pending_accounts(self.ledger)
        elif isinstance(record.body, WorkspaceSet):
            self._open_created_workspace(record.body.workspace, now)

    def _open_created_workspace(self, limit: Workspace, now: float) -> None:
        is_new = limit.name not in self.ledger.accounts
        account = books.open_account(
            self.ledger,
            limit.name,
            limit.rate,
            limit.burst,
            now,
        )
        if is_new:
            books.fill_new_account(self.ledger, account)


def stale_refusal() -> RefusedError:
    """Return the refusal of a host that may be out of date."""
    return refuse(
        'host_out_of_date',
        _STATUS_STALE,
        'This host has lost touch with the log and its peers.',
        _STALE_RETRY_S,
    )
