"""A host is stopped as planned while a requester's requests wait in line."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit  # noqa: E402

REQUESTERS = 6
#: The requests that a requester has on its connection at once.
IN_LINE = 3
DEADLINE_MS = 8000
LOSS_SLACK_S = kit.BOUNDS['loss_slack_ms'] / 1000
STOP_AT_S = 3
LENGTH_S = 8


class Line:
    """Keeps a few requests on one connection, answered in order."""

    def __init__(self, deployment, host, number):
        self.requester = kit.Requester(deployment, host)
        #: The attempts that were sent and not answered yet, with the times at
        #: which their last bytes were sent.
        self.open = []
        #: How many answers came.
        self.answered = 0
        self._record = deployment.record
        self._name = f'{host.name}-{number}'
        self._sent = 0

    async def run(self, end):
        """Sends until the connection ends or the time is over."""
        await self.requester.connect()
        while self._record.now() < end:
            while len(self.open) < IN_LINE:
                self._send()
            answer = await self.requester.read(self.open[0][0])
            if not answer.status:
                break
            self.open.pop(0)
            self.answered += 1
            if self.requester.writer is None:
                break
        while self.open and self.requester.writer is not None:
            answer = await self.requester.read(self.open[0][0])
            if not answer.status:
                break
            self.open.pop(0)
        return self._record.now()

    def _send(self):
        attempt = f'{self._name}-{self._sent:04d}'
        self._sent += 1
        self._record.add(f'requester sends {attempt}')
        encoded = self.requester.encode('/pull/x', attempt, DEADLINE_MS)
        self.requester.writer.write(encoded)
        self.open.append((attempt, self._record.now()))


async def play(record):
    """Plays the case; returns the breaks of the rule."""
    deployment = kit.Deployment(record)
    replicas = [
        {
            'service': 'ledger',
            'zone': kit.ZONES[number % 3],
            'slots': 4,
            'work_s': 0.3,
        }
        for number in range(7)
    ]
    routes = [
        {
            'name': 'history-pull',
            'host': kit.HOST_NAME,
            'prefix': '/pull/',
            'type': 'safe',
            'timeout_ms': 8000,
            'target_latency_ms': 2000,
            'priority': 2,
            'service': 'ledger',
            'max_attempts': 2,
        }
    ]
    services = [
        {
            'name': 'ledger',
            'health_path': '/health',
            'max_conns': 96,
            'protocol': 'h1',
            'tls': False,
            'warmup_s': 3.0,
            'warmup_per_s': 0.0,
        }
    ]
    try:
        await deployment.start(2, replicas, routes, services)
        host = deployment.hosts[0]
        start = record.now()
        lines = [
            Line(deployment, host, number) for number in range(REQUESTERS)
        ]
        tasks = [
            asyncio.ensure_future(line.run(start + LENGTH_S)) for line in lines
        ]
        await asyncio.sleep(STOP_AT_S)
        if kit.has_trouble():
            host.send(signal.SIGTERM, 'planned stop')
        ends = await asyncio.gather(*tasks)
    finally:
        await deployment.close()
    ran = {
        attempt for replica in deployment.replicas for attempt in replica.runs
    }
    breaks = []
    for line, end in zip(lines, ends, strict=True):
        for attempt, sent in line.open:
            record.add(
                f'{attempt} has no answer; sent {end - sent:.3f} s before the '
                f'end of its connection; ran: {attempt in ran}'
            )
            if attempt in ran or end - sent > LOSS_SLACK_S:
                breaks.append(
                    f'LOST: {attempt} was sent {end - sent:.3f} s before its '
                    'connection ended, and got no answer'
                )
    return breaks


kit.run_case(FOLDER, play)
