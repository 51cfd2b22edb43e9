"""Moves tokens between hosts to where there is demand for them.

A host requests tokens from its peers in rounds: one message to each peer,
each of which answers with the tokens that it can spare. The functions do no
I/O: messages and the time are passed in, and `Ledger.send` sends messages.
"""

from . import shares
from .ledger import Ledger
from .wire import Transfer, Transfers

# A round requests tokens for the demand of this time ahead, and for at least
# this many requests.
DEMAND_HORIZON_S = 0.5
MIN_HELD_REQUESTS = 2
# A host that gives tokens keeps those for its own demand of this time. It also
# keeps the tokens of one request if its demand exceeds this many requests a
# second.
RESERVED_DEMAND_S = 0.1
BUSY_REQUESTS_PER_S = 0.1
ROUND_INTERVAL_S = 0.02
IDLE_ROUND_INTERVAL_S = 0.25
# After a round without tokens, requests are not queued for this time. It
# doubles with each such round, up to this many doublings.
BACKOFF_S = 0.1
MAX_BACKOFF_EXPONENT = 4
MAX_WAIT_S = 0.3
RESEND_INTERVAL_S = 1.0
# A workspace with less demand than this is inactive on this host.
MIN_ACTIVE_TOKENS_PER_S = 0.01
# A round requests more than its part from each peer, as some have too few
# tokens.
PEER_PART_MARGIN = 1.25
MIN_RETURNED_CAP = shares.SHARE_SCALE // 1000


def enqueue(
    ledger: Ledger, account: shares.Account, waiter: shares.Waiter, now: float
) -> bool:
    """Queue a request, or return False if no peer can give tokens now."""
    if not _lending_peers(ledger, account) or now < account.backoff_until:
        return False
    account.waiters.append(waiter)
    if now - account.round_started_at >= _round_interval(account):
        is_large = waiter.tokens > account.burst / len(account.owners)
        _start_round(ledger, account, now, is_urgent=is_large)
    return True


def leave_queue(account: shares.Account, waiter: shares.Waiter) -> None:
    """Remove a request whose caller no longer waits from the queue."""
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
    reserved = _queued_tokens(account) + demand * RESERVED_DEMAND_S
    if demand > account.mean_request_tokens * BUSY_REQUESTS_PER_S:
        reserved += account.mean_request_tokens
    return max(0, int(account.level - reserved))


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
    needed = min(account.burst, max(_queued_tokens(account), ahead))
    return max(0, int(needed - account.level) + 1)


def _start_round(
    ledger: Ledger,
    account: shares.Account,
    now: float,
    *,
    is_urgent: bool,
) -> None:
    """Request from each peer its part, or if urgent all missing tokens."""
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
    """Process a peer's message, answer its requests, and serve the queue.

    Messages of another epoch are ignored, so tokens that were sent in an
    epoch that has ended are lost.
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
    # Two requests that each need most of the bucket would block each other,
    # so the host whose name sorts first gets all tokens.
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
    """Reject the queued requests, and start a back-off for further ones.

    The back-off grows with each failure in a row, so that a workspace far
    above its rate causes few messages. Rounds that request tokens ahead of
    demand go on.
    """
    account.backoff_until = now + BACKOFF_S * 2**account.backoff_exponent
    account.backoff_exponent = min(
        account.backoff_exponent + 1, MAX_BACKOFF_EXPONENT
    )
    for waiter in account.waiters:
        waiter.notify()
    account.waiters.clear()


def serve(account: shares.Account, now: float) -> None:
    """Serve the queued requests in order; reject the queue on expiry."""
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
    """Request tokens ahead of demand, return free cap, and resend counters.

    To be called at least every `IDLE_ROUND_INTERVAL_S` seconds.
    """
    if not ledger.members:
        return
    is_resend_due = now - ledger.resent_at >= RESEND_INTERVAL_S
    ledger.resent_at = now if is_resend_due else ledger.resent_at
    for workspace in tuple(ledger.active):
        account = ledger.accounts[workspace]
        shares.refill(account, now)
        serve(account, now)
        _tick_account(ledger, account, now)
        if is_resend_due:
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
    interval_s: float = ROUND_INTERVAL_S * 2**account.rounds
    return min(IDLE_ROUND_INTERVAL_S, interval_s)


def _return_cap(
    ledger: Ledger,
    account: shares.Account,
    peers: list[str],
    now: float,
) -> None:
    """Return unfilled cap to the peers that it was received from."""
    reserved = (
        account.rate * account.share / shares.SHARE_SCALE * DEMAND_HORIZON_S
    )
    free = min(
        shares.free_cap(account, reserved), account.cap - account.assigned
    )
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
    """Give all tokens to the peers before this host leaves."""
    for account in ledger.accounts.values():
        peers = _lending_peers(ledger, account)
        shares.refill(account, now)
        part = int(account.level / len(peers)) if peers else 0
        for peer in peers:
            shares.give(account, peer, part, 0, now)
            items = (_make_transfer(ledger, account, peer, 0, now),)
            ledger.send(peer, Transfers(ledger.epoch, items))
