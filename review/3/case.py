"""A host is stopped as planned while requests wait for a busy service."""

import asyncio
import contextlib
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

HOSTS = 4
REPLICAS = 2
SLOTS = 4
WORK_S = 0.237
#: The load: four tenths above what the replicas can take.
REQUESTS_PER_S = 48
DEADLINE_MS = 8000
STOP_AT_S = 18
LENGTH_S = 22
GRACE_S = kit.BOUNDS['grace_s']
LOSS_SLACK_S = kit.BOUNDS['loss_slack_ms'] / 1000

#: What the error of a request says whose connection ended.
CUT = ('Incomplete', 'Reset')


class Balancer:
    """Asks each host once a second; two misses take it out of rotation."""

    def __init__(self, hosts):
        self._misses = dict.fromkeys(hosts, 0)
        self._turn = 0

    def choose(self):
        """Returns the host of the next new connection."""
        ready = [host for host, found in self._misses.items() if found < 2]
        hosts = ready or list(self._misses)
        self._turn += 1
        return hosts[self._turn % len(hosts)]

    async def run(self):
        """Asks until cancelled."""
        while True:
            for host in self._misses:
                is_ready = await ask_ready(host)
                self._misses[host] = 0 if is_ready else self._misses[host] + 1
            await asyncio.sleep(1)


async def ask_ready(host):
    """Whether a host answers 200."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(0.5):
            reader, writer = await asyncio.open_connection(
                host.ip, kit.READY_PORT
            )
            writer.write(b'GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            line = await reader.readline()
            writer.close()
            return b' 200 ' in line
    return False


class Load:
    """Sends requests on kept connections, or on new ones."""

    def __init__(self, deployment, balancer):
        #: Attempts that were cut, with the host, and the times at which they
        #: were sent and cut.
        self.cut = []
        #: The number of each status; 0 for no answer.
        self.statuses = {}
        self._deployment = deployment
        self._balancer = balancer
        self._free = []

    async def run(self):
        """Sends at a steady rate, and waits for all answers."""
        tasks = []
        for number in range(LENGTH_S * REQUESTS_PER_S):
            tasks.append(asyncio.ensure_future(self._send(f'a-{number:05d}')))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def _send(self, attempt):
        requester = None
        while self._free and requester is None:
            kept = self._free.pop(0)
            if kept.writer is not None and not kept.reader.at_eof():
                requester = kept
        if requester is None:
            host = self._balancer.choose()
            requester = kit.Requester(self._deployment, host)
        record = self._deployment.record
        sent = record.now()
        answer = await requester.ask('/pull/x', attempt, DEADLINE_MS)
        count = self.statuses.get(answer.status, 0)
        self.statuses[answer.status] = count + 1
        if any(word in answer.error for word in CUT):
            self.cut.append((attempt, requester.host, sent, record.now()))
        if requester.writer is not None:
            self._free.append(requester)


async def play(record):
    """Plays the case; returns the breaks of the rule."""
    deployment = kit.Deployment(record)
    replicas = [
        {
            'service': 'ledger',
            'zone': kit.ZONES[number],
            'slots': SLOTS,
            'work_s': WORK_S,
            'queue': 16,
        }
        for number in range(REPLICAS)
    ]
    routes = [
        {
            'name': 'history-pull',
            'host': kit.HOST_NAME,
            'prefix': '/pull/',
            'type': 'safe',
            'timeout_ms': 8000,
            'target_latency_ms': 854,
            'priority': 2,
            'service': 'ledger',
            'max_attempts': 2,
        }
    ]
    services = [
        {
            'name': 'ledger',
            'health_path': '/health',
            'max_conns': 16,
            'protocol': 'h1',
            'tls': False,
            'warmup_s': 3.0,
            'warmup_per_s': 0.0,
        }
    ]
    stopped_at = None
    try:
        await deployment.start(HOSTS, replicas, routes, services)
        # Lets the hosts read of each other.
        await asyncio.sleep(3)
        balancer = Balancer(deployment.hosts)
        asking = asyncio.ensure_future(balancer.run())
        load = Load(deployment, balancer)
        sending = asyncio.ensure_future(load.run())
        await asyncio.sleep(STOP_AT_S)
        if kit.has_trouble():
            deployment.hosts[0].send(signal.SIGTERM, 'planned stop')
            stopped_at = record.now()
        await sending
        asking.cancel()
    finally:
        await deployment.close()
    record.add(f'answers by status: {load.statuses}')
    begun = {
        attempt for replica in deployment.replicas for attempt in replica.runs
    }
    breaks = []
    for attempt, host, sent, cut in load.cut:
        waited = cut - sent
        record.add(
            f'{attempt} at {host.name} was cut {waited:.3f} s after it was '
            f'sent; a replica had begun to work on it: {attempt in begun}'
        )
        if (
            host is deployment.hosts[0]
            and stopped_at is not None
            and stopped_at - 8 < sent < stopped_at + 3
            and LOSS_SLACK_S < waited < DEADLINE_MS / 1000 - 0.1
            and attempt not in begun
        ):
            breaks.append(
                f'LOST: {attempt} was sent {sent - stopped_at:.3f} s after '
                f'the SIGTERM and cut {waited:.3f} s later; no replica was at '
                'work on it'
            )
    return breaks


kit.run_case(FOLDER, play)
