"""One host's part of a workspace's token bucket.

The bucket's burst is divided into caps and its rate into shares. Each host
mints at its share of the rate, up to its cap. Tokens move between hosts
together with the cap that they fill, as counters that only grow: the giver
debits itself before it sends, so a lost, doubled or reordered message can
delay tokens but never make them.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from . import refunds

SHARE_SCALE = 1_000_000_000
DEMAND_WINDOW_S = 1.0
MEAN_SMOOTHING = 0.1


@dataclass(slots=True)
class Counters:
    """All that one host ever gave another within an epoch.

    Attributes
    ----------
    cap : int
        In parts of `SHARE_SCALE` of the burst.
    tokens : int
    """

    cap: int = 0
    tokens: int = 0


@dataclass(slots=True)
class Reservation:
    """Tokens taken from an account for one request.

    Attributes
    ----------
    workspace : str
    tokens : int
    slot : int
        When, as `refunds.slot_of` counts.
    """

    workspace: str
    tokens: int
    slot: int


@dataclass(slots=True)
class Waiter:
    """A request that waits for tokens of other hosts.

    Attributes
    ----------
    tokens : int
    expires_at : float
    notify : callable
        Called once, when `reservation` has been set or is given up.
    reservation : Reservation or None
    """

    tokens: int
    expires_at: float
    notify: Callable[[], None]
    reservation: Reservation | None = None


@dataclass(slots=True)
class Account:
    """One host's part of a workspace's bucket.

    Attributes
    ----------
    workspace : str
    rate, burst : float
        The workspace's, over all hosts: tokens a second, and tokens.
    refilled_at : float
        When `level` was right, in seconds.
    owners : list of str
        The hosts among which the epoch divides the bucket.
    assigned : int
        This host's part of that division, of `SHARE_SCALE`.
    initial_cap : int
        The cap that the host began the epoch with, until it is settled.
    share : int
        The part of the rate that is minted here, of `SHARE_SCALE`.
    cap : int
        The part of the burst that may be held here, of `SHARE_SCALE`.
    level : float
        Tokens held, at most ``cap / SHARE_SCALE * burst``.
    sent, received : dict of str to Counters
        By host, in the present epoch.
    spare : dict of str to int
        What each peer last said that it could give, in tokens.
    current_demand : float
        Tokens asked for in each second, smoothed.
    demand_at : float
        When `current_demand` was right, in seconds.
    waiters : list of Waiter
        In the order of their arrival.
    unanswered_peers : set of str
        The peers whose answers to the last round of asking are missing.
    is_urgent : bool
        Whether that round asks peers for all that they do not need now.
    round_tokens : int
        Tokens that came since that round began.
    backoff_until : float
        Until then asking is no use, because every peer has just said no.
    round_started_at : float
        When the last round of asking began.
    mean_request_tokens : float
        Tokens of a request, smoothed over requests.
    rounds : int
        Rounds of asking since the queue was last empty.
    backoff_exponent : int
        Rounds of asking in a row that brought nothing.
    is_new : bool
        Whether the workspace was created in an epoch that is not settled,
        so that no host holds any of its tokens yet.
    """

    workspace: str
    rate: float
    burst: float
    refilled_at: float
    owners: list[str] = field(default_factory=list)
    assigned: int = 0
    initial_cap: int = 0
    share: int = 0
    cap: int = 0
    level: float = 0
    sent: dict[str, Counters] = field(default_factory=dict)
    received: dict[str, Counters] = field(default_factory=dict)
    spare: dict[str, int] = field(default_factory=dict)
    room: refunds.RoomHistory = field(default_factory=refunds.RoomHistory)
    demand: float = 0
    demand_at: float = 0
    waiters: list[Waiter] = field(default_factory=list)
    unanswered_peers: set[str] = field(default_factory=set)
    is_urgent: bool = False
    round_tokens: int = 0
    backoff_until: float = 0
    round_started_at: float = -math.inf
    mean_request_tokens: float = 0
    rounds: int = 0
    backoff_exponent: int = 0
    is_new: bool = False


def cap_tokens(account: Account) -> float:
    """Return the most tokens that the account may hold."""
    return account.cap * account.burst / SHARE_SCALE


def refill(account: Account, now: float) -> None:
    """Add what the account's share of the rate has made until now."""
    elapsed = max(0, now - account.refilled_at)
    account.refilled_at = max(now, account.refilled_at)
    made = elapsed * account.rate * account.share / SHARE_SCALE
    account.level += made
    _limit_to_cap(account, now)


def _limit_to_cap(account: Account, now: float) -> None:
    most = cap_tokens(account)
    account.level = min(account.level, most)
    refunds.note_room(account.room, now, most - account.level)


def set_limits(
    account: Account,
    rate: float,
    burst: float,
    now: float,
) -> None:
    """Change the workspace's limits; what is held above them is lost."""
    if (rate, burst) != (account.rate, account.burst):
        refill(account, now)
        account.rate = rate
        account.burst = burst
        _limit_to_cap(account, now)


def shrink(account: Account, now: float) -> None:
    """Begin an epoch with the lesser of the present and its own share."""
    refill(account, now)
    account.share = min(account.share, account.assigned)
    account.cap = min(account.cap, account.assigned)
    account.initial_cap = account.cap
    account.sent.clear()
    account.received.clear()
    account.spare.clear()
    account.unanswered_peers.clear()
    _limit_to_cap(account, now)


def grow(account: Account, now: float) -> None:
    """Take the rest of the share of a settled epoch, without tokens.

    Cap may have been lent and borrowed since the epoch began, so what was
    missing then is added to what is here now.
    """
    refill(account, now)
    account.share = account.assigned
    account.cap += account.assigned - account.initial_cap
    account.initial_cap = account.assigned


def spend(account: Account, tokens: int, now: float) -> Reservation | None:
    """Take tokens for a request if the account holds as many."""
    refill(account, now)
    if tokens > account.level:
        return None
    account.level -= tokens
    return Reservation(account.workspace, tokens, refunds.slot_of(now))


def refund(
    account: Account,
    reservation: Reservation,
    used_tokens: int,
    now: float,
) -> None:
    """Give back what a request did not use, as far as the bound allows."""
    refill(account, now)
    unused = max(0, reservation.tokens - used_tokens)
    account.level += refunds.apply_refund(
        account.room, reservation.slot, unused
    )


def give(
    account: Account,
    peer: str,
    tokens: int,
    cap: int,
    now: float,
) -> None:
    """Debit the account and count what the peer gets.

    Parameters
    ----------
    account : Account
    peer : str
    tokens : int
        At most ``account.level``.
    cap : int
        Given besides what the tokens fill; at most what is unfilled.
    now : float
    """
    refill(account, now)
    filled = min(account.cap, int(tokens * SHARE_SCALE / account.burst))
    account.level -= tokens
    account.cap -= filled + cap
    counters = account.sent.setdefault(peer, Counters())
    counters.tokens += tokens
    counters.cap += filled + cap
    _limit_to_cap(account, now)


def receive(
    account: Account,
    peer: str,
    counters: Counters,
    now: float,
) -> int:
    """Credit what a peer's counters have grown by, and return the tokens."""
    known = account.received.get(peer, Counters())
    if counters.cap < known.cap or counters.tokens < known.tokens:
        return 0
    refill(account, now)
    gained = counters.tokens - known.tokens
    account.cap += counters.cap - known.cap
    account.level += gained
    account.received[peer] = counters
    _limit_to_cap(account, now)
    return gained


def borrowed_cap(account: Account, peer: str) -> int:
    """Return how much more cap came from a peer than went to it."""
    came = account.received.get(peer, Counters()).cap
    return came - account.sent.get(peer, Counters()).cap


def free_cap(account: Account, kept_tokens: float) -> int:
    """Return the cap that is neither filled nor kept free, of `SHARE_SCALE`."""
    filled = math.ceil(
        (account.level + kept_tokens) * SHARE_SCALE / account.burst
    )
    return max(0, account.cap - filled)


def note_demand(account: Account, tokens: int, now: float) -> None:
    """Count tokens that were asked for, whether or not they were there."""
    account.mean_request_tokens += (
        tokens - account.mean_request_tokens
    ) * MEAN_SMOOTHING
    account.demand = current_demand(account, now) + tokens / DEMAND_WINDOW_S
    account.demand_at = now


def current_demand(account: Account, now: float) -> float:
    """Return the smoothed demand in tokens a second."""
    elapsed = now - account.demand_at
    return account.demand * math.exp(-elapsed / DEMAND_WINDOW_S)
