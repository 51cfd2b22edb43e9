"""Streams that are resumed while targets of two releases serve."""

import signal
from dataclasses import replace

import anyio
import pytest

from lab.platform_world import events_of, run_scenario

HOSTS = ('host-1', 'host-2', 'host-3')
EVENTS = 5
CUT_AFTER = 2
# Time for hosts to read the targets' entries again.
ANNOUNCE_S = 1.3
# Longer than callers wait.
DOWN_S = 6.0


def announce(world, name, release, state='ready'):
    """Let a replica run other software from now on."""
    replica = world.replicas[name]
    replica.release = release
    world.store.put('keyed.servers', name, replica.entry(state))


def cut_streams(replica):
    """Make a replica break off each new stream after two events."""

    async def behave(request):
        if 'last-event-id' in request.headers:
            return replica.run(request)
        return replace(replica.run(request), cut_after=CUT_AFTER)

    replica.behave = behave


def resumed_at(world, request_id):
    """Return the replicas at which a stream went on, by what they ran."""
    return [
        replica.name
        for replica in world.replicas.values()
        for _, request in replica.runs
        if request.headers['request-id'] == request_id
        and 'last-event-id' in request.headers
    ]


async def begin_stream(world, host):
    """Return the id of a stream that its caller lost after two events."""
    answer = await world.chat(host, path='/batch/x')
    request_id = f'id-{world.ids}'
    assert events_of(answer.body)[:CUT_AFTER] == [1, 2]
    return request_id, answer


async def take_up(world, host, request_id):
    """Resume a stream after its second event; return answer and target."""
    answer = await world.chat(
        host, path='/batch/x', Last_Event_Id='2', Resumes=request_id
    )
    return answer, resumed_at(world, f'id-{world.ids}')


def test_a_host_resumes_a_stream_only_at_the_release_that_began_it(tmp_path):
    async def scenario(world):
        host = world.hosts['host-1']
        announce(world, 'pool-2', 2)
        await anyio.sleep(ANNOUNCE_S)
        for name in 'pool-1', 'pool-2':
            cut_streams(world.replicas[name])
        for _ in range(8):
            request_id, answer = await begin_stream(world, host)
            assert events_of(answer.body) == [1, 2]
            assert not answer.is_whole
            assert not resumed_at(world, request_id)

    run_scenario(tmp_path, scenario)


async def _begin_at_each(world, host):
    """Return streams that broke off, by the target that began them."""
    begun = {}
    for name in 'pool-1', 'pool-2':
        cut_streams(world.replicas[name])
    while len(begun) < 2:
        request_id, _ = await begin_stream(world, host)
        for name in 'pool-1', 'pool-2':
            ids = [
                one.headers['request-id']
                for _, one in world.replicas[name].runs
            ]
            if request_id in ids:
                begun[name] = request_id
    return begun


@pytest.mark.parametrize('killed', ['none', 'first', 'all'])
def test_a_caller_resumes_a_stream_only_at_the_release_that_began_it(
    tmp_path, killed
):
    async def scenario(world):
        announce(world, 'pool-2', 2)
        await anyio.sleep(ANNOUNCE_S)
        begun = await _begin_at_each(world, world.hosts['host-1'])
        ended = {'none': (), 'first': HOSTS[:1], 'all': HOSTS}[killed]
        for name in ended:
            world.hosts[name].process.send_signal(signal.SIGKILL)
            world.hosts[name].process.wait()
        if killed == 'all':
            for name in ended:
                world.launch(name)
            await world.wait_ready()
        host = world.hosts['host-2']
        for name, request_id in begun.items():
            answer, went_on_at = await take_up(world, host, request_id)
            assert went_on_at == [name]
            assert events_of(answer.body) == [3, 4, 5]
        # Only the other release is left.
        announce(world, 'pool-1', 1, 'draining')
        await anyio.sleep(ANNOUNCE_S)
        answer, went_on_at = await take_up(world, host, begun['pool-1'])
        assert answer.status == 503
        assert not went_on_at
        answer, went_on_at = await take_up(world, host, begun['pool-2'])
        assert went_on_at == ['pool-2']

    run_scenario(tmp_path, scenario, HOSTS)


def test_a_stream_goes_on_at_another_target_of_its_release(tmp_path):
    async def scenario(world):
        await world.add_replica('pool-3', 'pool', ['m1'])
        announce(world, 'pool-2', 2)
        announce(world, 'pool-3', 2)
        await anyio.sleep(ANNOUNCE_S)
        host = world.hosts['host-1']
        for name in 'pool-1', 'pool-2', 'pool-3':
            cut_streams(world.replicas[name])
        same = {'pool-1': [], 'pool-2': ['pool-3'], 'pool-3': ['pool-2']}
        for _ in range(12):
            request_id, _ = await begin_stream(world, host)
            began_at = next(
                name
                for name in same
                for _, one in world.replicas[name].runs
                if one.headers['request-id'] == request_id
                and 'last-event-id' not in one.headers
            )
            assert resumed_at(world, request_id) == same[began_at]

    # The retry budget must not end the test.
    run_scenario(tmp_path, scenario, budgetSlack=560)


def test_a_stream_goes_on_at_its_release_where_its_model_is_not_loaded(
    tmp_path,
):
    async def scenario(world):
        await world.add_replica('pool-3', 'pool', ['m3'])
        announce(world, 'pool-2', 2)
        announce(world, 'pool-3', 2)
        await anyio.sleep(ANNOUNCE_S)
        begun = await _begin_at_each(world, world.hosts['host-1'])
        announce(world, 'pool-2', 2, 'draining')
        await anyio.sleep(ANNOUNCE_S)
        answer, went_on_at = await take_up(
            world, world.hosts['host-2'], begun['pool-2']
        )
        assert went_on_at == ['pool-3']
        assert events_of(answer.body) == [3, 4, 5]

    run_scenario(tmp_path, scenario, HOSTS)


def test_a_stream_goes_on_at_its_release_after_its_target_crashed(tmp_path):
    async def scenario(world):
        await world.add_replica('pool-3', 'pool', ['m3'])
        announce(world, 'pool-2', 2)
        announce(world, 'pool-3', 2)
        await anyio.sleep(ANNOUNCE_S)
        begun = await _begin_at_each(world, world.hosts['host-1'])
        world.crash_replica(world.replicas['pool-2'], DOWN_S)
        answer, went_on_at = await take_up(
            world, world.hosts['host-2'], begun['pool-2']
        )
        assert went_on_at == ['pool-3']
        assert events_of(answer.body) == [3, 4, 5]

    run_scenario(tmp_path, scenario, HOSTS)
