"""Accepts and executes the orders of the engine stand-in."""

import math
from collections.abc import Awaitable, Callable

import anyio
import httpcore
import msgspec
from starlette.requests import Request
from starlette.responses import Response

from .engine_memory import Memory, Resident
from .standin_common import answer, failure
from .standin_target import TargetState

_NOT_FOUND = 404
_CONFLICT = 409
_NO_MEMORY = 507
_OK = 200
_FETCH_TIMEOUT_S = 600.0
_POLL_INTERVAL_S = 0.01


class Order(msgspec.Struct):
    """Order from the lease holder."""

    order_id: str
    fencing: int
    action: str
    model: str = ''
    bytes: int = 0
    adapter: str = ''
    role: str = ''
    version: str = ''


class Orders:
    """Accepts each order once and executes it.

    Attributes
    ----------
    states : dict of str to str
        ``pending``, ``done`` or ``failed`` by order id.
    fencing : int
        The largest fencing number received.
    """

    def __init__(
        self,
        state: TargetState,
        memory: Memory,
        weights_url: str,
        checks_fencing: bool,
    ) -> None:
        self.target = state
        self.memory = memory
        self.weights_url = weights_url
        self.checks_fencing = checks_fencing
        self.fencing = 0
        self.role = 'engine'
        self.states: dict[str, str] = {}
        sender, receiver = anyio.create_memory_object_stream[Order](math.inf)
        self.order_sender = sender
        self.order_receiver = receiver

    async def run(self) -> None:
        """Execute accepted orders until cancelled."""
        async with anyio.create_task_group() as group:
            async for order in self.order_receiver:
                group.start_soon(self._execute, order)

    async def post(self, request: Request) -> Response:
        """Answer ``POST /orders``."""
        order = msgspec.json.decode(await request.body(), type=Order)
        if self.target.faults.consume('drop_orders'):
            await anyio.sleep_forever()
        delay_s = self.target.faults.field('delay_orders', 'seconds', 0)
        if self.target.faults.consume('delay_orders'):
            await anyio.sleep(delay_s)
        if self.target.faults.consume('double_orders'):
            self._accept(order)
        return self._accept(order)

    async def get(self, request: Request) -> Response:
        """Answer ``GET /orders/{order_id}``."""
        order_id = request.path_params['order_id']
        state = self.states.get(order_id)
        if state is None:
            return failure(_NOT_FOUND, 'unknown_order')
        return answer({'order_id': order_id, 'state': state})

    def _accept(self, order: Order) -> Response:
        accepted = answer({'order_id': order.order_id, 'accepted': True})
        if order.order_id in self.states:
            return accepted
        if self.checks_fencing and order.fencing < self.fencing:
            return failure(_CONFLICT, 'stale_fencing')
        self.fencing = max(self.fencing, order.fencing)
        if not self._reserve_memory(order):
            return failure(_NO_MEMORY, 'no_memory')
        self.states[order.order_id] = 'pending'
        self.order_sender.send_nowait(order)
        return accepted

    def _reserve_memory(self, order: Order) -> bool:
        resident = self.memory.models.get(order.model)
        if order.action == 'load' and resident is None:
            if not self.memory.has_room(order.bytes):
                return False
            self.memory.models[order.model] = Resident(order.bytes)
        if order.action == 'load_adapter' and resident is not None:
            return self._reserve_adapter(resident, order)
        return True

    def _reserve_adapter(self, resident: Resident, order: Order) -> bool:
        if order.adapter in {*resident.adapters, *resident.loading_adapters}:
            return True
        if not self.memory.has_room(order.bytes):
            return False
        resident.loading_adapters[order.adapter] = order.bytes
        return True

    async def _execute(self, order: Order) -> None:
        actions: dict[str, Callable[[Order], Awaitable[bool]]] = {
            'load': self._load,
            'unload': self._unload,
            'load_adapter': self._load_adapter,
            'unload_adapter': self._unload_adapter,
            'set_role': self._set_role,
        }
        is_done = order.action in actions and await actions[order.action](order)
        self.states[order.order_id] = 'done' if is_done else 'failed'

    async def _load(self, order: Order) -> bool:
        resident = self.memory.models.get(order.model)
        if resident is None:
            return False
        if resident.state != 'loading':
            return resident.state == 'ready'
        path = f'/weights/{order.model}?bytes={order.bytes}'
        if not await self._fetch(path):
            # Another order for the same model may have loaded it meanwhile.
            if resident.state == 'loading' and self._is_current(
                order, resident
            ):
                self.memory.models.pop(order.model)
            return False
        if resident.state == 'loading':
            resident.state = 'ready'
        return resident.state == 'ready'

    async def _fetch(self, path: str) -> bool:
        if not self.weights_url:
            return True
        timeout = {'read': _FETCH_TIMEOUT_S, 'connect': 1.0}
        try:
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request(
                    'GET',
                    f'{self.weights_url}{path}',
                    extensions={'timeout': timeout},
                )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return False
        return response.status == _OK

    async def _unload(self, order: Order) -> bool:
        resident = self.memory.models.get(order.model)
        if resident is None:
            return False
        while resident.state == 'loading' and self._is_current(order, resident):
            await anyio.sleep(_POLL_INTERVAL_S)
        resident.state = 'unloading'
        # The memory is released only after the last request on the model ends.
        while resident.running:
            await anyio.sleep(_POLL_INTERVAL_S)
        is_current = self._is_current(order, resident)
        if is_current:
            self.memory.models.pop(order.model)
        return is_current

    def _is_current(self, order: Order, resident: Resident) -> bool:
        return self.memory.models.get(order.model) is resident

    async def _load_adapter(self, order: Order) -> bool:
        resident = self.memory.models.get(order.model)
        if resident is None:
            return False
        if order.adapter in resident.adapters:
            return True
        path = f'/adapters/{order.adapter}?bytes={order.bytes}'
        is_fetched = await self._fetch(path)
        size = resident.loading_adapters.pop(order.adapter, None)
        if not is_fetched or size is None:
            return False
        resident.adapters[order.adapter] = size
        return True

    async def _unload_adapter(self, order: Order) -> bool:
        resident = self.memory.models.get(order.model)
        if resident is None:
            return False
        return resident.adapters.pop(order.adapter, None) is not None

    async def _set_role(self, order: Order) -> bool:
        self.role = order.role
        return True
