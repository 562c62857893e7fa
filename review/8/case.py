"""Callers whose ordinary queries come at the same moment, on open connections.

The platform's part is played here: a process above its ``memory_mb`` is killed
and started again.
"""

import asyncio
import contextlib
import hashlib
import pathlib
import resource
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import kit_2 as kit  # noqa: E402

#: The smallest machine of the site, and the index of 90 shards of 3 replicas.
MEMORY_MB = 152
MAX_FDS = 2870
SHARDS = 90
REPLICAS = 3
SLOTS = 2
QUEUE = 12
WORK_S = 0.0165
DEADLINE_MS = 609
#: The site's hosts may have one connection each to a replica: 90 for 111 hosts.
MAX_CONNECTIONS = 2
#: Callers of each host, fewer than half of the connections that it accepts,
#: and how often each sends one query.
CALLERS = 900
WAVES = 3
HOSTS = 2
#: The pace of a host's callers without the disruption, in queries a second.
CALM_RATE = 25


class ShardReplica(kit.Replica):
    """Works on two requests at a time, queues some, and refuses the others."""

    def __init__(self, *args):
        super().__init__(*args)
        self._slots = asyncio.Semaphore(SLOTS)
        self._queued = 0

    async def run(self, request):
        if self._queued >= SLOTS + QUEUE:
            return 503, b''
        self._queued += 1
        try:
            async with self._slots:
                await asyncio.sleep(WORK_S)
        finally:
            self._queued -= 1
        seed = f'{self.service} {request.find(kit.ID)}'.encode()
        return 200, hashlib.sha256(seed).digest() * 31

    async def _answer(self, request):
        encoded = await super()._answer(request)
        if encoded.startswith(b'HTTP/1.1 503'):
            attempt = request.find(kit.ID)
            headers = [(kit.ID, attempt), (kit.NOT_EXECUTED, 'full')]
            return kit.format_response(503, headers, b'')
        return encoded


class Quiet:
    """Stands in for the record of the replicas' runs: only counts them."""

    def __init__(self):
        self.count = 0

    def add(self, text):
        self.count += 1


class Platform:
    """Kills a process above its memory, and starts it again."""

    def __init__(self, host, record):
        self.host = host
        self.record = record
        self.kills = 0
        self.peak = 0

    async def watch(self):
        while True:
            await asyncio.sleep(0.02)
            size = self.read_bytes()
            self.peak = max(self.peak, size)
            process = self.host.process
            if size > MEMORY_MB * 1_000_000:
                self.kills += 1
                self.record.add(
                    f'{self.host.name} takes {size / 1e6:.1f} MB of '
                    f'{MEMORY_MB} MB: the platform kills it'
                )
                self.host.signal(signal.SIGKILL)
                await process.wait()
                await asyncio.sleep(0.3)
                await self.host.start()
            elif process.returncode is not None:
                raise kit.Unable(f'{self.host.name} has ended by itself')

    def read_bytes(self):
        path = f'/proc/{self.host.process.pid}/status'
        with contextlib.suppress(OSError), open(path) as status:
            for line in status:
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) * 1024
        return 0


class Caller:
    """Sends an ordinary query on its open connection."""

    def __init__(self, host, record, results):
        self.host = host
        self.record = record
        self.results = results
        self.streams = None

    async def open(self):
        self.streams = await asyncio.open_connection(*self.host.front)

    async def send(self):
        reader, writer = self.streams
        attempt = kit.make_attempt_id()
        self.record.add(f'caller sends {attempt} to {self.host.name}')
        try:
            writer.write(
                kit.format_request(
                    'GET', '/browse/2f', attempt, deadline=DEADLINE_MS
                )
            )
            answer = await asyncio.wait_for(kit.read_message(reader), 20)
            outcome = str(answer.status)
        except TimeoutError:
            outcome = 'no answer in 20 s'
        except (OSError, asyncio.IncompleteReadError):
            outcome = 'connection closed without an answer'
        self.record.add(f'caller got {attempt}: {outcome}')
        self.results[outcome] = self.results.get(outcome, 0) + 1

    def close(self):
        if self.streams is not None:
            self.streams[1].close()


async def play(host, record, results):
    """Lets the callers of one host send their queries, in waves."""
    for _ in range(WAVES if kit.TROUBLE else 1):
        await host.wait_ready()
        callers = [Caller(host, record, results) for _ in range(CALLERS)]
        if kit.TROUBLE:
            for caller in callers:
                await caller.open()
            await asyncio.sleep(1)
            await asyncio.gather(*(caller.send() for caller in callers))
        else:
            sending = []
            for caller in callers:
                # Not before, as the host closes connections idle for 15 s.
                await caller.open()
                sending.append(asyncio.create_task(caller.send()))
                await asyncio.sleep(1 / CALM_RATE)
            await asyncio.gather(*sending)
        for caller in callers:
            caller.close()
        await asyncio.sleep(1)


def raise_descriptor_limit():
    """Lets this process, which plays all others, open enough sockets."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 4000 if hard == resource.RLIM_INFINITY else min(4000, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    if wanted < 3600:
        raise kit.Unable(f'{wanted} descriptors are too few')


async def main(record, folder):
    raise_descriptor_limit()
    started = time.monotonic()
    store = kit.Store()
    await store.start()
    runs = Quiet()
    names = [f'match-{n}' for n in range(SHARDS)]
    for name in names:
        for number in range(REPLICAS):
            replica = ShardReplica(f'i-{name}-{number}', name, runs)
            await replica.start(store)
    route = kit.make_route(
        'browse',
        '/browse/',
        fanout_services=names,
        timeout_ms=DEADLINE_MS,
        target_latency_ms=171,
        top_k=50,
        min_shard_share=0.95,
    )
    configuration = kit.make_configuration(5, [route], names)
    for service in configuration['services']:
        service['max_conns'] = MAX_CONNECTIONS
    store.put('op/config', configuration)
    hosts = [
        kit.Host(f'front-a-{n}', 'zone-a', store, folder) for n in range(HOSTS)
    ]
    platforms = [Platform(host, record) for host in hosts]
    results = {}
    for host in hosts:
        host.settings['limits'].update(memory_mb=MEMORY_MB, max_fds=MAX_FDS)
        await host.start()
    watching = []
    try:
        for host in hosts:
            await host.wait_ready()
        watching = [asyncio.create_task(one.watch()) for one in platforms]
        await asyncio.gather(*(play(host, record, results) for host in hosts))
        for task in watching:
            if task.done():
                task.result()
    finally:
        for task in watching:
            task.cancel()
        for host in hosts:
            await host.end()
    kills = [platform.kills for platform in platforms]
    peaks = [round(platform.peak / 1e6, 1) for platform in platforms]
    summary = (
        f'{HOSTS} hosts of {MEMORY_MB} MB, {CALLERS} callers each: killed for '
        f'memory {kills} times, peaks {peaks} MB; outcomes {results}; '
        f'{runs.count} runs at replicas, {time.monotonic() - started:.0f} s'
    )
    return all(count >= 3 for count in kills), summary


kit.run_case(main, limit_s=115)
