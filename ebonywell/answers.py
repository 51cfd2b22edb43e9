"""Errors for rejected requests and their encoding for callers."""

import math
from http import HTTPStatus

import msgspec

from .exceptions import EbonywellError
from .types import RunState, new_id

RETRY_SOON_S = 1.0


class Refusal(msgspec.Struct, frozen=True):
    """The error that a caller gets instead of a target's answer.

    Attributes
    ----------
    code : str
        Stable identifier of the error, for callers' programs.
    status : int
        The HTTP status.
    message : str
        One human-readable sentence.
    run_state : RunState
        Whether the request ran on a target.
    retry_after_s : float or None
        Delay after which a retry may succeed, in seconds; None if a retry
        will not succeed.
    """

    code: str
    status: int
    message: str
    run_state: RunState = RunState.not_run
    retry_after_s: float | None = None


class RefusedError(EbonywellError):
    """Ends a request with an error for its caller."""

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
    """Return the exception for a request that has not run."""
    return RefusedError(
        Refusal(code, status, message, RunState.not_run, retry_after_s),
    )


def unknown(
    code: str,
    status: int,
    message: str,
    retry_after_s: float | None = None,
) -> RefusedError:
    """Return the exception for a request that may or may not have run."""
    return RefusedError(
        Refusal(code, status, message, RunState.unknown, retry_after_s),
    )


def encode_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body of an error response."""
    body = _ErrorBody(
        refusal.code,
        refusal.message,
        refusal.run_state,
        request_id,
        refusal.retry_after_s,
    )
    return msgspec.json.encode({'error': body})


def refusal_headers(refusal: Refusal) -> list[tuple[bytes, bytes]]:
    """Return the headers of an error response."""
    headers = [(b'content-type', b'application/json')]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append((b'retry-after', str(seconds).encode()))
    return headers


def describe_rejection(status: HTTPStatus, code: str) -> tuple[bytes, bytes]:
    """Return the content type and the body of a rejection by the server.

    The request was not received whole, so that nothing of it has run.
    """
    refusal = Refusal(code, status, f'{status.phrase}.')
    return b'application/json', encode_refusal(refusal, new_id())


def encode_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the error event that ends an interrupted stream.

    The event starts with an empty line, so that it is separate even if the
    stream was interrupted in the middle of an event.
    """
    return b'\n\ndata: %b\n\n' % encode_refusal(refusal, request_id)
