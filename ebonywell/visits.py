"""A visit to an engine: its report, its outcomes, and orders sent to it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import httpcore
import msgspec

from .exceptions import TargetError, TransportError
from .memory import Pending
from .misc import split_address
from .orders import Settlement
from .outstanding import Evidence, OrderState, Step, next_step
from .targets import Report
from .transport import HttpAnswer, check_status, decode_answer, send_request

VISIT_TIMEOUT_S = 1.0
_STATUS_NOT_FOUND = 404
_Answer = TypeVar('_Answer')
Ask = Callable[[str, str, bytes], Awaitable[HttpAnswer]]


class SentOrder(msgspec.Struct, frozen=True):
    """An order as the engine gets it."""

    order_id: str
    fencing: int
    action: str
    model: str
    bytes: int = 0
    adapter: str = ''
    role: str = ''
    version: str = ''


class OrderAnswer(msgspec.Struct, frozen=True):
    """What an engine answers about an order's id."""

    order_id: str
    state: OrderState


@dataclass(slots=True)
class Visit:
    """What one visit brought.

    Attributes
    ----------
    fencing : int
        The number of the lease under which it was made.
    report : Report
    settlements : list of Settlement
    sent : int
        Orders handed to the engine.
    """

    fencing: int
    report: Report
    settlements: list[Settlement]
    sent: int = 0


async def visit(
    address: str,
    fencing: int,
    unsettled: list[Pending],
) -> Visit:
    """Read an engine's report, then see to its orders.

    All goes over one connection, which ends with the engine's process. So an
    order reaches the life of the target that the report named, or none.

    Parameters
    ----------
    address : str
        The engine's ip:port.
    fencing : int
        The caller's number.
    unsettled : list of Pending

    Returns
    -------
    Visit

    Raises
    ------
    TargetError
        If the connection broke; orders may have arrived all the same.
    """
    host, port = split_address(address)
    origin = httpcore.Origin(b'http', host.encode(), port)
    try:
        async with httpcore.AsyncHTTPConnection(origin) as connection:
            ask = _bind(connection, f'http://{address}')
            return await see_to(ask, fencing, unsettled)
    except TransportError as error:
        raise TargetError(str(error)) from error


def _bind(connection: httpcore.AsyncHTTPConnection, url: str) -> Ask:
    async def ask(method: str, path: str, content: bytes) -> HttpAnswer:
        return await send_request(
            connection,
            method,
            url + path,
            content,
            (),
            VISIT_TIMEOUT_S,
        )

    return ask


async def see_to(ask: Ask, fencing: int, unsettled: list[Pending]) -> Visit:
    """Read the report first, then the orders' outcomes, and send what is due.

    Parameters
    ----------
    ask : callable
        Sends a method, a path and a body over the one connection.
    fencing : int
    unsettled : list of Pending

    Returns
    -------
    Visit
    """
    report = _read(await ask('GET', '/report', b''), Report)
    result = Visit(fencing, report, [])
    for pending in unsettled:
        order = pending.order
        evidence = Evidence(
            report.incarnation,
            report.checks_fencing,
            report.fencing,
            await _ask_state(ask, order.order_id),
        )
        step = next_step(order.incarnation, pending.fencing, evidence)
        if step.outcome is not None:
            result.settlements.append(
                Settlement(order.target, order.order_id, step.outcome),
            )
        elif step.step is Step.send:
            # An order that the engine refuses stays unsettled: a late copy
            # of it might still be taken.
            await ask('POST', '/orders', _encode(pending))
            result.sent += 1
    return result


async def _ask_state(ask: Ask, order_id: str) -> OrderState:
    answer = await ask('GET', f'/orders/{order_id}', b'')
    if answer.status == _STATUS_NOT_FOUND:
        return OrderState.unknown
    return _read(answer, OrderAnswer).state


def _encode(pending: Pending) -> bytes:
    order = pending.order
    return msgspec.json.encode(
        SentOrder(
            order.order_id,
            pending.fencing,
            order.action.value,
            order.model,
            order.bytes,
            order.adapter,
        ),
    )


def _read(answer: HttpAnswer, kind: type[_Answer]) -> _Answer:
    return decode_answer(check_status(answer, 'visit'), kind)
