"""Charges requests to their workspaces' limits, or rejects them."""

from functools import partial

from .clock import boot_time
from .inbound import AdmittedRequest, Charge, Refund, RejectionError
from .logs import Logger
from .routetable import WorkspaceLimit
from .sharedlimits import SharedLimits

_TOO_MANY_REQUESTS = 429


def make_charge(limits: SharedLimits, log: Logger) -> Charge:
    """Return a function that charges a request to its workspace's limit.

    The function raises `RejectionError` if the request exceeds the limit.
    Otherwise it returns a function that refunds the charge if the request is
    rejected later.
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
    """Return the charge of a request to its workspace's limit.

    Parameters
    ----------
    limit : WorkspaceLimit
    tokens : int or None
        Prompt and maximum output tokens, None for a plain service.
    """
    if not limit.is_in_tokens:
        return 1
    return limit.plain_tokens if tokens is None else tokens
