"""A replica leaves as planned while requests for it wait in the hosts."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

HOSTS = 4
REPLICAS = 7
SLOTS = 4
WORK_S = 0.237
#: The load: 1.4 times what the replicas can take.
REQUESTS_PER_S = 165
DEADLINE_MS = 8000
DRAIN_AT_S = 14
LENGTH_S = 18
DRAIN_S = kit.BOUNDS['drain_ms'] / 1000
#: How long the replica serves after that: "a little longer".
LINGER_S = 1.0


class Load:
    """Sends requests on kept connections, or on new ones."""

    def __init__(self, deployment):
        #: The answer to each attempt.
        self.answers = {}
        self._deployment = deployment
        self._free = []

    async def run(self):
        """Sends at a steady rate, and waits for all answers."""
        tasks = []
        for number in range(LENGTH_S * REQUESTS_PER_S):
            tasks.append(asyncio.ensure_future(self._send(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    async def _send(self, number):
        hosts = self._deployment.hosts
        if self._free:
            requester = self._free.pop(0)
        else:
            host = hosts[number % len(hosts)]
            requester = kit.Requester(self._deployment, host)
        attempt = f'a-{number:05d}'
        self.answers[attempt] = await requester.ask(
            '/pull/x', attempt, DEADLINE_MS
        )
        if requester.writer is not None:
            self._free.append(requester)


async def play(record):
    """Plays the case; returns the breaks of the rule."""
    deployment = kit.Deployment(record)
    replicas = [
        {
            'service': 'ledger',
            'zone': kit.ZONES[number % 3],
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
    drained_at = None
    try:
        await deployment.start(HOSTS, replicas, routes, services)
        # Lets the hosts read of each other.
        await asyncio.sleep(3)
        load = Load(deployment)
        sending = asyncio.ensure_future(load.run())
        await asyncio.sleep(DRAIN_AT_S)
        leaving = deployment.replicas[0]
        if kit.has_trouble():
            drained_at = record.now()
            leaving.drain()
            await asyncio.sleep(DRAIN_S + LINGER_S)
            leaving.leave()
        await sending
    finally:
        await deployment.close()
    statuses = [answer.status for answer in load.answers.values()]
    record.add(
        'answers by status: '
        f'{ {one: statuses.count(one) for one in set(statuses)} }'
    )
    breaks = []
    for attempt, at in leaving.arrivals:
        if drained_at is None or at - drained_at <= DRAIN_S:
            continue
        status = load.answers[attempt].status
        breaks.append(
            f'DRAIN: {attempt} reached {leaving.target_id} '
            f'{at - drained_at:.3f} s after the store had "draining"; the '
            f'requester got {status}'
        )
    return breaks


kit.run_case(FOLDER, play)
