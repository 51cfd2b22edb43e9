"""Stand-ins for the platform's replicas: model engines and plain services."""

import json
import math
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from typing import Any

import anyio
from anyio.abc import SocketStream

from .standin_http import HttpRequest, Reply, serve_http

MS_PER_S = 1000
# Headers with which a caller sets the time before an answer, the number of
# events in a stream, and the interval between them.
WORK_HEADER = 'work-s'
EVENT_COUNT_HEADER = 'event-count'
EVENT_INTERVAL_HEADER = 'event-gap-s'
AnswerOverride = Callable[[HttpRequest], Awaitable[Reply | None]]


@dataclass
class Replica:
    """One replica, which records what it runs.

    Attributes
    ----------
    name : str
        The replica's id.
    service : str
    models : dict of str to set of str
        Loaded adapters by model; None for plain services.
    weight_bytes : int
        Size of its memory for weights, in the unit of `sizes`.
    sizes : dict of str to int
        Size of each model's weights.
    adapter_slots : int
    slots : int
    events : int
        Number of events in a stream.
    gap_s : float
        Interval between the events of a stream.
    behave : callable or None
        Answers requests instead of `run`.
    ran : Counter
        Number of runs by request id.
    runs : list of (float, HttpRequest)
        Start time and request of each run.
    ends : dict of int to float
        When runs ended, by their index in `runs`.
    broken_off_ids : set of str
        Ids of requests whose connection it broke off.
    is_down : bool
        Whether it closes each new connection.
    idle_s : float
        Time after which it drops an idle connection without notice.
    connections : set of CancelScope
        Scopes of its open connections.
    seen : list of HttpRequest
        Received requests, without polls and orders.
    orders : list of dict
        Accepted orders.
    fence : int
        Largest fencing number of an order.
    born : int
        Incarnation: the start time in milliseconds.
    in_use : Counter
        Requests in flight by ``model/adapter``.
    overfull : bool
        Whether an order ever asked it to load more than fits.
    release : int
        Version of its software.
    stated_rate : str
        Requests per second that its answers state as its limit; empty for none.
    notices : dict of str to str
        Headers of all its answers to requests.
    arrivals : list of float
        Times of all requests, including polls and orders.
    """

    name: str
    service: str
    zone: str = 'z1'
    models: dict[str, set[str]] | None = None
    weight_bytes: int = 200
    sizes: dict[str, int] = field(default_factory=dict)
    adapter_slots: int = 2
    slots: int = 4
    events: int = 5
    gap_s: float = 0.01
    address: str = ''
    behave: AnswerOverride | None = None
    ran: Counter[str] = field(default_factory=Counter)
    runs: list[tuple[float, HttpRequest]] = field(default_factory=list)
    ends: dict[int, float] = field(default_factory=dict)
    broken_off_ids: set[str] = field(default_factory=set)
    is_down: bool = False
    idle_s: float = math.inf
    connections: set[anyio.CancelScope] = field(default_factory=set)
    seen: list[HttpRequest] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    fence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * MS_PER_S))
    in_use: Counter[str] = field(default_factory=Counter)
    overfull: bool = False
    release: int = 1
    stated_rate: str = ''
    notices: dict[str, str] = field(default_factory=dict)
    arrivals: list[float] = field(default_factory=list)

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return the record that the replica writes into the store."""
        models = self._list_models()
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'state': state,
            'slots': self.slots,
            'version': self.release,
            'born': self.born,
            'seq': int(time.time()),
            'models': models,
            'atHand': {'inMemory': [], 'onDisk': list(self.sizes)},
        }

    async def answer_call(self, request: HttpRequest) -> Reply | None:
        """Answer a request, a poll or an order."""
        self.arrivals.append(time.monotonic())
        reply = await self._answer(request)
        if reply is not None and self.stated_rate:
            headers = {**reply.headers, 'Server-Limit': self.stated_rate}
            reply = replace(reply, headers=headers)
        if reply is not None and self.notices:
            reply = replace(reply, headers={**reply.headers, **self.notices})
        return reply

    def run(self, request: HttpRequest) -> Reply:
        """Run a request and return its answer."""
        request_id = request.headers['request-id']
        self.ran[request_id] += 1
        self.runs.append((time.monotonic(), request))
        model_name = request.headers.get('model', '')
        self.in_use[model_name] += 1
        index = len(self.runs) - 1

        def end() -> None:
            self.in_use[model_name] -= 1
            self.ends[index] = time.monotonic()

        headers = {'Request-Id': request_id, 'Response-Seal': self.name}
        delay_s = float(request.headers.get(WORK_HEADER, '0'))
        if not model_name:
            return Reply(200, b'done', headers, on_end=end, delay_s=delay_s)
        first = int(request.headers.get('last-event-id', '0'))
        count = int(request.headers.get(EVENT_COUNT_HEADER, self.events))
        events = tuple(
            b'id: %d\ndata: release %d\n\n' % (number, self.release)
            for number in range(first + 1, count + 1)
        )
        return Reply(
            200,
            headers={**headers, 'Content-Type': 'text/event-stream'},
            events=events,
            gap_s=float(request.headers.get(EVENT_INTERVAL_HEADER, self.gap_s)),
            on_end=end,
            delay_s=delay_s,
        )

    def misdirect(self, request: HttpRequest) -> Reply:
        """Answer a request that this replica cannot run."""
        named = request.headers.get('request-id', '')
        return Reply(
            421, headers={'Request-Id': named, 'Instance-Id': self.name}
        )

    def crash(self) -> None:
        """Break off all connections, and reject new ones."""
        self.is_down = True
        self.broken_off_ids.update(
            request.headers['request-id']
            for index, (_, request) in enumerate(self.runs)
            if index not in self.ends
        )
        for scope in self.connections:
            scope.cancel()

    def restart(self) -> None:
        """Start a new incarnation, which holds the models of the first."""
        self.is_down = False
        self.born = int(time.time() * MS_PER_S)
        self.orders = []
        self.fence = 0
        self.in_use.clear()

    async def _answer(self, request: HttpRequest) -> Reply | None:
        if request.path == '/report':
            return Reply.json(self._report())
        if request.path == '/order':
            return self._apply_order(json.loads(request.body))
        self.seen.append(request)
        if request.headers.get('expect-instance', self.name) != self.name:
            return self.misdirect(request)
        if not self._has_loaded(request.headers.get('model', '')):
            return self.misdirect(request)
        if self.behave is None:
            return self.run(request)
        reply = await self.behave(request)
        if reply and (reply.raw or reply.cut_after is not None):
            self.broken_off_ids.add(request.headers['request-id'])
        return reply

    def _has_loaded(self, model_name: str) -> bool:
        model, _, adapter = model_name.partition('/')
        if not model or self.models is None:
            return True
        if model not in self.models:
            return False
        return not adapter or adapter in self.models[model]

    def _list_models(self) -> list[dict[str, Any]]:
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in (self.models or {}).items()
        ]

    def _report(self) -> dict[str, Any]:
        return {
            'seq': len(self.orders),
            'busy': False,
            'born': self.born,
            'models': self._list_models(),
            'coming': [],
        }

    def _apply_order(self, order: dict[str, Any]) -> Reply:
        if order['fence'] < self.fence:
            return Reply(412)
        self.fence = order['fence']
        if order.get('precondition', len(self.orders)) != len(self.orders):
            return Reply(409)
        assert self.models is not None
        model, adapter = order['model'], order.get('adapter')
        self.orders.append(order)
        if order['operation'] == 'unload':
            if adapter and self.in_use[f'{model}/{adapter}']:
                # Unloads when its last request ends, which is not simulated.
                return Reply(202)
            if adapter:
                self.models[model].discard(adapter)
                return Reply(200)
            self.models.pop(model, None)
            return Reply(202)
        if adapter:
            self.models[model].add(adapter)
        else:
            self.models[model] = set()
        used = sum(self.sizes[name] for name in self.models)
        adapters = sum(len(loaded) for loaded in self.models.values())
        if used > self.weight_bytes or adapters > self.adapter_slots:
            self.overfull = True
        return Reply(202)


async def serve_replica(replica: Replica, stream: SocketStream) -> None:
    """Serve one connection to a replica, until the replica crashes."""
    if replica.is_down:
        await stream.aclose()
        return
    with anyio.CancelScope() as scope:
        replica.connections.add(scope)
        try:
            await serve_http(
                stream, replica.answer_call, lambda: replica.idle_s
            )
        finally:
            replica.connections.discard(scope)


async def listen(
    handler: Callable[[SocketStream], Awaitable[None]],
    group: anyio.abc.TaskGroup,
    port: int = 0,
    scope: anyio.CancelScope | None = None,
) -> str:
    """Serve connections on a port on loopback; return ip:port.

    Port 0 means a free port. Cancelling `scope` closes the listening socket.
    """
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=port
    )
    bound_port = listener.extra(anyio.abc.SocketAttribute.local_port)

    async def serve() -> None:
        async with listener:
            with scope or anyio.CancelScope():
                await listener.serve(handler)

    group.start_soon(serve)
    return f'127.0.0.1:{bound_port}'
