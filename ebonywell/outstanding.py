"""What to do about an order that has no outcome yet. Pure decisions."""

import enum
from dataclasses import dataclass

from .orders import Outcome


class OrderState(enum.StrEnum):
    """What an engine says of an order's id."""

    unknown = 'unknown'
    pending = 'pending'
    done = 'done'
    failed = 'failed'


class Step(enum.StrEnum):
    """What the lease's holder does next about an order."""

    wait = 'wait'
    send = 'send'
    settle = 'settle'


@dataclass(slots=True, frozen=True)
class Evidence:
    """What one connection to an engine has shown, in this order.

    Attributes
    ----------
    incarnation : str
    checks_fencing : bool
    fencing : int
        The largest fencing number that the engine had acknowledged.
    state : OrderState
        Asked for after the report with the three above had been read.
    """

    incarnation: str
    checks_fencing: bool
    fencing: int
    state: OrderState


@dataclass(slots=True, frozen=True)
class NextStep:
    """A step, with the outcome if it is to settle."""

    step: Step
    outcome: Outcome | None = None


_WAIT = NextStep(Step.wait)
_SEND = NextStep(Step.send)


def next_step(
    incarnation: str,
    intended_under: int,
    evidence: Evidence,
) -> NextStep:
    """Decide about an order that the log holds as unsettled.

    Parameters
    ----------
    incarnation : str
        The life of the target that the order is meant for.
    intended_under : int
        The fencing number under which the order was intended. Every copy of
        it carries this number, whoever sends it.
    evidence : Evidence

    Returns
    -------
    NextStep
        An order that the engine does not know is sent again; with the same
        id it is still one order. It is given up only on a target that refuses
        any late copy of it.
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
    is_fenced = evidence.checks_fencing and evidence.fencing > intended_under
    return NextStep(Step.settle, Outcome.fenced) if is_fenced else _SEND
