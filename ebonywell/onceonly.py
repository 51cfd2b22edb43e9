"""Calls that may not be repeated: their claims and outcomes in the log."""

import enum
import sys
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from .misc import request_digest

# A day, and the minute that a change of the writers may add to the log's time.
CLAIM_TTL_S = 86_460.0
MAX_CALL_S = 900.0
EXPIRY_INTERVAL_S = 60.0
MAX_CALLS = 100_000
# Hex digits of a digest: 128 bits, which nobody finds twice.
DIGEST_HEX_DIGITS = 32
MAX_BODY_BYTES = 65_536
MAX_KEPT_BYTES = 16_777_216


class Outcome(msgspec.Struct, frozen=True):
    """The answer of a target to a call that ran.

    Attributes
    ----------
    status : int
        The HTTP status.
    content_type : str
    body : bytes
        Empty if it is not kept.
    is_kept : bool
        Whether the whole body stands here.
    """

    status: int
    content_type: str = ''
    body: bytes = b''
    is_kept: bool = True


class CallClaimed(msgspec.Struct, frozen=True, tag='call_claimed'):
    """A host means to run a call; the first one in the log may.

    Attributes
    ----------
    call_key : str
        The digest of workspace and idempotency key.
    claim_id : str
        Tells this claim from every other one.
    workspace : str
    entry : str
    request_digest : str
        A repeat has the same.
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
    """The claimant's last word on a call of which a byte was handed over.

    Attributes
    ----------
    call_key : str
    claim_id : str
    outcome : Outcome or None
        None if the exchange broke, so that nobody knows.
    """

    call_key: str
    claim_id: str
    outcome: Outcome | None


class CallAbandoned(msgspec.Struct, frozen=True, tag='call_abandoned'):
    """The claimant handed nothing to a target; the key is free again."""

    call_key: str
    claim_id: str


OnceRecord = CallClaimed | CallFinished | CallAbandoned


@dataclass(slots=True)
class ClaimedCall:
    """A call as the table keeps it.

    Attributes
    ----------
    claim_id : str
        Empty once settled.
    request_digest : str
        Its first `DIGEST_HEX_DIGITS` digits.
    host : str
        The claimant's name and incarnation.
    claimed_s : float
        By the log's time.
    is_settled : bool
        Whether the claimant said its last word.
    outcome : Outcome or None
        None until settled, and if nobody knows.
    """

    claim_id: str
    request_digest: str
    host: str
    claimed_s: float
    is_settled: bool = False
    outcome: Outcome | None = None


@dataclass(slots=True)
class OnceOnly:
    """The table of calls that may not be repeated.

    Attributes
    ----------
    calls : dict of str to ClaimedCall
        By call key, the oldest claim first.
    kept : dict of str to int
        Sizes of the kept bodies by call key, the first finished first.
    kept_bytes : int
        Their sum.
    now_s : float
        The log's time, in seconds.
    expired_s : float
        When old calls were last dropped, by the log's time.
    """

    calls: dict[str, ClaimedCall] = field(default_factory=dict)
    kept: dict[str, int] = field(default_factory=dict)
    kept_bytes: int = 0
    now_s: float = 0
    expired_s: float = 0


class Verdict(enum.StrEnum):
    """What the table says of a call that arrives."""

    unclaimed = 'unclaimed'
    conflict = 'conflict'
    in_progress = 'in_progress'
    finished = 'finished'
    unknown = 'unknown'


def call_key(workspace: str, idempotency_key: str) -> str:
    """Return the key by which a call and its repeats are known."""
    digest = request_digest(workspace.encode(), idempotency_key.encode())
    return digest[:DIGEST_HEX_DIGITS]


def check_call(
    table: OnceOnly,
    key: str,
    digest: str,
    is_alive: Callable[[str], bool],
) -> Verdict:
    """Return what to say to a call, given what the log holds of it.

    Parameters
    ----------
    table : OnceOnly
    key : str
        From `call_key`.
    digest : str
        Of the request.
    is_alive : callable
        Whether a claimant, by name and incarnation, is known to be alive.
    """
    call = table.calls.get(key)
    if call is None:
        return Verdict.unclaimed
    if call.is_settled:
        # A claim that has not ended may yet be abandoned, and its key used
        # for another request, so only a settled one is a conflict.
        if call.request_digest != digest[:DIGEST_HEX_DIGITS]:
            return Verdict.conflict
        return Verdict.unknown if call.outcome is None else Verdict.finished
    is_young = table.now_s - call.claimed_s <= MAX_CALL_S
    if is_young and is_alive(call.host):
        return Verdict.in_progress
    return Verdict.unknown


def apply(table: OnceOnly, record: OnceRecord) -> bool:
    """Apply a record where it counts.

    Returns
    -------
    bool
        False for a claim that is not the first, and for a word on a claim
        that does not stand.
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
    """Drop the calls that were claimed too long ago by the log's time.

    Parameters
    ----------
    table : OnceOnly
        Changed in place.
    now_s : float
        `LogTime.elapsed_s`, a function of the records alone.
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
    """Return an outcome as it stands once its body is no longer kept."""
    return Outcome(outcome.status, outcome.content_type, is_kept=False)


def make_outcome(status: int, content_type: str, body: bytes) -> Outcome:
    """Return the outcome to record for an answer."""
    outcome = Outcome(status, content_type, body)
    return outcome if len(body) <= MAX_BODY_BYTES else without_body(outcome)
