"""CPU per sub-query, added latency and idle memory of the daemons."""

import asyncio
import os
from collections.abc import Coroutine, Iterable, Iterator, Sequence

import httpx

from almonddock_core.deployment import ServiceFile
from almonddock_standins.deployments import build_kyushu
from bench import (
    Measurement,
    Subject,
    experiment,
    limit_ratio,
    note_value,
)
from bench.sockets.callers import Caller, QuerySettings, choose_round_robin
from bench.sockets.connections import ConnectionPool
from bench.sockets.direct import BODY, PATH, build_headers, format_request
from bench.sockets.fleet import Fleet, run_fleet
from bench.sockets.load import (
    LoadSettings,
    QueryRecord,
    measure_answered,
    measure_percentile,
    run_load,
)
from bench.sockets.processes import read_cpu_seconds, read_memory_mebibytes
from bench.sockets.shape import list_services

SEED = 11
MEDIAN = 50
MICROSECONDS = 1_000_000
WORKLOAD = 'parts-desk'
QUERY = QuerySettings(WORKLOAD, deadline_ms=1000)
LOAD = LoadSettings(rate=60, seconds=8, seed=SEED)
WARM_UP = LoadSettings(rate=30, seconds=2, seed=2)
HTTPX_REQUESTS = 3000
ROUNDS = 200
CPU_BOUND = 0.35
LATENCY_BOUND = 1.3


@experiment('cpu')
def measure_cpu() -> Iterator[Measurement]:
    """CPU per sub-query against httpx; median latency; idle memory."""
    yield from asyncio.run(_measure())


async def _measure() -> list[Measurement]:
    async with run_fleet(build_kyushu()) as fleet:
        idle = max(read_memory_mebibytes(host.pid) for host in fleet.hosts)
        caller = Caller(QUERY, choose_round_robin(fleet.hosts))
        services = list_services(fleet.files.services, WORKLOAD)
        await run_load(WARM_UP, caller.ask)
        before = _sum_cpu_seconds(fleet)
        records = await run_load(LOAD, caller.ask)
        spent = _sum_cpu_seconds(fleet) - before
        httpx_seconds = await _measure_httpx(services)
        tier, direct = await _time_alternately(caller, services)
    return [
        *_report_cpu(records, spent, httpx_seconds),
        limit_ratio(
            Subject('cpu.median-latency', 'kyushu', SEED),
            measure_percentile(tier, MEDIAN),
            'ms',
            baseline=measure_percentile(direct, MEDIAN),
            bound=LATENCY_BOUND,
        ),
        note_value(Subject('cpu.idle-memory', 'kyushu', SEED), idle, 'MiB'),
    ]


def _report_cpu(
    records: Sequence[QueryRecord],
    spent: float,
    httpx_seconds: float,
) -> Iterable[Measurement]:
    tries = sum(one.reply.shards + one.reply.extra_tries for one in records)
    yield limit_ratio(
        Subject('cpu.sub-query', 'kyushu', SEED),
        spent * MICROSECONDS / tries,
        'us',
        baseline=httpx_seconds * MICROSECONDS,
        bound=CPU_BOUND,
    )
    yield note_value(
        Subject('cpu.whole-answers', 'kyushu', SEED),
        measure_answered(records),
        'share',
    )


def _sum_cpu_seconds(fleet: Fleet) -> float:
    return sum(read_cpu_seconds(host.pid) for host in fleet.hosts)


async def _measure_httpx(services: Sequence[ServiceFile]) -> float:
    """Returns the CPU seconds of this process for one httpx request."""
    async with httpx.AsyncClient(trust_env=False) as client:
        await _ask_by_httpx(client, services, len(services))
        before = read_cpu_seconds(os.getpid())
        await _ask_by_httpx(client, services, HTTPX_REQUESTS)
        spent = read_cpu_seconds(os.getpid()) - before
    return spent / HTTPX_REQUESTS


async def _ask_by_httpx(
    client: httpx.AsyncClient,
    services: Sequence[ServiceFile],
    count: int,
) -> None:
    async def work(service: ServiceFile) -> None:
        for _ in range(count // len(services)):
            response = await client.post(
                f'http://{service.targets[0].address}{PATH}',
                content=BODY,
                headers=build_headers(f'{service.service}/s0'),
            )
            response.raise_for_status()

    await asyncio.gather(*(work(service) for service in services))


async def _time_alternately(
    caller: Caller,
    services: Sequence[ServiceFile],
) -> tuple[list[float], list[float]]:
    """Returns the times of queries through the tier and without it.

    They alternate one by one, so that both run under the same machine load.
    """
    pools = [ConnectionPool(one.targets[0].address) for one in services]
    tier = []
    direct = []
    for _ in range(ROUNDS):
        tier.append(await _time(caller.ask()))
        direct.append(await _time(_ask_all(pools, services)))
    for pool in pools:
        pool.close()
    return tier, direct


async def _time(work: Coroutine[None, None, object]) -> float:
    loop = asyncio.get_running_loop()
    start = loop.time()
    await work
    return loop.time() - start


async def _ask_all(
    pools: Iterable[ConnectionPool],
    services: Iterable[ServiceFile],
) -> None:
    await asyncio.gather(
        *(
            pool.request(format_request(f'{service.service}/s0'))
            for pool, service in zip(pools, services, strict=True)
        ),
    )
