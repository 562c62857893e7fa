"""Replicas spoil a few answers: bodies without end, in small chunks."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

HOSTS = 2
MEMORY_MB = 300
SHARDS = [f'desk{number}' for number in range(20)]
LEDGER_REPLICAS = 7

#: What the one machine of a zone of the site gets of each kind of request, in
#: requests a second: a third of what the sheet states.
SEARCHES_PER_S = 11
CHECKS_PER_S = 4
PULLS_PER_S = 4

#: The requesters of one host; each keeps its connection.
REQUESTERS = 22

#: The dose of the disruption: that of one entry of the site file, garble
#: "unframed" of the day at second 19 (x 0.05, 5 s, the share by default 0.5).
REPLICA_SHARE = 0.5
SPOILT_SHARE = 0.05
TROUBLE_S = 5
#: When it comes, in seconds after every host is ready.
TROUBLE_AT_S = (6, 14, 22)
LENGTH_S = 28

#: A chunk of two bytes, as often as fits into 64 KB.
CHUNKS = b'2\r\nxx\r\n' * 9362
MEBIBYTE = 1 << 20

#: LOST: more than this many requests break the rule.
ALLOWED_LOSSES = 3


class Trouble:
    """Lets some replicas spoil a share of their answers for a while."""

    def __init__(self, record):
        self.on = False
        self.spoilt = 0
        self._record = record
        self._random = random.Random(27)
        self._tasks = set()

    def bring_to(self, replica):
        """Puts a replica among those that spoil answers."""

        def spoil(request, connection, attempt):
            if not self.on or self._random.random() >= SPOILT_SHARE:
                replica.succeed(connection, attempt, make_records(attempt))
                return True
            self.spoilt += 1
            self._record.add(
                f'{replica.target_id} answers {attempt} without end'
            )
            lines = ['HTTP/1.1 200 OK']
            lines.extend(
                f'{name}: {content}'
                for name, content in replica.list_headers(attempt)
            )
            lines.extend(('Transfer-Encoding: chunked', '', ''))
            connection.write('\r\n'.join(lines).encode())
            task = asyncio.ensure_future(self._write_on(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return True

        replica.trouble = spoil

    async def _write_on(self, connection):
        """Writes until the host closes the connection."""
        while connection.is_open and not connection.transport.is_closing():
            if connection.transport.get_write_buffer_size() < MEBIBYTE:
                connection.write(CHUNKS)
                await asyncio.sleep(0)
            else:
                await asyncio.sleep(0.002)


def make_records(attempt):
    """Returns 63 records of 16 bytes."""
    return b''.join(
        f'{attempt[-6:]:>8}{number:08d}'.encode() for number in range(63)
    )


async def limit_memory(deployment):
    """Kills a process that exceeds its memory, as the platform does."""
    while True:
        for host in deployment.hosts:
            if host.sample_memory() > deployment.memory_mb:
                host.send(kit.signal.SIGKILL, 'memory over the limit')
        await asyncio.sleep(0.02)


async def send_requests(deployment, host, losses):
    """Sends the requests of one host's requesters at a steady rate."""
    free = [kit.Requester(deployment, host) for _ in range(REQUESTERS)]
    for number, requester in enumerate(free):
        await requester.ask('/pull/x', f'{host.name}-w{number:04d}', 8000)
    tasks = []
    kinds = (
        [('/search/x', 2000)] * SEARCHES_PER_S
        + [('/check/x', 800)] * CHECKS_PER_S
        + [('/pull/x', 8000)] * PULLS_PER_S
    )
    random.Random(2).shuffle(kinds)
    pause = 1 / len(kinds)
    for number in range(int(LENGTH_S / pause)):
        kind = kinds[number % len(kinds)]
        if free:
            requester = free.pop(0)
            attempt = f'{host.name}-{number:05d}'
            tasks.append(
                asyncio.ensure_future(
                    send_one(requester, attempt, kind, free, losses)
                )
            )
        await asyncio.sleep(pause)
    await asyncio.gather(*tasks)


async def send_one(requester, attempt, kind, free, losses):
    """Sends one request; notes whether a kept connection was cut."""
    is_kept = requester.writer is not None
    path, deadline_ms = kind
    answer = await requester.ask(path, attempt, deadline_ms)
    was_cut = 'Incomplete' in answer.error or 'Reset' in answer.error
    if is_kept and was_cut:
        losses.append(attempt)
    free.append(requester)


async def play(record):
    """Plays the case; returns the breaks of the rule."""
    deployment = kit.Deployment(record, MEMORY_MB)
    trouble = Trouble(record)
    losses = []
    replicas = [
        {'service': name, 'zone': zone, 'slots': 3, 'work_s': 0.028}
        for name in SHARDS
        for zone in kit.ZONES[:2]
    ]
    replicas.extend(
        {
            'service': 'ledger',
            'zone': kit.ZONES[number % 3],
            'slots': 4,
            'work_s': 0.22,
        }
        for number in range(LEDGER_REPLICAS)
    )
    routes = [
        {
            'name': 'plate-search',
            'host': kit.HOST_NAME,
            'prefix': '/search/',
            'type': 'safe',
            'timeout_ms': 2000,
            'target_latency_ms': 247,
            'priority': 1,
            'fanout_services': SHARDS,
            'max_attempts': 2,
            'top_k': 50,
            'min_shard_share': 0.89,
        },
        {
            'name': 'counter-check',
            'host': kit.HOST_NAME,
            'prefix': '/check/',
            'type': 'safe',
            'timeout_ms': 800,
            'target_latency_ms': 95,
            'priority': 2,
            'fanout_services': SHARDS,
            'max_attempts': 2,
            'top_k': 5,
            'min_shard_share': 0.75,
        },
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
        },
    ]
    services = [
        {
            'name': name,
            'health_path': '/health',
            'max_conns': 96 if name == 'ledger' else 30,
            'protocol': 'h1',
            'tls': False,
            'warmup_s': 3.0,
            'warmup_per_s': 0.0,
        }
        for name in (*SHARDS, 'ledger')
    ]
    try:
        await deployment.start(HOSTS, replicas, routes, services)
        of_shards = deployment.replicas[: 2 * len(SHARDS)]
        in_trouble = random.Random(5).sample(
            of_shards, int(REPLICA_SHARE * len(of_shards))
        )
        for replica in of_shards:
            replica.trouble = answer_with_records(replica)
        for replica in in_trouble:
            trouble.bring_to(replica)
        limiter = asyncio.ensure_future(limit_memory(deployment))
        switch = asyncio.ensure_future(bring_trouble(trouble, record))
        await asyncio.gather(
            *(
                send_requests(deployment, host, losses)
                for host in deployment.hosts
            )
        )
        limiter.cancel()
        await switch
        return judge(deployment, in_trouble, losses)
    finally:
        await deployment.close()


def answer_with_records(replica):
    """Lets a sound replica answer with records."""

    def answer(request, connection, attempt):
        replica.succeed(connection, attempt, make_records(attempt))
        return True

    return answer


async def bring_trouble(trouble, record):
    """Has the trouble begin and end."""
    start = record.now()
    for at in TROUBLE_AT_S:
        await asyncio.sleep(start + at - record.now())
        trouble.on = kit.has_trouble()
        record.add('trouble begins')
        await asyncio.sleep(TROUBLE_S)
        trouble.on = False
        record.add(f'trouble ends, {trouble.spoilt} answers were spoilt')


def judge(deployment, in_trouble, losses):
    """Returns the losses, if they are more than the rule allows."""
    record = deployment.record
    sound = {
        attempt
        for replica in deployment.replicas
        if replica not in in_trouble
        for attempt in replica.runs
    }
    passed_on = [attempt for attempt in losses if attempt in sound]
    for host in deployment.hosts:
        record.add(
            f'{host.name}: peak {host.peak_mb:.0f} MB of {MEMORY_MB}, '
            f'ends: {host.ends}'
        )
    if len(passed_on) <= ALLOWED_LOSSES:
        return []
    return [
        f'LOST: {attempt} came on a kept connection, a sound replica ran it, '
        'and the connection ended without an answer'
        for attempt in passed_on
    ]


kit.run_case(FOLDER, play)
