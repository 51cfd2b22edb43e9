# flake8: noqa
"""The store comes back from an older copy, and then a host is killed."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common'))

import harness
from harness import TROUBLE, Client, Deployment, Replica, request_headers

# The hosts' records of where streams began.
STREAMS = ('keyed.ebonywell', 3)
# How long the streams run before the store is away, and how long that lasts.
BEFORE_S = 1.5
AWAY_S = 0.5
COUNT = 32
EVENTS = 30
GAP_S = 0.16
PREFILL_S = 0.1
TIMEOUT_S = 6.0
# Streams that the rule lets hold events of two versions.
MAX_MIXED = 2


class Store(harness.Store):
    """Tells when records of streams are written."""

    def note_append(self, place, key, value):
        if place == STREAMS:
            self.record(
                f'{key} writes its record of streams: {len(value or b"")} bytes'
            )


class Engine(Replica):
    """Writes its software version into each event."""

    async def run(self, request, writer, reader, known):
        headers = request[2]
        known += [
            ('Response-Seal', f'seal-{self.name}'),
            ('Content-Type', 'text/event-stream'),
            ('Transfer-Encoding', 'chunked'),
        ]
        first = int(headers.get('last-event-id', '0')) + 1
        if first > 1:
            self.record(
                f'{self.name}, version {self.version}, goes on with'
                f' {headers.get("resumes")} at event {first}'
            )
        await asyncio.sleep(PREFILL_S)
        writer.write(harness.encode_head(200, known))
        for number in range(first, EVENTS + 1):
            writer.write(harness.encode_chunk(
                b'id: %d\ndata: version %d\n\n' % (number, self.version)
            ))
            await writer.drain()
            await asyncio.sleep(GAP_S)
        writer.write(b'0\r\n\r\n')
        return True


class Stream:
    """A client's stream, which it takes up once after a break."""

    def __init__(self, number, record):
        self.number = number
        self.first_id = f'{number:015x}0'
        self.record = record
        self.events = []
        self.statuses = []

    async def run(self, host, other):
        ends_at = time.monotonic() + TIMEOUT_S
        answer = await self.ask(host, self.first_id, ends_at)
        if answer.is_whole or not self.events:
            return
        await self.ask(
            other, self.first_id[:-1] + '1', ends_at,
            Resumes=self.first_id, Last_Event_Id=self.events[-1][0],
        )

    async def ask(self, host, request_id, ends_at, **more):
        left_s = ends_at - time.monotonic()
        headers = request_headers(
            request_id, int(left_s * 1000), Model='model0',
            Token_Count='1460,90',
            Prompt_Prefix=f'{self.number + 1:08x}:1460', **more,
        )
        after = f' after event {more["Last_Event_Id"]}' if more else ''
        self.record(f'sent {request_id} to {host.name}{after}')
        answer = harness.Answer()
        client = None
        try:
            client = await Client.open(host.front)
            answer = await asyncio.wait_for(
                client.ask('POST', '/recon/2f', headers, b'b' * 200),
                left_s + 0.5,
            )
        except (OSError, asyncio.TimeoutError):
            pass
        if client is not None:
            client.close()
        status = f'{answer.status}{"" if answer.is_whole else " cut"}'
        self.statuses.append(status)
        self.record(f'answer to {request_id}: {status}')
        if answer.status == 200:
            for event in answer.body.split(b'\n\n')[:-1]:
                lines = event.split(b'\n')
                self.events.append(
                    (int(lines[0][4:]), int(lines[1].rpartition(b' ')[2]))
                )
        return answer


async def play(folder, record):
    deployment = Deployment(folder, record, hosts=2)
    store = deployment.store = Store(record)

    def make(number, version):
        engine = Engine(
            f'i-lm{number}', 'lm-pool', store, record, {'model0': set()},
            harness.SIZES_MB,
        )
        engine.version = version
        return engine

    for number in range(2):
        deployment.add(make(number, 1))
    streams = []
    tasks = []
    async with deployment:
        await deployment.start_hosts()
        # The default version is known by then; an upgrade begins.
        await asyncio.sleep(4)
        for number in range(2, 4):
            engine = make(number, 2)
            deployment.add(engine)
            await engine.start()
            deployment.spawn(engine.keep_alive())
        record('two replicas of version 2 are added')
        await asyncio.sleep(3)
        host, other = deployment.hosts.values()
        copied_at = time.monotonic()
        for _ in range(COUNT):
            stream = Stream(len(streams), record)
            streams.append(stream)
            tasks.append(deployment.spawn(stream.run(host, other)))
            await asyncio.sleep(0.01)
        if TROUBLE:
            await asyncio.sleep(BEFORE_S)
            store.is_away = True
            record('the store is away')
            await asyncio.sleep(AWAY_S)
            store.roll_back(copied_at)
            # What the operator and the replicas wrote is written again.
            store.put('keyed.op', 'config', harness.make_config())
            for replica in deployment.replicas.values():
                replica.announce()
            store.is_away = False
            record(
                f'the store is back, era {store.era}, from a copy'
                f' {time.monotonic() - copied_at:.2f} s old'
            )
            await asyncio.sleep(0.5)
            record(f'SIGKILL to {host.name}')
            host.signal(signal.SIGKILL)
            await host.process.wait()
            await asyncio.sleep(0.5)
            await host.start()
        await asyncio.wait(tasks, timeout=10)
    mixed = [
        stream for stream in streams
        if len({version for _, version in stream.events}) > 1
    ]
    for stream in mixed:
        record(f'{stream.first_id} holds (event, version): {stream.events}')
    kinds = {}
    for stream in streams:
        kind = ', '.join(stream.statuses)
        kinds[kind] = kinds.get(kind, 0) + 1
    begun_at_2 = sum(
        1 for stream in streams if stream.events and stream.events[0][1] == 2
    )
    record.say(
        f'{len(streams)} streams, {begun_at_2} began at version 2; by the'
        f' answers they got: {kinds}'
    )
    record.say(f'{len(mixed)} streams hold events of two software versions')
    if not begun_at_2:
        raise harness.Unable('no stream began at version 2')
    return harness.BROKEN if len(mixed) > MAX_MIXED else harness.HELD


if __name__ == '__main__':
    harness.main(HERE, play)
