"""The demonstration: four hosts answer queries over loopback.

The store, the host list and all targets of Kyushu run in this process; the
four hosts are processes of their own.
"""

import asyncio
import pathlib
import random
import sys
import tempfile
from collections.abc import Iterable
from datetime import timedelta

import httpx
import orjson
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
from almonddock_standins._host_list import HostEntry, StandInHostList
from almonddock_standins.deployments import DeploymentFiles, build_kyushu
from almonddock_standins.store import StandInStore
from almonddock_standins.target import (
    ServiceTimes,
    StandInTarget,
    build_settings,
)

HOST_COUNT = 4
HTTP_PORT = 23_000
LINK_PORT = 23_100
STORE_ADDRESS = '127.0.0.1:23200'
HOST_LIST_ADDRESS = '127.0.0.1:23201'
READY_TIMEOUT_S = 20
QUERIES_EACH = 20
PUBLISH_CALLS_PER_SECOND = 500


def list_hosts() -> list[HostEntry]:
    """Returns the host list of the demonstration."""
    return [
        HostEntry(
            host=f'kyu-{number}',
            data_centre=f'kyushu-{number % 3 + 1}',
            address=f'127.0.0.1:{LINK_PORT + number}',
        )
        for number in range(HOST_COUNT)
    ]


def write_settings(folder: pathlib.Path) -> list[pathlib.Path]:
    """Writes one settings file a host and returns their paths."""
    paths = []
    for number, entry in enumerate(list_hosts()):
        path = folder / f'{entry.host}.json'
        path.write_bytes(
            orjson.dumps(
                {
                    'host': entry.host,
                    'data_centre': entry.data_centre,
                    'listen': {
                        'http': f'127.0.0.1:{HTTP_PORT + number}',
                        'link': entry.address,
                    },
                    'store': {'endpoints': [f'http://{STORE_ADDRESS}']},
                    'host_list': {'url': f'http://{HOST_LIST_ADDRESS}'},
                    'seed': number,
                },
            ),
        )
        paths.append(path)
    return paths


async def publish_files(files: DeploymentFiles) -> None:
    """Brings the files into force, as ``almonddock publish`` does."""
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
        (f'http://{STORE_ADDRESS}',),
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
    await start_standins(build_kyushu())
    with tempfile.TemporaryDirectory() as folder:
        daemons = [
            await start_daemon(path)
            for path in write_settings(pathlib.Path(folder))
        ]
        urls = [
            f'http://127.0.0.1:{HTTP_PORT + one}' for one in range(HOST_COUNT)
        ]
        await wait_ready(urls)
        whole = await _ask_all(urls)
        codes = [await stop_daemon(daemon) for daemon in daemons]
    print(f'{whole} whole answers; exit codes {codes}')
    return max(codes)


async def start_standins(files: DeploymentFiles) -> None:
    """Starts the store, the host list and the targets; publishes files."""
    times = ServiceTimes(median=timedelta(milliseconds=10))
    await StandInStore(STORE_ADDRESS).start()
    await StandInHostList(list_hosts(), HOST_LIST_ADDRESS).start()
    for service in files.services:
        for entry in service.targets:
            await StandInTarget(build_settings(service, entry, times)).start()
    await publish_files(files)


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


async def _ask_all(urls: list[str]) -> int:
    whole = 0
    async with httpx.AsyncClient(trust_env=False, timeout=10) as client:
        for name in ('parts-desk', 'quote-maker', 'job-ledger', 'shop-notify'):
            elapsed = []
            for number in range(QUERIES_EACH):
                response = await client.post(
                    f'{urls[number % HOST_COUNT]}/v1/query',
                    json={'workload': name, 'query': {'text': 'reed'}},
                )
                answer = response.json()
                whole += answer.get('outcome') == 'answered'
                if answer.get('outcome') != 'answered':
                    print(answer)
                elapsed.append(answer['timings']['elapsed_ms'])
            coverage = answer['coverage']
            print(
                f'{name}: {answer["outcome"]}, {coverage["answered"]} of '
                f'{coverage["total"]} shards, median '
                f'{sorted(elapsed)[QUERIES_EACH // 2]:.1f} ms',
            )
    return whole


if __name__ == '__main__':
    sys.exit(asyncio.run(run()))
