# flake8: noqa
"""A part of a prompt crashes each replica in the middle of its first event."""

import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-3'))

import anyio
import harness
from lab.standin_http import Reply

ENGINES = ('pool-1', 'pool-2', 'pool-3', 'pool-4')
DEADLY, SHARED, SOUND = 'dead01', 'ab01', 'cd01'
DOWN_S = 2.0
TOKEN_S = 0.03
DEADLY_EVERY_S = 1.0
SOUND_EVERY_S = 0.25
LENGTH_S = 50.0
MAX_LATE = 3
# Pieces in which a replica writes its first event before it crashes; 2 writes
# it token by token.
PIECES = int(os.environ.get('PIECES', '2'))
FIRST_EVENT = {
    1: (b'id: 1\ndata: one tw',),
    2: (b'id: 1\ndata: one', b' tw'),
}[PIECES]


async def case(world, record, hosts):
    world.store.put('keyed.op', 'config', harness.configuration(version=2))
    for name in ENGINES:
        replica = await world.add_replica(name, 'pool', ['m1'])
        replica.slots = 64
    arrivals, crashes, cut = [], [], []
    for replica in world.replicas.values():
        replica.behave = behave_as(world, record, replica, arrivals, crashes)
    world.group.start_soon(harness.keep_entries, world, {})
    await harness.launch_all(world, hosts)
    await anyio.sleep(harness.CONTACT_S)
    async with anyio.create_task_group() as group:
        group.start_soon(
            send, world, record, group, cut, DEADLY, DEADLY_EVERY_S
        )
        group.start_soon(
            send, world, record, group, cut, SOUND, SOUND_EVERY_S
        )
    return check(record, arrivals, crashes, cut)


def behave_as(world, record, replica, arrivals, crashes):
    async def behave(request):
        parts = request.headers.get('prompt-prefix', '')
        request_id = request.headers['request-id']
        if f'{DEADLY}:' not in parts:
            return replica.run(request)
        arrivals.append(time.monotonic())
        record.note(f'{replica.name} begins {request_id}, with the part')
        reply = replica.run(request)
        if not harness.has_trouble():
            return reply

        def crash():
            reply.on_end()
            if replica.is_down:
                return
            crashes.append(time.monotonic())
            record.note(f'{replica.name} crashes, number {len(crashes)}')
            replica.models = {}
            world.crash_replica(replica, DOWN_S)

        return Reply(
            200, headers=reply.headers, events=(*FIRST_EVENT, b''),
            gap_s=TOKEN_S, cut_after=len(FIRST_EVENT), on_end=crash,
        )

    return behave


async def send(world, record, group, cut, part, every_s):
    number = 0
    ends_at = time.monotonic() + LENGTH_S
    while time.monotonic() < ends_at:
        number += 1
        host = list(world.hosts.values())[number % len(world.hosts)]
        prefix = f'{SHARED}:40,{part}:40,{part}{number:04x}:20'
        group.start_soon(ask, world, record, cut, host, part, prefix)
        await anyio.sleep(every_s)


async def ask(world, record, cut, host, part, prefix):
    sent_at = record.now()
    try:
        answer = await world.chat(
            host, Prompt_Prefix=prefix, Event_Count='20', Event_Gap_S='0.05'
        )
        ended = f'{answer.status} whole {answer.is_whole}'
        if part == SOUND and answer.status == 200 and not answer.is_whole:
            cut.append(sent_at)
    except OSError as error:
        ended = repr(error)
    kind = 'with the part' if part == DEADLY else 'sound'
    record.note(f'{kind} request to {host.name}, sent {sent_at:.3f}: {ended}')


def check(record, arrivals, crashes, cut):
    record.note(f'{len(arrivals)} arrivals with the part, {len(crashes)} crashes')
    record.note(f'{len(cut)} sound streams were cut')
    if len(crashes) < 5:
        return []
    bound = crashes[4] + harness.CONTACT_S
    late = [at for at in arrivals if at > bound]
    record.note(f'{len(late)} of them later than 3 s after the fifth crash')
    if len(late) <= MAX_LATE:
        return []
    return [
        f'BUDGET: {len(late)} requests with a part that crashes replicas '
        f'reached replicas later than contactMs after the fifth crash, '
        f'{MAX_LATE} are allowed; {len(crashes)} crashes in all, which cut '
        f'{len(cut)} sound streams'
    ]


harness.main(case)
