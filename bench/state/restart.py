"""Real hosts on loopback under load: a rolling restart, then a kill."""

import asyncio
import contextlib
import pathlib
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass, field

import httpx

from almonddock_standins._addresses import (
    Addresses,
    choose_addresses,
    write_settings,
)
from almonddock_standins.demo import (
    start_daemon,
    start_standins,
    stop_daemon,
    wait_ready,
)
from bench import experiment
from bench.measurement import (
    Measurement,
    Subject,
    limit_ratio,
    limit_value,
    note_value,
    require_value,
)

SEED = 0
DEPLOYMENT = 'kyushu, 4 hosts'
WORKERS = 4
THINK_S = 0.1
BALANCER_PERIOD_S = 0.2
SETTLE_S = 3.0
STEADY_S = 8.0
#: The required time after a kill within which the p99 recovers.
RECOVER_S = 3.0
P99 = 0.99
#: The required limits.
P99_RATIO = 1.5
ANSWERED = 0.999


@dataclass(frozen=True, slots=True)
class QueryRecord:
    """One query of the load."""

    started: float
    seconds: float
    url: str
    #: ``answered``, another outcome, or the error that ended it.
    outcome: str


@dataclass
class Load:
    """Workers that query ready hosts, as through a load balancer."""

    urls: Sequence[str]
    ready: list[str] = field(default_factory=list)
    records: list[QueryRecord] = field(default_factory=list)

    async def balance(self, client: httpx.AsyncClient) -> None:
        """Keeps the list of ready hosts up to date."""
        while True:
            flags = [await _is_ready(client, url) for url in self.urls]
            pairs = zip(self.urls, flags, strict=True)
            self.ready = [url for url, flag in pairs if flag]
            await asyncio.sleep(BALANCER_PERIOD_S)

    async def work(self, client: httpx.AsyncClient, number: int) -> None:
        """Sends one query after the other."""
        while True:
            if self.ready:
                number += 1
                url = self.ready[number % len(self.ready)]
                self.records.append(await _ask(client, url))
            await asyncio.sleep(THINK_S)

    def select(self, begin: float, end: float) -> list[QueryRecord]:
        """Returns the queries that began in a span of time."""
        return [one for one in self.records if begin <= one.started < end]


async def _is_ready(client: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await client.get(f'{url}/v1/ready')).is_success
    except httpx.HTTPError:
        return False


async def _ask(client: httpx.AsyncClient, url: str) -> QueryRecord:
    started = time.monotonic()
    try:
        response = await client.post(
            f'{url}/v1/query',
            json={'workload': 'parts-desk', 'query': {'text': 'reed'}},
        )
        content = response.json()
        outcome = content.get('outcome', content.get('code', 'unknown'))
    except (httpx.HTTPError, ValueError) as error:
        outcome = type(error).__name__
    return QueryRecord(started, time.monotonic() - started, url, str(outcome))


@contextlib.asynccontextmanager
async def run_load(urls: Sequence[str]) -> AsyncIterator[Load]:
    """Runs the load while the block lasts."""
    load = Load(urls)
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        tasks = [asyncio.create_task(load.balance(client))]
        tasks += [
            asyncio.create_task(load.work(client, number))
            for number in range(WORKERS)
        ]
        try:
            yield load
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


def compute_p99(records: Sequence[QueryRecord]) -> float:
    """Returns the p99 in seconds."""
    ordered = sorted(one.seconds for one in records)
    return ordered[int(len(ordered) * P99)]


class Tier:
    """Four hosts, each a process."""

    def __init__(self, addresses: Addresses, folder: str) -> None:
        self.urls = addresses.urls
        self.paths = write_settings(pathlib.Path(folder), addresses)
        self.daemons: list[asyncio.subprocess.Process] = []
        self.codes: list[int] = []

    async def start(self) -> None:
        """Starts every host and waits until all are ready."""
        self.daemons = [await start_daemon(path) for path in self.paths]
        await wait_ready(self.urls)
        await asyncio.sleep(SETTLE_S)

    async def restart(self, number: int) -> None:
        """Shuts one host down gracefully and starts it again."""
        self.codes.append(await stop_daemon(self.daemons[number]))
        self.daemons[number] = await start_daemon(self.paths[number])
        await wait_ready([self.urls[number]])
        await asyncio.sleep(SETTLE_S)

    async def stop(self) -> None:
        """Kills the hosts that still run."""
        for daemon in self.daemons:
            if daemon.returncode is None:
                daemon.kill()
                await daemon.wait()


@dataclass(frozen=True, slots=True)
class Spans:
    """The queries of each part of the run, and the exit codes of restarts."""

    steady: list[QueryRecord]
    restarts: list[QueryRecord]
    #: Queries to the other hosts after the kill.
    killed: list[QueryRecord]
    #: Those of them that began ``RECOVER_S`` after the kill or later.
    recovered: list[QueryRecord]
    codes: list[int]


async def run_hosts() -> Spans:
    """Runs the hosts under load through restarts and a kill."""
    addresses = choose_addresses()
    await start_standins(addresses)
    with tempfile.TemporaryDirectory() as folder:
        tier = Tier(addresses, folder)
        await tier.start()
        try:
            return await _run_load(tier)
        finally:
            await tier.stop()


async def _run_load(tier: Tier) -> Spans:
    async with run_load(tier.urls) as load:
        marks = [time.monotonic()]
        await asyncio.sleep(STEADY_S)
        marks.append(time.monotonic())
        for number, _ in enumerate(tier.urls):
            await tier.restart(number)
        marks.append(time.monotonic())
        tier.daemons[0].kill()
        await asyncio.sleep(RECOVER_S + STEADY_S)
        marks.append(time.monotonic())
    killed = load.select(marks[2], marks[3])
    others = [one for one in killed if one.url != tier.urls[0]]
    return Spans(
        load.select(marks[0], marks[1]),
        load.select(marks[1], marks[2]),
        others,
        [one for one in others if one.started >= marks[2] + RECOVER_S],
        tier.codes,
    )


def _count(records: Sequence[QueryRecord], outcomes: set[str]) -> int:
    return sum(one.outcome in outcomes for one in records)


@experiment('state.restart', seconds=110)
def measure_restart() -> Iterator[Measurement]:
    """Rolling restart of all hosts, then a killed host, under load."""
    spans = asyncio.run(run_hosts())
    steady = compute_p99(spans.steady)
    replied = {'answered', 'partial'}
    without_answer = len(spans.restarts) - _count(spans.restarts, replied)
    # Goes to stderr, since stdout carries the figures.
    outcomes = Counter(one.outcome for one in spans.restarts)
    print(f'outcomes while restarting: {dict(outcomes)}', file=sys.stderr)
    yield limit_value(
        Subject('state.restart.cut', DEPLOYMENT, SEED),
        without_answer,
        f'of {len(spans.restarts)} queries',
        bound=0,
    )
    yield note_value(
        Subject('state.restart.partial', DEPLOYMENT, SEED),
        _count(spans.restarts, {'partial'}),
        f'of {len(spans.restarts)} queries',
    )
    yield limit_value(
        Subject('state.restart.exit-codes', DEPLOYMENT, SEED),
        max(spans.codes),
        'exit code',
        bound=0,
    )
    yield limit_ratio(
        Subject('state.restart.p99', DEPLOYMENT, SEED),
        compute_p99(spans.restarts),
        's',
        baseline=steady,
        bound=P99_RATIO,
    )
    yield require_value(
        Subject('state.killed.answered', DEPLOYMENT, SEED),
        _count(spans.killed, {'answered'}) / len(spans.killed),
        'share',
        bound=ANSWERED,
    )
    yield limit_ratio(
        Subject('state.killed.p99-after-3s', DEPLOYMENT, SEED),
        compute_p99(spans.recovered),
        's',
        baseline=steady,
        bound=P99_RATIO,
    )
