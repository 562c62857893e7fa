"""Replicas spoil the head of a few answers."""

import asyncio
import gzip
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

HOSTS = 4
REQUESTS_PER_S = 50
REQUESTERS = 20
DEADLINE_MS = 2000
BODY = b'the whole answer of the replica'

#: The dose of the disruption: the largest that the site file has for garble.
REPLICA_SHARE = 0.5
SPOILT_SHARE = 0.05
TROUBLE_S = 6
TROUBLE_AT_S = 2
LENGTH_S = 10


class Trouble:
    """Lets a replica spoil a share of its answers for a while."""

    def __init__(self, record):
        self.on = False
        self._record = record
        self._random = random.Random(27)
        self._spoilt = 0

    def bring_to(self, replica):
        """Puts a replica among those that spoil answers."""

        def spoil(request, connection, attempt):
            if not self.on or self._random.random() >= SPOILT_SHARE:
                return False
            self._spoilt += 1
            headers = dict(replica.list_headers(attempt))
            body = BODY
            if self._spoilt % 2:
                what = 'the stamp is empty'
                headers['X-Almonddock-Response-Stamp'] = ''
                body = BODY[: len(BODY) // 2]
            else:
                what = 'the body is encoded'
                headers['Content-Encoding'] = 'gzip'
                body = gzip.compress(BODY)
            self._record.add(f'{replica.target_id} spoils {attempt}: {what}')
            encoded = kit.format_answer(200, headers.items(), body)
            replica.send(connection, encoded)
            return True

        replica.trouble = spoil


async def send_requests(deployment, host, answers):
    """Sends requests over kept connections at a steady rate."""
    free = [kit.Requester(deployment, host) for _ in range(REQUESTERS)]
    tasks = []
    for number in range(LENGTH_S * REQUESTS_PER_S):
        if free:
            requester = free.pop(0)
            attempt = f'{host.name}-{number:05d}'
            tasks.append(
                asyncio.ensure_future(
                    send_one(requester, attempt, free, answers)
                )
            )
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)


async def send_one(requester, attempt, free, answers):
    """Sends one request and keeps its answer."""
    answers[attempt] = await requester.ask(
        '/order/x', attempt, DEADLINE_MS, 'POST', b'one reed plate'
    )
    free.append(requester)


async def bring_trouble(trouble):
    """Has the trouble begin and end."""
    await asyncio.sleep(TROUBLE_AT_S)
    trouble.on = kit.has_trouble()
    await asyncio.sleep(TROUBLE_S)
    trouble.on = False


async def play(record):
    """Plays the case; returns the breaks of the rule."""
    deployment = kit.Deployment(record)
    trouble = Trouble(record)
    answers = {}
    replicas = [
        {
            'service': 'orders',
            'zone': kit.ZONES[number],
            'slots': 3,
            'work_s': 0.02,
        }
        for number in range(2)
    ]
    routes = [
        {
            'name': 'order',
            'host': kit.HOST_NAME,
            'prefix': '/order/',
            'type': 'unsafe',
            'timeout_ms': 2000,
            'target_latency_ms': 400,
            'priority': 1,
            'service': 'orders',
            'max_attempts': 2,
        }
    ]
    services = [
        {
            'name': 'orders',
            'health_path': '/health',
            'max_conns': 30,
            'protocol': 'h1',
            'tls': False,
            'warmup_s': 3.0,
            'warmup_per_s': 0.0,
        }
    ]
    try:
        await deployment.start(HOSTS, replicas, routes, services)
        for replica in deployment.replicas:
            replica.body = BODY
        count = int(REPLICA_SHARE * len(deployment.replicas))
        for replica in deployment.replicas[:count]:
            trouble.bring_to(replica)
        await asyncio.gather(
            bring_trouble(trouble),
            *(
                send_requests(deployment, host, answers)
                for host in deployment.hosts
            ),
        )
    finally:
        await deployment.close()
    breaks = []
    for attempt, answer in answers.items():
        if not 200 <= answer.status < 300:
            continue
        if not answer.headers.get('x-almonddock-response-stamp'):
            breaks.append(f'MIXED: {attempt} got a success without a stamp')
        elif answer.body != BODY:
            breaks.append(
                f'MIXED: {attempt} got a success with a body that is not '
                "the replica's"
            )
    return breaks


kit.run_case(FOLDER, play)
