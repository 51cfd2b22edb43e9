"""Stands in for the platform's replicas: model engines and plain services."""

import json
import math
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import SocketStream

from .standin_http import HttpRequest, Reply, serve_http

MS_PER_S = 1000
# Headers in which a caller asks for how long a run works before it answers,
# and for how many events of a stream in which distance.
WORK_HEADER = 'work-s'
EVENT_COUNT_HEADER = 'event-count'
EVENT_INTERVAL_HEADER = 'event-gap-s'
AnswerOverride = Callable[[HttpRequest], Awaitable[Reply | None]]


@dataclass
class Replica:
    """One replica.

    Attributes
    ----------
    name : str
        Its id.
    service : str
    models : dict of str to set of str
        Adapters by model; None for plain services.
    slots : int
    events : int
        Of a stream.
    behave : callable or None
        Answers requests in its place.
    ran : Counter
        How often each request ran here.
    runs : list of (float, HttpRequest)
        When each run began.
    ends : dict of int to float
        When runs ended, by their place in `runs`.
    broken : set of str
        Requests that it broke off itself.
    is_down : bool
        Whether it ends each connection as soon as something comes on it.
    idle_s : float
        After which it drops an idle connection without notice.
    connections : set of CancelScope
        Of its open connections.
    seen : list of HttpRequest
    orders : list of dict
        That it accepted.
    in_use : Counter
        Streams that run now, by ``model/adapter``.
    overfull : bool
        Whether an order once asked for more than it holds.
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
    broken: set[str] = field(default_factory=set)
    is_down: bool = False
    idle_s: float = math.inf
    connections: set[anyio.CancelScope] = field(default_factory=set)
    seen: list[HttpRequest] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    fence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * MS_PER_S))
    in_use: Counter[str] = field(default_factory=Counter)
    overfull: bool = False

    def entry(self, state: str = 'ready') -> dict[str, Any]:
        """Return what it writes into the store."""
        held = self._list_models()
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'state': state,
            'slots': self.slots,
            'born': self.born,
            'seq': int(time.time()),
            'models': held,
            'atHand': {'inMemory': [], 'onDisk': list(self.sizes)},
        }

    async def answer_call(self, request: HttpRequest) -> Reply | None:
        """Answer one request."""
        if request.path == '/report':
            return Reply.json(self._report())
        if request.path == '/order':
            return self._apply_order(json.loads(request.body))
        self.seen.append(request)
        if request.headers.get('expect-instance', self.name) != self.name:
            return Reply(421, headers={'Instance-Id': self.name})
        if not self._has_loaded(request.headers.get('model', '')):
            return Reply(421, headers={'Instance-Id': self.name})
        if self.behave is None:
            return self.run(request)
        reply = await self.behave(request)
        if reply and (reply.raw or reply.cut_after is not None):
            self.broken.add(request.headers['request-id'])
        return reply

    def run(self, request: HttpRequest) -> Reply:
        """Run a request and return its answer."""
        request_id = request.headers['request-id']
        self.ran[request_id] += 1
        self.runs.append((time.monotonic(), request))
        named = request.headers.get('model', '')
        self.in_use[named] += 1
        place = len(self.runs) - 1

        def end() -> None:
            self.in_use[named] -= 1
            self.ends[place] = time.monotonic()

        headers = {'Request-Id': request_id, 'Response-Seal': self.name}
        delay_s = float(request.headers.get(WORK_HEADER, '0'))
        if not named:
            return Reply(200, b'done', headers, on_end=end, delay_s=delay_s)
        first = int(request.headers.get('last-event-id', '0'))
        count = int(request.headers.get(EVENT_COUNT_HEADER, self.events))
        events = tuple(
            b'id: %d\ndata: token\n\n' % number
            for number in range(first + 1, count + 1)
        )
        return Reply(
            200,
            headers=headers,
            events=events,
            gap_s=float(request.headers.get(EVENT_INTERVAL_HEADER, self.gap_s)),
            on_end=end,
            delay_s=delay_s,
        )

    def crash(self) -> None:
        """Break all connections off."""
        self.is_down = True
        self.broken.update(
            request.headers['request-id']
            for place, (_, request) in enumerate(self.runs)
            if place not in self.ends
        )
        for scope in self.connections:
            scope.cancel()

    def _has_loaded(self, named: str) -> bool:
        model, _, adapter = named.partition('/')
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
                # It goes when its last request ends, which is not played.
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
        adapters = sum(len(held) for held in self.models.values())
        if used > self.weight_bytes or adapters > self.adapter_slots:
            self.overfull = True
        return Reply(202)


async def serve_replica(replica: Replica, stream: SocketStream) -> None:
    """Serve one connection to a replica."""
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
) -> str:
    """Serve connections on a free port of the loopback; return ip:port."""
    listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    group.start_soon(listener.serve, handler)
    return f'127.0.0.1:{port}'
