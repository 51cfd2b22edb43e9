"""Counts each request against its workspace's limit, or refuses it."""

from functools import partial

from .clock import boot_time
from .inbound import AdmittedRequest, Charge, Refund, RejectionError
from .logs import Logger
from .routetable import WorkspaceLimit
from .sharedlimits import SharedLimits

_TOO_MANY_REQUESTS = 429


def make_charge(limits: SharedLimits, log: Logger) -> Charge:
    """Return what counts a request against its workspace's limit.

    It raises `RejectionError` for a request beyond the limit, and returns
    what takes the charge back if the request is refused after all.
    """

    def charge(limit: WorkspaceLimit, request: AdmittedRequest) -> Refund:
        generation = request.generation
        tokens = None
        if generation is not None:
            tokens = generation.prompt_tokens + generation.max_output_tokens
        charged = charge_of(limit, tokens)
        admitted_at = boot_time()
        verdict = limits.admit(limit, charged, admitted_at)
        if verdict.is_admitted:
            return partial(limits.refund, limit, charged, admitted_at)
        log(
            'limit_refused',
            request=request.request_id,
            workspace=limit.name,
            tokens=tokens,
            allowed=verdict.allowed,
            used=verdict.used,
            silent=verdict.silent,
        )
        raise RejectionError(
            _TOO_MANY_REQUESTS,
            'workspace_limit',
            verdict.retry_after_s,
        )

    return charge


def charge_of(limit: WorkspaceLimit, tokens: int | None) -> int:
    """Return what a request counts against its workspace's limit."""
    if not limit.is_in_tokens:
        return 1
    return limit.plain_tokens if tokens is None else tokens
