"""Targets that state a limit on requests from all hosts, before real hosts."""

import time

import anyio

from lab.platform_world import run_scenario

# The users' bounds: hosts know of a limit this long after it was first stated,
# and from then on no window has more than half as much again, and five more.
CONTACT_S = 3.0
WINDOW_S = 4.0
MAX_SHARE = 1.5
SLACK = 5
HOSTS = ('host-1', 'host-2', 'host-3')


def busiest_window(arrivals, since):
    """Return the most requests in any window that begins after a time."""
    late = [one for one in arrivals if one > since]
    return max(
        (sum(one - WINDOW_S < at <= one for at in late) for one in late),
        default=0,
    )


async def keep_asking(world, model, ends_at, answers, gap_s=0.2):
    """Request streams of a model from all hosts in turn."""
    hosts = list(world.hosts.values())
    number = 0
    async with anyio.create_task_group() as group:

        async def ask(host):
            answers.append(await world.chat(host, model))

        while time.monotonic() < ends_at:
            group.start_soon(ask, hosts[number % len(hosts)])
            number += 1
            await anyio.sleep(gap_s)


def test_a_target_gets_no_more_than_it_stated_from_all_hosts_together(tmp_path):
    async def scenario(world):
        limited = world.replicas['pool-1']
        answers = []
        # Another target has m1; m2 is on the limited target alone.
        async with anyio.create_task_group() as group:
            ends_at = time.monotonic() + CONTACT_S + 2 * WINDOW_S + 1
            for model in ('m1', 'm2'):
                group.start_soon(keep_asking, world, model, ends_at, answers)
            await anyio.sleep(1)
            limited.stated_rate = '1'
            stated_at = time.monotonic()
        most = busiest_window(limited.arrivals, stated_at + CONTACT_S)
        assert most <= MAX_SHARE * WINDOW_S + SLACK
        assert {one.status for one in answers} <= {200, 503}
        served = sum(one.status == 200 for one in answers)
        assert served > len(answers) / 2
        recent = [at for at in limited.arrivals if at > stated_at + CONTACT_S]
        assert recent
        logs = ''.join(one.log() for one in world.hosts.values())
        assert 'event=request_failed' not in logs

    run_scenario(tmp_path, scenario, HOSTS)
