"""Stand-ins and helpers of the second review's scripts; standard library only.

A small deployment on loopback: the platform's store, replicas, and hosts that
are started with the command of the deploy file. Each behaves as the users'
pages say unless a case changes it.
"""

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
ID = 'x-almonddock-attempt-id'
DEADLINE = 'x-almonddock-request-deadline-ms'
STAMP = 'x-almonddock-response-stamp'
EXPECTED = 'x-almonddock-expected-instance'
NOT_EXECUTED = 'x-almonddock-not-executed'
INSTANCE = 'x-almonddock-instance-id'
STATUS_TEXT = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    500: 'Internal Server Error',
    503: 'Service Unavailable',
}
HOST_NAME = 'desk.example'
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


def pick_free_ip():
    """Returns a loopback address on which the metrics port is free."""
    while True:
        ip = '127.%d.%d.%d' % (
            random.randint(20, 250),
            random.randint(0, 250),
            random.randint(2, 250),
        )
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((ip, 9464))
            return ip


def pick_free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / 'record.txt', 'w')
        self._start = time.monotonic()

    def add(self, text):
        at = time.monotonic() - self._start
        self._file.write(f'{at:8.3f} {text}\n')

    def close(self):
        self._file.close()


class Message:
    """A request or a response."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def find(self, name):
        return next((v for k, v in self.headers if k == name), None)

    def count(self, name):
        return sum(k == name for k, _ in self.headers)

    @property
    def method(self):
        return self.start.split(' ')[0]

    @property
    def path(self):
        return self.start.split(' ')[1]

    @property
    def status(self):
        return int(self.start.split(' ')[1])


async def read_head(reader):
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.lower(), value.strip()))
    return Message(lines[0], headers, b'')


async def read_message(reader):
    """Reads one message with its body; bodies have a length or chunks."""
    message = await read_head(reader)
    if message.find('transfer-encoding') == 'chunked':
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return message
            message.body += part[:-2]
    length = int(message.find('content-length') or 0)
    message.body = await reader.readexactly(length)
    return message


def format_response(status, headers, body, close=False):
    lines = [f'HTTP/1.1 {status} {STATUS_TEXT[status]}']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'content-length: {len(body)}')
    if close:
        lines.append('connection: close')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1') + body


class Store:
    """The platform's store, in memory, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self._next_lease = 100
        self._changed = asyncio.Event()
        self.server = None
        self.address = ''

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 24
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def put(self, key, body, lease=0):
        self._put_raw(key, json.dumps(body).encode(), lease)

    def _put_raw(self, key, content, lease):
        self.revision += 1
        before = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'create_revision': (
                before['create_revision'] if before else self.revision
            ),
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    def _note(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (ends, _) in tuple(self.leases.items()):
            if ends <= now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, OSError
        ):
            while True:
                call = await read_message(reader)
                status, answer = await self._answer(call)
                encoded = json.dumps(answer).encode()
                writer.write(format_response(status, (), encoded))
                await writer.drain()
        writer.close()

    async def _answer(self, call):
        self._expire()
        url = urlsplit(call.path)
        query = {
            k: v[0]
            for k, v in parse_qs(url.query, keep_blank_values=True).items()
        }
        name = url.path.removeprefix('/-/kv-')
        body = json.loads(call.body or b'{}')
        if name == 'key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, {})
        if name == 'range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix'])
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys[:500]],
                'truncated': len(keys) > 500,
                'current_rev': self.revision,
            }
        if name == 'watch':
            return await self._watch(query)
        if name == 'txn':
            return self._commit(body)
        if name == 'lease':
            self._next_lease += 1
            seconds = body['ttl_ms'] / 1000
            ends = time.monotonic() + seconds
            self.leases[self._next_lease] = (ends, seconds)
            return 200, {'lease': self._next_lease, 'ttl_ms': body['ttl_ms']}
        action, _, lease = name.partition('/')
        if not lease or int(lease) not in self.leases:
            return 404, {}
        if action == 'keep':
            seconds = self.leases[int(lease)][1]
            self.leases[int(lease)] = (time.monotonic() + seconds, seconds)
        else:
            self._end_lease(int(lease))
        return 200, {}

    async def _watch(self, query):
        after = int(query['after'])
        ends = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                event
                for event in self.events
                if event['revision'] > after
                and event['key'].startswith(query['prefix'])
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'current_rev': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _commit(self, body):
        for row in body['expect']:
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                found = [
                    self.items[one['key']]
                    for one in body['expect']
                    if one['key'] in self.items
                ]
                return 412, {'items': found}
        for put in body['puts']:
            if put['lease'] and put['lease'] not in self.leases:
                return 404, {}
        for put in body['puts']:
            content = base64.b64decode(put['value'])
            self._put_raw(put['key'], content, put['lease'])
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}


class Replica:
    """A replica that runs each request at once.

    ``run`` returns status and body of a request; ``after`` may act on the
    connection once the answer is written.
    """

    def __init__(self, name, service, record, zone='zone-a'):
        self.name = name
        self.service = service
        self.zone = zone
        self.record = record
        #: Attempt id, start line and body of each request that ran.
        self.runs = []
        #: What was answered to each attempt: status and body.
        self.answered = {}
        self.address = ''
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self._beats = None
        self._server = None
        #: Open connections.
        self.writers = set()

    async def start(self, store):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 24
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self._beats = asyncio.create_task(self._beat(store))

    def write_entry(self, store, state='ready'):
        self.sequence += 1
        store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': 4,
                'state': state,
                'warmup_left_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    async def _beat(self, store):
        while True:
            self.write_entry(store)
            await asyncio.sleep(1.2)

    async def run(self, request):
        """Returns the status and the body of the answer."""
        return 200, hashlib.sha256(request.find(ID).encode()).digest()

    async def after(self, writer, request, encoded):
        """Called once an answer has been written."""

    async def before(self, writer, request):
        """Called once the next request has been read."""

    def make_stamp(self, attempt, status):
        return f'{self.name}.{attempt}.{status}'

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, OSError
        ):
            while True:
                request = await read_message(reader)
                await self.before(writer, request)
                encoded = await self._answer(request)
                writer.write(encoded)
                await writer.drain()
                await self.after(writer, request, encoded)
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, request):
        attempt = request.find(ID)
        if request.path == '/health':
            return format_response(200, [(INSTANCE, self.name)], b'')
        if attempt is None:
            return format_response(400, [(NOT_EXECUTED, 'no id')], b'')
        if request.find(EXPECTED) not in {None, self.name}:
            return format_response(421, [(ID, attempt)], b'')
        self.runs.append((attempt, request.start, request.body))
        status, body = await self.run(request)
        self.answered[attempt] = (status, body)
        self.record.add(
            f'replica {self.name} ran {attempt}: {request.start!r} with '
            f'{len(request.body)} bytes of body, answers {status}'
        )
        headers = [(ID, attempt), (STAMP, self.make_stamp(attempt, status))]
        return format_response(status, headers, body)


def make_service(name):
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': 30,
        'protocol': 'h1',
        'tls': False,
        'warmup_s': 3.0,
        'warmup_per_s': 0.0,
    }


def make_route(name, prefix, **fields):
    return {
        'name': name,
        'host': HOST_NAME,
        'prefix': prefix,
        'type': 'safe',
        'timeout_ms': 8000,
        'target_latency_ms': 854,
        'priority': 1,
        'max_attempts': 2,
        **fields,
    }


def make_configuration(version, routes, services, **fields):
    return {
        'version': version,
        'routes': routes,
        'services': [make_service(name) for name in services],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        **fields,
    }


class Host:
    """One host, started with the command of the deploy file."""

    def __init__(self, name, zone, store, folder, bounds=None, **fields):
        self.name = name
        self.ip = pick_free_ip()
        self.front = (self.ip, pick_free_port(self.ip))
        self.ready = (self.ip, pick_free_port(self.ip))
        internal = pick_free_port(self.ip)
        self.path = pathlib.Path(folder) / f'{name}.json'
        self.log = pathlib.Path(folder) / f'{name}.log'
        self.process = None
        self.settings = {
            'node_name': name,
            'role': 'host',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.ip,
            'zone': zone,
            'region': 'region-a',
            'zones': {'zone-a': 'region-a', 'zone-b': 'region-a'},
            'listen_addrs': {
                'front': f'{self.ip}:{self.front[1]}',
                'ready_addr': f'{self.ip}:{self.ready[1]}',
            },
            'internal_ports': [internal, internal + 15],
            'seeds': [],
            'bootstrap': True,
            'tolerance_member': False,
            'limits': {
                'cpu_share': 0.817,
                'cpu_cores': 2,
                'memory_mb': 430,
                'max_fds': 6150,
                'link_mbps': 1500.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry'],
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': {
                'seed_lag_s': 3,
                'addr_reuse_s': 2,
                'contact_ms': 4000,
                'ack_ms': 5000,
                'catch_up_s': 4,
                'drain_ms': 3000,
                'grace_s': 6,
                'loss_slack_ms': 200,
                'config_apply_ms': 3000,
                'rollback_slack_ms': 250,
                'max_skew_ms': 12000,
                'retry_budget_ratio': 0.2,
                'retry_window_s': 10,
                'budget_slack': 52,
                'warmup_overshoot': 1.5,
                'warmup_slack': 5,
                'evacuate_ms': 5000,
                'recovery_s': 12,
                **(bounds or {}),
            },
            'platform': {
                'address': store.address,
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
            **fields,
        }

    async def start(self):
        self.path.write_text(json.dumps(self.settings))
        kept = ('PATH', 'HOME', 'LANG')
        env = {k: os.environ[k] for k in kept if k in os.environ}
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['ALMONDDOCK_BOOT'] = str(self.path)
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-S',
                'platform/start.py',
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds=30):
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise Unable(f'{self.name} is not ready after {seconds} s')

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(
                send_once(
                    self.ready, b'GET /-/ready HTTP/1.1\r\nhost: x\r\n\r\n'
                ),
                2,
            )
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return answer.status == 200

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()


class Unable(Exception):
    """The case could not run."""


async def send_once(address, request):
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request)
        return await read_message(reader)
    finally:
        writer.close()


def format_request(method, path, attempt, body=b'', deadline=8000, extra=()):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST_NAME}',
        f'X-Almonddock-Attempt-Id: {attempt}',
        f'X-Almonddock-Request-Deadline-Ms: {deadline}',
        *extra,
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


def make_attempt_id():
    return os.urandom(8).hex()


def run_case(main, limit_s=110):
    """Runs a case; exits with 1 if the rule was broken, 2 if it couldn't."""
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    record = Record(folder)

    async def play():
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(limit_s):
                return await main(record, temporary)

    try:
        broken, summary = asyncio.run(play())
    except Exception as fault:  # noqa: BLE001
        record.add(f'could not run: {fault!r}')
        record.close()
        print(f'could not run: {fault!r}')
        sys.exit(2)
    verdict = 'BROKEN' if broken else 'held'
    record.add(f'rule {verdict}: {summary}')
    record.close()
    print(f'rule {verdict} (TROUBLE={int(TROUBLE)}): {summary}')
    sys.exit(1 if broken else 0)
