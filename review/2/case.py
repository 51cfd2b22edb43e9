# flake8: noqa
"""The store comes back from an older copy after a hand-over of the lease."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import harness
from harness import TROUBLE, Client, Deployment, Replica, request_headers

LEASE = ('keyed.ebonywell', 0)
# 'stop': a planned stop hands the lease over before the drill. 'start': the
# drill comes some seconds after the first start of the system, and alone.
MODE = os.environ.get('MODE', 'stop')
# How long after its claim the new holder works before the store is lost.
WORK_S = 3.0
# How long the store is away.
AWAY_S = 0.5
AFTER_S = 14.0


class Store(harness.Store):
    """Remembers who claimed the lease."""

    def __init__(self, record):
        super().__init__(record)
        self.claims = []

    def note_append(self, place, key, value):
        if place != LEASE or not value:
            return
        found = json.loads(value)
        offset = len(self.parts[place]) - 1
        if found.get('is_released'):
            self.record(f'{found["holder"]} releases the lease at {offset}')
        elif not found.get('fence'):
            self.claims.append((found['holder'], offset))
            self.record(
                f'{found["holder"]} claims the lease at offset {offset},'
                f' era {self.era}'
            )
        else:
            self.record(
                f'{found["holder"]} renews the lease, fence {found["fence"]},'
                f' at offset {offset}, era {self.era}'
            )


async def send_traffic(deployment, record):
    """Ask for one adapter after the other, at all hosts in turn."""
    number = 0
    while True:
        host = list(deployment.hosts.values())[number % 3]
        model = f'model{number % 3}/a{1 + number // 3 % 23}'
        deployment.spawn(ask(host, f'{number:016x}', model, record))
        number += 1
        await asyncio.sleep(0.2)


async def ask(host, request_id, model, record):
    try:
        client = await Client.open(host.front)
    except (OSError, asyncio.TimeoutError):
        return
    try:
        headers = request_headers(
            request_id, 4000, Model=model, Token_Count='1460,22',
            Prompt_Prefix=f'5c1e07a2:341,{request_id[-8:]}:1119',
        )
        answer = await asyncio.wait_for(
            client.ask('POST', '/quote/2f', headers, b'b' * 200), 6
        )
        record(f'{host.name} answers {request_id} {model}: {answer.status}')
    except asyncio.TimeoutError:
        record(f'{host.name} leaves {request_id} unanswered')
    finally:
        client.close()


async def restart(host, record):
    await host.process.wait()
    await asyncio.sleep(0.5)
    await host.start()
    record(f'{host.name} starts again')


async def wait_for(condition, limit_s, what):
    ends_at = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > ends_at:
            raise harness.Unable(what)
        await asyncio.sleep(0.02)


async def hand_over(deployment, store, record):
    """Stop the holder as planned; return when the copy was made."""
    await asyncio.sleep(3)
    first = store.claims[-1][0]
    record(f'SIGTERM to the holder, {first}')
    deployment.hosts[first].signal(signal.SIGTERM)
    deployment.spawn(restart(deployment.hosts[first], record))
    known = len(store.claims)
    await wait_for(
        lambda: len(store.claims) > known, 15, 'nobody took over'
    )
    _, offset = store.claims[known]
    log = store.parts[LEASE]
    # After the record before the claim.
    return (log[offset - 1][0] + log[offset][0]) / 2


async def play(folder, record):
    deployment = Deployment(folder, record, hosts=3)
    store = deployment.store = Store(record)
    for number in range(3):
        held = {f'model{number}': set(), f'model{(number + 1) % 3}': set()}
        deployment.add(Replica(
            f'i-lm{number}', 'lm-pool', store, record, held, harness.SIZES_MB
        ))
    replicas = deployment.replicas.values()
    async with deployment:
        await deployment.start_hosts()
        deployment.spawn(send_traffic(deployment, record))
        await wait_for(lambda: store.claims, 15, 'nobody claimed the lease')
        if MODE == 'stop':
            copied_at = await hand_over(deployment, store, record)
        else:
            # The copy was made before the first claim.
            copied_at = store.parts[LEASE][0][0] - 0.05
        await asyncio.sleep(WORK_S)
        if TROUBLE:
            store.is_away = True
            record('the store is away')
            await asyncio.sleep(AWAY_S)
            store.roll_back(copied_at)
            # What the operator and the replicas wrote is written again.
            store.put('keyed.op', 'config', harness.make_config())
            for replica in replicas:
                replica.announce()
            store.is_away = False
            record(
                f'the store is back, era {store.era}, from a copy'
                f' {time.monotonic() - copied_at:.2f} s old'
            )
        await asyncio.sleep(AFTER_S)
    broken = []
    total = 0
    for replica in replicas:
        holders = {}
        for _, fence, holder, status in replica.orders:
            total += 1
            if status in {200, 202}:
                holders.setdefault(fence, {}).setdefault(holder, 0)
                holders[fence][holder] += 1
        for fence, counts in holders.items():
            record(f'{replica.name} accepted under fence {fence}: {counts}')
            if len(counts) > 1:
                broken.append((replica.name, fence, counts))
    record.say(
        f'{total} orders; claims (holder, offset):'
        f' {store.claims}'
    )
    for name, fence, counts in broken:
        record.say(f'{name}: two holders with fencing token {fence}: {counts}')
    if not total:
        raise harness.Unable('no orders were given')
    return harness.BROKEN if broken else harness.HELD


if __name__ == '__main__':
    harness.main(HERE, play)
