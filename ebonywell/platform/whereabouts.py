"""Answers an operator's question where a request would go now."""

import math
from urllib.parse import parse_qs

import msgspec

from ..clock import boot_time
from ..hostprocess import HostProcess
from ..server import Message
from ..where.questions import Question, UnknownNameError, make_requests
from ..where.views import WhereView, describe_decision
from . import ingress

_OK = 200
_FORBIDDEN = 403
_NOT_FOUND = 404
_UNAVAILABLE = 503
_LOOPBACK = frozenset(('127.0.0.1', '::1'))


def answer(host: HostProcess, scope: Message) -> tuple[int, str]:
    """Return the status and the text of the answer to a question.

    Only the host itself may ask, since the answer names all targets.
    """
    now = boot_time()
    asker = scope['client'] and scope['client'][0]
    if asker not in _LOOPBACK | {host.settings.ip}:
        return _FORBIDDEN, 'ask from the host itself'
    configuration = host.known.intake.configuration
    if configuration is None:
        return _UNAVAILABLE, 'the host has no configuration yet'
    try:
        requests = list(make_requests(_read(scope, now), configuration, now))
    except UnknownNameError as error:
        return _NOT_FOUND, str(error)
    view = WhereView(
        [
            describe_decision(host.gateway.selector, request, now)
            for request in requests
        ],
        configuration.version,
        _age_s(host.known.intake.proven_at, now),
        _age_s(host.known.inventory.proven_at, now),
        host.known.fleet.size,
        len(host.known.fleet.silent(now)),
    )
    return _OK, msgspec.json.encode(view).decode()


def _read(scope: Message, now: float) -> Question:
    """Return a question, whose prompt is described as callers do."""
    named = parse_qs(scope['query_string'].decode('latin-1'))
    received = ingress.parse_request(scope, b'', now)
    return Question(
        named.get('route', [''])[0],
        named.get('workspace', [''])[0],
        received.generation,
    )


def _age_s(proven_at: float, now: float) -> float | None:
    return now - proven_at if math.isfinite(proven_at) else None
