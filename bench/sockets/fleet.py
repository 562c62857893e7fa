"""Four hosts, the targets, the store and the host list on one machine."""

import asyncio
import contextlib
import os
import pathlib
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Mapping
from dataclasses import replace
from typing import Any

import httpx
import orjson
from pydantic import TypeAdapter

from almonddock_core.deployment import ServiceFile
from almonddock_standins import HostEntry, StandInHostList, StandInStore
from almonddock_standins.deployments import DeploymentFiles
from bench.sockets.ports import draw_addresses
from bench.sockets.publishing import publish_files
from bench.sockets.target_process import Command

HOST_COUNT = 4
TARGET_PROCESSES = 2
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 15
POLL_S = 0.05
#: The longest line that a target process writes, in bytes.
LINE_LIMIT = 16 * 1024 * 1024

Process = asyncio.subprocess.Process
Counters = dict[str, dict[str, Any]]


class DaemonProcess:
    """One host, which can be stopped, paused and restarted."""

    def __init__(self, settings: pathlib.Path, http: str) -> None:
        self.http = http
        self._settings = settings
        self._process: Process | None = None

    @property
    def pid(self) -> int:
        """The id of the running process."""
        assert self._process is not None
        return self._process.pid

    async def start(self) -> None:
        """Starts the host; :meth:`wait_ready` waits until it is ready."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'almonddock_daemon.program',
            '--settings',
            str(self._settings),
            stderr=asyncio.subprocess.DEVNULL,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            os.kill(self._process.pid, number)

    async def wait(self) -> int:
        """Returns the exit code once the process has ended."""
        assert self._process is not None
        async with asyncio.timeout(STOP_TIMEOUT_S):
            return await self._process.wait()

    async def stop(self) -> None:
        """Kills the process whatever its state."""
        if self._process is not None:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    async def is_ready(self, client: httpx.AsyncClient) -> bool:
        """Returns whether the host reports that it is ready."""
        try:
            response = await client.get(f'http://{self.http}/v1/ready')
        except httpx.HTTPError:
            return False
        return response.is_success

    async def wait_ready(self) -> None:
        """Waits until the host reports that it is ready."""
        async with (
            httpx.AsyncClient(trust_env=False) as client,
            asyncio.timeout(READY_TIMEOUT_S),
        ):
            while not await self.is_ready(client):
                await asyncio.sleep(POLL_S)


class TargetProcess:
    """One process that runs a part of the targets."""

    def __init__(self, process: Process) -> None:
        self._process = process

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self._process.pid

    async def ask(self, command: bytes = b'') -> Counters:
        """Sends a command, or an empty line, and returns the counters."""
        assert self._process.stdin is not None
        self._process.stdin.write(b'%b\n' % command)
        return await self.read()

    async def read(self) -> Counters:
        """Returns the counters that the process writes next."""
        assert self._process.stdout is not None
        found: Counters = orjson.loads(await self._process.stdout.readline())
        return found

    async def stop(self) -> None:
        """Kills the process."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


class Fleet:
    """The running processes; built by :func:`run_fleet`."""

    def __init__(self, files: DeploymentFiles, store_address: str) -> None:
        self.files = files
        self.hosts: list[DaemonProcess] = []
        self.targets: list[TargetProcess] = []
        self._store_address = store_address

    async def publish(self, files: DeploymentFiles) -> None:
        """Publishes changed files."""
        await publish_files(files, self._store_address)

    async def send_command(self, command: Command) -> None:
        """Changes the service times of all targets."""
        line = orjson.dumps(command)
        for process in self.targets:
            await process.ask(line)

    async def count(self) -> Counters:
        """Returns the counters of each target."""
        found: Counters = {}
        for process in self.targets:
            found.update(await process.ask())
        return found

    async def count_runs(self, command: Command) -> Mapping[str, int]:
        """Returns how often each ``request id/shard`` ran at all targets."""
        runs: Counter[str] = Counter()
        line = orjson.dumps(replace(command, tell_runs=True))
        for process in self.targets:
            for counted in (await process.ask(line)).values():
                runs.update(counted['runs'])
        return runs

    async def count_all(self, name: str) -> int:
        """Returns one counter, summed over all targets."""
        counters = await self.count()
        return sum(one[name] for one in counters.values())

    async def stop(self) -> None:
        """Kills every process by its id."""
        for host in self.hosts:
            await host.stop()
        for process in self.targets:
            await process.stop()


@contextlib.asynccontextmanager
async def run_fleet(built: DeploymentFiles) -> AsyncIterator[Fleet]:
    """Runs a fleet with the targets of ``built`` moved to free ports."""
    files = _assign_ports(built)
    store_address, host_list_address = draw_addresses(2)
    fleet = Fleet(files, store_address)
    links = draw_addresses(HOST_COUNT)
    async with contextlib.AsyncExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        folder = pathlib.Path(name)
        stack.push_async_callback(fleet.stop)
        store = StandInStore(store_address)
        stack.push_async_callback(store.stop)
        host_list = StandInHostList(
            _list_hosts(files, links), host_list_address
        )
        stack.push_async_callback(host_list.stop)
        await store.start()
        await host_list.start()
        await _start_targets(fleet, folder)
        await fleet.publish(files)
        await _start_hosts(
            fleet, folder, store_address, host_list_address, links
        )
        yield fleet


def _assign_ports(files: DeploymentFiles) -> DeploymentFiles:
    count = sum(len(service.targets) for service in files.services)
    addresses = iter(draw_addresses(count))
    services = tuple(
        replace(
            service,
            targets=tuple(
                replace(entry, address=next(addresses))
                for entry in service.targets
            ),
        )
        for service in files.services
    )
    return replace(files, services=services)


def _list_hosts(
    files: DeploymentFiles,
    links: Iterable[str],
) -> list[HostEntry]:
    names = [entry.name for entry in files.data_centres.data_centres]
    return [
        HostEntry(
            host=f'host-{number}',
            data_centre=names[number % len(names)],
            address=link,
        )
        for number, link in enumerate(links)
    ]


async def _start_targets(fleet: Fleet, folder: pathlib.Path) -> None:
    for number in range(TARGET_PROCESSES):
        part = fleet.files.services[number::TARGET_PROCESSES]
        path = folder / f'targets-{number}.json'
        path.write_bytes(TypeAdapter(tuple[ServiceFile, ...]).dump_json(part))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.sockets.target_process',
            str(path),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT,
        )
        fleet.targets.append(TargetProcess(process))
    for started in fleet.targets:
        await started.read()


async def _start_hosts(
    fleet: Fleet,
    folder: pathlib.Path,
    store_address: str,
    host_list_address: str,
    links: list[str],
) -> None:
    http_addresses = draw_addresses(HOST_COUNT)
    for number, entry in enumerate(_list_hosts(fleet.files, links)):
        path = folder / f'{entry.host}.json'
        content = {
            'host': entry.host,
            'data_centre': entry.data_centre,
            'listen': {'http': http_addresses[number], 'link': entry.address},
            'store': {'endpoints': [f'http://{store_address}']},
            'host_list': {'url': f'http://{host_list_address}'},
            'logs': {'level': 'error'},
            'seed': number,
        }
        path.write_bytes(orjson.dumps(content))
        fleet.hosts.append(DaemonProcess(path, http_addresses[number]))
    for host in fleet.hosts:
        await host.start()
    for host in fleet.hosts:
        await host.wait_ready()
