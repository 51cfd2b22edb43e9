# flake8: noqa
"""A request that crashes replicas is not held back after requests were reset.

Replicas reset a part of their requests, four seconds at a time. Each host's
crash detector then waits for ever on these replicas, so that the crashes of a
poisonous request, which comes again and again in calm moments, aren't noticed.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common-2'))

from world import *

REPLICAS = 3
HOSTS = 2
REQUESTS_PER_S = 60
# The sheet has 12.5 bookings a second beside 5 look-ups.
BOOKING_SHARE = 0.5
# The site's largest: srv_grey share = 1.0, x = 0.45, for_s = 4.0.
LOST_SHARE = 0.4
WINDOW_S = 4.0
PAUSE_S = 0.5
CYCLES = 9
DOWN_S = 2.5
CONTACT_S = 3.0
POISON = '/look/poison'


async def scenario(world):
    record = world.record
    world.store.put('keyed.op', 'config', configuration())
    losing = set()
    crashes = []
    arrivals = []
    running = collections.defaultdict(set)
    lost = set()
    for number in range(REPLICAS):
        replica = await world.add_replica(
            f'desk-{number}', 'desk', work_s=0.09
        )

        async def handle(request, writer, replica=replica):
            if request.path == POISON:
                arrivals.append(time.monotonic())
                replica.note_run(request)
                crashes.append(time.monotonic())
                lost.update(running[replica.name])
                record('replica_crashes', at=replica.name,
                       bookings_lost=len(running[replica.name]))
                running[replica.name].clear()
                asyncio.get_running_loop().create_task(crash(replica))
                await asyncio.sleep(60)
                return False
            if replica.name in losing and random.random() < LOST_SHARE:
                replica.note_run(request)
                await asyncio.sleep(replica.work_s)
                record('answer_lost', id=request.id, at=replica.name)
                writer.transport.abort()
                return False
            if not request.path.startswith('/book'):
                return await replica.serve_request(request, writer)
            running[replica.name].add(request.id)
            try:
                return await replica.serve_request(request, writer)
            finally:
                running[replica.name].discard(request.id)

        replica.handle = handle
    for number in range(2):
        await world.add_replica(f'pool-{number}', 'pool', models=['m1'])
    hosts = [await world.add_host(f'host-{one}') for one in range(HOSTS)]
    await world.wait_ready()

    async def crash(replica):
        replica.crash()
        await asyncio.sleep(DOWN_S)
        await replica.restart()
        record('replica_back', at=replica.name)

    answers = collections.Counter()
    tasks = set()

    async def ask_one():
        host = random.choice(hosts)
        if random.random() < BOOKING_SHARE:
            answer = await world.ask(host, '/book/cut', deadline_ms=3000)
            answers['book', answer.status] += 1
            return
        answer = await world.ask(
            host, '/look/item', method='GET', deadline_ms=3000
        )
        answers['look', answer.status] += 1

    async def traffic():
        while True:
            task = asyncio.create_task(ask_one())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))

    async def reset_requests():
        """All replicas reset a part of their requests for a while."""
        if TROUBLE:
            losing.update(world.replicas)
        record('requests_reset', by=','.join(sorted(losing)) or 'none')
        await asyncio.sleep(WINDOW_S)
        losing.clear()
        await asyncio.sleep(PAUSE_S)

    flow = asyncio.create_task(traffic())
    for _ in range(CYCLES):
        await reset_requests()
        answer = await world.ask(
            random.choice(hosts), POISON, method='GET', deadline_ms=3000
        )
        record('poison_answered', status=answer.status)
        await asyncio.sleep(max(0, DOWN_S + 0.5 - answer.took_s))
    flow.cancel()
    third = crashes[2] if len(crashes) > 2 else None
    late = [] if third is None else [
        one for one in arrivals if one > third + CONTACT_S
    ]
    lost_late = sum(1 for one in lost if one in world.runs)
    settled = sum(host.log().count('event=breakage_settled') for host in hosts)
    broken_off = sum(1 for host in hosts for line in host.log().splitlines()
                     if 'event=attempt_broken' in line)
    record('summary', crashes=len(crashes), late_arrivals=len(late),
           breakages=broken_off, settled=settled, answers=dict(answers),
           bookings_lost=lost_late)
    print('crashes', len(crashes), 'arrivals later than contactMs after the',
          'third', len(late), 'answers', dict(answers),
          'broken exchanges', broken_off, 'settled', settled,
          'bookings lost in the crashes', lost_late)
    if len(late) > 3:
        return [f'BUDGET: {len(late)} retries reached replicas later than '
                f'contactMs after the third crash; {lost_late} bookings that '
                f'replicas had begun were lost in the crashes']
    return []


main(scenario, __file__)
