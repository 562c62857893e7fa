"""The demonstration: four hosts answer queries over loopback.

The store, the host list and all targets of the Kyushu deployment run in this
process; the four hosts are processes of their own.
"""

import asyncio
import os
import pathlib
import random
import signal
import sys
import tempfile
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

import httpx
from pydantic import TypeAdapter

from almonddock_core.configuration import (
    CheckedFiles,
    Published,
    build_request,
    publish,
)
from almonddock_core.deployment import DataCentresFile, ServiceFile
from almonddock_daemon import MonotonicClock
from almonddock_daemon.adapters import StoreClient, StoreSettings, run_steps
from almonddock_standins._addresses import (
    HOST_COUNT,
    Addresses,
    choose_addresses,
    list_hosts,
    write_settings,
)
from almonddock_standins._host_list import StandInHostList
from almonddock_standins.deployments import DeploymentFiles, build_kyushu
from almonddock_standins.store import StandInStore
from almonddock_standins.target import (
    Faults,
    ServiceTimes,
    StandInTarget,
    build_settings,
)

READY_TIMEOUT_S = 20
QUERIES_PER_WORKLOAD = 20
WORKLOADS = ('parts-desk', 'quote-maker', 'job-ledger', 'shop-notify')
STRAGGLER = 'parts-desk-01/r1'
STRAGGLER_FACTOR = 30
DOWN_TARGET = 'parts-desk-02/r1'
#: The lowest share of complete answers for exit code 0.
MIN_COMPLETE_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class Answer:
    """The parts of one answer that the summary reports."""

    outcome: str
    #: Shards that answered, of ``total``.
    answered: int
    total: int
    elapsed_ms: float


PUBLISH_CALLS_PER_SECOND = 500


async def publish_files(files: DeploymentFiles, store_address: str) -> None:
    """Publishes the files, as ``almonddock publish`` does."""
    checked = CheckedFiles(
        files.services,
        files.data_centres,
        {
            service.service: TypeAdapter(ServiceFile).dump_json(service)
            for service in files.services
        },
        TypeAdapter(DataCentresFile).dump_json(files.data_centres),
    )
    settings = StoreSettings(
        (f'http://{store_address}',),
        prefix='/almonddock/',
        calls_per_second=PUBLISH_CALLS_PER_SECOND,
    )
    store = StoreClient(settings, MonotonicClock(), random.Random(0))
    request = build_request(checked, 'demonstration')
    published = await run_steps(store, publish(request))
    await store.close()
    if not isinstance(published, Published):
        raise TypeError(f'the files were not published: {published}')


async def wait_ready(urls: Iterable[str]) -> None:
    """Waits until every host is ready."""
    async with httpx.AsyncClient(trust_env=False) as client:
        async with asyncio.timeout(READY_TIMEOUT_S):
            for url in urls:
                while not await _is_ready(client, url):
                    await asyncio.sleep(0.1)


async def _is_ready(client: httpx.AsyncClient, url: str) -> bool:
    try:
        return (await client.get(f'{url}/v1/ready')).is_success
    except httpx.HTTPError:
        return False


async def run() -> int:
    """Runs the demonstration and returns the exit code."""
    addresses = choose_addresses()
    urls = addresses.urls
    targets = await start_standins(addresses)
    with tempfile.TemporaryDirectory() as folder:
        daemons = [
            await start_daemon(path)
            for path in write_settings(pathlib.Path(folder), addresses)
        ]
        await wait_ready(urls)
        print('All targets are healthy:')
        healthy = await _query_workloads(urls)
        targets[STRAGGLER].switch_faults(Faults(slow=STRAGGLER_FACTOR))
        targets[DOWN_TARGET].switch_faults(Faults(down=True))
        print(f'{STRAGGLER} is slow and {DOWN_TARGET} is down:')
        degraded = await _query_workloads(urls)
        if os.environ.get('DEMO_KEEP'):
            await _wait_for_interrupt(urls[0])
        codes = [await stop_daemon(daemon) for daemon in daemons]
    return _summarise([*healthy, *degraded], targets.values(), codes)


async def _wait_for_interrupt(url: str) -> None:
    """Waits for Ctrl-C, so that ``DEMO_KEEP=1`` keeps the hosts running."""
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGINT, stopped.set)
    print(f'The hosts keep running: query {url}/v1/query. Stop with Ctrl-C.')
    await stopped.wait()


def _summarise(
    answers: list[Answer],
    targets: Iterable[StandInTarget],
    codes: list[int],
) -> int:
    """Prints the totals and returns the exit code."""
    complete = sum(answer.outcome == 'answered' for answer in answers)
    total = len(answers)
    counters = [target.counters for target in targets]
    print(
        f'{complete} of {total} answers are complete; '
        f'{sum(each.run for each in counters)} sub-queries ran, '
        f'{sum(each.over_slots for each in counters)} found all slots in use, '
        f'{sum(each.cancelled for each in counters)} were cancelled; '
        f'the hosts exited with {codes}',
    )
    return max(codes) or int(complete < total * MIN_COMPLETE_SHARE)


async def start_standins(
    addresses: Addresses,
) -> Mapping[str, StandInTarget]:
    """Starts the store, the host list and the targets; publishes files."""
    files = build_kyushu(addresses.first_target_port)
    times = ServiceTimes(median=timedelta(milliseconds=10))
    await StandInStore(addresses.store).start()
    await StandInHostList(
        list_hosts(addresses),
        addresses.host_list,
    ).start()
    targets = [
        StandInTarget(build_settings(service, entry, times))
        for service in files.services
        for entry in service.targets
    ]
    for target in targets:
        await target.start()
    await publish_files(files, addresses.store)
    return {target.settings.name: target for target in targets}


async def start_daemon(path: pathlib.Path) -> asyncio.subprocess.Process:
    """Starts one host."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'almonddock_daemon.program',
        '--settings',
        str(path),
    )


async def stop_daemon(daemon: asyncio.subprocess.Process) -> int:
    """Asks one host to stop and returns its exit code."""
    daemon.terminate()
    return await daemon.wait()


async def _query_workloads(urls: Sequence[str]) -> list[Answer]:
    all_answers: list[Answer] = []
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        for name in WORKLOADS:
            answers = [
                await _send_query(client, urls[number % HOST_COUNT], name)
                for number in range(QUERIES_PER_WORKLOAD)
            ]
            _print_workload(name, answers)
            all_answers.extend(answers)
    return all_answers


async def _send_query(
    client: httpx.AsyncClient, url: str, workload: str
) -> Answer:
    response = await client.post(
        f'{url}/v1/query',
        json={'workload': workload, 'query': {'text': 'reed'}},
    )
    content = response.json()
    return Answer(
        content.get('outcome', content.get('code', 'unknown')),
        content['coverage']['answered'],
        content['coverage']['total'],
        content['timings']['elapsed_ms'],
    )


def _print_workload(name: str, answers: list[Answer]) -> None:
    times = sorted(answer.elapsed_ms for answer in answers)
    worst = min(answers, key=lambda answer: answer.answered)
    print(
        f'  {name}: lowest coverage {worst.answered} of {worst.total} shards, '
        f'median {times[len(times) // 2]:.1f} ms, slowest {times[-1]:.1f} ms',
    )


if __name__ == '__main__':
    sys.exit(asyncio.run(run()))
