"""The responses that an entry process makes by itself."""

from types import MappingProxyType
from typing import Any

import msgspec
from starlette.exceptions import HTTPException
from starlette.requests import Request
from starlette.responses import Response

from .answers import RefusedError, encode_refusal, refusal_headers, refuse
from .types import new_id

_STATUS_OK = 200
_STATUS_NOT_FOUND = 404
_STATUS_METHOD = 405


def json_answer(body: Any, status: int = _STATUS_OK) -> Response:
    """Return a JSON response."""
    return Response(
        msgspec.json.encode(body),
        status,
        media_type='application/json',
    )


def refusal_answer(refused: RefusedError) -> Response:
    """Return the response for a refusal of a call that reaches no target."""
    request_id = new_id()
    response = Response(
        encode_refusal(refused.refusal, request_id),
        refused.refusal.status,
    )
    response.raw_headers.extend(refusal_headers(refused.refusal))
    response.headers['x-request-id'] = request_id
    return response


async def answer_unrouted(request: Request, error: Exception) -> Response:
    """Return the response for a request that no route takes."""
    path = request.url.path
    status = error.status_code if isinstance(error, HTTPException) else 0
    if status == _STATUS_METHOD:
        message = f'{path} does not take {request.method}.'
        return refusal_answer(refuse('method_unknown', status, message))
    message = f'There is no {path}.'
    return refusal_answer(refuse('route_unknown', _STATUS_NOT_FOUND, message))


EXCEPTION_HANDLERS = MappingProxyType({HTTPException: answer_unrouted})
