# flake8: noqa
"""Stand-ins of the platform's store, replicas and clients, and host processes.

Standard library only. Everything listens on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
IP = '127.0.0.1'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, UNABLE = 0, 1, 2
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
ADAPTER_SLOTS = 8
WEIGHTS_MB = 200000
# Times of a load from memory and from the disk.
WARM_S, DISK_S = 0.6, 0.78
# A play that takes longer ends, so that a script stays under 120 seconds.
MAX_PLAY_S = 100
REASONS = {
    200: 'OK', 202: 'Accepted', 404: 'Not Found', 409: 'Conflict',
    410: 'Gone', 412: 'Precondition Failed', 421: 'Misdirected Request',
    500: 'Internal Server Error', 503: 'Service Unavailable',
}
STARTED = time.monotonic()


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder, 'record.txt'), 'w', encoding='utf-8')

    def __call__(self, text):
        line = f'{time.monotonic() - STARTED:8.3f} s  {text}'
        self.file.write(line + '\n')
        self.file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


# HTTP

async def read_request(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, path, _ = lines[0].split(' ')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, content = line.partition(':')
            headers[name.strip().lower()] = content.strip()
    body = b''
    length = int(headers.get('content-length', '0'))
    if length:
        body = await reader.readexactly(length)
    return method, path, headers, body


def encode_head(status, headers):
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines.extend(f'{name}: {content}' for name, content in headers)
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def encode_answer(status, body=b'', headers=()):
    return encode_head(
        status, [*headers, ('Content-Length', len(body))]
    ) + body


def encode_json(content, status=200, headers=()):
    body = json.dumps(content).encode()
    headers = [*headers, ('Content-Type', 'application/json')]
    return encode_answer(status, body, headers)


def encode_chunk(body):
    return b'%x\r\n%s\r\n' % (len(body), body)


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self):
        self.writers = set()
        self.server = None
        self.address = ''
        self.port = 0

    async def open(self, port=0):
        self.server = await asyncio.start_server(self._serve, IP, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f'{IP}:{self.port}'

    async def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if not await self.answer(request, writer, reader):
                    break
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer, reader):
        raise NotImplementedError


# The platform's store

class Store(Server):
    """The platform's store, in the form of a log."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.parts = {}
        self.era = 0
        self.is_away = False
        self.changed = asyncio.Event()

    def append(self, topic, part, key, value):
        log = self.parts.setdefault((topic, part), [])
        log.append((time.monotonic(), key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(log) - 1

    def put(self, topic, key, content):
        value = None if content is None else json.dumps(content).encode()
        return self.append(topic, 0, key, value)

    def roll_back(self, copied_at):
        """Come back from the copy that was made at a time."""
        for place, log in self.parts.items():
            self.parts[place] = [one for one in log if one[0] <= copied_at]
        self.era += 1
        self.changed.set()
        self.changed = asyncio.Event()

    def _era(self):
        return [('Store-Era', self.era)]

    async def answer(self, request, writer, reader):
        method, path, _, body = request
        split = urlsplit(path)
        query = {name: one[0] for name, one in parse_qs(split.query).items()}
        place = (query.get('topic', ''), int(query.get('part', '0')))
        await asyncio.sleep(STORE_ANSWER_S)
        if self.is_away:
            answer = encode_answer(503)
        elif split.path == '/log-newest':
            answer = self._newest(place, query)
        elif split.path == '/log-read':
            answer = await self._read(place, query)
            if self.is_away:
                answer = encode_answer(503)
        elif split.path == '/log-append' and method == 'POST':
            answer = self._append(place, query, body)
        else:
            answer = encode_answer(404)
        writer.write(answer)
        return True

    def _newest(self, place, query):
        log = self.parts.get(place, [])
        newest = {}
        for offset, (_, key, value) in enumerate(log):
            newest.pop(key, None)
            newest[key] = (offset, value)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
            if value is not None and key > query.get('after', '')
        ]
        return encode_json(
            {
                'items': items[:500],
                'hasMore': len(items) > 500,
                'end': len(log),
            },
            headers=self._era(),
        )

    async def _read(self, place, query):
        start = int(query['from'])
        ends_at = time.monotonic() + int(query.get('waitMs', '0')) / 1000
        era = self.era
        while True:
            log = self.parts.get(place, [])
            left_s = ends_at - time.monotonic()
            if len(log) > start or left_s <= 0 or era != self.era:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except asyncio.TimeoutError:
                pass
        if start > len(log):
            return encode_json({'first': 0}, 410, self._era())
        framed = b''.join(
            frame(key, value) for _, key, value in log[start:start + 1000]
        )
        body = len(log).to_bytes(8, 'big') + bytes(8) + framed
        return encode_answer(200, body, self._era())

    def _append(self, place, query, body):
        log = self.parts.setdefault(place, [])
        end = len(log)
        if 'at' in query and int(query['at']) != end:
            return encode_json({'end': end}, 412, self._era())
        for key, value in unframe(body):
            self.append(*place, key, value)
            self.note_append(place, key, value)
        return encode_json({'offset': end, 'end': len(log)}, 200, self._era())

    def note_append(self, place, key, value):
        """Overridden by a case that watches what the hosts write."""


def frame(key, value):
    content = bytes((len(key.encode()),)) + key.encode() + (value or b'')
    return len(content).to_bytes(4, 'big') + content


def unframe(body):
    position = 0
    while position + 4 <= len(body):
        size = int.from_bytes(body[position:position + 4], 'big')
        content = body[position + 4:position + 4 + size]
        position += 4 + size
        split = 1 + content[0]
        yield content[1:split].decode(), content[split:] or None


# Replicas

class Replica(Server):
    """A replica: a model engine if it has models, else a plain service."""

    def __init__(self, name, service, store, record, models=None, sizes=None):
        super().__init__()
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.models = models
        self.sizes = sizes or {}
        self.born = int(time.time() * 1000)
        self.count = 0
        self.fence = 0
        self.orders = []
        self.runs = []
        self.work_s = 0.06
        self.events = 11
        self.gap_s = 0.02
        self.busy_until = 0.0
        self.heartbeats = 0
        self.in_use = {}
        self.tasks = []
        self.running = 0
        self.overfull = False
        self.version = 1
        self.slots = 64 if models is not None else 6

    async def start(self):
        await self.open()
        self.announce()

    def announce(self):
        self.heartbeats += 1
        self.store.put('keyed.servers', self.name, {
            'service': self.service, 'address': self.address, 'zone': 'z1',
            'version': self.version, 'slots': self.slots, 'state': 'ready',
            'coldLeftMs': 0, 'seq': self.heartbeats, 'born': self.born,
            'models': self.list_models(),
            'atHand': {
                'inMemory': self.in_memory(), 'onDisk': list(self.sizes),
            },
        })

    def in_memory(self):
        return list(self.sizes)[:2]

    def list_models(self):
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in (self.models or {}).items()
        ]

    async def keep_alive(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.announce()

    def holds(self, named):
        model, _, adapter = named.partition('/')
        if self.models is None or not model:
            return True
        held = self.models.get(model)
        return held is not None and (not adapter or adapter in held)

    async def answer(self, request, writer, reader):
        method, path, headers, body = request
        if path == '/report':
            writer.write(encode_json({
                'stage': 'prefill_decode', 'models': self.list_models(),
                'busy': time.monotonic() < self.busy_until,
                'seq': self.count, 'queued': 0, 'running': 0, 'kvUsed': 0,
                'kvTotal': 165614, 'handles': 0, 'born': self.born,
                'coming': [],
            }))
            return True
        if path == '/order':
            writer.write(self.take_order(json.loads(body), headers))
            return True
        if path == '/health':
            writer.write(encode_answer(200, b'', [('Instance-Id', self.name)]))
            return True
        request_id = headers.get('request-id', '')
        known = [('Request-Id', request_id)]
        is_other = headers.get('expect-instance', self.name) != self.name
        if is_other or not self.holds(headers.get('model', '')):
            known.append(('Instance-Id', self.name))
            writer.write(encode_answer(421, b'', known))
            return True
        self.runs.append((time.monotonic(), request_id, path))
        self.record(f'{self.name} runs {request_id} ({path})')
        known.append(('Server-Load', f'{self.running + 1},0,{self.slots}'))
        named = headers.get('model', '')
        needs = {named, named.partition('/')[0]} if named else set()
        self.running += 1
        for need in needs:
            self.in_use[need] = self.in_use.get(need, 0) + 1
        try:
            return await self.run(request, writer, reader, known)
        finally:
            self.running -= 1
            for need in needs:
                self.in_use[need] -= 1

    async def run(self, request, writer, reader, known):
        """Run a request as a sound replica does."""
        headers = request[2]
        known.append(('Response-Seal', f'seal-{self.name}'))
        if 'model' not in headers:
            await asyncio.sleep(self.work_s)
            writer.write(encode_answer(200, b'x' * 800, known))
            return True
        known.append(('Content-Type', 'text/event-stream'))
        known.append(('Transfer-Encoding', 'chunked'))
        first = int(headers.get('last-event-id', '0'))
        await asyncio.sleep(0.05)
        writer.write(encode_head(200, known))
        for number in range(first + 1, self.events + 1):
            writer.write(encode_chunk(b'id: %d\ndata: tokens\n\n' % number))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b'0\r\n\r\n')
        return True

    def take_order(self, order, headers):
        answer = self._take_order(order, headers)
        status = int(answer.split(b' ', 2)[1])
        self.orders.append(
            (time.monotonic(), order['fence'], order['holder'], status)
        )
        self.record(
            f'{self.name} gets order {order["operation"]} {order["model"]}'
            f' {order.get("adapter", "")} of {order["holder"]}'
            f' fence {order["fence"]} seq {order.get("precondition")}: {status}'
        )
        return answer

    def _take_order(self, order, headers):
        if headers.get('expect-instance', self.name) != self.name:
            return encode_answer(421)
        if order['fence'] < self.fence:
            return encode_answer(412)
        if order.get('precondition', self.count) != self.count:
            return encode_answer(409)
        model, adapter = order['model'], order.get('adapter')
        if time.monotonic() < self.busy_until:
            return encode_answer(409)
        self.fence = order['fence']
        self.count += 1
        name = f'{model}/{adapter}' if adapter else model
        is_load = order['operation'] == 'load'
        if not is_load and adapter and not self.in_use.get(name):
            self.models.get(model, set()).discard(adapter)
            return encode_answer(200)
        if is_load and adapter:
            self.models.setdefault(model, set()).add(adapter)
            self.check_room(())
        elif is_load:
            self.check_room((model,))
            load_s = WARM_S if model in self.in_memory() else DISK_S
            self.busy_until = time.monotonic() + load_s
            self.spawn(self.load(model, load_s))
        else:
            if not adapter:
                self.busy_until = time.monotonic() + 0.02
            self.spawn(self.unload(model, adapter, name))
        return encode_answer(202)

    def check_room(self, added):
        """A replica that is ordered to load more than it holds crashes."""
        held = set(self.models) | set(added)
        adapters = sum(len(one) for one in self.models.values())
        self.overfull |= sum(self.sizes[one] for one in held) > WEIGHTS_MB
        self.overfull |= adapters > ADAPTER_SLOTS

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def load(self, model, load_s):
        await asyncio.sleep(load_s)
        self.models[model] = set()
        self.announce()

    async def unload(self, model, adapter, name):
        """Drop a model or an adapter once its runs have ended."""
        while self.in_use.get(name):
            if not adapter:
                self.busy_until = time.monotonic() + 0.02
            await asyncio.sleep(0.01)
        if adapter:
            self.models.get(model, set()).discard(adapter)
            return
        self.models.pop(model, None)
        self.announce()


# Host processes

def free_ports(count):
    """Return the first of some free, consecutive ports."""
    for _ in range(200):
        first = random.randrange(21000, 31000)
        sockets = []
        try:
            for port in range(first, first + count):
                for kind in socket.SOCK_STREAM, socket.SOCK_DGRAM:
                    one = socket.socket(socket.AF_INET, kind)
                    sockets.append(one)
                    one.bind((IP, port))
            return first
        except OSError:
            continue
        finally:
            for one in sockets:
                one.close()
    raise OSError('no free ports')


class Host:
    """One host process, started with the command of the deploy file."""

    def __init__(self, name, folder, store_address, bounds, memory_mb):
        self.name = name
        self.folder = Path(folder)
        self.first_port = free_ports(24)
        self.front = self.first_port + 20
        self.process = None
        self.memory_mb = memory_mb
        template = ROOT.joinpath('deploy/settings.yaml').read_text()
        settings = {
            'node': name, 'role': 'entry', 'machineClass': 'edge',
            'serves': ['edge', 'directory'], 'ip': IP, 'zone': 'z1',
            'region': 'r1', 'zones': {'z1': 'r1'},
            'listen': {
                'front': f'{IP}:{self.front}',
                'ready': f'{IP}:{self.first_port + 21}',
                'directory': f'{IP}:{self.first_port + 22}',
            },
            'portRange': [self.first_port, self.first_port + 15],
            'seeds': [], 'bootstrap': True, 'countLoss': False,
            'limits': {
                'cpuShare': 0.537, 'cores': 2, 'memoryMb': memory_mb,
                'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0,
            },
            'dataDir': None, 'discovery': 'platform', 'entry': 'directory',
            'heartbeatMs': 1200,
            'tolerate': {'machines': 2, 'zones': 0, 'regions': 0},
            'bounds': bounds,
            'platform': {
                'address': store_address, 'form': 'log', 'writesPerS': 400,
                'readsPerS': 2000, 'parts': 12, 'appendMs': 2.0,
                'recordBytes': 262144, 'callBytes': 2097152, 'keep_s': 300,
            },
        }
        self.path = self.folder / f'{name}.yaml'
        self.path.write_text(
            template.replace('{{.|json}}', json.dumps(settings))
        )
        self.log_path = self.folder / f'{name}.log'

    async def start(self):
        deploy = tomllib.loads(ROOT.joinpath('deploy/system.toml').read_text())
        words = deploy['roles']['entry']['run'].split()
        kept = ('PATH', 'HOME', 'LANG')
        environment = {
            name: os.environ[name] for name in kept if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['EBONYWELL_NODE_FILE'] = str(self.path)
        with open(self.log_path, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_running():
            self.process.send_signal(number)

    def resident_mb(self):
        """Return the resident memory in MB of a million bytes."""
        try:
            with open(f'/proc/{self.process.pid}/status') as status:
                for line in status:
                    if line.startswith('VmRSS:'):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return 0.0

    async def is_ready(self):
        try:
            client = await Client.open(self.first_port + 21)
        except OSError:
            return False
        try:
            answer = await asyncio.wait_for(client.ask('GET', '/ready', []), 2)
            return answer.status == 200
        except asyncio.TimeoutError:
            return False
        finally:
            client.close()

    def log_lines(self, text):
        if not self.log_path.exists():
            return []
        return [
            line for line in self.log_path.read_text(errors='replace')
            .splitlines() if text in line
        ]


# Clients

class Answer:
    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_whole = False
        self.first_byte_at = None


class Client:
    """A client on one kept connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port):
        return cls(*await asyncio.wait_for(
            asyncio.open_connection(IP, port, limit=2 ** 20), 1
        ))

    def close(self):
        self.writer.transport.abort()

    async def ask(self, method, path, headers, body=b''):
        """Send a request and return its answer, as far as it came."""
        answer = Answer()
        lines = [f'{method} {path} HTTP/1.1']
        lines.extend(f'{name}: {content}' for name, content in headers)
        if method != 'GET' or body:
            lines.append(f'Content-Length: {len(body)}')
        try:
            self.writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            await self.writer.drain()
            await self._read(answer)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        return answer

    async def _read(self, answer):
        head = await self.reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        answer.first_byte_at = time.monotonic()
        answer.status = int(lines[0].split(' ')[1])
        for line in lines[1:]:
            if line:
                name, _, content = line.partition(':')
                answer.headers[name.strip().lower()] = content.strip()
        if 'content-length' in answer.headers:
            length = int(answer.headers['content-length'])
            answer.body = await self.reader.readexactly(length)
            answer.is_whole = True
            return
        # Read in large pieces, so that an answer without end leaves this
        # process time for its other tasks.
        received = bytearray()
        try:
            while not received.endswith(END_OF_CHUNKS):
                piece = await self.reader.read(2 ** 20)
                if not piece:
                    break
                received += piece
                if len(received) > MAX_KEPT_BYTES:
                    del received[:-len(END_OF_CHUNKS)]
                await asyncio.sleep(0)
        finally:
            answer.body = dechunk(bytes(received))
        answer.is_whole = received.endswith(END_OF_CHUNKS)


END_OF_CHUNKS = b'0\r\n\r\n'
MAX_KEPT_BYTES = 1_000_000


def dechunk(received):
    """Return the bodies of the chunks that were received completely."""
    body = b''
    while True:
        line, found, received = received.partition(b'\r\n')
        try:
            size = int(line, 16)
        except ValueError:
            return body
        if not found or not size or len(received) < size + 2:
            return body
        body += received[:size]
        received = received[size + 2:]


KEY = 'i9n73hh2b9wu3fexd9dn'
HOST_NAME = 'ficu95.example'


def request_headers(request_id, deadline_ms, **more):
    headers = [
        ('Host', HOST_NAME), ('Request-Id', request_id),
        ('Deadline-Ms', deadline_ms), ('Authorization', f'Bearer {KEY}'),
    ]
    headers.extend(
        (name.replace('_', '-'), content) for name, content in more.items()
    )
    return headers


# Deployment

BOUNDS = {
    'seedLagS': 3, 'reuseAfterS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 8, 'lossSlackMs': 200,
    'configMs': 2000, 'downgradeMs': 250, 'outerMs': 5000,
    'strictRevoke': True, 'revokeMs': 5000, 'retryBudgetRatio': 0.2,
    'budgetWindowS': 10, 'budgetSlack': 56, 'quotaWindowS': 8,
    'quotaOvershoot': 0.1, 'quotaSlack': 17000, 'recoveryS': 12,
    'passMs': 120, 'retryAfterS': 0, 'requireFence': True, 'leaseMs': 3000,
    'thawMs': 300, 'ceilingWindowS': 5, 'ceilingOvershoot': 1.1,
    'ttl_max_s': 5,
}
SIZES_MB = {f'model{number}': 65500 for number in range(6)}


def make_route(name, kind, service, timeout_ms, goal_ms, **more):
    return {
        'name': name, 'host': HOST_NAME, 'pathPrefix': f'/{name}/',
        'kind': kind, 'service': service, 'timeoutMs': timeout_ms,
        'goalMs': goal_ms, 'priority': 1, 'maxAttempts': 2,
        'anonymous': False, **more,
    }


def make_config(version=1):
    models = [
        {
            'name': name, 'weightsMb': size, 'loadS': 1.2, 'diskS': 0.78,
            'warmS': 0.6, 'adapters': 23, 'adapterMb': 66,
        }
        for name, size in SIZES_MB.items()
    ]
    engine = {
        'slots': 64, 'kvCapacityTokens': 165614, 'weightsMb': 200000,
        'adapterSlots': 8, 'loadsPerS': 2.4, 'models': models,
    }
    streams = {'gapAimMs': 200, 'sessionAffinity': True}
    return {
        'version': version,
        'routes': [
            make_route('quote', 'streaming', 'lm-pool', 4000, 600,
                       **{**streams, 'maxAttempts': 1}),
            make_route('recon', 'streaming', 'lm-pool', 6000, 1500,
                       allowResume=True, **streams),
            make_route('book', 'non_idempotent', 'orders-app', 1500, 400,
                       maxAttempts=1),
            make_route('look', 'idempotent', 'orders-app', 1500, 400),
        ],
        'services': [
            {'name': 'lm-pool', 'maxConns': 370, 'healthPath': '/health',
             'engine': engine},
            {'name': 'orders-app', 'maxConns': 110, 'healthPath': '/health'},
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4194304,
            'headerTimeoutMs': 5000, 'idleTimeoutMs': 30000,
        },
        'tenants': [
            {'name': 'hule930', 'apiKeys': [KEY], 'unit': 'tokens',
             'plainTokens': 200, 'ratePerS': 0, 'burst': 0},
        ],
    }


class Deployment:
    """A small deployment; all that it started ends with the context."""

    def __init__(self, folder, record, hosts=2, memory_mb=300):
        self.folder = folder
        self.record = record
        self.store = Store(record)
        self.replicas = {}
        self.hosts = {}
        self.host_names = [f'edge-z1-{one + 1}' for one in range(hosts)]
        self.memory_mb = memory_mb
        self.tasks = []

    def add(self, replica):
        self.replicas[replica.name] = replica

    async def __aenter__(self):
        await self.store.open()
        self.store.put('keyed.op', 'config', make_config())
        for replica in self.replicas.values():
            await replica.start()
            self.spawn(replica.keep_alive())
        return self

    async def start_hosts(self):
        for name in self.host_names:
            host = Host(
                name, self.folder, self.store.address, BOUNDS, self.memory_mb
            )
            self.hosts[name] = host
            await host.start()
        ends_at = time.monotonic() + 20
        for host in self.hosts.values():
            while not await host.is_ready():
                if time.monotonic() > ends_at or not host.is_running():
                    raise Unable(f'{host.name} did not become ready')
                await asyncio.sleep(0.1)
        self.record('all hosts are ready')

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def __aexit__(self, *error):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for replica in self.replicas.values():
            for task in replica.tasks:
                task.cancel()
        for host in self.hosts.values():
            host.signal(signal.SIGKILL)
            if host.process is not None:
                await host.process.wait()
        for replica in self.replicas.values():
            await replica.close()
        await self.store.close()
        for replica in self.replicas.values():
            if replica.overfull:
                self.record(f'{replica.name} was ordered to hold too much')


class Unable(Exception):
    """The case could not run."""


def main(folder, play):
    """Play a case; exit with 1 if a rule was broken, 0 if not, 2 if unable."""
    import tempfile
    record = Record(folder)
    record(f'TROUBLE={int(TROUBLE)}')
    with tempfile.TemporaryDirectory(prefix='ebonywell-review-') as scratch:
        try:
            code = asyncio.run(asyncio.wait_for(
                play(scratch, record), MAX_PLAY_S
            ))
        except Exception as error:
            record.say(f'could not run: {error!r}')
            code = UNABLE
    record.say({HELD: 'held', BROKEN: 'BROKEN', UNABLE: 'unable'}[code])
    sys.stdout.flush()
    os._exit(code)
