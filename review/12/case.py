# flake8: noqa
"""A store that comes back from an older copy brings back a leaving replica."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

import anyio
import harness

LEAVING = 'desk-1'
# One of seven leaves, within the site's largest share (0.176).
NAMES = tuple(f'desk-{number}' for number in range(1, 8))
WORK_S = 1.5
REQUESTS_PER_S = 30
BEFORE_LEAVING_S = 2.0
LEFT_TO_DRILL_S = 2.5
DRILL_S = 0.5
# When the leaving replica exits, and the rest of the script.
EXITS_AFTER_S = 0.2
AFTER_S = 2.0


async def case(world, record, hosts):
    world.store.put('keyed.op', 'config', harness.configuration(version=2))
    states = {}
    arrivals, answers, lost = [], [], []
    for name in NAMES:
        replica = await world.add_replica(name, 'desk')
        replica.slots = 64
        replica.behave = behave_as(replica, arrivals)
    world.group.start_soon(harness.keep_entries, world, states)
    await harness.launch_all(world, hosts)
    await anyio.sleep(harness.CONTACT_S)
    async with anyio.create_task_group() as group:
        stopped = anyio.Event()
        group.start_soon(send, world, record, group, stopped, answers, lost)
        await anyio.sleep(BEFORE_LEAVING_S)
        copy = world.store.copy_records()
        await anyio.sleep(0.5)
        left_at = leave(world, record, states)
        await anyio.sleep(LEFT_TO_DRILL_S)
        if harness.has_trouble():
            record.note('the store is away')
            world.store.is_down = True
            await anyio.sleep(DRILL_S)
            harness.roll_back(world, copy)
            world.store.is_down = False
            record.note('the store is back, from a copy that is 3.5 s old')
            await anyio.sleep(harness.HEARTBEAT_S)
            record.note(f'the removal of {LEAVING} is written again')
            world.store.put('keyed.servers', LEAVING, None)
        else:
            await anyio.sleep(DRILL_S + harness.HEARTBEAT_S)
        await anyio.sleep(EXITS_AFTER_S)
        exited_at = time.monotonic()
        served_s = exited_at - left_at
        record.note(f'{LEAVING} exits, {served_s:.1f} s after it began to leave')
        world.replicas[LEAVING].crash()
        world.listeners[LEAVING].cancel()
        await anyio.sleep(AFTER_S)
        stopped.set()
    return check(record, left_at, arrivals, answers, lost)


def leave(world, record, states):
    """Have a replica leave that never reports that it is draining."""
    record.note(f'{LEAVING} leaves: Server-Leaving in all its answers, no entry')
    world.replicas[LEAVING].notices = {'Server-Leaving': '1'}
    states[LEAVING] = None
    world.store.put('keyed.servers', LEAVING, None)
    return time.monotonic()


def behave_as(replica, arrivals):
    async def behave(request):
        if replica.name == LEAVING:
            arrivals.append((time.monotonic(), request.headers['request-id']))
        # The head of the answer says what holds as the answer is sent.
        await anyio.sleep(WORK_S)
        return replica.run(request)

    return behave


async def send(world, record, group, stopped, answers, lost):
    number = 0
    while not stopped.is_set():
        number += 1
        host = list(world.hosts.values())[number % len(world.hosts)]
        group.start_soon(ask, world, record, host, number, answers, lost)
        await anyio.sleep(1 / REQUESTS_PER_S)


async def ask(world, record, host, number, answers, lost):
    request_id = f'book-{number}'
    sent_at = time.monotonic()
    try:
        answer = await world.ask(host, '/book/x', Request_Id=request_id)
    except OSError as error:
        record.note(f'{request_id} to {host.name}: {error!r}')
        return
    seal = answer.headers.get('response-seal')
    if not seal and answer.status != 503:
        lost.append(request_id)
    answers.append((request_id, host.name, sent_at, time.monotonic(), seal))
    record.note(
        f'{request_id} to {host.name}, sent {record.at(sent_at):.3f}: '
        f'{answer.status} by {seal}'
    )


def check(record, left_at, arrivals, answers, lost):
    told_at = {}
    for request_id, host, sent_at, ended_at, seal in answers:
        if seal == LEAVING and ended_at > left_at + 0.05:
            told_at[host] = min(told_at.get(host, ended_at), ended_at)
    for host, at in sorted(told_at.items()):
        record.note(f'{host} passed on Server-Leaving at {record.at(at):.3f}')
    host_of = {one[0]: one[1] for one in answers}
    sent = {one[0]: one[2] for one in answers}
    late = [
        (at, request_id)
        for at, request_id in arrivals
        if host_of.get(request_id) in told_at
        and sent[request_id] > told_at[host_of[request_id]] + harness.DRAIN_S
    ]
    for at, request_id in late:
        record.note(f'{request_id} reached {LEAVING} at {record.at(at):.3f}')
    if not late:
        return []
    broken = {request_id for _, request_id in late} & set(lost)
    at, request_id = late[0]
    behind_s = sent[request_id] - told_at[host_of[request_id]]
    return [
        f'DRAIN: {len(late)} requests reached {LEAVING} later than drainMs '
        f'after their machine had passed on Server-Leaving, the first sent '
        f'{behind_s:.1f} s after; {len(broken)} of them were lost as it exited'
    ]


harness.main(case)
