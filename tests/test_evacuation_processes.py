"""An evacuated zone and a cold target before real hosts."""

import time

import anyio

from lab.platform_world import configuration, run_scenario

HOSTS = ('host-1', 'host-2')
BOUNDS = {'configMs': 2000, 'evacuateMs': 3000}
KEY = 'evacuate/z2'
# The users' bound, counted from the store's acknowledgement.
EVACUATE_S = 3.0
SETTLE_S = 1.5
COLD_PER_S = 4
COLD_ALLOWED = 11


def move(world, *names):
    """Announce that targets are in the other zone."""
    for name in names:
        replica = world.replicas[name]
        replica.zone = 'z2'
        world.store.put('keyed.servers', name, replica.entry())


async def keep_asking(world, seconds, answers, models=('m1',), gap_s=0.05):
    """Request streams of some models and plain answers from all hosts."""
    hosts = list(world.hosts.values())
    ends_at = time.monotonic() + seconds
    async with anyio.create_task_group() as group:

        async def ask(host, model):
            answers.append((await world.chat(host, model)).status)

        async def look(host):
            answers.append((await world.ask(host, '/look/1')).status)

        number = 0
        while time.monotonic() < ends_at:
            host = hosts[number % len(hosts)]
            group.start_soon(ask, host, models[number % len(models)])
            group.start_soon(look, host)
            number += 1
            await anyio.sleep(gap_s)


def test_two_zones_one_after_the_other_get_no_request_while_evacuated(
    tmp_path,
):
    async def scenario(world):
        move(world, 'desk-2', 'pool-2')
        await anyio.sleep(SETTLE_S)
        world.store.put('keyed.op', KEY, {})
        acknowledged_at = time.monotonic()
        answers = []
        # Only the evacuated zone has m3.
        await keep_asking(world, 7, answers, ('m1', 'm3'))
        for name in ('desk-2', 'pool-2'):
            late = [
                at
                for at in world.replicas[name].arrivals
                if at > acknowledged_at + EVACUATE_S
            ]
            assert late == []
        assert set(answers) <= {200, 503}
        assert answers.count(200) > 0.8 * len(answers)
        assert 'm3' in world.replicas['pool-1'].models
        for host in world.hosts.values():
            assert 'event=evacuation_begun host=' in host.log()
        world.store.put('keyed.op', KEY, None)
        world.store.put('keyed.op', 'evacuate/z1', {})
        await anyio.sleep(EVACUATE_S)
        closed_at = time.monotonic()
        await keep_asking(world, 2, answers)
        counts = {
            name: sum(at > closed_at for at in replica.arrivals)
            for name, replica in world.replicas.items()
        }
        assert (counts['desk-1'], counts['pool-1']) == (0, 0)
        assert min(counts['desk-2'], counts['pool-2']) > 20

    run_scenario(tmp_path, scenario, HOSTS, **BOUNDS)


def test_all_zones_at_once_are_a_rejection_also_by_a_host_that_starts(tmp_path):
    async def scenario(world):
        for zone in ('z1', 'z2'):
            world.store.put('keyed.op', f'evacuate/{zone}', {})
        world.launch('host-3')
        await world.wait_ready()
        await anyio.sleep(SETTLE_S)
        before = {
            name: len(one.arrivals) for name, one in world.replicas.items()
        }
        begun_at = time.monotonic()
        for host in world.hosts.values():
            for answer in (
                await world.chat(host),
                await world.chat(host, 'm4'),
                await world.ask(host, '/look/1'),
            ):
                assert answer.status == 503
        # Requests that wait for a load would take longer than this together.
        assert time.monotonic() - begun_at < 2
        after = {
            name: len(one.arrivals) for name, one in world.replicas.items()
        }
        assert after == before

    run_scenario(tmp_path, scenario, HOSTS, **BOUNDS)


def test_a_cold_target_is_spared_by_all_hosts_together(tmp_path):
    async def scenario(world):
        changed = configuration(2)
        changed['services'] = [
            {**one, 'coldStartS': 2, 'coldPerS': COLD_PER_S}
            for one in changed['services']
        ]
        world.store.put('keyed.op', 'config', changed)
        replica = world.replicas['pool-2']
        world.store.put(
            'keyed.servers',
            'pool-2',
            {**replica.entry(), 'coldLeftMs': 4000},
        )
        await anyio.sleep(SETTLE_S)
        cold_at = time.monotonic()
        answers = []
        # Only the cold target holds m3. Hosts may send m1 elsewhere, if the
        # other target has answered fast.
        models = ('m1', 'm1', 'm1', 'm3')
        await keep_asking(world, 3, answers, models, gap_s=0.02)
        arrivals = [at for at in replica.arrivals if at > cold_at]
        most = max(
            sum(one - 1 < at <= one for at in arrivals) for one in arrivals
        )
        assert most <= COLD_ALLOWED
        assert 'event=target_cold' in world.hosts['host-1'].log()
        await world.wait_logged('event=target_warm')
        assert answers.count(200) > 0.8 * len(answers)

    run_scenario(tmp_path, scenario, HOSTS)
