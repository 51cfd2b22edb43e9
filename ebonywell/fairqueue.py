"""Weighted fair queueing among workspaces, interactive before batch."""

import collections
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Generic, TypeVar

BATCH_SHARE = 0.05
MAX_WAITING = 4096
MAX_WAITING_PER_WORKSPACE = 512


@dataclass(slots=True, eq=False)
class QueuedCall:
    """A request that waits for a slot.

    Attributes
    ----------
    workspace : str
    weight : float
        The workspace's weight; its service is proportional to it.
    entry : str
        The catalogue entry that is requested.
    is_batch : bool
    cost : float
        The tokens that are reserved for the request.
    """

    workspace: str
    weight: float
    entry: str
    is_batch: bool
    cost: float


_Call = TypeVar('_Call', bound=QueuedCall)


@dataclass(slots=True)
class Flow(Generic[_Call]):
    """The queued requests of one workspace in one service class.

    Attributes
    ----------
    service : float
        Normalized service: tokens served, divided by the workspace's weight.
        When a workspace becomes backlogged, its service is raised to the
        virtual time, so that it gets no credit for the time it was idle.
    queues : dict of str to deque of QueuedCall
        Keyed by entry, so that a request waits only behind requests for the
        same entry.
    """

    service: float = 0
    queues: dict[str, collections.deque[_Call]] = field(default_factory=dict)

    def heads(self) -> list[_Call]:
        """Return the first request of each queue."""
        return [queue[0] for queue in self.queues.values()]


@dataclass(slots=True)
class ClassQueue(Generic[_Call]):
    """Weighted fair queue of one service class.

    In any interval in which two workspaces are continuously backlogged for
    the same targets, the services that they receive, in tokens divided by
    weight, differ by at most the sum of their largest requests divided by
    weight.

    Attributes
    ----------
    flows : dict of str to Flow
        Keyed by workspace.
    virtual_time : float
        The largest service that a flow had when it was last served.
    """

    flows: dict[str, Flow[_Call]] = field(default_factory=dict)
    virtual_time: float = 0

    def push(self, waiting: _Call) -> None:
        """Append a request to the queue of its workspace and entry."""
        flow = self.flows.setdefault(waiting.workspace, Flow())
        if not flow.queues:
            flow.service = max(flow.service, self.virtual_time)
        queue = flow.queues.setdefault(waiting.entry, collections.deque())
        queue.append(waiting)

    def order(self) -> Iterator[_Call]:
        """Yield the heads of all queues, least served workspace first."""
        waiting = [flow for flow in self.flows.values() if flow.queues]
        for flow in sorted(waiting, key=lambda one: one.service):
            yield from flow.heads()

    def serve(self, served: _Call) -> None:
        """Remove a request that `order` yielded and charge its workspace."""
        flow = self.flows[served.workspace]
        self.virtual_time = max(self.virtual_time, flow.service)
        flow.service += served.cost / served.weight
        self.drop(served)

    def drop(self, dropped: _Call) -> None:
        """Remove a request that is no longer waiting."""
        flow = self.flows[dropped.workspace]
        queue = flow.queues[dropped.entry]
        queue.remove(dropped)
        if not queue:
            flow.queues.pop(dropped.entry)
        self._forget_idle()

    def count(self, workspace: str) -> int:
        """Return the number of queued requests of a workspace."""
        flow = self.flows.get(workspace)
        if flow is None:
            return 0
        return sum(len(queue) for queue in flow.queues.values())

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
    """All queued requests of this process.

    Attributes
    ----------
    interactive : ClassQueue
    batch : ClassQueue
    batch_credit : float
        Tokens of batch requests that may be served before interactive ones.
    size : int
        The number of queued requests.
    backlog : dict of (str, bool) to float
        Queued tokens by entry and whether they belong to batch requests.
    """

    interactive: ClassQueue[_Call] = field(default_factory=ClassQueue)
    batch: ClassQueue[_Call] = field(default_factory=ClassQueue)
    batch_credit: float = 0
    size: int = 0
    backlog: dict[tuple[str, bool], float] = field(default_factory=dict)

    def push(self, waiting: _Call) -> bool:
        """Add a request and return whether the queue had room for it."""
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
        """Remove and return the next request that can get a slot.

        Parameters
        ----------
        place : callable
            Assigns a slot to a request; returns False if none is free.
        """
        for waiting in self._order():
            if place(waiting):
                self._credit_batch(waiting)
                self._class_of(waiting).serve(waiting)
                self._count(waiting, -1)
                return waiting
        return None

    def drop(self, waiting: _Call) -> None:
        """Remove a request that is no longer waiting."""
        self._class_of(waiting).drop(waiting)
        self._count(waiting, -1)

    def work_ahead(self, waiting: _Call) -> float:
        """Return an estimate of the tokens that are served before a request.

        An interactive request waits behind interactive requests for the same
        entry, a batch request also behind batch requests. The backlog of
        other workspaces counts up to their fair share only.
        """
        interactive = self.backlog.get((waiting.entry, False), 0)
        if not waiting.is_batch:
            return self._fair_share_ahead(waiting, interactive)
        batch = self.backlog.get((waiting.entry, True), 0)
        return interactive + self._fair_share_ahead(waiting, batch)

    def _fair_share_ahead(self, waiting: _Call, backlog: float) -> float:
        fair = self._class_of(waiting)
        flow = fair.flows.get(waiting.workspace)
        queue = () if flow is None else flow.queues.get(waiting.entry, ())
        own = sum(one.cost for one in queue)
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
        key = (waiting.entry, waiting.is_batch)
        left = self.backlog.get(key, 0) + sign * waiting.cost
        if left > 0:
            self.backlog[key] = left
        else:
            self.backlog.pop(key, None)
