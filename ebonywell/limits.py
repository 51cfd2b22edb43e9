"""Enforces the limits of workspaces over all hosts together."""

from collections.abc import Callable

import anyio

from . import ledger as ledgers
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
    """Reserves tokens for requests and moves them between hosts.

    Attributes
    ----------
    ledger : Ledger
    rejected : int
        Requests rejected since the start because their workspace was at its
        limit.
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
        replica.replacement_watchers.append(self._handle_adopted_state)
        peers.add_handler(wire.Transfers, self._receive_transfers)

    async def run(self, ready: Callable[[], None]) -> None:
        """Move tokens to the hosts with demand, until cancelled.

        The service is ready once this host holds its full share, or after
        `READY_TIMEOUT_S` if it gets none because the log is down.
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
        """Give all tokens to the peers; this host admits no more requests."""
        lending.hand_over(self.ledger, self.apply_epoch())
        await anyio.sleep(TICK_S)

    async def reserve(
        self,
        workspace: str,
        tokens: int,
        deadline: float,
    ) -> Reservation:
        """Reserve tokens for a request, waiting for other hosts if needed.

        Parameters
        ----------
        workspace : str
        tokens : int
            Tokens of the prompt, plus the maximum for the output.
        deadline : float
            Latest time until which the request may wait, by the clock of
            this process.

        Raises
        ------
        RefusedError
            If the workspace is at its limit, or this host may be out of
            date.
        """
        now = self.apply_epoch()
        account = self.open_account(workspace, now)
        if tokens > account.burst:
            raise refuse(
                'request_too_large',
                _STATUS_LIMITED,
                f'{tokens} tokens are more than the burst of {workspace}.',
            )
        reservation = ledgers.reserve(self.ledger, account, tokens, now)
        if reservation is None:
            reservation = await self._wait(account, tokens, deadline)
        if reservation is None:
            raise self._limit_error(account, tokens)
        return reservation

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Refund the reserved tokens that a request did not use."""
        account = self.ledger.accounts[reservation.workspace]
        refund(account, reservation, used_tokens, self.apply_epoch())

    def apply_epoch(self) -> float:
        """Apply the epoch of the registry to the ledger; return the time."""
        now = self.clock()
        ledgers.apply_epoch(self.ledger, self.replica.state.registry, now)
        return now

    def open_account(self, workspace: str, now: float) -> Account:
        """Return the account of a workspace, creating it if necessary.

        Raises
        ------
        RefusedError
            If this host may be out of date or has no share of the limits, or
            if the workspace does not exist.
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
        return ledgers.open_account(
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
        is_valid = False
        try:
            with anyio.move_on_after(max(0, expires_at - now)):
                await done.wait()
            is_valid = not self.membership.is_stale(self.clock())
        finally:
            lending.leave_queue(account, waiter)
            if waiter.reservation and not is_valid:
                # The caller disconnected, or this host was frozen meanwhile.
                self.settle(waiter.reservation, 0)
        return waiter.reservation if is_valid else None

    def _limit_error(self, account: Account, tokens: int) -> RefusedError:
        self.rejected += 1
        return refuse(
            'workspace_limit',
            _STATUS_LIMITED,
            f'The rate and burst of {account.workspace} are used up.',
            ledgers.retry_after(account, tokens, self.clock()),
        )

    def _send(self, name: str, message: wire.Transfers) -> None:
        self.peers.send(name, message)

    def _receive_transfers(
        self, sender: HostId, message: wire.Transfers
    ) -> None:
        lending.receive(self.ledger, sender.name, message, self.apply_epoch())

    def _handle_adopted_state(self) -> None:
        if self.replica.state.registry.epoch != self.ledger.epoch:
            ledgers.discard_holdings(self.ledger, self.clock())

    def _handle_record(self, _: int, record: Record, counted: bool) -> None:
        # Every epoch is applied, even within one page of records: the share
        # of this host may have been smaller in an epoch in between.
        now = self.apply_epoch()
        if not counted:
            return
        if isinstance(record.body, EpochSettled):
            ledgers.fill_pending_accounts(self.ledger)
        elif isinstance(record.body, WorkspaceSet):
            self._open_created_workspace(record.body.workspace, now)

    def _open_created_workspace(self, limit: Workspace, now: float) -> None:
        is_new = limit.name not in self.ledger.accounts
        account = ledgers.open_account(
            self.ledger,
            limit.name,
            limit.rate,
            limit.burst,
            now,
        )
        if is_new:
            ledgers.fill_new_account(self.ledger, account)


def stale_refusal() -> RefusedError:
    """Return the error with which a stale host rejects a request."""
    return refuse(
        'host_out_of_date',
        _STATUS_STALE,
        'This host has lost touch with the log and its peers.',
        _STALE_RETRY_S,
    )
