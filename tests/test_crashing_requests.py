"""Requests that crash targets, sent to real hosts by callers that repeat."""

import random
from dataclasses import replace

import anyio

from ebonywell.blame import PRESUMED_S
from lab.platform_world import run_scenario
from lab.standin_http import Reply

DEADLY_BODY = b'deadly'
# Longest time that a target of these tests is down after a crash.
DOWN_S = 0.6
HEAD_S = 0.01
# Time within which hosts learn of each other's observations, by the users'
# bound `contactMs`.
CONTACT_S = 3.0
# The most retries of a request that has crashed three targets that may reach
# a target after that time, by the users' rule.
MAX_LATE_RETRIES = 3
# Crashes that a part of a prompt may cause before the users' rule holds.
MAX_CRASHES = 5


def crash_on(world, is_deadly):
    """Make every target crash when it begins to answer a deadly request.

    Returns
    -------
    list of (float, str)
        Filled with the time and the target of each crash.
    """
    crashes = []

    async def crash(replica):
        # The head of the answer arrives before the connection breaks.
        await anyio.sleep(HEAD_S)
        world.crash_replica(replica, DOWN_S)

    def behave_as(replica):
        async def behave(request):
            if not is_deadly(request):
                return replica.run(request)
            crashes.append((anyio.current_time(), replica.name))
            world.group.start_soon(crash, replica)
            if replica.models is None:
                await anyio.sleep_forever()
            return replace(replica.run(request), gap_s=DOWN_S)

        return behave

    for replica in world.replicas.values():
        replica.behave = behave_as(replica)
    return crashes


def count_late_retries(crashes):
    """Count deadly requests that came after the bound of the users' rule."""
    if len(crashes) < 3:
        return 0
    since = crashes[2][0] + CONTACT_S
    return sum(1 for crashed_at, _ in crashes if crashed_at > since)


def test_a_request_that_crashed_three_targets_is_not_sent_on_by_any_host(
    tmp_path,
):
    def is_deadly(request):
        return request.body == DEADLY_BODY

    async def scenario(world):
        crashes = crash_on(world, is_deadly)
        hosts = list(world.hosts.values())
        for number in range(30):
            await world.ask(
                hosts[number % len(hosts)], '/look/1', body=DEADLY_BODY
            )
            await anyio.sleep(0.3)
        late = count_late_retries(crashes)
        assert late <= MAX_LATE_RETRIES
        sound = await world.ask(hosts[0], '/look/1', body=b'sound')
        assert sound.status == 200

    run_scenario(tmp_path, scenario, ('host-1', 'host-2'))


# Guards against crashes that go unnoticed, and repeats that wait in vain, once
# a target has broken off two answers (review 7).
def test_crashes_are_noticed_after_targets_have_broken_off_answers(tmp_path):
    broken = Reply(200, raw=b'HTTP/1.1')

    rng = random.Random(1)

    def break_at_random(replica):
        async def behave(request):
            return broken if rng.random() < 0.5 else replica.run(request)

        return behave

    async def scenario(world):
        hosts = list(world.hosts.values())
        for replica in world.replicas.values():
            replica.behave = break_at_random(replica)
        statuses = set()
        for number in range(40):
            answer = await world.ask(hosts[number % 2], '/look/1')
            statuses.add(answer.status)
        # None has waited until its deadline (504).
        assert statuses <= {200, 502}
        crashes = crash_on(world, lambda request: request.body == DEADLY_BODY)
        for number in range(20):
            await world.ask(hosts[number % 2], '/look/1', body=DEADLY_BODY)
            await anyio.sleep(0.3)
        assert 2 <= len(crashes)
        assert count_late_retries(crashes) <= MAX_LATE_RETRIES

    run_scenario(tmp_path, scenario, ('host-1', 'host-2'))


def test_a_part_that_crashed_five_targets_is_not_sent_on_by_any_host(tmp_path):
    def is_deadly(request):
        return ',dead:' in request.headers.get('prompt-prefix', '')

    async def scenario(world):
        crashes = crash_on(world, is_deadly)
        hosts = list(world.hosts.values())
        statuses = []
        for number in range(30):
            host = hosts[number % len(hosts)]
            deadly = f'aa:50,bb:30,dead:10,{number:x}:10'
            answer = await world.chat(
                host, Prompt_Prefix=deadly, body=b'deadly %d' % number
            )
            statuses.append(answer.status)
            await anyio.sleep(0.25)
        assert len(crashes) <= MAX_CRASHES
        # Two crashes don't prove a fault of the request: it may come again.
        assert set(statuses[-10:]) == {503}
        assert answer.body.split() == [b'crashes_targets']
        assert 0 < float(answer.headers['retry-after']) <= PRESUMED_S
        for number, host in enumerate(hosts):
            sound = f'aa:50,bb:30,{number:x}:20'
            answer = await world.chat(
                host, Prompt_Prefix=sound, body=b'sound %d' % number
            )
            assert answer.is_whole
            assert answer.status == 200

    run_scenario(tmp_path, scenario, ('host-1', 'host-2'))
