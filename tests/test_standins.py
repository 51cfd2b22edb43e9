"""The stand-ins keep the rules that the tests of ebonywell rely on."""

import functools
import random

import anyio
import msgspec
import pytest
from starlette.requests import Request
from trio.testing import MockClock

from lab.engine_answers import expected_words
from lab.engine_cache import PrefixCache
from lab.engine_chat import Chat
from lab.engine_memory import Memory, Resident
from lab.engine_orders import Order, Orders
from lab.engine_slots import RequestSlots
from lab.standin_common import Faults
from lab.standin_hosts import HostList
from lab.standin_log import LogService
from lab.standin_service import PlainService
from lab.standin_target import Identity, TargetState
from lab.standin_weights import WeightStore

MEMORY_BYTES = 100


def request(method='GET', query='', body=None, **path_params):
    """Make a request as starlette hands it to an endpoint."""
    sent = {'type': 'http.request', 'body': msgspec.json.encode(body)}

    async def receive():
        return sent

    scope = {
        'type': 'http',
        'method': method,
        'path': '/x',
        'query_string': query.encode(),
        'headers': [],
        'path_params': path_params,
        'server': ('127.0.0.1', 1),
        'scheme': 'http',
    }
    return Request(scope, receive)


def read(response):
    """Return an answer's status and parsed body."""
    return response.status_code, msgspec.json.decode(response.body)


@pytest.fixture
def run():
    """Run a story under a virtual clock."""
    return functools.partial(
        anyio.run,
        backend='trio',
        backend_options={'clock': MockClock(autojump_threshold=0)},
    )


@pytest.fixture
def state():
    """Make the shared part of an engine."""
    return TargetState(Identity('engine-1', 'engine', 'zone-a'))


def test_log_keeps_all_or_none_and_loses_only_the_reply(run):
    log = LogService(retention_s=3600, appends_a_second=2, allowance=2)

    async def story():
        status, first = read(await log.append(request(body={'records': [1]})))
        assert (status, first) == (200, {'first_offset': 0})
        log.faults.by_name['lose_reply'] = {'count': 1}
        await log.append(request(body={'records': [2, 3]}))
        assert log.end_offset == 3
        status, _ = read(await log.append(request(body={'records': [4]})))
        assert status == 429
        log.faults.by_name['outage'] = {}
        assert read(await log.append(request(body={'records': [5]})))[0] == 503
        assert read(await log.read(request(query='offset=0')))[0] == 503
        log.faults.by_name.clear()
        _, page = read(await log.read(request(query='offset=1&limit=1')))
        assert page['records'] == [{'offset': 1, 'record': 2}]
        log.faults.by_name['expire'] = {'before': 2}
        status, gap = read(await log.read(request(query='offset=0')))
        assert (status, gap['first_offset']) == (410, 2)

    run(story)


def test_host_list_lags():
    hosts = HostList()

    async def story():
        await hosts.put(request('PUT', body={'name': 'a'}, name='a'))
        assert read(await hosts.get(request()))[1] == {'hosts': [{'name': 'a'}]}
        hosts.faults.by_name['lag'] = {'seconds': 60}
        assert read(await hosts.get(request()))[1] == {'hosts': []}

    anyio.run(story)


@pytest.mark.parametrize(
    ('fault', 'status', 'runs', 'received'),
    [
        ('draining', 503, 0, 0),
        ('cut_before_run', None, 0, 0),
        ('cut_after_run', None, 1, 1),
        ('none', 200, 1, 1),
    ],
)
def test_service_says_truly_what_ran(run, fault, status, runs, received):
    service = PlainService(Identity('orders-1', 'service', 'zone-a'))
    service.state.faults.by_name[fault] = {'count': 1}

    async def story():
        answer = await service.call(request('POST', body={'coil': 1}))
        if status is not None:
            assert answer.status_code == status
            assert ('x-not-run' in answer.headers) == (fault == 'draining')
        assert service.runs == runs
        assert len(service.state.journal.lines) == received

    run(story)


@pytest.mark.parametrize('checks', [True, False])
def test_engine_refuses_old_fencing_only_where_it_checks(state, checks):
    orders = Orders(state, Memory(MEMORY_BYTES), '', checks)

    async def story():
        newer = Order('a', 7, 'load', 'quote', 10)
        older = Order('b', 6, 'load', 'reconcile', 10)
        statuses = [
            (await orders.post(request(body=order))).status_code
            for order in (newer, newer, older)
        ]
        assert statuses[:2] == [200, 200]
        assert (statuses[2] == 409) == checks

    anyio.run(story)


@pytest.mark.parametrize('seed', range(5))
def test_engine_never_exceeds_its_memory(run, state, seed):
    memory = Memory(MEMORY_BYTES)
    orders = Orders(state, memory, '', checks_fencing=False)
    chance = random.Random(seed)
    state.faults.by_name['double_orders'] = {}

    async def story():
        async with anyio.create_task_group() as group:
            group.start_soon(orders.run)
            for number in range(200):
                order = Order(
                    f'o{number}',
                    0,
                    chance.choice(
                        ['load', 'unload', 'load_adapter', 'unload_adapter'],
                    ),
                    chance.choice('abcd'),
                    chance.randint(1, 40),
                    chance.choice('xyz'),
                )
                answer = await orders.post(request(body=order))
                assert answer.status_code in {200, 507}
                assert memory.used_bytes() <= MEMORY_BYTES
                await anyio.sleep(chance.choice([0, 0, 0.01]))
            await anyio.sleep(1)
            assert set(orders.states.values()) <= {'done', 'failed'}
            group.cancel_scope.cancel()

    run(story)


def test_engine_lets_lower_priorities_go_first(run, state):
    memory = Memory(MEMORY_BYTES, {'quote': Resident(10, 'ready')})
    chat = Chat(
        state, memory, RequestSlots(1, 9), PrefixCache(9, 0), token_s=0.01
    )
    ended = []

    async def ask(name, priority):
        body = {
            'model': 'quote',
            'messages': [{'role': 'user', 'content': name}],
            'max_tokens': 2,
        }
        asked = request('POST', body=body)
        asked.scope['headers'] = [
            (b'x-ebonywell-priority', str(priority).encode()),
        ]
        _, answer = read(await chat.post(asked))
        text = answer['choices'][0]['message']['content']
        assert text == ''.join(expected_words('quote', name, 2))
        ended.append(name)

    async def story():
        async with anyio.create_task_group() as group:
            for name, priority in (('a', 0), ('b', 10), ('c', 0)):
                group.start_soon(ask, name, priority)
                await anyio.sleep(0.001)

    run(story)
    assert ended == ['a', 'c', 'b']


def test_weight_store_begins_only_so_many_loads_a_second(run):
    store = WeightStore(2.5, 3, 0.4)

    async def story():
        begun = anyio.current_time()
        async with anyio.create_task_group() as group:
            for _ in range(10):
                group.start_soon(store.get, request(model='quote'))
        # Ten starts at 2.5 a second, by the virtual clock.
        assert anyio.current_time() - begun >= 4

    run(story)


def test_a_fault_with_a_count_is_used_up():
    faults = Faults({'hang': {'count': 2}, 'outage': {}})
    assert [faults.consume('hang') for _ in range(3)] == [True, True, False]
    assert all(faults.consume('outage') for _ in range(3))
