"""All of one host's accounts, and the epochs in which they hold.

Pure: records' effects and times come in.
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
    """The accounts of one life of a host.

    Attributes
    ----------
    name, life : str
        The host's name, and its name with the incarnation.
    send : callable
        Sends a message to a host by name.
    epoch : int
        The epoch of the accounts; -1 before the first.
    has_full_share : bool
        Whether the host has taken its whole share of the epoch.
    members : list of str
        The names of the epoch's hosts, sorted.
    accounts : dict of str to Account
        By workspace.
    max_owners : int
        Among how many hosts a bucket is divided; 1 gives each an owner.
    lends : bool
        False for a static split, which no tokens leave.
    resent_at : float
        When counters were last repeated, in case a message was lost.
    active : set of str
        The workspaces that `tick` must look at.
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
    """Return the hosts among which a workspace's bucket is divided.

    They are few, so that a request finds the tokens in few messages, and
    they are chosen by rendezvous hashing, so that a change of the members
    moves few buckets.
    """
    ranked = sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(
            f'{workspace}/{name}'.encode(),
        ),
    )
    return ranked[:count]


def _assign_share(ledger: Ledger, account: Account) -> None:
    chosen = choose_owners(account.workspace, ledger.members, ledger.max_owners)
    is_home = ledger.name in chosen
    account.owners = chosen
    account.assigned = SHARE_SCALE // len(chosen) if is_home else 0


def apply_epoch(ledger: Ledger, registry: Registry, now: float) -> None:
    """Take over the registry's epoch.

    The lesser of the old and the new share counts until the epoch is
    settled, which needs every member's acknowledgement. An acknowledgement
    is the applied offset in a heartbeat, so this must be called before
    anything else is done with the ledger at that offset.
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
    """Give up all that is held, because epochs may have been missed."""
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
    """Return a workspace's account with the limits as they are now."""
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
    """Fill a new workspace's account, once its epoch is settled.

    To be called when the record that creates the workspace is applied. All
    hosts see the same state of the registry there, so either all fill their
    caps at this record or all at the record that settles the epoch.
    """
    account.is_new = not ledger.has_full_share
    if ledger.has_full_share:
        account.level = cap_tokens(account)


def fill_pending_accounts(ledger: Ledger) -> None:
    """Fill the accounts that waited for the record that settles an epoch.

    A life that is no member holds nothing, and its account counts as filled
    all the same: this comes once for all hosts.
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
    """Take tokens at once, unless they are not here or others wait."""
    note_demand(account, tokens, now)
    ledger.active.add(account.workspace)
    if account.waiters:
        return None
    return spend(account, tokens, now)


def retry_after(account: Account, tokens: int, now: float) -> float:
    """Return in how many seconds the bucket will have made the tokens."""
    missing = max(0, tokens - account.level)
    return (
        max(MIN_RETRY_AFTER_S, missing / account.rate)
        if account.rate
        else ZERO_RATE_RETRY_AFTER_S
    )
