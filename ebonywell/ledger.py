"""The accounts of one host, and the epochs in which they are valid.

The functions do no I/O: the registry and the time are passed in.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import xxhash

from .registry import Registry
from .shares import (
    SHARE_SCALE,
    Account,
    Reservation,
    cap_tokens,
    grow,
    note_demand,
    set_limits,
    shrink,
    spend,
)
from .wire import Transfers

MAX_OWNERS = 8
MIN_RETRY_AFTER_S = 0.1
ZERO_RATE_RETRY_AFTER_S = 60.0

Send = Callable[[str, Transfers], None]


@dataclass(slots=True)
class Ledger:
    """The accounts of one incarnation of a host.

    Attributes
    ----------
    name, life : str
        Name of the host, and its name with the incarnation.
    send : callable
        Sends a message to the host with the given name.
    epoch : int
        Epoch of the accounts; -1 before the first.
    has_full_share : bool
        Whether the host has raised its accounts to its share of the settled
        epoch.
    members : list of str
        Sorted names of the hosts of the epoch; empty if this incarnation is
        not one of them.
    accounts : dict of str to Account
        Accounts by workspace.
    max_owners : int
        Maximum number of hosts among which a bucket is divided; 1 gives each
        bucket a single owner.
    lends : bool
        Whether tokens may move to other hosts; False gives a static split.
    resent_at : float
        Time at which counters were last resent, in case a message was lost.
    active : set of str
        Workspaces that `lending.tick` processes.
    """

    name: str
    life: str
    send: Send
    epoch: int = -1
    has_full_share: bool = False
    members: list[str] = field(default_factory=list)
    accounts: dict[str, Account] = field(default_factory=dict)
    max_owners: int = MAX_OWNERS
    lends: bool = True
    resent_at: float = 0
    active: set[str] = field(default_factory=set)


def choose_owners(
    workspace: str,
    members: Collection[str],
    count: int = MAX_OWNERS,
) -> list[str]:
    """Return the hosts among which the bucket of a workspace is divided.

    The number of owners is small, so that a request can collect the tokens
    with few messages. They are chosen by rendezvous hashing, so that a change
    of the members moves few buckets.
    """
    ranked = sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(
            f'{workspace}/{name}'.encode(),
        ),
    )
    return ranked[:count]


def _assign_share(ledger: Ledger, account: Account) -> None:
    owners = choose_owners(account.workspace, ledger.members, ledger.max_owners)
    is_owner = ledger.name in owners
    account.owners = owners
    account.assigned = SHARE_SCALE // len(owners) if is_owner else 0


def apply_epoch(ledger: Ledger, registry: Registry, now: float) -> None:
    """Apply the epoch of the registry to all accounts.

    The smaller of the old and the new share is in force until the epoch is
    settled, which needs an acknowledgement from every member. An
    acknowledgement is the applied offset in a heartbeat, so this function
    must be called before any other use of the ledger at that offset.
    """
    if registry.epoch != ledger.epoch:
        ledger.epoch = registry.epoch
        ledger.has_full_share = False
        is_member = registry.members.get(ledger.name) == ledger.life
        ledger.members = sorted(registry.members) if is_member else []
        for account in ledger.accounts.values():
            _assign_share(ledger, account)
            shrink(account, now)
    is_settled = registry.settled == registry.epoch
    if is_settled and ledger.members and not ledger.has_full_share:
        ledger.has_full_share = True
        for pending in ledger.accounts.values():
            grow(pending, now)


def discard_holdings(ledger: Ledger, now: float) -> None:
    """Drop all shares and tokens, because epochs may have been missed."""
    ledger.has_full_share = False
    for account in ledger.accounts.values():
        account.assigned = 0
        shrink(account, now)


def open_account(
    ledger: Ledger,
    workspace: str,
    rate: float,
    burst: float,
    now: float,
) -> Account:
    """Return the account of a workspace, updated to the current limits."""
    account = ledger.accounts.get(workspace)
    if account is None:
        account = Account(workspace, rate, burst, now)
        ledger.accounts[workspace] = account
        _assign_share(ledger, account)
        if ledger.has_full_share:
            grow(account, now)
    set_limits(account, rate, burst, now)
    return account


def fill_new_account(ledger: Ledger, account: Account) -> None:
    """Fill the account of a new workspace once its epoch is settled.

    Called when the record that creates the workspace is applied. All hosts
    see the same state of the registry at that record, so they fill their caps
    either all at this record or all at the record that settles the epoch.
    """
    account.is_new = not ledger.has_full_share
    if ledger.has_full_share:
        account.level = cap_tokens(account)


def fill_pending_accounts(ledger: Ledger) -> None:
    """Fill the accounts of workspaces created before the epoch was settled.

    An account also counts as filled on an incarnation that is not a member
    and holds nothing: each new workspace is filled once for all hosts.
    """
    for account in ledger.accounts.values():
        if account.is_new:
            account.is_new = False
            account.level = cap_tokens(account)


def reserve(
    ledger: Ledger,
    account: Account,
    tokens: int,
    now: float,
) -> Reservation | None:
    """Reserve tokens if the account holds them and no request is queued."""
    note_demand(account, tokens, now)
    ledger.active.add(account.workspace)
    if account.waiters:
        return None
    return spend(account, tokens, now)


def retry_after(account: Account, tokens: int, now: float) -> float:
    """Return the seconds until the bucket has refilled the missing tokens."""
    missing = max(0, tokens - account.level)
    return (
        max(MIN_RETRY_AFTER_S, missing / account.rate)
        if account.rate
        else ZERO_RATE_RETRY_AFTER_S
    )
