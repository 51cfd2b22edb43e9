"""Stand-in for an engine: serving, reports, orders and cache events."""

import anyio
import cyclopts
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from .engine_cache import PrefixCache
from .engine_chat import QUEUE_LIMIT, Chat
from .engine_memory import Memory
from .engine_orders import Orders
from .engine_slots import RequestSlots
from .standin_common import address_of, answer, bind, serve
from .standin_target import Identity, TargetState, register

app = cyclopts.App()


class Engine:
    """Simulated engine.

    Attributes
    ----------
    state : TargetState
    memory : Memory
    orders : Orders
    chat : Chat
    report_lag_s : float
        The maximum age of the load in a report, in seconds.
    load : dict of str to int
        The load that reports show.
    """

    def __init__(
        self,
        state: TargetState,
        memory: Memory,
        orders: Orders,
        chat: Chat,
        report_lag_s: float,
    ) -> None:
        self.state = state
        self.memory = memory
        self.orders = orders
        self.chat = chat
        self.report_lag_s = report_lag_s
        self.load = {'running': 0, 'queue_depth': 0}

    async def refresh_load(self) -> None:
        """Update the load that reports show, once per report lag."""
        while True:
            self.load = {
                'running': self.chat.request_slots.running,
                'queue_depth': len(self.chat.request_slots.queue),
            }
            await anyio.sleep(max(self.report_lag_s, 0.01))

    async def report(self, request: Request) -> Response:
        """Answer ``GET /report``."""
        identity = self.state.identity
        faults = self.state.faults
        return answer(
            {
                'name': identity.name,
                'incarnation': identity.incarnation,
                'role': self.orders.role,
                'zone': identity.zone,
                'memory_bytes': self.memory.size_bytes,
                'used_bytes': self.memory.used_bytes(),
                'checks_fencing': self.orders.checks_fencing,
                'fencing': self.orders.fencing,
                'draining': faults.is_set('draining'),
                'max_running': self.chat.request_slots.max_running,
                'models': self.memory.report_models(),
                **self.load,
                **faults.by_name.get('lying_report', {}),
            }
        )


@app.default
def main(
    *,
    name: str,
    listen: str = '127.0.0.1:0',
    zone: str = 'z1',
    host_list_url: str = '',
    weights_url: str = '',
    memory_bytes: int = 100,
    token_ms: float = 5,
    max_running: int = 16,
    checks_fencing: bool = True,
    report_lag_s: float = 0.2,
    prefill_ms: float = 0,
    cache_prefixes: int = 64,
    cache_lag_s: float = 0.5,
) -> None:
    """Run the stand-in until SIGTERM.

    Parameters
    ----------
    name
        The target's name in the host list.
    listen
        The ip:port to listen on.
    zone
        The target's availability zone.
    host_list_url
        The host list where the target registers; empty to not register.
    weights_url
        The URL of the weight store; if empty, loads take no time.
    memory_bytes
        The size of the accelerator memory, in bytes.
    token_ms
        The time between two tokens, in milliseconds.
    max_running
        The maximum number of calls that run concurrently.
    checks_fencing
        Whether orders with a stale fencing number are rejected.
    report_lag_s
        The maximum age of the load in a report, in seconds.
    prefill_ms
        The time before the first token if the prefix of the prompt is not
        cached, in milliseconds.
    cache_prefixes
        The maximum number of cached prompt prefixes.
    cache_lag_s
        The delay before a cache event is published, in seconds.
    """
    state = TargetState(Identity(name, 'engine', zone))
    memory = Memory(memory_bytes)
    engine = Engine(
        state,
        memory,
        Orders(state, memory, weights_url, checks_fencing),
        Chat(
            state,
            memory,
            RequestSlots(max_running, QUEUE_LIMIT),
            PrefixCache(cache_prefixes, cache_lag_s),
            token_ms / 1000,
            prefill_ms / 1000,
        ),
        report_lag_s,
    )
    anyio.run(_run, engine, listen, host_list_url)


async def _run(engine: Engine, listen: str, host_list_url: str) -> None:
    routes = [
        Route('/report', engine.report),
        Route('/orders', engine.orders.post, methods=['POST']),
        Route('/orders/{order_id}', engine.orders.get),
        Route('/cache-events', engine.chat.cache_events),
        Route('/journal', engine.state.journal.get),
        Route('/v1/chat/completions', engine.chat.post, methods=['POST']),
        *engine.state.faults.routes(),
    ]
    bound = bind(listen)
    identity = engine.state.identity
    await register(host_list_url, identity, address_of(bound))
    async with anyio.create_task_group() as group:
        group.start_soon(engine.refresh_load)
        group.start_soon(engine.orders.run)
        await serve(Starlette(routes=routes), bound)
        group.cancel_scope.cancel()


if __name__ == '__main__':
    app()
