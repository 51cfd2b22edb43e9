"""All of one host's accounts, and the moving of tokens between hosts.

Pure: messages and times come in, messages go out.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

import xxhash

from . import shares
from .registry import Registry
from .shares import Account, Counters, Reservation, Waiter
from .wire import Transfer, Transfers

HOMES = 8
HORIZON_S = 0.5
RESERVE_S = 0.1
ASK_GAP_S = 0.02
IDLE_ASK_GAP_S = 0.1
DRY_S = 0.1
WAIT_S = 0.3
REPEAT_GAP_S = 1.0
ACTIVE_DEMAND = 0.01
FIRST_ASK_FACTOR = 1.25

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
    grown : bool
        Whether the host has taken its whole share of the epoch.
    members : list of str
        The names of the epoch's hosts, sorted.
    accounts : dict of str to Account
        By workspace.
    lends : bool
        False for a static split, which no tokens leave.
    repeated_at : float
        When counters were last repeated, in case a message was lost.
    active : set of str
        The workspaces that `tick` must look at.
    """

    name: str
    life: str
    send: Send
    epoch: int = -1
    grown: bool = False
    members: list[str] = field(default_factory=list)
    accounts: dict[str, Account] = field(default_factory=dict)
    lends: bool = True
    repeated_at: float = 0
    active: set[str] = field(default_factory=set)


def homes(workspace: str, members: Collection[str]) -> list[str]:
    """Return the hosts among which a workspace's bucket is divided.

    They are few, so that a request finds the tokens in few messages, and
    they are chosen by rendezvous hashing, so that a change of the members
    moves few buckets.
    """
    ranked = sorted(
        members,
        key=lambda name: xxhash.xxh64_intdigest(f'{workspace}/{name}'),
    )
    return ranked[:HOMES]


def _share(ledger: Ledger, workspace: str) -> int:
    chosen = homes(workspace, ledger.members)
    is_home = ledger.name in chosen
    return shares.WHOLE // len(chosen) if is_home else 0


def follow(ledger: Ledger, registry: Registry, now: float) -> None:
    """Take over the registry's epoch.

    The lesser of the old and the new share counts until the epoch is
    settled, which needs every member's acknowledgement. An acknowledgement
    is the applied offset in a heartbeat, so this must be called before
    anything else is done with the ledger at that offset.
    """
    if registry.epoch != ledger.epoch:
        ledger.epoch = registry.epoch
        ledger.grown = False
        is_member = registry.members.get(ledger.name) == ledger.life
        ledger.members = sorted(registry.members) if is_member else []
        for account in ledger.accounts.values():
            shares.shrink(account, _share(ledger, account.workspace), now)
    is_settled = registry.settled == registry.epoch
    if is_settled and ledger.members and not ledger.grown:
        ledger.grown = True
        for pending in ledger.accounts.values():
            shares.grow(pending, _share(ledger, pending.workspace), now)


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
        if ledger.grown:
            shares.grow(account, _share(ledger, workspace), now)
    shares.set_limits(account, rate, burst, now)
    return account


def endow(ledger: Ledger, account: Account) -> None:
    """Fill a new workspace's account.

    To be called by the log's follower when the record that creates the
    workspace is applied, once in the account's life.
    """
    account.level = shares.cap_tokens(account)


def reserve(
    ledger: Ledger,
    account: Account,
    tokens: int,
    now: float,
) -> Reservation | None:
    """Take tokens at once, unless they are not here or others wait."""
    shares.note_demand(account, tokens, now)
    ledger.active.add(account.workspace)
    if account.waiters:
        return None
    return shares.spend(account, tokens, now)


def wait(ledger: Ledger, account: Account, waiter: Waiter, now: float) -> bool:
    """Queue a request and ask the peers; False if that is no use."""
    if not _peers(ledger, account) or now < account.dry_until:
        return False
    account.waiters.append(waiter)
    if now - account.asked_at >= ASK_GAP_S:
        _ask(ledger, account, now)
    return True


def leave_queue(account: Account, waiter: Waiter) -> None:
    """Take a request that nobody waits for any longer out of the queue."""
    if waiter in account.waiters:
        account.waiters.remove(waiter)


def retry_after(account: Account, tokens: int, now: float) -> float:
    """Return in how many seconds the bucket will have made the tokens."""
    missing = max(0, tokens - account.level)
    return max(DRY_S, missing / account.rate) if account.rate else WAIT_S


def _peers(ledger: Ledger, account: Account) -> list[str]:
    if not ledger.grown or not ledger.lends:
        return []
    known = set(homes(account.workspace, ledger.members))
    known.update(account.received, account.sent)
    known.discard(ledger.name)
    return sorted(known)


def _wanted(account: Account) -> int:
    return sum(waiter.tokens for waiter in account.waiters)


def _is_urgent(ledger: Ledger, account: Account) -> bool:
    home_cap = account.burst / min(HOMES, len(ledger.members) or 1)
    return any(waiter.tokens > home_cap for waiter in account.waiters)


def _spare(ledger: Ledger, account: Account, now: float) -> int:
    kept = _wanted(account) + shares.demand(account, now) * RESERVE_S
    return max(0, int(account.level - kept))


def _item(
    ledger: Ledger,
    account: Account,
    peer: str,
    want: int,
    now: float,
) -> Transfer:
    counters = account.sent.get(peer, Counters())
    return Transfer(
        account.workspace,
        counters.cap,
        counters.tokens,
        want,
        want > 0 and _is_urgent(ledger, account),
        _spare(ledger, account, now),
    )


def _missing(account: Account, now: float) -> int:
    ahead = shares.demand(account, now) * HORIZON_S
    wanted = min(account.burst, max(_wanted(account), ahead))
    return max(0, int(wanted - account.level) + 1)


def _ask(ledger: Ledger, account: Account, now: float) -> None:
    peers = _peers(ledger, account)
    missing = _missing(account, now)
    # The first round asks each peer for its part. Where that did not do,
    # a request still waits, and every peer is asked for all that is missing.
    is_first = not account.waiters or now - account.asked_at > WAIT_S
    part = int(missing / len(peers) * FIRST_ASK_FACTOR) + 1
    want = part if is_first else missing
    account.asked_at = now
    account.asked = set(peers)
    account.gained = 0
    for peer in peers:
        items = (_item(ledger, account, peer, want, now),)
        ledger.send(peer, Transfers(ledger.epoch, items))


def take(ledger: Ledger, peer: str, message: Transfers, now: float) -> None:
    """Take a peer's message, answer what it asks, and serve who waits.

    Messages of another epoch count for nothing: what was given in an epoch
    that has ended is lost.
    """
    if message.epoch != ledger.epoch or not ledger.grown:
        return
    answers = []
    for transfer in message.items:
        account = ledger.accounts.get(transfer.workspace)
        if account is not None:
            _take_one(ledger, account, peer, transfer, now)
            if transfer.want:
                answers.append(_item(ledger, account, peer, 0, now))
    if answers:
        ledger.send(peer, Transfers(ledger.epoch, tuple(answers)))


def _take_one(
    ledger: Ledger,
    account: Account,
    peer: str,
    transfer: Transfer,
    now: float,
) -> None:
    ledger.active.add(account.workspace)
    counters = Counters(transfer.cap, transfer.tokens)
    account.gained += shares.receive(account, peer, counters, now)
    account.spare[peer] = transfer.spare
    if transfer.want:
        _lend(ledger, account, peer, transfer, now)
    elif peer in account.asked:
        account.asked.discard(peer)
        _end_round(account, now)
    serve(account, now)


def _lend(
    ledger: Ledger,
    account: Account,
    peer: str,
    transfer: Transfer,
    now: float,
) -> None:
    shares.mint(account, now)
    spare = _spare(ledger, account, now)
    # Two requests that each need most of the bucket would wait for each
    # other; the host whose name sorts first gets everything.
    if transfer.urgent and (peer < ledger.name or not account.waiters):
        spare = int(account.level)
    tokens = min(transfer.want, spare)
    if tokens > 0 and ledger.lends:
        shares.give(account, peer, tokens, 0, now)


def _end_round(account: Account, now: float) -> None:
    if account.asked or account.gained:
        return
    account.dry_until = now + DRY_S
    shares.mint(account, now)
    serve(account, now)
    for waiter in account.waiters:
        waiter.notify()
    account.waiters.clear()


def serve(account: Account, now: float) -> None:
    """Serve the requests that wait, in order, and drop the expired."""
    while account.waiters:
        first = account.waiters[0]
        first.reservation = shares.spend(account, first.tokens, now)
        if first.reservation is None and now < first.expires_at:
            return
        account.waiters.pop(0)
        first.notify()


def tick(ledger: Ledger, now: float) -> None:
    """Ask ahead of demand, give back free cap, and repeat what may be lost.

    To be called every `IDLE_ASK_GAP_S` seconds or more often.
    """
    if not ledger.grown:
        return
    is_repeat = now - ledger.repeated_at >= REPEAT_GAP_S
    ledger.repeated_at = now if is_repeat else ledger.repeated_at
    for workspace in tuple(ledger.active):
        account = ledger.accounts[workspace]
        shares.mint(account, now)
        serve(account, now)
        _tick_account(ledger, account, now)
        if is_repeat:
            _repeat(ledger, account, now)


def _tick_account(ledger: Ledger, account: Account, now: float) -> None:
    peers = _peers(ledger, account)
    if not peers:
        return
    _give_back(ledger, account, peers, now)
    if shares.demand(account, now) < ACTIVE_DEMAND and not account.waiters:
        if account.cap <= _share(ledger, account.workspace):
            ledger.active.discard(account.workspace)
        return
    gap = ASK_GAP_S if account.waiters else IDLE_ASK_GAP_S
    is_due = now - account.asked_at >= gap and now >= account.dry_until
    if is_due and _missing(account, now) > 1:
        _ask(ledger, account, now)


def _give_back(
    ledger: Ledger,
    account: Account,
    peers: list[str],
    now: float,
) -> None:
    """Return the cap that this host has emptied to where it came from."""
    own = _share(ledger, account.workspace)
    kept = account.rate * account.share / shares.WHOLE * HORIZON_S
    free = min(shares.free_cap(account, kept), account.cap - own)
    for peer in peers:
        part = min(free, shares.owed(account, peer))
        if part > shares.WHOLE // 1000:
            free -= part
            shares.give(account, peer, 0, part, now)
            items = (_item(ledger, account, peer, 0, now),)
            ledger.send(peer, Transfers(ledger.epoch, items))


def _repeat(ledger: Ledger, account: Account, now: float) -> None:
    for peer in account.sent:
        items = (_item(ledger, account, peer, 0, now),)
        ledger.send(peer, Transfers(ledger.epoch, items))


def hand_over(ledger: Ledger, now: float) -> None:
    """Give all tokens to the peers, before this host leaves."""
    for account in ledger.accounts.values():
        peers = _peers(ledger, account)
        shares.mint(account, now)
        part = int(account.level / len(peers)) if peers else 0
        for peer in peers:
            shares.give(account, peer, part, 0, now)
            items = (_item(ledger, account, peer, 0, now),)
            ledger.send(peer, Transfers(ledger.epoch, items))
