"""Starts the components of a run on loopback addresses of its own."""

import asyncio
import json
import os
import pathlib
import random
import signal
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType
from typing import Any

from almonddock_core.dispatch import BudgetLimits
from almonddock_core.routing import Route, Service, WeightedService
from almonddock_gateway.settings import Address
from almonddock_platform.tests.standins import (
    HEALTH_PATH,
    KEYS,
    HttpServer,
    StandinBounds,
    StandinHost,
    StoreStandin,
    describe_configuration,
    describe_settings,
)
from soak.callers import HostEndpoint
from soak.drills import StoreCopies
from soak.observations import OutOfService, Version
from soak.processes import MAX_DESCRIPTORS, HostProcess
from soak.proxy import Proxy
from soak.settings import (
    DATA_CENTRES,
    MEMORY_LIMIT,
    Promises,
    SoakSettings,
)
from soak.targets import (
    COLD_RATE,
    NO_WRITES,
    SoakTarget,
    TargetRecords,
    TargetSpec,
)

CALLER_PORT = 8104
READINESS_PORT = 8108
LINK_PORT = 7380

#: The number of loopback networks that a run selects from by its process id,
#: so that concurrent runs do not share addresses.
NETWORKS = 200
FIRST_NETWORK_OCTET = 20
FIRST_HOST_OCTET = 10

SLOTS_PER_TARGET = 3
MAX_CONNECTIONS = 30
TARGETS_PER_SHARD = 2
LEDGER_TARGETS = 3
ARCHIVE_TARGETS = 2
STORE_PAGE_SIZE = 100

MEGABYTE = 1_000_000
LIMITS = MappingProxyType(
    {
        'memory_mb': MEMORY_LIMIT // MEGABYTE,
        'max_fds': MAX_DESCRIPTORS,
    },
)


@dataclass(slots=True)
class SoakHost:
    """A host, with the proxies on its connections."""

    process: HostProcess
    machine: StandinHost
    endpoint: HostEndpoint
    #: On the path from callers to the host.
    caller_proxy: Proxy
    #: On the path from other hosts to the host.
    link_proxy: Proxy
    #: On the path from the host to the store.
    store_proxy: Proxy


class Installation:
    """Builds, starts and stops the components of a run."""

    def __init__(self, settings: SoakSettings, folder: pathlib.Path) -> None:
        self.settings = settings
        self.rng = random.Random(settings.seed + 1)
        self.store = StoreStandin(
            page_size=STORE_PAGE_SIZE, rewrite=self._rewrite
        )
        self.copies = StoreCopies(self.store, self.now)
        self.records = TargetRecords()
        self.targets: list[SoakTarget] = []
        self.hosts: list[SoakHost] = []
        #: Second processes of hosts, with the same settings.
        self.rivals: list[HostProcess] = []
        self.versions: list[Version] = []
        self.drained: list[OutOfService] = []
        #: Whether ``/one/`` requests go to the archive instead of the ledger.
        self.uses_archive = False
        #: Whether queries go to the shards of the second index.
        self.uses_second_index = False
        self._folder = folder
        self._start: float = 0
        self._servers: list[HttpServer] = []
        self._links: dict[str, Address] = {}
        self._tasks: list[asyncio.Task[None]] = []
        pid = os.getpid()
        octet = FIRST_NETWORK_OCTET + pid % NETWORKS
        self._network = f'127.{octet}.{pid // NETWORKS % NETWORKS}'

    @property
    def address(self) -> str:
        """The address of every component but the hosts."""
        return f'{self._network}.1'

    def now(self) -> timedelta:
        """Returns the time since the start of the run."""
        loop = asyncio.get_running_loop()
        return timedelta(seconds=loop.time() - self._start)

    async def start(self) -> None:
        """Starts the store, the targets and the hosts."""
        self._start = asyncio.get_running_loop().time()
        for spec in list_target_specs(self.settings):
            target = SoakTarget(
                spec,
                self.store,
                self.records,
                random.Random(self.rng.random()),
                self.now,
            )
            await target.start(self.address)
            self.targets.append(target)
            self._tasks.append(asyncio.create_task(target.run()))
        self._tasks.append(asyncio.create_task(self.copies.run()))
        self.configure()
        server = HttpServer(self.store.handle)
        self._servers.append(server)
        store = await server.start(self.address)
        for number in range(self.settings.hosts):
            self.hosts.append(await self._build_host(number, store))
        for host in self.hosts:
            self._tasks.append(asyncio.create_task(host.process.run()))

    async def close(self) -> None:
        """Stops everything that this object has started."""
        for rival in self.rivals:
            rival.close()
        for host in self.hosts:
            host.process.close()
            for proxy in (host.caller_proxy, host.link_proxy, host.store_proxy):
                proxy.close()
        for target in self.targets:
            target.close()
        for server in self._servers:
            server.close()
        for task in self._tasks[: len(self.targets) + 1]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def configure(self) -> bool:
        """Writes the next version; returns whether the store accepts writes."""
        if self.store.fault in NO_WRITES:
            return False
        before = self.versions[-1].number if self.versions else 0
        number = before + self.rng.randint(1, 3)
        self._write_version(Version(number, self.now(), build_routes(self)))
        return True

    def write_again(self, copied: timedelta) -> bool:
        """Writes what the operator wrote after a copy, from which the store is.

        Its bounds count anew from then. Returns whether the store accepts
        writes.
        """
        if self.store.fault in NO_WRITES:
            return False
        if self.versions[-1].written >= copied:
            self._write_version(replace(self.versions[-1], written=self.now()))
        drained = {one.name for one in self.drained if one.until is None}
        for name in DATA_CENTRES:
            key = f'{KEYS.drained_prefix}{name}'
            is_listed = bool(self.store.list_keys(key))
            if name in drained and not is_listed:
                self.drain(name)
            elif name not in drained:
                self.store.remove(key)
        return True

    def remove_unreported(self) -> None:
        """Removes the entries that targets have stopped to report."""
        for key in self.store.list_keys(KEYS.target_prefix):
            if not any(target.reports(key) for target in self.targets):
                self.store.remove(key)

    def drain(self, name: str) -> bool:
        """Drains a data centre; returns whether the store accepts writes."""
        if self.store.fault in NO_WRITES:
            return False
        self.store.put(f'{KEYS.drained_prefix}{name}', {})
        self.drained.append(OutOfService(name, self.now()))
        return True

    def undrain(self, name: str) -> None:
        """Puts a drained data centre back into service."""
        self.store.remove(f'{KEYS.drained_prefix}{name}')
        self.drained = [
            OutOfService(one.name, one.since, self.now())
            if one.name == name and one.until is None
            else one
            for one in self.drained
        ]

    def reload(self, host: SoakHost) -> None:
        """Rewrites the settings file of a host and sends SIGHUP."""
        self.write_settings(host)
        host.process.send(signal.SIGHUP)

    def write_settings(self, host: SoakHost) -> None:
        """Rewrites the settings file of a host."""
        host.process.write_settings(describe_machine(host.machine))

    def list_processes(self) -> list[HostProcess]:
        """Returns the processes of all hosts."""
        return [*(host.process for host in self.hosts), *self.rivals]

    def start_rival(self, number: int) -> HostProcess:
        """Starts a second process of a host."""
        folder = self._folder / f'rival-{len(self.rivals)}'
        folder.mkdir()
        settings = describe_machine(self.hosts[number].machine)
        rival = HostProcess(number, settings, folder, self.now)
        self.rivals.append(rival)
        self._tasks.append(asyncio.create_task(rival.run()))
        return rival

    def _write_version(self, version: Version) -> None:
        services = sorted({target.spec.service for target in self.targets})
        self.store.put(
            KEYS.configuration,
            describe_configuration(
                version.number,
                version.routes,
                [
                    Service(
                        one,
                        MAX_CONNECTIONS,
                        COLD_RATE,
                        timedelta(seconds=3),
                        HEALTH_PATH,
                    )
                    for one in services
                ],
            ),
        )
        self.versions.append(version)

    async def _build_host(self, number: int, store: Address) -> SoakHost:
        host_address = f'{self._network}.{FIRST_HOST_OCTET + number}'
        name = f'host-{number}'
        caller_proxy = Proxy(Address(host_address, CALLER_PORT))
        link_proxy = Proxy(Address(host_address, LINK_PORT))
        store_proxy = Proxy(store)
        self._links[name] = await link_proxy.start(self.address)
        machine = StandinHost(
            name=name,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            host=host_address,
            caller_port=CALLER_PORT,
            readiness_port=READINESS_PORT,
            link_port=LINK_PORT,
            store=await store_proxy.start(self.address),
            bounds=build_bounds(self.settings.promises),
        )
        process = HostProcess(
            number,
            describe_machine(machine),
            self._folder,
            self.now,
        )
        endpoint = HostEndpoint(
            number,
            await caller_proxy.start(self.address),
            Address(host_address, READINESS_PORT),
            lambda: process.incarnation,
        )
        return SoakHost(
            process, machine, endpoint, caller_proxy, link_proxy, store_proxy
        )

    def _rewrite(self, key: str, content: bytes) -> bytes:
        """Replaces a host's registered link address with its proxy's."""
        name = key.removeprefix(KEYS.host_prefix)
        address = self._links.get(name)
        if name == key or address is None:
            return content
        registered = json.loads(content)
        registered.update(host=address.host, port=address.port)
        return json.dumps(registered).encode()


def describe_machine(machine: StandinHost) -> dict[str, Any]:
    """Returns the contents of a settings file, with the machine's limits."""
    return {**describe_settings(machine), 'limits': dict(LIMITS)}


def list_target_specs(settings: SoakSettings) -> list[TargetSpec]:
    """Returns the specs of all targets.

    Their services are the shards of two indexes, a ledger and an archive. The
    first index has all shards (``desk``), the second the odd ones (``board``).
    """
    services = [
        service
        for shard in range(settings.shards)
        for service in (f'desk{shard}', f'board{shard}')[: 1 + shard % 2]
        for _ in range(TARGETS_PER_SHARD)
    ]
    services.extend('ledger' for _ in range(LEDGER_TARGETS))
    services.extend('archive' for _ in range(ARCHIVE_TARGETS))
    return [
        TargetSpec(
            number,
            service,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            SLOTS_PER_TARGET,
        )
        for number, service in enumerate(services)
    ]


def build_routes(installation: Installation) -> tuple[Route, ...]:
    """Returns the routes that the installation's flags select."""
    services = {target.spec.service for target in installation.targets}
    index = 'board' if installation.uses_second_index else 'desk'
    shards = tuple(sorted(one for one in services if one.startswith(index)))
    single = 'archive' if installation.uses_archive else 'ledger'
    return (
        _build_query('/all/', shards, top=20, share=0.75, timeout_ms=1500),
        _build_query('/few/', shards, top=5, share=0.5, timeout_ms=700),
        _build_single('/one/', {single: 1}, idempotent=True),
        _build_single('/split/', {'ledger': 3, 'archive': 1}, idempotent=True),
        _build_single('/order/', {'ledger': 1}, idempotent=False),
    )


def build_bounds(promises: Promises) -> StandinBounds:
    """Returns the bounds for the settings of the hosts."""
    return StandinBounds(
        configuration_time=promises.in_force,
        drain=promises.drain,
        drain_data_centre=promises.drain_data_centre,
        grace=promises.grace,
        budget=BudgetLimits(
            promises.budget_ratio,
            promises.budget_slack,
            promises.budget_window,
        ),
    )


def _build_query(
    prefix: str,
    shards: tuple[str, ...],
    *,
    top: int,
    share: float,
    timeout_ms: int,
) -> Route:
    return Route(
        name=prefix.strip('/'),
        host='',
        prefix=prefix,
        idempotent=True,
        timeout=timedelta(milliseconds=timeout_ms),
        latency_goal=timedelta(milliseconds=timeout_ms / 6),
        max_attempts=2,
        priority=0,
        shards=shards,
        top_records=top,
        min_share=share,
    )


def _build_single(
    prefix: str,
    weights: dict[str, float],
    *,
    idempotent: bool,
) -> Route:
    return Route(
        name=prefix.strip('/'),
        host='',
        prefix=prefix,
        idempotent=idempotent,
        timeout=timedelta(seconds=3),
        latency_goal=timedelta(milliseconds=400),
        max_attempts=2,
        priority=1,
        services=tuple(
            WeightedService(name, weight) for name, weight in weights.items()
        ),
    )
