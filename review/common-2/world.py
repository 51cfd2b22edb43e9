# flake8: noqa
"""Small deployment on loopback: real hosts before stand-ins, stdlib only.

The stand-ins follow the users' pages: the platform's store, the replicas of
plain services and of model engines, and clients. Hosts are started with the
command of the deploy file, each as a process of its own.
"""

import asyncio
import base64
import collections
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
API_KEY = 'key-of-team'
HEARTBEAT_S = 1.2
CONNECTION_ERRORS = (OSError, asyncio.IncompleteReadError, ValueError)

# Bounds as the sheets of the small deployments state them.
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


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, what, **fields):
        told = ' '.join(f'{key}={value}' for key, value in fields.items())
        self.file.write(f'{self.now():8.3f} {what} {told}\n')
        self.file.flush()


# HTTP, as far as the stand-ins need it


async def read_head(reader):
    """Return the first line and the headers of a message, None at its end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = raw[:-4].decode('latin-1').split('\r\n')
    pairs = [line.partition(':') for line in lines[1:]]
    return lines[0], {name.lower(): text.strip() for name, _, text in pairs}


async def read_chunked(reader):
    body = bytearray()
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        if size:
            body += await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
        if not size:
            return bytes(body)


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        return await read_chunked(reader)
    length = int(headers.get('content-length', '0'))
    return await reader.readexactly(length) if length else b''


def encode_answer(status, body=b'', headers=None):
    lines = [f'HTTP/1.1 {status} Status', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in (headers or {}).items()]
    return '\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n' + body


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


def free_port(ip='127.0.0.1'):
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


# The platform's store


class Store:
    """The platform's log, with one listening address for each host.

    modes: by host, 'ok', 'busy' (503) or 'silent' (no answer).
    """

    def __init__(self, record):
        self.record = record
        self.parts = {}
        self.era = 0
        self.changed = asyncio.Event()
        self.modes = collections.defaultdict(lambda: 'ok')
        self.servers = []
        # By host, changes what it reads of a topic; see `Links`.
        self.rewrites = {}
        # Heads of appends that were answered: (time, host, topic, part, n).
        self.appends = []

    async def listen(self, host):
        async def serve(reader, writer):
            await self.serve(host, reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        self.servers.append(server)
        return f'127.0.0.1:{server.sockets[0].getsockname()[1]}'

    def put(self, topic, key, content):
        value = b'' if content is None else json.dumps(content).encode()
        self.parts.setdefault((topic, 0), []).append((key, value))
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, host, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                body = await read_body(reader, head[1])
                if self.modes[host] == 'silent':
                    await asyncio.sleep(3600)
                if self.modes[host] == 'busy':
                    writer.write(
                        encode_answer(503, b'', {'Store-Era': self.era})
                    )
                    continue
                await asyncio.sleep(0.004)
                status, told = await self.answer(host, head[0], body)
                if self.modes[host] == 'silent':
                    await asyncio.sleep(3600)
                writer.write(
                    encode_answer(status, told, {'Store-Era': self.era})
                )
                await writer.drain()
        except CONNECTION_ERRORS + (asyncio.CancelledError,):
            pass
        finally:
            writer.close()

    async def answer(self, host, line, body):
        method, target, _ = line.split(' ')
        split = urlsplit(target)
        query = {name: one[0] for name, one in parse_qs(split.query).items()}
        key = (query.get('topic', ''), int(query.get('part', 0)))
        if split.path == '/log-newest':
            return 200, self.newest(host, key)
        if split.path == '/log-read':
            return await self.read(host, key, query)
        if split.path == '/log-append':
            return self.append(host, key, query, body)
        return 404, b''

    def seen_by(self, host, key, value):
        rewrite = self.rewrites.get(host)
        if rewrite is None or key[0] != 'keyed.servers' or not value:
            return value
        return rewrite(value)

    def newest(self, host, key):
        records = self.parts.get(key, [])
        found = {}
        for offset, (name, value) in enumerate(records):
            found[name] = (offset, value)
        items = [
            {
                'key': name,
                'value': base64.b64encode(
                    self.seen_by(host, key, value)
                ).decode(),
                'offset': offset,
            }
            for name, (offset, value) in found.items()
            if value
        ]
        told = {'items': items, 'hasMore': False, 'end': len(records)}
        return json.dumps(told).encode()

    async def read(self, host, key, query):
        start = int(query['from'])
        if start > len(self.parts.get(key, [])):
            return 410, b'{"first":0}'
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        era = self.era
        while len(self.parts.get(key, [])) <= start and era == self.era:
            left = until - time.monotonic()
            if left <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                break
        records = self.parts.get(key, [])
        if start > len(records):
            return 410, b'{"first":0}'
        out = len(records).to_bytes(8, 'big') + bytes(8)
        for name, value in records[start:]:
            value = self.seen_by(host, key, value)
            one = bytes((len(name),)) + name.encode() + value
            out += len(one).to_bytes(4, 'big') + one
        return 200, out

    def append(self, host, key, query, body):
        if key[0] in {'keyed.op', 'keyed.servers'}:
            return 403, b''
        records = self.parts.setdefault(key, [])
        end = len(records)
        if 'at' in query and int(query['at']) != end:
            return 412, json.dumps({'end': end}).encode()
        position = 0
        while position < len(body):
            size = int.from_bytes(body[position : position + 4], 'big')
            one = body[position + 4 : position + 4 + size]
            split = 1 + one[0]
            records.append((one[1:split].decode(), one[split:]))
            position += 4 + size
        self.appends.append((time.monotonic(), host, key, len(records) - end))
        self.notify()
        told = {'offset': end, 'end': len(records)}
        return 200, json.dumps(told).encode()

    def copy(self):
        return {key: list(records) for key, records in self.parts.items()}

    def roll_back(self, copy):
        """Come back from a copy; others' records are written again."""
        lost = {
            key: records[len(copy.get(key, [])) :]
            for key, records in self.parts.items()
            if key[0] in {'keyed.op', 'keyed.servers'}
        }
        self.era += 1
        self.parts = {key: list(records) for key, records in copy.items()}
        for key, records in lost.items():
            self.parts.setdefault(key, []).extend(records)
        self.record('store_rolled_back', era=self.era)
        self.notify()


# Replicas


class Request:
    def __init__(self, line, headers, body, replica):
        self.method, self.path, _ = line.split(' ')
        self.headers = headers
        self.body = body
        self.replica = replica
        self.id = headers.get('request-id', '')


class Replica:
    """A replica of a service; of a model engine if it has models.

    `handle` may be replaced: it takes the request and the writer, and returns
    whether the connection goes on.
    """

    def __init__(self, world, name, service, models=None, version='v1',
                 slots=6, work_s=0.03, ip='127.0.0.1'):
        self.world = world
        self.name = name
        self.service = service
        self.version = version
        self.models = None
        if models is not None:
            self.models = {one: set() for one in models}
        self.slots = slots
        self.work_s = work_s
        self.ip = ip
        self.state = 'ready'
        self.seq = 0
        self.fence = 0
        self.beats = 0
        self.born = int(time.time() * 1000)
        self.address = ''
        self.server = None
        self.writers = set()
        self.runs = []
        self.orders = []
        self.handle = self.serve_request
        # Called before the body of a request is read; see `serve`.
        self.before_body = None
        self.is_registered = True
        self.extra_headers = {}
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, self.ip, port, limit=2**20
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'{self.ip}:{port}'
        self.announce()

    def announce(self):
        self.beats += 1
        self.world.store.put('keyed.servers', self.name, self.entry())

    def entry(self):
        entry = {
            'service': self.service, 'address': self.address, 'zone': 'z1',
            'version': self.version, 'slots': self.slots, 'state': self.state,
            'coldLeftMs': 0, 'seq': self.beats, 'born': self.born,
        }
        if self.models is not None:
            entry['stage'] = 'prefill_decode'
            entry['models'] = self.list_models()
        return entry

    def list_models(self):
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def crash(self):
        """Reset all connections and refuse new ones."""
        self.server.close()
        for writer in list(self.writers):
            reset(writer)
        for task in list(self.tasks):
            task.cancel()

    async def restart(self):
        """Start again empty, under the same id and address."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.fence = 0
        if self.models is not None:
            self.models = {}
        self.state = 'ready'
        await self.start(int(self.address.rpartition(':')[2]))

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                if self.before_body is not None:
                    await self.before_body(line, headers, reader, writer)
                body = await read_body(reader, headers)
                request = Request(line, headers, body, self)
                goes_on = await self.answer(request, writer)
                await writer.drain()
                if not goes_on:
                    break
        except CONNECTION_ERRORS + (asyncio.CancelledError,):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        path = request.path
        if path == '/report':
            writer.write(encode_answer(200, self.report()))
            return True
        if path == '/order':
            status = self.take_order(request)
            writer.write(encode_answer(status, b'{}'))
            return True
        if path == '/health':
            writer.write(encode_answer(200, b'', {'Instance-Id': self.name}))
            return True
        expected = request.headers.get('expect-instance')
        if expected not in (None, self.name):
            writer.write(
                encode_answer(421, b'', {'Instance-Id': self.name,
                                         'Request-Id': request.id})
            )
            return True
        if not request.id:
            writer.write(encode_answer(400, b'', {'Not-Executed': '1'}))
            return True
        model = request.headers.get('model', '')
        if self.models is not None and not self.holds(model):
            writer.write(
                encode_answer(421, b'', {'Instance-Id': self.name,
                                         'Request-Id': request.id})
            )
            return True
        return await self.handle(request, writer)

    def holds(self, named):
        model, _, adapter = named.partition('/')
        held = self.models.get(model)
        return held is not None and (not adapter or adapter in held)

    def note_run(self, request):
        self.runs.append((time.monotonic(), request.id))
        self.world.runs[request.id].append(self.name)
        self.world.record(
            'run', id=request.id, at=self.name, path=request.path,
            version=self.version,
        )

    def seal(self, request):
        return {
            'Request-Id': request.id,
            'Response-Seal': f'seal.{request.id}.{self.name}',
            'Server-Load': f'1,0,{self.slots}',
            **self.extra_headers,
        }

    async def serve_request(self, request, writer):
        """Run a request soundly: one body, or a stream on an engine."""
        self.note_run(request)
        if self.models is not None:
            return await self.stream(request, writer)
        await asyncio.sleep(self.work_s)
        body = f'{request.id} ran at {self.name}\n'.encode()
        writer.write(encode_answer(200, body, self.seal(request)))
        return True

    async def stream(self, request, writer, events=20, gap_s=0.05):
        """Stream events; go on after `Last-Event-Id` if it is given."""
        first = int(request.headers.get('last-event-id') or 0) + 1
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream',
                 'Transfer-Encoding: chunked']
        lines += [f'{key}: {one}' for key, one in self.seal(request).items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        for number in range(first, events + 1):
            await asyncio.sleep(gap_s)
            event = (f'id: {number}\ndata: version {self.version} '
                     f'from {self.name}\n\n').encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        return True

    def report(self):
        return json.dumps({
            'stage': 'prefill_decode', 'models': self.list_models(),
            'busy': False, 'seq': self.seq, 'queued': 0, 'running': 0,
            'kvUsed': 0, 'kvTotal': 100_000, 'handles': 0, 'born': self.born,
        }).encode()

    def take_order(self, request):
        order = json.loads(request.body)
        status = self.judge_order(request, order)
        self.orders.append(
            (time.monotonic(), order.get('holder'), order.get('fence'), status)
        )
        self.world.record(
            'order', at=self.name, status=status,
            **{key: order.get(key) for key in (
                'operation', 'model', 'adapter', 'holder', 'fence',
                'precondition')},
        )
        return status

    def judge_order(self, request, order):
        if request.headers.get('expect-instance') not in (None, self.name):
            return 421
        if 'holder' not in order or 'fence' not in order:
            return 400
        if order['fence'] < self.fence:
            return 412
        self.fence = order['fence']
        if order.get('precondition', self.seq) != self.seq:
            return 409
        model, adapter = order['model'], order.get('adapter')
        if order['operation'] == 'load':
            if adapter:
                if model not in self.models:
                    return 400
                if adapter in self.models[model]:
                    return 200
                self.models[model].add(adapter)
            else:
                if model in self.models:
                    return 200
                self.models[model] = set()
        else:
            if model not in self.models:
                return 200
            if adapter:
                self.models[model].discard(adapter)
                self.seq += 1
                return 200
            self.models.pop(model)
        self.seq += 1
        return 202


# Hosts


class Host:
    def __init__(self, world, name, ip, store_address, memory_mb, zone):
        self.world = world
        self.name = name
        self.ip = ip
        ports = world.ports
        self.front = (ip, ports['front'])
        settings = {
            'node': name, 'role': 'entry', 'machineClass': 'edge',
            'serves': ['edge', 'directory'], 'ip': ip, 'zone': zone,
            'region': 'r', 'zones': {zone: 'r'},
            'listen': {
                'front': f'{ip}:{ports["front"]}',
                'ready': f'{ip}:{ports["ready"]}',
                'directory': f'{ip}:{ports["directory"]}',
            },
            'portRange': [ports['first'], ports['first'] + 15],
            'seeds': [], 'bootstrap': True, 'countLoss': False,
            'limits': {
                'cpuShare': 0.537, 'cores': 2, 'memoryMb': memory_mb,
                'maxFds': 4100, 'linkMbps': 1000.0, 'diskMb': 0,
            },
            'dataDir': None, 'discovery': 'platform', 'entry': 'directory',
            'heartbeatMs': 1200, 'bounds': world.bounds,
            'platform': {'address': store_address, 'form': 'log',
                         'writesPerS': 400, 'readsPerS': 2000},
        }
        self.path = world.folder / f'{name}.yaml'
        # JSON is YAML.
        self.path.write_text('host: ' + json.dumps(settings) + '\n')
        self.log_path = world.folder / f'{name}.log'
        self.process = None
        self.ends = []

    def start(self):
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = shlex.split(role['roles']['entry']['run'])
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['EBONYWELL_NODE_FILE'] = str(self.path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL,
            )
        self.world.record('host_started', host=self.name)

    def send_signal(self, number):
        self.world.record('signal', host=self.name, number=number.name)
        self.process.send_signal(number)

    def kill(self):
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def memory_mb(self):
        """Return the resident memory of the process, in MB."""
        try:
            text = Path(f'/proc/{self.process.pid}/statm').read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE') / 2**20

    def log(self):
        return self.log_path.read_text(errors='replace')

    async def is_ready(self):
        try:
            answer = await ask(
                (self.ip, self.world.ports['ready']), 'GET', '/ready', {},
                timeout_s=1,
            )
        except CONNECTION_ERRORS + (TimeoutError,):
            return False
        return answer.status == 200


# Clients


class Answer:
    """What a client got: a status of 0 means that no head arrived."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_whole = False
        self.error = ''
        self.took_s = 0


async def ask(address, method, path, headers, body=b'', timeout_s=10,
              send=None, connection=None):
    """Send a request and return the answer, as far as it arrived.

    Parameters
    ----------
    send : coroutine function or None
        Sends the body in a way of its own.
    connection : Connection or None
        A connection to keep.
    """
    answer = Answer()
    started = time.monotonic()
    own = connection is None
    connection = connection or Connection(address)
    try:
        async with asyncio.timeout(timeout_s):
            await connection.open()
            await connection.exchange(
                answer, method, path, headers, body, send
            )
    except TimeoutError:
        answer.error = 'timeout'
        connection.close()
    except CONNECTION_ERRORS as error:
        answer.error = repr(error)
        connection.close()
    answer.took_s = time.monotonic() - started
    if own:
        connection.close()
    return answer


class Connection:
    def __init__(self, address):
        self.address = address
        self.reader = None
        self.writer = None

    async def open(self):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(
                *self.address, limit=2**20
            )

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def exchange(self, answer, method, path, headers, body, send):
        lines = [f'{method} {path} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        if send is None and (body or method != 'GET'):
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join(lines).encode('latin-1') + b'\r\n\r\n')
        if send is None:
            self.writer.write(body)
        else:
            await send(self.writer)
        head = await read_head(self.reader)
        if head is None:
            answer.error = 'closed'
            self.close()
            return
        line, answer.headers = head
        answer.status = int(line.split(' ')[1])
        if answer.headers.get('transfer-encoding') == 'chunked':
            await self.read_stream(answer)
        else:
            answer.body = await read_body(self.reader, answer.headers)
        answer.is_whole = True
        if answer.headers.get('connection', '').lower() == 'close':
            self.close()

    async def read_stream(self, answer):
        body = bytearray()
        try:
            while True:
                line = await self.reader.readuntil(b'\r\n')
                size = int(line, 16)
                if size:
                    body += await self.reader.readexactly(size)
                await self.reader.readuntil(b'\r\n')
                if not size:
                    return
        finally:
            answer.body = bytes(body)


# Links between a host and the replicas


class Links:
    """Proxies between one host and all replicas, which can be cut.

    Each host has to be in a zone of its own, since hosts of a zone tell each
    other the addresses of replicas. mode: 'ok', 'hang', 'refuse'.
    """

    def __init__(self, world, host_name):
        self.world = world
        self.mode = 'ok'
        self.ports = {}
        self.servers = {}
        self.pairs = set()
        world.store.rewrites[host_name] = self.rewrite

    async def add(self, replica):
        async def serve(reader, writer):
            await self.forward(replica, reader, writer)

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        self.ports[replica.address] = f'127.0.0.1:{port}'
        self.servers[replica.address] = (serve, server, port)

    def rewrite(self, value):
        entry = json.loads(value)
        entry['address'] = self.ports.get(entry['address'], entry['address'])
        return json.dumps(entry).encode()

    async def set(self, mode):
        """Cut or heal the links; `reset` cuts with resets, then refuses."""
        before, self.mode = self.mode, mode
        self.world.record('links', mode=mode)
        if mode == 'refuse':
            for _, server, _ in self.servers.values():
                server.close()
            for pair in list(self.pairs):
                for writer in pair:
                    reset(writer)
        elif before == 'refuse':
            for address, (serve, _, port) in list(self.servers.items()):
                server = await asyncio.start_server(serve, '127.0.0.1', port)
                self.servers[address] = (serve, server, port)

    async def forward(self, replica, reader, writer):
        ip, _, port = replica.address.partition(':')
        pair = None
        try:
            there, to = await asyncio.open_connection(ip, int(port))
            pair = (writer, to)
            self.pairs.add(pair)
            await asyncio.gather(
                self.copy(reader, to), self.copy(there, writer)
            )
        except CONNECTION_ERRORS + (asyncio.CancelledError,):
            pass
        finally:
            self.pairs.discard(pair)
            for one in pair or (writer,):
                reset(one)

    async def copy(self, reader, writer):
        while True:
            got = await reader.read(65536)
            while self.mode == 'hang':
                await asyncio.sleep(0.02)
            if not got:
                if writer.can_write_eof():
                    writer.write_eof()
                raise ConnectionResetError
            writer.write(got)
            await writer.drain()


# The whole


def route(name, kind, service, **fields):
    return {
        'name': name, 'host': 'app.example', 'pathPrefix': f'/{name}/',
        'kind': kind, 'timeoutMs': 4000, 'goalMs': 400, 'priority': 1,
        'service': service, 'maxAttempts': 2, 'anonymous': False,
        'sessionAffinity': False, 'allowResume': False, **fields,
    }


def configuration(version=1, keys=(API_KEY,), routes=None, **limits):
    models = [
        {'name': f'm{number}', 'weightsMb': 60_000.0, 'loadS': 0.3,
         'warmS': 0.1, 'diskS': 0.2, 'adapters': 9, 'adapterMb': 40.0}
        for number in range(1, 7)
    ]
    engine = {
        'slots': 64, 'kvCapacityTokens': 165_614, 'weightsMb': 200_000.0,
        'adapterSlots': 8, 'loadsPerS': 2.4, 'stride': 2, 'models': models,
    }
    return {
        'version': version,
        'routes': routes or [
            route('look', 'idempotent', 'desk'),
            route('book', 'non_idempotent', 'desk'),
            route('chat', 'streaming', 'pool', timeoutMs=15_000),
            route('batch', 'streaming', 'pool', timeoutMs=15_000,
                  allowResume=True),
        ],
        'services': [
            {'name': 'desk', 'healthPath': '/health', 'maxConns': 110,
             'protocol': 'h1', 'tls': False},
            {'name': 'pool', 'healthPath': '/health', 'maxConns': 370,
             'protocol': 'h1', 'tls': False, 'engine': engine},
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 4_194_304,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15_000, **limits,
        },
        'tenants': [
            {'name': 'team', 'apiKeys': list(keys), 'priority': 1,
             'unit': 'tokens', 'plainTokens': 200, 'ratePerS': 6_000_000,
             'burst': 6_000_000},
        ],
    }


class World:
    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(self.record)
        self.runs = collections.defaultdict(list)
        self.replicas = {}
        self.hosts = {}
        self.bounds = dict(BOUNDS)
        self.ports = self.pick_ports()
        # A network of its own, so that plays side by side don't meet.
        self.network = f'127.{random.randrange(1, 250)}.{os.getpid() % 250}'
        self.ids = 0
        self.prefix = f'{random.getrandbits(32):08x}'
        self.beating = None

    def pick_ports(self):
        first = random.randrange(20_000, 28_000, 50)
        return {'first': first, 'front': first + 21, 'ready': first + 24,
                'directory': first + 20}

    async def add_replica(self, name, service, **options):
        replica = Replica(self, name, service, **options)
        self.replicas[name] = replica
        await replica.start()
        return replica

    async def add_host(self, name, memory_mb=300, zone='z1'):
        ip = f'{self.network}.{11 + len(self.hosts)}'
        address = await self.store.listen(name)
        host = Host(self, name, ip, address, memory_mb, zone)
        self.hosts[name] = host
        host.start()
        return host

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas.values():
                if replica.is_registered and replica.server.is_serving():
                    replica.announce()

    async def wait_ready(self, timeout_s=20):
        if self.beating is None:
            self.beating = asyncio.create_task(self.beat())
        until = time.monotonic() + timeout_s
        for host in self.hosts.values():
            while not await host.is_ready():
                if time.monotonic() > until:
                    raise TimeoutError(f'{host.name} is not ready')
                await asyncio.sleep(0.1)

    def new_id(self):
        self.ids += 1
        return f'{self.prefix}{self.ids:06d}'

    async def ask(self, host, path, method='POST', body=b'', key=API_KEY,
                  deadline_ms=4000, request_id=None, timeout_s=None,
                  send=None, connection=None, **more):
        """Send a client's request, and record it with its answer."""
        request_id = request_id or self.new_id()
        headers = {'Host': 'app.example', 'Request-Id': request_id,
                   'Deadline-Ms': str(deadline_ms)}
        if key:
            headers['Authorization'] = f'Bearer {key}'
        for name, text in more.items():
            headers[name.replace('_', '-')] = text
        self.record('send', id=request_id, to=host.name, path=path,
                    bytes=len(body))
        answer = await ask(host.front, method, path, headers, body,
                           timeout_s or deadline_ms / 1000 + 2, send,
                           connection)
        answer.id = request_id
        self.record('answer', id=request_id, status=answer.status,
                    whole=answer.is_whole, error=answer.error or '-',
                    bytes=len(answer.body), took_s=f'{answer.took_s:.3f}')
        return answer

    def stop(self):
        for host in self.hosts.values():
            if host.is_running():
                host.process.kill()
                host.process.wait()
        if os.environ.get('KEEP_LOGS'):
            print('logs in', self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(scenario, case_file):
    """Run a scenario; exit with its result: 0 held, 1 broken, 2 not run."""

    def end(number, frame):
        # Lets `run` end the hosts.
        sys.exit(2)

    async def run():
        signal.signal(signal.SIGTERM, end)
        world = World(Path(case_file).resolve().parent / 'record.txt')
        try:
            return await asyncio.wait_for(scenario(world), 115)
        finally:
            world.stop()

    try:
        broken = asyncio.run(run())
    except Exception as error:
        import traceback
        traceback.print_exc()
        print('could not run:', repr(error))
        sys.exit(2)
    for one in broken:
        print('broken:', one)
    print('result:', 'broken' if broken else 'held')
    os._exit(1 if broken else 0)
