"""Weighted fair queueing among workspaces, interactive calls before batch."""

import collections
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

BATCH_SHARE = 0.05
MAX_WAITING = 4096
MAX_WAITING_PER_WORKSPACE = 512


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A call that waits for a slot.

    Attributes
    ----------
    workspace : str
    weight : float
        The workspace's share.
    entry : str
    is_batch : bool
    cost : float
        In tokens.
    """

    workspace: str
    weight: float
    entry: str
    is_batch: bool
    cost: float


_Call = TypeVar('_Call', bound=QueuedCall)


@dataclass(slots=True)
class Flow(Generic[_Call]):
    """What waits of one workspace in one class.

    Attributes
    ----------
    service : float
        Tokens served, divided by the workspace's weight; raised to that of
        the others when the workspace begins to wait.
    queues : dict of str to deque of QueuedCall
        By entry, so that a call waits only for calls of its own entry.
    """

    service: float = 0
    queues: dict[str, collections.deque[_Call]] = field(default_factory=dict)

    def heads(self) -> list[_Call]:
        """Return the first call of each lane."""
        return [lane[0] for lane in self.queues.values()]


@dataclass(slots=True)
class ClassQueue(Generic[_Call]):
    """The flows of one class.

    In any interval in which two workspaces wait all the time for the same
    targets, their services, in tokens by weight, differ by at most the sum
    of their largest calls by weight.

    Attributes
    ----------
    flows : dict of str to Flow
        By workspace.
    virtual_time : float
        The service of the flow that was served last, before that.
    """

    flows: dict[str, Flow[_Call]] = field(default_factory=dict)
    virtual_time: float = 0

    def push(self, waiting: _Call) -> None:
        """Add a call at the end of its lane."""
        flow = self.flows.setdefault(waiting.workspace, Flow())
        if not flow.queues:
            flow.service = max(flow.service, self.virtual_time)
        lane = flow.queues.setdefault(waiting.entry, collections.deque())
        lane.append(waiting)

    def order(self) -> Iterator[_Call]:
        """Yield the calls that may be served next, the fairest first."""
        waiting = [flow for flow in self.flows.values() if flow.queues]
        for flow in sorted(waiting, key=lambda one: one.service):
            yield from flow.heads()

    def serve(self, served: _Call) -> None:
        """Take out a call that `order` gave, and charge its workspace."""
        flow = self.flows[served.workspace]
        self.virtual_time = max(self.virtual_time, flow.service)
        flow.service += served.cost / served.weight
        self.drop(served)

    def drop(self, dropped: _Call) -> None:
        """Take out a call that is given up."""
        flow = self.flows[dropped.workspace]
        lane = flow.queues[dropped.entry]
        lane.remove(dropped)
        if not lane:
            flow.queues.pop(dropped.entry)
        self._forget_idle()

    def count(self, workspace: str) -> int:
        """Return how many calls of a workspace wait."""
        flow = self.flows.get(workspace)
        if flow is None:
            return 0
        return sum(len(lane) for lane in flow.queues.values())

    def _forget_idle(self) -> None:
        idle = [
            name
            for name, flow in self.flows.items()
            if not flow.queues and flow.service <= self.virtual_time
        ]
        for name in idle:
            self.flows.pop(name)


@dataclass(slots=True)
class FairQueue(Generic[_Call]):
    """All calls that wait in this process.

    Attributes
    ----------
    interactive : ClassQueue
    batch : ClassQueue
    batch_credit : float
        Tokens that batch calls may take before interactive ones.
    size : int
    backlog : dict of (str, bool) to float
        Tokens that wait, by entry and whether they are batch.
    """

    interactive: ClassQueue[_Call] = field(default_factory=ClassQueue)
    batch: ClassQueue[_Call] = field(default_factory=ClassQueue)
    batch_credit: float = 0
    size: int = 0
    backlog: dict[tuple[str, bool], float] = field(default_factory=dict)

    def push(self, waiting: _Call) -> bool:
        """Add a call, and say whether there was room for it."""
        fair = self._class_of(waiting)
        is_full = self.size >= MAX_WAITING
        if (
            is_full
            or fair.count(waiting.workspace) >= MAX_WAITING_PER_WORKSPACE
        ):
            return False
        fair.push(waiting)
        self._count(waiting, 1)
        return True

    def pop(self, place: Callable[[_Call], bool]) -> _Call | None:
        """Take out the next call that can be placed.

        Parameters
        ----------
        place : callable
            Gives a call a slot, or returns False.
        """
        for waiting in self._order():
            if place(waiting):
                self._credit_batch(waiting)
                self._class_of(waiting).serve(waiting)
                self._count(waiting, -1)
                return waiting
        return None

    def drop(self, waiting: _Call) -> None:
        """Take out a call that is given up."""
        self._class_of(waiting).drop(waiting)
        self._count(waiting, -1)

    def work_ahead(self, waiting: _Call) -> float:
        """Return about how many tokens are served before a call.

        Interactive calls wait for those of their entry only, batch calls for
        both. Of the other workspaces no more counts than their fair share.
        """
        interactive = self.backlog.get((waiting.entry, False), 0)
        if not waiting.is_batch:
            return self._fair_share_ahead(waiting, interactive)
        batch = self.backlog.get((waiting.entry, True), 0)
        return interactive + self._fair_share_ahead(waiting, batch)

    def _fair_share_ahead(self, waiting: _Call, backlog: float) -> float:
        fair = self._class_of(waiting)
        flow = fair.flows.get(waiting.workspace)
        lane = () if flow is None else flow.queues.get(waiting.entry, ())
        own = sum(one.cost for one in lane)
        weights = {
            head.workspace: head.weight
            for head in fair.order()
            if head.entry == waiting.entry
        }
        weights.pop(waiting.workspace, None)
        others = (own + waiting.cost) * sum(weights.values()) / waiting.weight
        return own + min(backlog - own, others)

    def _order(self) -> Iterator[_Call]:
        first_batch = next(self.batch.order(), None)
        if first_batch is not None and self.batch_credit >= first_batch.cost:
            yield from self.batch.order()
        yield from self.interactive.order()
        yield from self.batch.order()

    def _credit_batch(self, served: _Call) -> None:
        if served.is_batch:
            self.batch_credit = max(0, self.batch_credit - served.cost)
        elif self.batch.flows:
            self.batch_credit += served.cost * BATCH_SHARE
        else:
            self.batch_credit = 0

    def _class_of(self, waiting: _Call) -> ClassQueue[_Call]:
        return self.batch if waiting.is_batch else self.interactive

    def _count(self, waiting: _Call, sign: int) -> None:
        self.size += sign
        lane = (waiting.entry, waiting.is_batch)
        left = self.backlog.get(lane, 0) + sign * waiting.cost
        if left > 0:
            self.backlog[lane] = left
        else:
            self.backlog.pop(lane, None)
