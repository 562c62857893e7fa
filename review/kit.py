"""Stand-ins and process control for the scripts of the review.

Only the standard library is used. The platform's store, the replicas and the
requesters run in the process of the script; the hosts of the project run as
separate processes, with the command of the deploy file. Every address is a
loopback address, and every file is in a temporary folder.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ('fukuoka-a', 'kumamoto-b', 'kagoshima-c')
HOST_NAME = 'pupu76.example'
FRONT_PORT = 8104
READY_PORT = 8108
LINK_PORTS = (7380, 7395)
METRICS_PORT = 9464

#: The bounds of the site reedlink-kyu.
BOUNDS = {
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
}

#: The limits for requesters, as `fleetbench wire` shows them.
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 262144,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}

HEARTBEAT_S = 1.2

#: The time that a replica takes for a health check.
HEALTH_WORK_S = 0.001

#: The pause between the end of a process and its restart by the platform.
RESTART_S = 0.5

#: The longest a script may take, with a margin to end its processes.
SCRIPT_LIMIT_S = 110


class CannotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """Collects what was sent, answered and run, for ``record.txt``."""

    def __init__(self, path):
        self._path = path
        self._start = time.monotonic()
        self._lines = []

    def now(self):
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self._start

    def add(self, text):
        """Adds one line with the time."""
        self._lines.append(f'{self.now():9.4f} {text}')

    def close(self, verdict):
        """Writes the file, with the verdict last."""
        self._lines.append(verdict)
        self._path.write_text('\n'.join(self._lines) + '\n')


class Request:
    """A request as a stand-in has read it."""

    def __init__(self, method, url, headers, body):
        self.method = method
        self.url = url
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        """Returns a header by its name in lower case."""
        return self.headers.get(name, default)


class ServerConnection(asyncio.Protocol):
    """Reads requests with a length or without a body, and passes them on."""

    def __init__(self, handle, closed):
        self.transport = None
        self.is_open = False
        self._handle = handle
        self._closed = closed
        self._buffer = b''

    def connection_made(self, transport):
        """Stores the transport."""
        self.transport = transport
        self.is_open = True

    def connection_lost(self, error):
        """Reports the end."""
        self.is_open = False
        self._closed(self)

    def data_received(self, received):
        """Passes each complete request on."""
        self._buffer += received
        while True:
            head, found, rest = self._buffer.partition(b'\r\n\r\n')
            if not found:
                return
            lines = head.decode('latin-1').split('\r\n')
            method, url, _ = lines[0].split(' ', 2)
            headers = {}
            for line in lines[1:]:
                name, _, content = line.partition(':')
                headers.setdefault(name.strip().lower(), content.strip())
            length = int(headers.get('content-length', '0'))
            if len(rest) < length:
                return
            self._buffer = rest[length:]
            self._handle(Request(method, url, headers, rest[:length]), self)

    def write(self, encoded):
        """Writes bytes if the connection is still open."""
        if self.is_open and not self.transport.is_closing():
            self.transport.write(encoded)


def format_answer(status, headers=(), body=b''):
    """Returns an answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines.extend(f'{name}: {content}' for name, content in headers)
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


class Store:
    """The platform's store: keys, watches and leases, without faults."""

    def __init__(self):
        self.revision = 1
        self._items = {}
        self._events = []
        self._leases = {}
        self._numbers = itertools.count(77120)
        self._changed = asyncio.Event()
        self._tasks = set()

    def put(self, key, body, lease=0):
        """Writes a key."""
        content = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.revision += 1
        created = self._items.get(key, {}).get('create_revision', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'create_revision': created,
            'lease': lease,
        }
        self._items[key] = item
        self._append(item)

    def remove(self, key):
        """Removes a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._append(
                {'key': key, 'revision': self.revision, 'tombstone': True}
            )

    def handle(self, request, connection):
        """Answers a call."""
        task = asyncio.ensure_future(self._answer(request, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request, connection):
        self._expire()
        path, _, query = request.url.partition('?')
        name, _, detail = path.removeprefix('/-/kv-').partition('/')
        fields = {}
        for pair in query.split('&'):
            field, _, content = pair.partition('=')
            fields[field] = content.replace('%2F', '/')
        body = json.loads(request.body or b'{}')
        status, answer = await self._call(name, detail, fields, body)
        encoded = json.dumps(answer).encode()
        headers = (('Content-Type', 'application/json'),)
        connection.write(format_answer(status, headers, encoded))

    async def _call(self, name, detail, fields, body):
        if name == 'key':
            item = self._items.get(fields['key'])
            if item is None:
                return 404, {'current_rev': self.revision}
            return 200, {**item, 'current_rev': self.revision}
        if name == 'range':
            keys = sorted(
                key
                for key in self._items
                if key.startswith(fields['prefix'])
                and key > fields.get('after', '')
            )
            return 200, {
                'items': [self._items[key] for key in keys[:500]],
                'truncated': len(keys) > 500,
                'current_rev': self.revision,
            }
        if name == 'watch':
            return await self._watch(fields)
        if name == 'txn':
            return self._commit(body)
        if name == 'lease':
            number = next(self._numbers)
            self._leases[number] = [body['ttl_ms'] / 1000, time.monotonic()]
            return 200, {'lease': number, 'ttl_ms': body['ttl_ms']}
        lease = int(detail)
        if lease not in self._leases:
            return 404, {}
        if name == 'keep':
            self._leases[lease][1] = time.monotonic()
        else:
            self._end(lease)
        return 200, {}

    def _commit(self, body):
        for row in body['expect']:
            found = self._items.get(row['key'], {}).get('revision', 0)
            if found != row['revision']:
                return 412, {'items': []}
        for put in body['puts']:
            if put['lease'] and put['lease'] not in self._leases:
                return 404, {}
        for put in body['puts']:
            self.put(
                put['key'], base64.b64decode(put['value']), put['lease']
            )
        for key in body['remove']:
            self.remove(key)
        return 200, {'revision': self.revision}

    async def _watch(self, fields):
        after = int(fields['after'])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(fields['wait_ms']) / 1000):
                while not self._list(fields, after):
                    await self._changed.wait()
        return 200, {
            'events': self._list(fields, after),
            'current_rev': self.revision,
        }

    def _list(self, fields, after):
        return [
            event
            for event in self._events
            if event['revision'] > after
            and event['key'].startswith(fields['prefix'])
        ]

    def _append(self, event):
        self._events.append(event)
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def _expire(self):
        now = time.monotonic()
        for lease, (seconds, since) in tuple(self._leases.items()):
            if now - since > seconds:
                self._end(lease)

    def _end(self, lease):
        del self._leases[lease]
        for key, item in tuple(self._items.items()):
            if item['lease'] == lease:
                self.remove(key)


class Replica:
    """A sound replica; ``answer`` may be replaced to bring trouble.

    It runs ``slots`` requests at once, queues a few more and rejects others.
    """

    def __init__(self, deployment, service, zone, slots, work_s, queue=18):
        number = next(deployment.numbers)
        self.target_id = f'i-{number:08x}'
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.queue_size = queue
        self.address = ''
        #: What its entry says: ``ready`` or ``draining``.
        self.state = 'ready'
        #: Whether it has left: it listens no more and writes no entry.
        self.has_left = False
        self._server = None
        self._connections = set()
        #: The body of an answer.
        self.body = b'whole answer'
        #: Attempt ids of the requests that it began to work on.
        self.runs = []
        #: Attempt ids of the requests that reached it, with the times.
        self.arrivals = []
        #: Called as ``trouble(request, connection, attempt)`` for a request
        #: that ends; returns whether it has answered.
        self.trouble = None
        #: Decides whether a second copy of an answer is sent late, at the point
        #: where the next answer on the connection is due; None if never.
        self.copies_late = None
        #: Returns what is sent of such a copy.
        self.cut_copy = bytes
        self._late = {}
        self._deployment = deployment
        self._running = {}
        self._queue = []
        self._sequence = 0
        self._born = int(time.time() * 1000)

    async def start(self, host):
        """Listens, and registers itself."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self.handle, self._drop), host, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        self.beat()

    def drain(self):
        """Reports that it drains; the store has the report on return."""
        self.state = 'draining'
        self.beat()
        self._deployment.record.add(f'{self.target_id} is draining')

    def leave(self):
        """Ends: closes everything and removes its entry."""
        self.has_left = True
        self._server.close()
        for connection in tuple(self._connections):
            connection.transport.abort()
        self._deployment.store.remove(f'servers/{self.target_id}')
        self._deployment.record.add(f'{self.target_id} has left')

    def beat(self):
        """Writes the entry in the store."""
        if self.has_left:
            return
        self._sequence += 1
        self._deployment.store.put(
            f'servers/{self.target_id}',
            {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'slots': self.slots,
                'state': self.state,
                'warmup_left_ms': 0,
                'sequence': self._sequence,
                'born': self._born,
            },
        )

    def handle(self, request, connection):
        """Runs, queues or rejects a request; a health check is one too."""
        self._connections.add(connection)
        attempt = request.get('x-almonddock-attempt-id')
        if attempt:
            self.arrivals.append((attempt, self._deployment.record.now()))
        late = self._late.pop(connection, None)
        if late is not None:
            first = late.partition(b' Status')[0].decode()
            self._deployment.record.add(
                f'{self.target_id} sends a late second copy of an answer, '
                f'{first}, when {attempt or "a health check"} is due'
            )
            connection.write(late)
        expected = request.get('x-almonddock-expected-instance')
        if expected and expected != self.target_id:
            headers = (
                ('X-Almonddock-Instance-Id', self.target_id),
                ('X-Almonddock-Attempt-Id', attempt),
            )
            self.send(connection, format_answer(421, headers))
            return
        if len(self._running) < self.slots:
            self._begin(request, connection, attempt)
        elif len(self._queue) < self.queue_size:
            self._queue.append((request, connection, attempt))
        else:
            self.shed(connection, attempt)

    def send(self, connection, encoded):
        """Sends an answer; trouble may keep a second copy of it for later."""
        connection.write(encoded)
        if self.copies_late is not None and self.copies_late():
            self._late[connection] = self.cut_copy(encoded)

    def shed(self, connection, attempt):
        """Rejects a request without running it.

        Echoes the attempt id if the request had one: a health check has none.
        """
        headers = [('X-Almonddock-Not-Executed', '1')]
        if attempt:
            self._deployment.record.add(f'{self.target_id} rejects {attempt}')
            headers.append(('X-Almonddock-Attempt-Id', attempt))
        else:
            self._deployment.record.add(
                f'{self.target_id} rejects a health check'
            )
        self.send(connection, format_answer(503, headers))

    def succeed(self, connection, attempt, body=None):
        """Answers a request that has run."""
        whole = self.body if body is None else body
        answer = format_answer(200, self.list_headers(attempt), whole)
        self.send(connection, answer)

    def list_headers(self, attempt):
        """Returns the headers of an answer to a request that has run."""
        return (
            ('X-Almonddock-Attempt-Id', attempt),
            (
                'X-Almonddock-Response-Stamp',
                f'{self.target_id}.{attempt}.c9f2a4d1',
            ),
        )

    def _begin(self, request, connection, attempt):
        work_s = HEALTH_WORK_S
        if request.url != '/health':
            work_s = self.work_s
            self.runs.append(attempt)
            self._deployment.record.add(f'{self.target_id} runs {attempt}')
        timer = asyncio.get_running_loop().call_later(
            work_s, self._finish, request, connection, attempt
        )
        self._running[connection] = timer

    def _finish(self, request, connection, attempt):
        self._running.pop(connection, None)
        if request.url == '/health':
            headers = (('X-Almonddock-Instance-Id', self.target_id),)
            self.send(connection, format_answer(200, headers))
        elif self.trouble is None or not self.trouble(
            request, connection, attempt
        ):
            self.succeed(connection, attempt)
        self._begin_next()

    def _begin_next(self):
        while self._queue and len(self._running) < self.slots:
            request, connection, attempt = self._queue.pop(0)
            if connection.is_open:
                self._begin(request, connection, attempt)

    def _drop(self, connection):
        self._connections.discard(connection)
        self._late.pop(connection, None)
        timer = self._running.pop(connection, None)
        if timer is not None:
            timer.cancel()
        self._begin_next()


class HostProcess:
    """One host of the project, restarted by the platform when it ends."""

    def __init__(self, deployment, number):
        self.name = f'front-{number}'
        self.ip = f'{deployment.network}.{10 + number}'
        self.zone = ZONES[number % len(ZONES)]
        self.process = None
        #: The time, exit code and reason of each end.
        self.ends = []
        #: The largest resident memory that was seen, in MB.
        self.peak_mb = 0
        self._deployment = deployment
        self._path = deployment.folder / f'{self.name}.json'
        self._closing = False
        self._reason = ''
        self._path.write_text(json.dumps(self._describe()))

    async def run(self):
        """Keeps a process running until closed."""
        deployment = self._deployment
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['ALMONDDOCK_BOOT'] = str(self._path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        while not self._closing:
            self._reason = ''
            log = (deployment.folder / f'{self.name}.log').open('ab')
            with log:
                self.process = await asyncio.create_subprocess_exec(
                    *deployment.command,
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
                deployment.record.add(f'{self.name} starts')
                code = await self.process.wait()
            reason = self._reason or 'by itself'
            if not self._closing:
                self.ends.append((deployment.record.now(), code, reason))
                deployment.record.add(
                    f'{self.name} ends {reason}, exit code {code}'
                )
                await asyncio.sleep(RESTART_S)

    def send(self, number, reason):
        """Sends a signal to the process that this object started."""
        if self.process is not None and self.process.returncode is None:
            self._reason = reason
            self._deployment.record.add(
                f'{self.name} gets {signal.Signals(number).name}: {reason}'
            )
            self.process.send_signal(number)

    def sample_memory(self):
        """Returns the resident memory in MB."""
        process = self.process
        if process is None or process.returncode is not None:
            return 0
        try:
            text = pathlib.Path(f'/proc/{process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                found = int(line.split()[1]) / 1000
                self.peak_mb = max(self.peak_mb, found)
                return found
        return 0

    def close(self):
        """Kills the process for good."""
        self._closing = True
        if self.process is not None and self.process.returncode is None:
            self.process.kill()

    def read_log(self):
        """Returns what all processes of this host have written."""
        path = self._deployment.folder / f'{self.name}.log'
        return path.read_text(errors='replace') if path.exists() else ''

    def _describe(self):
        store = self._deployment.store_address
        return {
            'node_name': self.name,
            'role': 'host',
            'machine_class': 'front',
            'serves': ['front'],
            'ip': self.ip,
            'zone': self.zone,
            'region': 'kyushu',
            'zones': {zone: 'kyushu' for zone in ZONES},
            'listen_addrs': {
                'front': f'{self.ip}:{FRONT_PORT}',
                'ready_addr': f'{self.ip}:{READY_PORT}',
            },
            'internal_ports': list(LINK_PORTS),
            'seeds': [],
            'bootstrap': True,
            'tolerance_member': False,
            'limits': {
                'cpu_share': 0.817,
                'cpu_cores': 2,
                'memory_mb': self._deployment.memory_mb,
                'max_fds': 4100,
                'link_mbps': 1000.0,
                'disk_mb': 0,
            },
            'data_dir': None,
            'discovery': 'platform',
            'entry': 'vip',
            'heartbeat_ms': 1200,
            'contracts': ['base', 'drain', 'config', 'cost', 'retry'],
            'fault_tolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'platform': {
                'address': store,
                'form': 'kv',
                'writes_per_s': 400,
                'reads_per_s': 2000,
                'history_s': 20,
                'value_bytes': 1048576,
                'ttl_min_ms': 1000,
            },
        }


class Deployment:
    """The store, the replicas and the hosts of one script."""

    def __init__(self, record, memory_mb=300):
        self.record = record
        self.memory_mb = memory_mb
        self.numbers = itertools.count(1)
        self.store = Store()
        self.store_address = ''
        self.network = _find_network()
        self.command = _read_command()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.replicas = []
        self.hosts = []
        self.requesters = []
        self._tasks = []

    async def start(self, hosts, replicas, routes, services):
        """Starts everything; returns once every host is ready.

        ``replicas`` holds the arguments of each :class:`Replica`.
        """
        loop = asyncio.get_running_loop()
        here = f'{self.network}.1'
        server = await loop.create_server(
            lambda: ServerConnection(self.store.handle, lambda _: None),
            here,
            0,
        )
        port = server.sockets[0].getsockname()[1]
        self.store_address = f'{here}:{port}'
        self.store.put(
            'op/config',
            {
                'version': 7,
                'routes': routes,
                'services': services,
                'limits': LIMITS,
            },
        )
        for spec in replicas:
            replica = Replica(self, **spec)
            await replica.start(here)
            self.replicas.append(replica)
        self._tasks.append(asyncio.ensure_future(self._beat()))
        for number in range(hosts):
            host = HostProcess(self, number)
            self.hosts.append(host)
            self._tasks.append(asyncio.ensure_future(host.run()))
        for host in self.hosts:
            await self.wait_ready(host)
        self.record.add('every host is ready')

    async def wait_ready(self, host, limit_s=30):
        """Asks as the balancer does until a host is ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(
                    host.ip, READY_PORT
                )
                writer.write(b'GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
                line = await reader.readline()
                writer.close()
                if b' 200 ' in line:
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError(f'{host.name} is not ready: {host.read_log()}')

    async def close(self):
        """Ends all processes and removes the folder."""
        for requester in self.requesters:
            requester.close()
        for host in self.hosts:
            host.close()
        for task in self._tasks[:1]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        # Lets the transports end before the loop does.
        await asyncio.sleep(0.05)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for replica in self.replicas:
                replica.beat()


class Answer:
    """What a requester has got for one request; status 0 is no answer."""

    def __init__(self, status=0, headers=None, body=b'', error=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error


class Requester:
    """Sends requests over one kept connection."""

    def __init__(self, deployment, host):
        self.deployment = deployment
        self.host = host
        self.reader = None
        self.writer = None
        deployment.requesters.append(self)

    async def connect(self):
        """Opens the connection, within a second as the pages say."""
        async with asyncio.timeout(1):
            self.reader, self.writer = await asyncio.open_connection(
                self.host.ip, FRONT_PORT
            )

    def encode(self, path, attempt, deadline_ms, method='GET', body=b''):
        """Returns a request."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST_NAME}',
            f'X-Almonddock-Attempt-Id: {attempt}',
            f'X-Almonddock-Request-Deadline-Ms: {deadline_ms}',
        ]
        if body:
            lines.append(f'Content-Length: {len(body)}')
        return '\r\n'.join((*lines, '', '')).encode() + body

    async def read(self, attempt):
        """Returns the next answer on the connection."""
        record = self.deployment.record
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            status = int(lines[0].split(' ')[1])
            headers = {}
            for line in lines[1:]:
                name, _, content = line.partition(':')
                headers[name.strip().lower()] = content.strip()
            length = int(headers.get('content-length', '0'))
            body = await self.reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as error:
            record.add(f'requester gets no answer to {attempt}: {error!r}')
            self.close()
            return Answer(error=repr(error))
        stamp = headers.get('x-almonddock-response-stamp')
        record.add(
            f'requester gets {status} for {attempt}, stamp {stamp}, '
            f'{len(body)} bytes'
        )
        if headers.get('connection', '').lower() == 'close':
            self.close()
        return Answer(status, headers, body)

    async def ask(self, path, attempt, deadline_ms, method='GET', body=b''):
        """Sends one request and returns its answer."""
        record = self.deployment.record
        if self.writer is None:
            try:
                await self.connect()
            except (OSError, TimeoutError) as error:
                record.add(f'requester cannot connect: {error!r}')
                return Answer(error='no connection')
        record.add(f'requester sends {attempt} to {self.host.name}: {path}')
        self.writer.write(
            self.encode(path, attempt, deadline_ms, method, body)
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                return await self.read(attempt)
        except TimeoutError:
            record.add(f'requester gives {attempt} up')
            self.close()
            return Answer(error='deadline')

    def close(self):
        """Closes the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = None
        self.writer = None


def has_trouble():
    """Whether the script plays the disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def run_case(folder, play):
    """Plays a case and exits with its outcome.

    ``play`` gets the record and returns the breaks of the rule, as texts.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    try:
        breaks = asyncio.run(_play(play, record))
    except (Exception, asyncio.CancelledError) as error:
        # Only a broken rule may end with 1, as an uncaught error would.
        traceback.print_exc()
        record.close(f'COULD NOT RUN: {error!r}')
        sys.exit(2)
    for text in breaks:
        record.add(f'BREAK {text}')
        print(f'break: {text}')
    verdict = 'BROKEN' if breaks else 'HELD'
    record.close(f'{verdict}: {len(breaks)} breaks of the rule')
    print(f'{verdict}: {len(breaks)} breaks of the rule')
    sys.exit(1 if breaks else 0)


async def _play(play, record):
    task = asyncio.current_task()
    # Ends the processes of the hosts also when the script is asked to stop.
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with asyncio.timeout(SCRIPT_LIMIT_S):
        return await play(record)


def _read_command():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    if not (ROOT / 'target' / 'deps').is_dir():
        raise CannotRunError('the build of the deploy file is missing')
    return deploy['roles']['host']['run'].split()


def _find_network():
    """Returns a loopback network whose ports for hosts are free."""
    for turn in range(200):
        number = os.getpid() + turn * 7919
        network = f'127.{30 + number % 90}.{number // 90 % 200}'
        try:
            for host in range(10, 16):
                for port in (FRONT_PORT, READY_PORT, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((f'{network}.{host}', port))
        except OSError:
            continue
        return network
    raise CannotRunError('no free loopback network')
