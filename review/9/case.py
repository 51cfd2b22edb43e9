# flake8: noqa
"""A stream that is taken up after more than 20 s goes on at another version.

Replicas of two software versions serve one service. Long streams begin, a
host process is killed after 22 s, and its clients take their streams up at
the other host, within their deadline and with `Resumes`.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from world import *

DEADLINE_MS = 25_000
STREAMS = 12
EVENTS = 70
GAP_S = 0.35
KILL_AFTER_S = 22.0


def versions_of(body):
    """Return the last whole event's id and the versions that wrote events."""
    last, versions = 0, set()
    for event in body.split(b'\n\n')[:-1]:
        for line in event.split(b'\n'):
            if line.startswith(b'id: '):
                last = int(line[4:])
            if line.startswith(b'data: version '):
                versions.add(line.split()[2].decode())
    return last, versions


async def scenario(world):
    record = world.record
    config = configuration(routes=[
        route('batch', 'streaming', 'pool', timeoutMs=DEADLINE_MS,
              goalMs=1500, allowResume=True, gapAimMs=400),
        route('look', 'idempotent', 'desk'),
    ])
    world.store.put('keyed.op', 'config', config)
    await world.add_replica('desk-0', 'desk')
    for number in range(4):
        replica = await world.add_replica(
            f'pool-{number}', 'pool', models=['m1'], slots=64,
            version='v1' if number < 2 else 'v2',
        )

        async def handle(request, writer, replica=replica):
            replica.note_run(request)
            return await replica.stream(request, writer, EVENTS, GAP_S)

        replica.handle = handle
    hosts = [await world.add_host(f'host-{one}') for one in range(2)]
    await world.wait_ready()
    # The default version is written by now.
    await asyncio.sleep(4)

    async def stream(host, request_id, deadline_ms, **more):
        return await world.ask(
            host, '/batch/x', request_id=request_id, deadline_ms=deadline_ms,
            Model='m1', Token_Count='100,200',
            Prompt_Prefix=f'ab:50,{random.getrandbits(32):x}:50', **more,
        )

    joined, resumed = [], collections.Counter()

    async def client():
        first = world.new_id()
        started = time.monotonic()
        answer = await stream(hosts[0], first, DEADLINE_MS)
        if answer.is_whole:
            resumed['whole at once'] += 1
            return
        last, versions = versions_of(answer.body)
        while time.monotonic() - started < 24:
            left_s = DEADLINE_MS / 1000 - (time.monotonic() - started)
            again = await stream(
                hosts[1], None, int(left_s * 1000),
                Last_Event_Id=str(last), Resumes=first,
            )
            if again.status != 503:
                break
            await asyncio.sleep(float(again.headers.get('retry-after', 0.5)))
        resumed[again.status] += 1
        found = versions | versions_of(again.body)[1]
        record('stream', id=first, versions=','.join(sorted(found)))
        if len(found) > 1:
            joined.append(first)

    async def others():
        """Short streams, so that hosts go on writing their records."""
        while True:
            await asyncio.sleep(0.1)
            task = asyncio.create_task(stream(hosts[0], None, 1500))
            keep.add(task)

    keep = set()
    flow = asyncio.create_task(others())
    clients = [asyncio.create_task(client()) for _ in range(STREAMS)]
    await asyncio.sleep(KILL_AFTER_S)
    flow.cancel()
    if TROUBLE:
        hosts[0].kill()
    await asyncio.gather(*clients)
    record('summary', joined=len(joined), resumed=dict(resumed))
    print('streams of two versions', len(joined), 'of', STREAMS,
          'taken up', dict(resumed))
    if len(joined) > 2:
        return [f'ORDER: {len(joined)} streams hold events of two versions']
    return []


main(scenario, __file__)
