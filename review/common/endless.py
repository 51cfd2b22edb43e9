# flake8: noqa
"""A model replica sends bytes without end in the body of a stream."""

import asyncio
import time

import harness
from harness import TROUBLE, Client, Deployment, Replica, request_headers

MEMORY_MB = 300
STREAMS_PER_S = 1.0
# Sound clients send non-idempotent requests: an idempotent one that isn't read
# is given up after a second.
BOOK_TIMEOUT_S, BOOK_DEADLINE_S = 1.5, 3.0
# With KEPT_CLIENTS on each of two hosts about the rate of the site's sheet.
BOOK_PAUSE_S = 1.2
LATE_S = 0.5
TROUBLE_S = 15.0
KEPT_CLIENTS = 8
BURST_BYTES = 16384
ENGINES = 3
# Fewer late requests don't count.
MIN_LATE = 8


class Faulty:
    """How the faulty replica sends its bytes.

    Attributes
    ----------
    route : str
        Name of the streaming route.
    timeout_s : float
        timeoutMs of the route.
    chunk_bytes : int
        Size of each chunk of the body.
    rate : int
        Bytes of the body per second on each connection. A machine's link
        carries 125 MB/s.
    """

    def __init__(self, route, timeout_s, chunk_bytes, rate):
        self.path = f'/{route}/2f'
        self.timeout_s = timeout_s
        self.chunk_bytes = chunk_bytes
        self.rate = rate


class Engine(Replica):
    """Sends one event's bytes without end while it is in trouble."""

    faulty = None
    is_troubled = False

    async def run(self, request, writer, reader, known):
        if not self.is_troubled:
            return await super().run(request, writer, reader, known)
        known.append(('Response-Seal', f'seal-{self.name}'))
        known.append(('Content-Type', 'text/event-stream'))
        known.append(('Transfer-Encoding', 'chunked'))
        await asyncio.sleep(0.05)
        writer.write(harness.encode_head(200, known))
        writer.write(harness.encode_chunk(b'id: 1\ndata: '))
        chunk = harness.encode_chunk(b'x' * self.faulty.chunk_bytes)
        burst = chunk * (BURST_BYTES // self.faulty.chunk_bytes)
        sent = 0
        try:
            while not writer.transport.is_closing():
                writer.write(burst)
                sent += BURST_BYTES
                await writer.drain()
                await asyncio.sleep(BURST_BYTES / self.faulty.rate)
        finally:
            self.record(f'{self.name} sent {sent} body bytes in one answer')
        return False


class World:
    def __init__(self, deployment, record, faulty):
        self.faulty = faulty
        self.deployment = deployment
        self.record = record
        self.peaks = {}
        self.number = 0
        # Time-out of the route, and seconds until the answer ended.
        self.took = []
        self.statuses = {}
        self.unready = {}

    def next_id(self):
        self.number += 1
        return f'{self.number:016x}'

    async def watch(self, host):
        """Ask whether a host is ready once a second, as the platform does."""
        while True:
            await asyncio.sleep(1)
            used = host.resident_mb()
            self.peaks[host.name] = max(self.peaks.get(host.name, 0), used)
            try:
                is_ready = await asyncio.wait_for(host.is_ready(), 1)
            except asyncio.TimeoutError:
                is_ready = False
            if not is_ready:
                count = self.unready.get(host.name, 0) + 1
                self.unready[host.name] = count
                self.record(f'{host.name}: no 200 to /ready within a second')

    async def send_streams(self):
        while True:
            names = list(self.deployment.hosts)
            host = self.deployment.hosts[names[self.number % len(names)]]
            self.deployment.spawn(self.ask_stream(host))
            await asyncio.sleep(1 / STREAMS_PER_S)

    async def ask_stream(self, host):
        request_id = self.next_id()
        model = f'model{self.number % ENGINES}'
        try:
            client = await Client.open(host.front)
        except (OSError, asyncio.TimeoutError):
            self.record(f'{host.name} accepts no connection')
            return
        headers = request_headers(
            request_id, int(self.faulty.timeout_s * 1000), Model=model, Token_Count='1460,22',
            Prompt_Prefix=f'5c1e07a2:341,{request_id[-8:]}:1119',
        )
        await self.ask(
            host, client, 'POST', self.faulty.path, headers, b'b' * 200,
            self.faulty.timeout_s, self.faulty.timeout_s,
        )
        client.close()

    async def keep_asking(self, host):
        """Send sound requests on a kept connection, one after the other."""
        client = None
        while True:
            await asyncio.sleep(BOOK_PAUSE_S)
            if client is None:
                try:
                    client = await Client.open(host.front)
                except (OSError, asyncio.TimeoutError):
                    self.record(f'{host.name} accepts no connection')
                    await asyncio.sleep(0.2)
                    continue
            answer = await self.ask(
                host, client, 'POST', '/book/2f',
                request_headers(self.next_id(), 3000), b'b' * 600,
                BOOK_TIMEOUT_S, BOOK_DEADLINE_S,
            )
            if not answer.is_whole or answer.headers.get('connection'):
                client.close()
                client = None

    async def ask(
        self, host, client, method, path, headers, body, timeout_s, leave_s
    ):
        """Send a request, and leave at the client's own deadline."""
        request_id = dict(headers)['Request-Id']
        if path == self.faulty.path:
            self.record(f'sent {request_id} {path} to {host.name}')
        answer = harness.Answer()
        begun_at = time.monotonic()
        entry = [timeout_s, None]
        self.took.append(entry)
        try:
            answer = await asyncio.wait_for(
                client.ask(method, path, headers, body),
                leave_s,
            )
        except asyncio.TimeoutError:
            self.record(
                f'{host.name} leaves {request_id} {path} unanswered'
                f' {time.monotonic() - begun_at:.2f} s after it was sent'
            )
        entry[1] = time.monotonic() - begun_at
        kind = f'{path.split("/")[1]} {answer.status}'
        if not answer.is_whole:
            kind += ' not whole'
        self.statuses[kind] = self.statuses.get(kind, 0) + 1
        if path == self.faulty.path and answer.status:
            self.record(
                f'answer to {request_id}: {answer.status},'
                f' {len(answer.body)} bytes, whole {answer.is_whole},'
                f' after {entry[1]:.2f} s'
            )
        return answer


def make_play(faulty):
    """Return a case's play."""

    async def play(folder, record):
        return await _play(folder, record, faulty)

    return play


async def _play(folder, record, faulty):
    deployment = Deployment(folder, record, hosts=2, memory_mb=MEMORY_MB)
    store = deployment.store
    for number in range(ENGINES):
        engine = Engine(
            f'i-lm{number}', 'lm-pool', store, record,
            {f'model{number}': set()}, harness.SIZES_MB,
        )
        engine.faulty = faulty
        deployment.add(engine)
        deployment.add(Replica(
            f'i-orders{number}', 'orders-app', store, record
        ))
    world = World(deployment, record, faulty)
    async with deployment:
        await deployment.start_hosts()
        for host in deployment.hosts.values():
            deployment.spawn(world.watch(host))
            for _ in range(KEPT_CLIENTS):
                deployment.spawn(world.keep_asking(host))
        deployment.spawn(world.send_streams())
        await asyncio.sleep(4)
        if TROUBLE:
            deployment.replicas['i-lm0'].is_troubled = True
            record('i-lm0 sends bytes without end from now on')
        await asyncio.sleep(TROUBLE_S)
    ended = [one for one in world.took if one[1] is not None]
    long = [one for one in ended if one[1] >= one[0]]
    late = [one for one in long if one[1] >= one[0] + LATE_S]
    peaks = {name: round(used) for name, used in world.peaks.items()}
    record.say(f'answers: {dict(sorted(world.statuses.items()))}')
    record.say(
        f'checks of /ready without a 200 in a second: {world.unready};'
        f' peak memory in MB: {peaks}'
    )
    record.say(
        f'{len(ended)} requests, {len(long)} unanswered at their route\'s'
        f' timeoutMs, {len(late)} of them also half a second later'
    )
    if not any(name.endswith(' 200') for name in world.statuses):
        raise harness.Unable('nothing was served')
    is_broken = len(late) >= MIN_LATE and 2 * len(late) > len(long)
    return harness.BROKEN if is_broken else harness.HELD
