"""Hosts of one data centre, with a store and targets on loopback.

Each shard has a target in the data centre of the hosts and one in another.
"""

import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch import BudgetLimits
from almonddock_core.routing import Route, Service, TargetEntry, TargetState
from almonddock_platform.tests.standins import (
    HEALTH_PATH,
    KEYS,
    HttpServer,
    RequestDraft,
    StandinBounds,
    StandinHost,
    StoreStandin,
    describe_configuration,
    describe_settings,
    describe_target,
    encode_request,
)
from bench.queries.targets import (
    DATA_CENTRES,
    SLOTS,
    find_address,
    name_shard,
    name_target,
)
from soak.processes import HostProcess

#: The shards whose targets share a process: more would wait for each other.
SHARDS_PER_PROCESS = 15
FIRST_HOST = 10
CALLER_PORT = 8104
READINESS_PORT = 8108
LINK_PORT = 7380
STORE_PAGE = 500

#: The time until all hosts know each other and their links are open.
SETTLING_S = 9.0
ANSWER_TIMEOUT_S = 10.0

#: Queries are not given up in an experiment.
TIMEOUT = timedelta(seconds=8)

#: The bits of a clock id that select the processor time of a process.
PROCESS_CLOCK = 2
CLOCK_SHIFT = 3

BOUNDS = StandinBounds(
    configuration_time=timedelta(seconds=5),
    drain=timedelta(seconds=5),
    drain_data_centre=timedelta(seconds=5),
    grace=timedelta(seconds=6),
    budget=BudgetLimits(0.2, 286, timedelta(seconds=10)),
)


@dataclass(frozen=True, slots=True)
class InstallationSettings:
    """The size of an installation."""

    #: Hosts in the data centre that is asked, and in the other one.
    hosts: int
    other_hosts: int
    #: The connections that a target accepts.
    max_connections: int
    #: The numbers of shards for which there is a route.
    sizes: Sequence[int]
    #: The latency goal of the routes ``/all-N/``, for N shards.
    latency_goal: timedelta
    #: The latency goal of the routes ``/late-N/``.
    short_goal: timedelta


@dataclass(frozen=True, slots=True)
class QueryOutcome:
    """The answer to one query, as its caller saw it."""

    status: int
    elapsed: timedelta
    missing: int


def read_processor_time(pid: int) -> timedelta:
    """Returns the processor time that a process has used so far."""
    clock = (~pid << CLOCK_SHIFT) | PROCESS_CLOCK
    return timedelta(seconds=time.clock_gettime(clock))


class Installation:
    """A store, one target for each shard, and hosts as processes."""

    def __init__(
        self, settings: InstallationSettings, folder: pathlib.Path
    ) -> None:
        self.settings = settings
        self.hosts: list[HostProcess] = []
        self._target_processes: list[asyncio.subprocess.Process] = []
        self._folder = folder
        self._store = StoreStandin(page_size=STORE_PAGE)
        self._servers: list[HttpServer] = []
        self._tasks: list[asyncio.Task[None]] = []
        pid = os.getpid()
        self._network = f'127.{120 + pid % 100}.{pid // 100 % 250}'

    async def start(self) -> None:
        """Starts everything; returns once the hosts know each other."""
        server = HttpServer(self._store.handle)
        self._servers.append(server)
        store = await server.start(self._own_host)
        most = max(self.settings.sizes)
        for first in range(0, most, SHARDS_PER_PROCESS):
            await self._start_targets(
                first, min(first + SHARDS_PER_PROCESS, most) - 1
            )
        for number in range(most):
            for data_centre in DATA_CENTRES:
                self._add_entry(number, data_centre)
        self._configure([name_shard(number) for number in range(most)])
        near = self.settings.hosts
        for number in range(near + self.settings.other_hosts):
            machine = StandinHost(
                name=f'host-{number}',
                data_centre=DATA_CENTRES[number >= near],
                host=self._get_host(number),
                caller_port=CALLER_PORT,
                readiness_port=READINESS_PORT,
                link_port=LINK_PORT,
                store=store,
                bounds=BOUNDS,
            )
            process = HostProcess(
                number, describe_settings(machine), self._folder, _now
            )
            self.hosts.append(process)
            self._tasks.append(asyncio.create_task(process.run()))
        await asyncio.sleep(SETTLING_S)

    async def close(self) -> None:
        """Ends all processes and servers."""
        for host in self.hosts:
            host.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
        for targets in self._target_processes:
            if targets.stdin is not None:
                targets.stdin.close()
            await targets.wait()

    async def set_late_share(self, share: float) -> None:
        """Sets the share of requests at which near targets are late."""
        for targets in self._target_processes:
            assert targets.stdin is not None
            targets.stdin.write(b'%f\n' % share)
            await targets.stdin.drain()

    def measure(self) -> list[timedelta]:
        """Returns the processor time of each host so far."""
        return [read_processor_time(host.pid) for host in self.hosts]

    async def ask(
        self, shards: int, count: int, kind: str = 'all'
    ) -> list[QueryOutcome]:
        """Sends queries to the first host, one after the other.

        ``kind`` is the first part of the name of the route.
        """
        reader, writer = await asyncio.open_connection(
            self._get_host(0), CALLER_PORT
        )
        try:
            return [
                await _ask(
                    reader, writer, f'/{kind}-{shards}/x', f'{kind}{one}'
                )
                for one in range(count)
            ]
        finally:
            writer.close()

    def _get_host(self, number: int) -> str:
        return f'{self._network}.{FIRST_HOST + number}'

    @property
    def _own_host(self) -> str:
        return f'{self._network}.1'

    async def _start_targets(self, first: int, last: int) -> None:
        arguments = (self._own_host, str(first), str(last))
        self._target_processes.append(
            await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'bench.queries.targets',
                *arguments,
                stdin=asyncio.subprocess.PIPE,
            )
        )

    def _add_entry(self, number: int, data_centre: str) -> None:
        name = name_target(number, data_centre)
        address = find_address(self._own_host, number, data_centre)
        entry = TargetEntry(
            target_id=name,
            service=name_shard(number),
            host=address.host,
            port=address.port,
            data_centre=data_centre,
            slots=SLOTS,
            state=TargetState.READY,
            cold_for=timedelta(),
            started_ms=1,
        )
        self._store.put(
            f'{KEYS.target_prefix}{name}', describe_target(entry, 1)
        )

    def _configure(self, shards: Sequence[str]) -> None:
        routes = [
            Route(
                name=f'{kind}-{size}',
                host='',
                prefix=f'/{kind}-{size}/',
                idempotent=True,
                timeout=TIMEOUT,
                latency_goal=goal,
                max_attempts=2,
                priority=0,
                shards=tuple(shards[:size]),
                top_records=5,
                min_share=0.85,
            )
            for size in self.settings.sizes
            for kind, goal in (
                ('all', self.settings.latency_goal),
                ('late', self.settings.short_goal),
            )
        ]
        services = [
            Service(
                shard,
                self.settings.max_connections,
                1000.0,
                timedelta(),
                HEALTH_PATH,
            )
            for shard in shards
        ]
        self._store.put(
            KEYS.configuration, describe_configuration(1, routes, services)
        )


@contextlib.asynccontextmanager
async def run_installation(
    settings: InstallationSettings,
) -> AsyncIterator[Installation]:
    """Yields a running installation, and ends it afterwards."""
    with tempfile.TemporaryDirectory() as folder:
        installation = Installation(settings, pathlib.Path(folder))
        try:
            await installation.start()
            yield installation
        finally:
            await installation.close()


async def _ask(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    path: str,
    attempt_id: str,
) -> QueryOutcome:
    deadline_ms = round(TIMEOUT.total_seconds() * 1000)
    began = _now()
    writer.write(encode_request(RequestDraft(path, attempt_id, deadline_ms)))
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        head = await reader.readuntil(b'\r\n\r\n')
        first, *lines = head.decode().lower().split('\r\n')
        fields = dict(line.split(': ', 1) for line in lines if line)
        await reader.readexactly(int(fields['content-length']))
    missing = fields.get('x-almonddock-missing-parts', '0')
    return QueryOutcome(int(first.split()[1]), _now() - began, int(missing))


def _now() -> timedelta:
    return timedelta(seconds=time.monotonic())
