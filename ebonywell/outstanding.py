"""Decides how to proceed with orders that have no outcome yet, without I/O."""

import enum
from dataclasses import dataclass

from .orders import Outcome


class OrderState(enum.StrEnum):
    """State of an order as its engine reports it."""

    unknown = 'unknown'
    pending = 'pending'
    done = 'done'
    failed = 'failed'


class Step(enum.StrEnum):
    """Next step of the lease holder for an order."""

    wait = 'wait'
    send = 'send'
    settle = 'settle'


@dataclass(slots=True, frozen=True)
class Evidence:
    """Facts read over one connection to an engine, in the order of reading.

    Attributes
    ----------
    incarnation : str
    checks_fencing : bool
    fencing : int
        Largest fencing number that the engine has acknowledged.
    state : OrderState
        State of the order, requested after the report with the attributes
        above had been read.
    """

    incarnation: str
    checks_fencing: bool
    fencing: int
    state: OrderState


@dataclass(slots=True, frozen=True)
class NextStep:
    """A step, with an outcome if the order is to be settled."""

    step: Step
    outcome: Outcome | None = None


_WAIT = NextStep(Step.wait)
_SEND = NextStep(Step.send)


def next_step(
    incarnation: str,
    order_fencing: int,
    evidence: Evidence,
) -> NextStep:
    """Return the next step for an order that is unsettled in the log.

    Parameters
    ----------
    incarnation : str
        Incarnation of the target for which the order is meant.
    order_fencing : int
        Fencing number under which the order was written to the log. Every
        copy of the order carries this number, whichever host sends it.
    evidence : Evidence

    Returns
    -------
    NextStep
        An order that the engine doesn't know is sent again. Engines
        deduplicate orders by id. The order is abandoned only if the target
        rejects any delayed copy of it.
    """
    if evidence.incarnation != incarnation:
        return _WAIT
    match evidence.state:
        case OrderState.pending:
            return _WAIT
        case OrderState.done:
            return NextStep(Step.settle, Outcome.done)
        case OrderState.failed:
            return NextStep(Step.settle, Outcome.failed)
    is_fenced = evidence.checks_fencing and evidence.fencing > order_fencing
    return NextStep(Step.settle, Outcome.fenced) if is_fenced else _SEND
