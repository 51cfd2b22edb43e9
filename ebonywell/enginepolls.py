"""Polls engines for reports and order outcomes, and sends them orders."""

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

POLL_TIMEOUT_S = 1.0
_STATUS_NOT_FOUND = 404
_Answer = TypeVar('_Answer')
Ask = Callable[[str, str, bytes], Awaitable[HttpAnswer]]


class SentOrder(msgspec.Struct, frozen=True):
    """An order as it is sent to the engine."""

    order_id: str
    fencing: int
    action: str
    model: str
    bytes: int = 0
    adapter: str = ''
    role: str = ''
    version: str = ''


class OrderAnswer(msgspec.Struct, frozen=True):
    """An engine's answer about the state of an order."""

    order_id: str
    state: OrderState


@dataclass(slots=True)
class EnginePoll:
    """The result of polling an engine.

    Attributes
    ----------
    fencing : int
        Fencing number of the lease under which the engine was polled.
    report : Report
    settlements : list of Settlement
        Outcomes of orders that have ended.
    sent : int
        Number of orders sent to the engine.
    """

    fencing: int
    report: Report
    settlements: list[Settlement]
    sent: int = 0


async def poll_engine(
    address: str,
    fencing: int,
    unsettled: list[Pending],
) -> EnginePoll:
    """Read an engine's report and order outcomes, and send it orders.

    All requests use one connection, which closes when the engine's process
    ends. So an order can only reach the incarnation that sent the report.

    Parameters
    ----------
    address : str
        The engine's ip:port.
    fencing : int
        Fencing number of the caller's lease.
    unsettled : list of Pending
        Orders to the engine that have no outcome yet.

    Returns
    -------
    EnginePoll

    Raises
    ------
    TargetError
        If the connection broke. Orders may have arrived nevertheless.
    """
    host, port = split_address(address)
    origin = httpcore.Origin(b'http', host.encode(), port)
    try:
        async with httpcore.AsyncHTTPConnection(origin) as connection:
            ask = _bind(connection, f'http://{address}')
            return await poll_with(ask, fencing, unsettled)
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
            POLL_TIMEOUT_S,
        )

    return ask


async def poll_with(
    ask: Ask, fencing: int, unsettled: list[Pending]
) -> EnginePoll:
    """Read the report and then the orders' outcomes, and send orders.

    Parameters
    ----------
    ask : callable
        Sends a request, given as method, path and body, and returns the
        answer. All requests must use the same connection.
    fencing : int
        Fencing number of the caller's lease.
    unsettled : list of Pending
        Orders to the engine that have no outcome yet.

    Returns
    -------
    EnginePoll
    """
    report = _decode(await ask('GET', '/report', b''), Report)
    poll = EnginePoll(fencing, report, [])
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
            poll.settlements.append(
                Settlement(order.target, order.order_id, step.outcome),
            )
        elif step.step is Step.send:
            # An order that the engine rejects stays unsettled, because it
            # might still accept a delayed copy of the order.
            await ask('POST', '/orders', _encode(pending))
            poll.sent += 1
    return poll


async def _ask_state(ask: Ask, order_id: str) -> OrderState:
    answer = await ask('GET', f'/orders/{order_id}', b'')
    if answer.status == _STATUS_NOT_FOUND:
        return OrderState.unknown
    return _decode(answer, OrderAnswer).state


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


def _decode(answer: HttpAnswer, kind: type[_Answer]) -> _Answer:
    return decode_answer(check_status(answer, 'visit'), kind)
