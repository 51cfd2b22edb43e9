"""One host's part of the token bucket of a workspace.

The burst of the bucket is divided into caps and its rate into shares. Each
host refills its part at its share of the rate, up to its cap. Tokens move
between hosts together with the cap that they fill, as counters that only
increase. The sender debits its own account before it sends, so a lost,
duplicated or reordered message can delay tokens but never create them.
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
    """Totals that one host has given to another within an epoch.

    Attributes
    ----------
    cap : int
        Part of the burst, in units of ``1 / SHARE_SCALE``.
    tokens : int
    """

    cap: int = 0
    tokens: int = 0


@dataclass(slots=True)
class Reservation:
    """Tokens reserved in an account for one request.

    Attributes
    ----------
    workspace : str
    tokens : int
    slot : int
        Time slot of the reservation, see `refunds.slot_of`.
    """

    workspace: str
    tokens: int
    slot: int


@dataclass(slots=True)
class Waiter:
    """A queued request that waits for tokens of other hosts.

    Attributes
    ----------
    tokens : int
    expires_at : float
    notify : callable
        Called once, when `reservation` is set or the request is rejected.
    reservation : Reservation or None
    """

    tokens: int
    expires_at: float
    notify: Callable[[], None]
    reservation: Reservation | None = None


@dataclass(slots=True)
class Account:
    """One host's part of the token bucket of a workspace.

    Shares and caps are in units of ``1 / SHARE_SCALE`` of the whole bucket.
    In a round, the host requests tokens from its peers.

    Attributes
    ----------
    workspace : str
    rate, burst : float
        The limits of the workspace over all hosts, in tokens a second and
        in tokens.
    refilled_at : float
        Time at which `level` was computed, in seconds.
    owners : list of str
        The hosts among which the epoch divides the bucket.
    assigned : int
        Part of the bucket that the epoch assigns to this host.
    initial_cap : int
        Cap at the start of the epoch, until the epoch is settled.
    share : int
        Part of the rate at which this host refills.
    cap : int
        Part of the burst that this host may hold.
    level : float
        Tokens held, at most ``cap / SHARE_SCALE * burst``.
    sent, received : dict of str to Counters
        Totals by host in the current epoch.
    spare : dict of str to int
        Tokens that each peer last reported that it could give.
    room : RoomHistory
        Recent free room of this host's part of the bucket.
    demand : float
        Requested tokens a second, smoothed.
    demand_at : float
        Time at which `demand` was computed, in seconds.
    waiters : list of Waiter
        Queued requests, oldest first.
    unanswered_peers : set of str
        Peers that have not answered the last round.
    is_urgent : bool
        Whether the last round requests more than the spare tokens of peers.
    round_tokens : int
        Tokens received since the last round began.
    backoff_until : float
        Time before which requests are not queued, because no peer had
        tokens to give.
    round_started_at : float
        Time at which the last round began.
    mean_request_tokens : float
        Tokens of a request, smoothed over requests.
    rounds : int
        Rounds begun since the queue was last empty.
    backoff_exponent : int
        Number of doublings of the next back-off. Each failure adds one, and
        each time the queue is served one is subtracted.
    is_new : bool
        Whether the workspace was created in an epoch that is not settled, so
        that no host holds any of its tokens yet.
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
    """Return the maximum number of tokens that the account may hold."""
    return account.cap * account.burst / SHARE_SCALE


def refill(account: Account, now: float) -> None:
    """Add the tokens of this host's share of the rate up to now."""
    elapsed = max(0, now - account.refilled_at)
    account.refilled_at = max(now, account.refilled_at)
    added = elapsed * account.rate * account.share / SHARE_SCALE
    account.level += added
    _limit_to_cap(account, now)


def _limit_to_cap(account: Account, now: float) -> None:
    max_tokens = cap_tokens(account)
    account.level = min(account.level, max_tokens)
    refunds.note_room(account.room, now, max_tokens - account.level)


def set_limits(
    account: Account,
    rate: float,
    burst: float,
    now: float,
) -> None:
    """Change the limits of the workspace and drop tokens above them."""
    if (rate, burst) != (account.rate, account.burst):
        refill(account, now)
        account.rate = rate
        account.burst = burst
        _limit_to_cap(account, now)


def shrink(account: Account, now: float) -> None:
    """Begin an epoch with the smaller of the old and the assigned share."""
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
    """Raise share and cap to those of a settled epoch, without tokens.

    Cap may have been lent and borrowed since the epoch began, so the amount
    that was missing then is added to the current cap.
    """
    refill(account, now)
    account.share = account.assigned
    account.cap += account.assigned - account.initial_cap
    account.initial_cap = account.assigned


def spend(account: Account, tokens: int, now: float) -> Reservation | None:
    """Reserve tokens for a request if the account holds enough."""
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
    """Refund the unused tokens of a request, as far as the limit allows."""
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
    """Debit the account and credit the counters for a peer.

    Parameters
    ----------
    account : Account
    peer : str
    tokens : int
        At most ``account.level``.
    cap : int
        Cap given in addition to the cap that the tokens fill, at most the
        unfilled cap.
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
    """Credit the increase of a peer's counters, and return the new tokens."""
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
    """Return the cap received from a peer minus the cap sent to it."""
    received = account.received.get(peer, Counters()).cap
    return received - account.sent.get(peer, Counters()).cap


def free_cap(account: Account, kept_tokens: float) -> int:
    """Return the cap beyond the tokens held and the tokens to keep room for."""
    filled = math.ceil(
        (account.level + kept_tokens) * SHARE_SCALE / account.burst
    )
    return max(0, account.cap - filled)


def note_demand(account: Account, tokens: int, now: float) -> None:
    """Count requested tokens, whether or not they are available."""
    account.mean_request_tokens += (
        tokens - account.mean_request_tokens
    ) * MEAN_SMOOTHING
    account.demand = current_demand(account, now) + tokens / DEMAND_WINDOW_S
    account.demand_at = now


def current_demand(account: Account, now: float) -> float:
    """Return the smoothed demand at a time, in tokens a second."""
    elapsed = now - account.demand_at
    return account.demand * math.exp(-elapsed / DEMAND_WINDOW_S)
