"""How tokens move between hosts to where they are asked for.

Pure: messages and times come in, messages go out.
"""

from . import shares
from .ledger import Ledger
from .wire import Transfer, Transfers

# A host asks for its demand of this long ahead, and for this many requests.
DEMAND_HORIZON_S = 0.5
MIN_HELD_REQUESTS = 2
# A host that is asked keeps its own demand of this long, and one request if
# it has more demand than this many requests a second.
RESERVED_DEMAND_S = 0.1
BUSY_REQUESTS_PER_S = 0.1
ROUND_INTERVAL_S = 0.02
IDLE_ROUND_INTERVAL_S = 0.25
# After rounds that brought nothing, nobody is asked for this long, doubled
# for each such round up to a number of them.
BACKOFF_S = 0.1
MAX_BACKOFF_EXPONENT = 4
MAX_WAIT_S = 0.3
RESEND_INTERVAL_S = 1.0
# Tokens a second below which a workspace counts as unused on this host.
MIN_ACTIVE_TOKENS_PER_S = 0.01
# Each peer is asked for somewhat more than its part, for not all have it.
PEER_PART_MARGIN = 1.25
MIN_RETURNED_CAP = shares.SHARE_SCALE // 1000


def enqueue(
    ledger: Ledger, account: shares.Account, waiter: shares.Waiter, now: float
) -> bool:
    """Queue a request and ask the peers; False if that is no use."""
    if not _lending_peers(ledger, account) or now < account.backoff_until:
        return False
    account.waiters.append(waiter)
    if now - account.round_started_at >= _round_interval(account):
        is_large = waiter.tokens > account.burst / len(account.owners)
        _start_round(ledger, account, now, is_urgent=is_large)
    return True


def leave_queue(account: shares.Account, waiter: shares.Waiter) -> None:
    """Take a request that nobody waits for any longer out of the queue."""
    if waiter in account.waiters:
        account.waiters.remove(waiter)


def _lending_peers(ledger: Ledger, account: shares.Account) -> list[str]:
    if not ledger.members or not ledger.lends:
        return []
    known = {*account.owners, *account.received, *account.sent}
    known.discard(ledger.name)
    return sorted(known)


def _queued_tokens(account: shares.Account) -> int:
    return sum(waiter.tokens for waiter in account.waiters)


def _spare_tokens(ledger: Ledger, account: shares.Account, now: float) -> int:
    demand = shares.current_demand(account, now)
    kept = _queued_tokens(account) + demand * RESERVED_DEMAND_S
    if demand > account.mean_request_tokens * BUSY_REQUESTS_PER_S:
        kept += account.mean_request_tokens
    return max(0, int(account.level - kept))


def _make_transfer(
    ledger: Ledger,
    account: shares.Account,
    peer: str,
    want: int,
    now: float,
) -> Transfer:
    counters = account.sent.get(peer, shares.Counters())
    return Transfer(
        account.workspace,
        counters.cap,
        counters.tokens,
        want,
        want > 0 and account.is_urgent,
        _spare_tokens(ledger, account, now),
    )


def _missing_tokens(account: shares.Account, now: float) -> int:
    ahead = shares.current_demand(account, now) * DEMAND_HORIZON_S
    ahead = max(ahead, account.mean_request_tokens * MIN_HELD_REQUESTS)
    wanted = min(account.burst, max(_queued_tokens(account), ahead))
    return max(0, int(wanted - account.level) + 1)


def _start_round(
    ledger: Ledger,
    account: shares.Account,
    now: float,
    *,
    is_urgent: bool,
) -> None:
    """Begin a round: ask each peer for its part, or urgently for all."""
    peers = _lending_peers(ledger, account)
    missing = _missing_tokens(account, now)
    part = int(missing / len(peers) * PEER_PART_MARGIN) + 1
    want = missing if is_urgent else part
    account.is_urgent = is_urgent
    account.round_started_at = now
    account.rounds += 1
    account.unanswered_peers = set(peers)
    account.round_tokens = 0
    for peer in peers:
        items = (_make_transfer(ledger, account, peer, want, now),)
        ledger.send(peer, Transfers(ledger.epoch, items))


def receive(ledger: Ledger, peer: str, message: Transfers, now: float) -> None:
    """Take a peer's message, answer what it asks, and serve who waits.

    Messages of another epoch count for nothing: what was given in an epoch
    that has ended is lost.
    """
    if message.epoch != ledger.epoch or not ledger.members:
        return
    answers = []
    for transfer in message.items:
        account = ledger.accounts.get(transfer.workspace)
        if account is not None:
            _receive_transfer(ledger, account, peer, transfer, now)
            if transfer.want:
                answers.append(_make_transfer(ledger, account, peer, 0, now))
    if answers:
        ledger.send(peer, Transfers(ledger.epoch, tuple(answers)))


def _receive_transfer(
    ledger: Ledger,
    account: shares.Account,
    peer: str,
    transfer: Transfer,
    now: float,
) -> None:
    ledger.active.add(account.workspace)
    counters = shares.Counters(transfer.cap, transfer.tokens)
    account.round_tokens += shares.receive(account, peer, counters, now)
    account.spare[peer] = transfer.spare
    if transfer.want:
        _lend(ledger, account, peer, transfer, now)
    elif peer in account.unanswered_peers:
        account.unanswered_peers.discard(peer)
        _end_round(ledger, account, now)
    serve(account, now)


def _lend(
    ledger: Ledger,
    account: shares.Account,
    peer: str,
    transfer: Transfer,
    now: float,
) -> None:
    shares.refill(account, now)
    spare = _spare_tokens(ledger, account, now)
    # Two requests that each need most of the bucket would wait for each
    # other; the host whose name sorts first gets everything.
    if transfer.urgent and (peer < ledger.name or not account.waiters):
        spare = int(account.level)
    tokens = min(transfer.want, spare)
    if tokens > 0 and ledger.lends:
        shares.give(account, peer, tokens, 0, now)


def _end_round(ledger: Ledger, account: shares.Account, now: float) -> None:
    if account.unanswered_peers or account.round_tokens or not account.waiters:
        return
    if account.is_urgent:
        _reject_queue(account, now)
    else:
        _start_round(ledger, account, now, is_urgent=True)


def _reject_queue(account: shares.Account, now: float) -> None:
    """Refuse the requests that wait, and the next ones for a while.

    The while grows with each failure in a row, so that a workspace far over
    its rate costs few messages. Tokens are still asked for ahead.
    """
    account.backoff_until = now + BACKOFF_S * 2**account.backoff_exponent
    account.backoff_exponent = min(
        account.backoff_exponent + 1, MAX_BACKOFF_EXPONENT
    )
    for waiter in account.waiters:
        waiter.notify()
    account.waiters.clear()


def serve(account: shares.Account, now: float) -> None:
    """Serve the requests that wait, in order, and drop the expired."""
    if not account.waiters:
        account.rounds = 0
        return
    while account.waiters:
        first = account.waiters[0]
        first.reservation = shares.spend(account, first.tokens, now)
        if first.reservation is None:
            if now >= first.expires_at:
                _reject_queue(account, now)
            return
        account.waiters.pop(0)
        first.notify()
    account.rounds = 0
    account.backoff_exponent = max(0, account.backoff_exponent - 1)


def tick(ledger: Ledger, now: float) -> None:
    """Ask ahead of demand, give back free cap, and repeat what may be lost.

    To be called every `IDLE_ROUND_INTERVAL_S` seconds or more often.
    """
    if not ledger.members:
        return
    is_repeat = now - ledger.resent_at >= RESEND_INTERVAL_S
    ledger.resent_at = now if is_repeat else ledger.resent_at
    for workspace in tuple(ledger.active):
        account = ledger.accounts[workspace]
        shares.refill(account, now)
        serve(account, now)
        _tick_account(ledger, account, now)
        if is_repeat:
            _resend_counters(ledger, account, now)


def _tick_account(ledger: Ledger, account: shares.Account, now: float) -> None:
    peers = _lending_peers(ledger, account)
    if not peers:
        return
    _return_cap(ledger, account, peers, now)
    if (
        shares.current_demand(account, now) < MIN_ACTIVE_TOKENS_PER_S
        and not account.waiters
    ):
        if account.cap <= account.assigned:
            ledger.active.discard(account.workspace)
        return
    is_due = now - account.round_started_at >= _round_interval(account)
    if is_due and _missing_tokens(account, now) > 1:
        _start_round(ledger, account, now, is_urgent=bool(account.waiters))


def _round_interval(account: shares.Account) -> float:
    if not account.waiters:
        return IDLE_ROUND_INTERVAL_S
    gap_s: float = ROUND_INTERVAL_S * 2**account.rounds
    return min(IDLE_ROUND_INTERVAL_S, gap_s)


def _return_cap(
    ledger: Ledger,
    account: shares.Account,
    peers: list[str],
    now: float,
) -> None:
    """Return the cap that this host has emptied to where it came from."""
    kept = account.rate * account.share / shares.SHARE_SCALE * DEMAND_HORIZON_S
    free = min(shares.free_cap(account, kept), account.cap - account.assigned)
    for peer in peers:
        part = min(free, shares.borrowed_cap(account, peer))
        if part > MIN_RETURNED_CAP:
            free -= part
            shares.give(account, peer, 0, part, now)
            items = (_make_transfer(ledger, account, peer, 0, now),)
            ledger.send(peer, Transfers(ledger.epoch, items))


def _resend_counters(
    ledger: Ledger, account: shares.Account, now: float
) -> None:
    for peer in account.sent:
        items = (_make_transfer(ledger, account, peer, 0, now),)
        ledger.send(peer, Transfers(ledger.epoch, items))


def hand_over(ledger: Ledger, now: float) -> None:
    """Give all tokens to the peers, before this host leaves."""
    for account in ledger.accounts.values():
        peers = _lending_peers(ledger, account)
        shares.refill(account, now)
        part = int(account.level / len(peers)) if peers else 0
        for peer in peers:
            shares.give(account, peer, part, 0, now)
            items = (_make_transfer(ledger, account, peer, 0, now),)
            ledger.send(peer, Transfers(ledger.epoch, items))
