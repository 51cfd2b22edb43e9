"""How tokens move between hosts to where they are asked for.

Pure: messages and times come in, messages go out.
"""

from . import shares
from .ledger import Ledger
from .wire import Transfer, Transfers

# A host asks for its demand of this long ahead, and for this many requests.
HORIZON_S = 0.5
KEPT_REQUESTS = 2
# A host that is asked keeps its own demand of this long, and one request if
# it has more demand than this many requests a second.
RESERVE_S = 0.1
BUSY_RATE = 0.1
ASK_GAP_S = 0.02
IDLE_ASK_GAP_S = 0.25
# After rounds that brought nothing, nobody is asked for this long, doubled
# for each such round up to a number of them.
DRY_S = 0.1
MAX_DRY_ROUNDS = 4
WAIT_S = 0.3
REPEAT_GAP_S = 1.0
# Tokens a second below which a workspace counts as unused on this host.
ACTIVE_DEMAND = 0.01
# Each peer is asked for somewhat more than its part, for not all have it.
FIRST_ASK_FACTOR = 1.25
MIN_RETURN = shares.WHOLE // 1000


def wait(
    ledger: Ledger, account: shares.Account, waiter: shares.Waiter, now: float
) -> bool:
    """Queue a request and ask the peers; False if that is no use."""
    if not _peers(ledger, account) or now < account.dry_until:
        return False
    account.waiters.append(waiter)
    if now - account.asked_at >= _ask_gap(account):
        is_large = waiter.tokens > account.burst / len(account.homes)
        _ask(ledger, account, now, is_urgent=is_large)
    return True


def leave_queue(account: shares.Account, waiter: shares.Waiter) -> None:
    """Take a request that nobody waits for any longer out of the queue."""
    if waiter in account.waiters:
        account.waiters.remove(waiter)


def _peers(ledger: Ledger, account: shares.Account) -> list[str]:
    if not ledger.members or not ledger.lends:
        return []
    known = {*account.homes, *account.received, *account.sent}
    known.discard(ledger.name)
    return sorted(known)


def _wanted(account: shares.Account) -> int:
    return sum(waiter.tokens for waiter in account.waiters)


def _spare(ledger: Ledger, account: shares.Account, now: float) -> int:
    demand = shares.demand(account, now)
    kept = _wanted(account) + demand * RESERVE_S
    if demand > account.typical * BUSY_RATE:
        kept += account.typical
    return max(0, int(account.level - kept))


def _item(
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
        _spare(ledger, account, now),
    )


def _missing(account: shares.Account, now: float) -> int:
    ahead = shares.demand(account, now) * HORIZON_S
    ahead = max(ahead, account.typical * KEPT_REQUESTS)
    wanted = min(account.burst, max(_wanted(account), ahead))
    return max(0, int(wanted - account.level) + 1)


def _ask(
    ledger: Ledger,
    account: shares.Account,
    now: float,
    *,
    is_urgent: bool,
) -> None:
    """Begin a round: ask each peer for its part, or urgently for all."""
    peers = _peers(ledger, account)
    missing = _missing(account, now)
    part = int(missing / len(peers) * FIRST_ASK_FACTOR) + 1
    want = missing if is_urgent else part
    account.is_urgent = is_urgent
    account.asked_at = now
    account.rounds += 1
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
    if message.epoch != ledger.epoch or not ledger.members:
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
    account: shares.Account,
    peer: str,
    transfer: Transfer,
    now: float,
) -> None:
    ledger.active.add(account.workspace)
    counters = shares.Counters(transfer.cap, transfer.tokens)
    account.gained += shares.receive(account, peer, counters, now)
    account.spare[peer] = transfer.spare
    if transfer.want:
        _lend(ledger, account, peer, transfer, now)
    elif peer in account.asked:
        account.asked.discard(peer)
        _end_round(ledger, account, now)
    serve(account, now)


def _lend(
    ledger: Ledger,
    account: shares.Account,
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


def _end_round(ledger: Ledger, account: shares.Account, now: float) -> None:
    if account.asked or account.gained or not account.waiters:
        return
    if account.is_urgent:
        _give_up(account, now)
    else:
        _ask(ledger, account, now, is_urgent=True)


def _give_up(account: shares.Account, now: float) -> None:
    """Refuse the requests that wait, and the next ones for a while.

    The while grows with each failure in a row, so that a workspace far over
    its rate costs few messages. Tokens are still asked for ahead.
    """
    account.dry_until = now + DRY_S * 2**account.dry_rounds
    account.dry_rounds = min(account.dry_rounds + 1, MAX_DRY_ROUNDS)
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
                _give_up(account, now)
            return
        account.waiters.pop(0)
        first.notify()
    account.rounds = 0
    account.dry_rounds = max(0, account.dry_rounds - 1)


def tick(ledger: Ledger, now: float) -> None:
    """Ask ahead of demand, give back free cap, and repeat what may be lost.

    To be called every `IDLE_ASK_GAP_S` seconds or more often.
    """
    if not ledger.members:
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


def _tick_account(ledger: Ledger, account: shares.Account, now: float) -> None:
    peers = _peers(ledger, account)
    if not peers:
        return
    _give_back(ledger, account, peers, now)
    if shares.demand(account, now) < ACTIVE_DEMAND and not account.waiters:
        if account.cap <= account.own:
            ledger.active.discard(account.workspace)
        return
    is_due = now - account.asked_at >= _ask_gap(account)
    if is_due and _missing(account, now) > 1:
        _ask(ledger, account, now, is_urgent=bool(account.waiters))


def _ask_gap(account: shares.Account) -> float:
    if not account.waiters:
        return IDLE_ASK_GAP_S
    gap_s: float = ASK_GAP_S * 2**account.rounds
    return min(IDLE_ASK_GAP_S, gap_s)


def _give_back(
    ledger: Ledger,
    account: shares.Account,
    peers: list[str],
    now: float,
) -> None:
    """Return the cap that this host has emptied to where it came from."""
    kept = account.rate * account.share / shares.WHOLE * HORIZON_S
    free = min(shares.free_cap(account, kept), account.cap - account.own)
    for peer in peers:
        part = min(free, shares.owed(account, peer))
        if part > MIN_RETURN:
            free -= part
            shares.give(account, peer, 0, part, now)
            items = (_item(ledger, account, peer, 0, now),)
            ledger.send(peer, Transfers(ledger.epoch, items))


def _repeat(ledger: Ledger, account: shares.Account, now: float) -> None:
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
