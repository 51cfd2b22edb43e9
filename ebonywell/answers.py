"""Refusals and the answers that callers get for them."""

import math

import msgspec

from .exceptions import EbonywellError
from .types import RunState

RETRY_SOON_S = 1.0


class Refusal(msgspec.Struct, frozen=True):
    """Why a call got no answer of its target.

    Attributes
    ----------
    code : str
        Stable; callers' programs may rely on it.
    status : int
        The HTTP status.
    message : str
        One sentence for a person.
    run_state : RunState
        Whether the call ran.
    retry_after_s : float or None
        When to come back, in seconds; None if coming back is no use.
    """

    code: str
    status: int
    message: str
    run_state: RunState = RunState.not_run
    retry_after_s: float | None = None


class RefusedError(EbonywellError):
    """Ends a call with a refusal."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class _ErrorBody(msgspec.Struct, frozen=True):
    code: str
    message: str
    run_state: RunState
    request_id: str
    retry_after_s: float | None = None


def refuse(
    code: str,
    status: int,
    message: str,
    retry_after_s: float | None = None,
) -> RefusedError:
    """Return the error for a call that has not run."""
    return RefusedError(
        Refusal(code, status, message, RunState.not_run, retry_after_s),
    )


def unknown(
    code: str,
    status: int,
    message: str,
    retry_after_s: float | None = None,
) -> RefusedError:
    """Return the error for a call of which it is not known if it ran."""
    return RefusedError(
        Refusal(code, status, message, RunState.unknown, retry_after_s),
    )


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return a refusal as the JSON that a caller gets."""
    body = _ErrorBody(
        refusal.code,
        refusal.message,
        refusal.run_state,
        request_id,
        refusal.retry_after_s,
    )
    return msgspec.json.encode({'error': body})


def refusal_headers(refusal: Refusal) -> list[tuple[bytes, bytes]]:
    """Return the headers that go with a refusal's body."""
    headers = [(b'content-type', b'application/json')]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append((b'retry-after', str(seconds).encode()))
    return headers


def encode_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the event that ends a stream which was cut.

    It starts with an empty line, so that it stands alone even if the stream
    was cut in the middle of an event.
    """
    return b'\n\ndata: %b\n\n' % encode_refusal(refusal, request_id)
