"""Client for the reports of the platform's model replicas and their orders."""

from types import MappingProxyType

import msgspec

from ..engineorders import EngineClient, EngineOrder, OrderAnswer, TargetReport
from ..exceptions import TransportError
from ..inventory import KnownTarget
from ..orders import Action
from ..transport import HttpClient, check_status
from .targets import decode_report

# A replica answers within milliseconds. An order without an answer is sent
# again, and delays all other orders to its replica.
ORDER_TIMEOUT_S = 0.1
REPORT_TIMEOUT_S = 0.3
_OPERATIONS = MappingProxyType(
    {
        Action.load: 'load',
        Action.load_adapter: 'load',
        Action.unload: 'unload',
        Action.unload_adapter: 'unload',
    }
)
_ANSWERS_BY_STATUS = MappingProxyType(
    {
        202: OrderAnswer.accepted,
        200: OrderAnswer.held,
        409: OrderAnswer.conflict,
        412: OrderAnswer.fenced,
        400: OrderAnswer.refused,
        421: OrderAnswer.refused,
    }
)


def engine_client(client: HttpClient) -> EngineClient:
    """Return an engine client that polls and orders replicas over HTTP."""

    async def report(known: KnownTarget) -> TargetReport:
        url = _url(known, 'report')
        return decode_report(
            check_status(
                await client.request('GET', url, REPORT_TIMEOUT_S), url
            ),
        )

    async def order(
        known: KnownTarget, engine_order: EngineOrder
    ) -> OrderAnswer:
        url = _url(known, 'order')
        headers = (
            ('Content-Type', 'application/json'),
            ('Expect-Instance', known.name),
        )
        try:
            answer = await client.request(
                'POST',
                url,
                ORDER_TIMEOUT_S,
                _encode(engine_order),
                headers,
            )
        except TransportError as error:
            if error.is_sent:
                return OrderAnswer.unknown
            return OrderAnswer.unreachable
        return _ANSWERS_BY_STATUS.get(answer.status, OrderAnswer.unknown)

    return EngineClient(report, order)


def _url(known: KnownTarget, path: str) -> str:
    address = known.announcement.address
    return f'http://{address}/{path}'


def _encode(engine_order: EngineOrder) -> bytes:
    body = {
        'operation': _OPERATIONS[engine_order.action],
        'model': engine_order.model,
        'precondition': engine_order.order_count,
        'holder': engine_order.holder,
        'fence': engine_order.fence,
    }
    if engine_order.adapter:
        body['adapter'] = engine_order.adapter
    return msgspec.json.encode(body)
