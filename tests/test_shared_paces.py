"""Real hosts learn the paces of targets from each other's exchanges."""

import re

import anyio

from lab.platform_world import run_scenario

# Twice the period of digests, and some time for a busy machine.
HEARD_S = 0.8
HOSTS = ('host-1', 'host-2')
SLOW_MACHINE = {'Server-Load': '1,0,8,250'}


def routed(host):
    return [one for one in host.log().splitlines() if 'request_routed' in one]


def test_a_host_uses_the_pace_that_only_another_host_has_seen(tmp_path):
    """One host sees too few exchanges to learn a pace alone."""

    async def scenario(world):
        for replica in world.replicas.values():
            replica.notices = SLOW_MACHINE
        first, second = (world.hosts[name] for name in HOSTS)
        for _ in range(8):
            assert (await world.chat(first, 'm2')).status == 200
        # Several digests have told the other host of it by now.
        await anyio.sleep(HEARD_S)
        answer = await world.chat(second, 'm2')
        assert answer.status == 200
        lines = routed(second)
        assert re.search(r' pace=[\d.]+', lines[0])
        assert ' machine_percent=250' in lines[0]
        assert re.search(r' target_factor=[\d.]+', lines[0])
        age = re.search(r' machine_age_s=([\d.]+)', lines[0])
        assert float(age.group(1)) < 5
        # The figures are for hosts, not for callers.
        assert 'server-load' not in {name.lower() for name in answer.headers}

    run_scenario(tmp_path, scenario, HOSTS)


def test_targets_without_a_percent_are_estimated_as_before(tmp_path):
    async def scenario(world):
        host = world.hosts['host-1']
        world.replicas['pool-1'].notices = {'Server-Load': '1,x,-8'}
        for _ in range(3):
            assert (await world.chat(host, 'm2')).status == 200
        assert ' pace=' not in ''.join(routed(host))
        assert host.log().count('event=server_load_unreadable') == 1

    run_scenario(tmp_path, scenario, ('host-1',))
