"""Once-only calls: the table of their claims and outcomes in the log.

A once-only call is not idempotent, so a target must run it at most once.
"""

import enum
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from .misc import request_digest

# A day, and one minute by which the log's time may run ahead when the set of
# writers changes.
CLAIM_TTL_S = 86_460.0
MAX_CALL_S = 900.0
EXPIRY_INTERVAL_S = 60.0
MAX_CALLS = 100_000
# 128 bits of a digest, so that collisions are practically impossible.
DIGEST_HEX_DIGITS = 32
MAX_BODY_BYTES = 65_536
MAX_KEPT_BYTES = 16_777_216


class Outcome(msgspec.Struct, frozen=True):
    """A target's answer to a call that ran.

    Attributes
    ----------
    status : int
        The HTTP status.
    content_type : str
    body : bytes
        Empty if the body is not kept.
    is_kept : bool
        Whether `body` holds the whole body.
    """

    status: int
    content_type: str = ''
    body: bytes = b''
    is_kept: bool = True


class CallClaimed(msgspec.Struct, frozen=True, tag='call_claimed'):
    """A host claims a call; the first claim in the log gets to run it.

    Attributes
    ----------
    call_key : str
        The digest of workspace and idempotency key.
    claim_id : str
        Unique id of this claim.
    workspace : str
    entry : str
    request_digest : str
        Digest of the request, the same for every repeat.
    host : str
        The claimant's name and incarnation.
    """

    call_key: str
    claim_id: str
    workspace: str
    entry: str
    request_digest: str
    host: str


class CallFinished(msgspec.Struct, frozen=True, tag='call_finished'):
    """The claimant's final record on a call of which a byte was sent.

    Attributes
    ----------
    call_key : str
    claim_id : str
    outcome : Outcome or None
        None if the exchange broke and the outcome is therefore unknown.
    """

    call_key: str
    claim_id: str
    outcome: Outcome | None


class CallAbandoned(msgspec.Struct, frozen=True, tag='call_abandoned'):
    """The claimant sent nothing to a target; the key may be claimed again."""

    call_key: str
    claim_id: str


OnceRecord = CallClaimed | CallFinished | CallAbandoned


@dataclass(slots=True)
class ClaimedCall:
    """A call in the table.

    Attributes
    ----------
    claim_id : str
        Empty once the call is settled.
    request_digest : str
        The first `DIGEST_HEX_DIGITS` digits of the request's digest.
    host : str
        The claimant's name and incarnation.
    claimed_s : float
        Time of the claim by the log's time, in seconds.
    is_settled : bool
        Whether the claimant has recorded the end of the call.
    outcome : Outcome or None
        None until the call is settled, and if the outcome is unknown.
    """

    claim_id: str
    request_digest: str
    host: str
    claimed_s: float
    is_settled: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True)
class OnceOnly:
    """The table of once-only calls.

    Attributes
    ----------
    calls : dict of str to ClaimedCall
        Keyed by call key; the oldest claim comes first.
    kept : dict of str to int
        Sizes in bytes of the kept bodies, by call key; the call that finished
        first comes first.
    kept_bytes : int
        Total size of the kept bodies, in bytes.
    now_s : float
        The log's time, in seconds.
    expired_s : float
        Time of the last removal of expired calls, by the log's time.
    """

    calls: dict[str, ClaimedCall] = field(default_factory=dict)
    kept: dict[str, int] = field(default_factory=dict)
    kept_bytes: int = 0
    now_s: float = 0
    expired_s: float = 0


class Verdict(enum.StrEnum):
    """Result of looking up a received call in the table."""

    unclaimed = 'unclaimed'
    conflict = 'conflict'
    in_progress = 'in_progress'
    finished = 'finished'
    unknown = 'unknown'


def call_key(workspace: str, idempotency_key: str) -> str:
    """Return the key that a call and its repeats have in common."""
    digest = request_digest(workspace.encode(), idempotency_key.encode())
    return digest[:DIGEST_HEX_DIGITS]


def check_call(
    table: OnceOnly,
    key: str,
    digest: str,
    is_alive: Callable[[str], bool],
) -> Verdict:
    """Look up a received call and return whether it may run.

    Parameters
    ----------
    table : OnceOnly
    key : str
        Key returned by `call_key`.
    digest : str
        Digest of the request.
    is_alive : callable
        Returns whether a claimant, by name and incarnation, is known to be
        alive.
    """
    call = table.calls.get(key)
    if call is None:
        return Verdict.unclaimed
    if call.is_settled:
        # A claim that has not ended may still be abandoned and its key used
        # for another request, so only a settled call is a conflict.
        if call.request_digest != digest[:DIGEST_HEX_DIGITS]:
            return Verdict.conflict
        return Verdict.unknown if call.outcome is None else Verdict.finished
    is_fresh = table.now_s - call.claimed_s <= MAX_CALL_S
    if is_fresh and is_alive(call.host):
        return Verdict.in_progress
    return Verdict.unknown


def apply(table: OnceOnly, record: OnceRecord) -> bool:
    """Apply a record and return whether it took effect.

    Returns
    -------
    bool
        False for a claim that is not the first or that finds the table full,
        and for the end of a claim that is not open.
    """
    match record:
        case CallClaimed():
            return _claim(table, record)
        case CallFinished():
            return _finish(table, record)
        case CallAbandoned():
            call = table.calls.get(record.call_key)
            if _is_open(call, record.claim_id):
                table.calls.pop(record.call_key)
                return True
            return False


def expire(table: OnceOnly, now_s: float) -> None:
    """Drop the calls that were claimed more than `CLAIM_TTL_S` ago.

    Parameters
    ----------
    table : OnceOnly
        Changed in place.
    now_s : float
        `LogTime.elapsed_s`, which depends on the records only.
    """
    table.now_s = now_s
    if now_s < table.expired_s + EXPIRY_INTERVAL_S:
        return
    table.expired_s = now_s
    oldest_s = now_s - CLAIM_TTL_S
    old: list[str] = []
    for key, call in table.calls.items():
        if call.claimed_s >= oldest_s:
            break
        old.append(key)
    for expired in old:
        table.calls.pop(expired)
        _drop_body(table, expired)


def _claim(table: OnceOnly, record: CallClaimed) -> bool:
    if record.call_key in table.calls or len(table.calls) >= MAX_CALLS:
        return False
    table.calls[record.call_key] = ClaimedCall(
        record.claim_id,
        record.request_digest[:DIGEST_HEX_DIGITS],
        sys.intern(record.host),
        table.now_s,
    )
    return True


def _finish(table: OnceOnly, record: CallFinished) -> bool:
    call = table.calls.get(record.call_key)
    if call is None or not _is_open(call, record.claim_id):
        return False
    call.is_settled = True
    call.claim_id = ''
    call.outcome = record.outcome
    if record.outcome is not None and record.outcome.body:
        table.kept[record.call_key] = len(record.outcome.body)
        table.kept_bytes += len(record.outcome.body)
        _drop_oldest_bodies(table)
    return True


def _is_open(call: ClaimedCall | None, claim_id: str) -> bool:
    if call is None:
        return False
    return call.claim_id == claim_id and not call.is_settled


def _drop_oldest_bodies(table: OnceOnly) -> None:
    while table.kept_bytes > MAX_KEPT_BYTES:
        oldest = next(iter(table.kept))
        _drop_body(table, oldest)
        call = table.calls[oldest]
        if call.outcome is not None:
            call.outcome = without_body(call.outcome)


def _drop_body(table: OnceOnly, key: str) -> None:
    table.kept_bytes -= table.kept.pop(key, 0)


def without_body(outcome: Outcome) -> Outcome:
    """Return an outcome without its body, marked as not kept."""
    return Outcome(outcome.status, outcome.content_type, is_kept=False)


def make_outcome(status: int, content_type: str, body: bytes) -> Outcome:
    """Return the outcome to record for an answer."""
    outcome = Outcome(status, content_type, body)
    return outcome if len(body) <= MAX_BODY_BYTES else without_body(outcome)
