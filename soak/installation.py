"""Everything that a run consists of, on loopback addresses of its own."""

import asyncio
import json
import os
import pathlib
import random
import signal
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch import BudgetLimits
from almonddock_core.routing import Route, Service, WeightedService
from almonddock_gateway.settings import Address
from almonddock_platform.tests.standins import (
    KEYS,
    HttpServer,
    StandinBounds,
    StandinHost,
    StoreStandin,
    describe_configuration,
    describe_settings,
)
from soak.callers import HostEndpoint
from soak.observations import OutOfService, Version
from soak.processes import HostProcess
from soak.proxy import Proxy
from soak.settings import DATA_CENTRES, Promises, SoakSettings
from soak.targets import (
    COLD_RATE,
    NO_WRITES,
    SoakTarget,
    TargetPlace,
    TargetRecords,
)

CALLER_PORT = 8104
READINESS_PORT = 8108
LINK_PORT = 7380

#: Loopback networks to choose from, so that runs side by side do not meet.
NETWORKS = 200
FIRST_NETWORK = 20
FIRST_HOST = 10

SLOTS = 3
CONNECTIONS = 30
TARGETS_PER_SHARD = 2
LEDGER_TARGETS = 3
ARCHIVE_TARGETS = 2
PAGE_SIZE = 100


@dataclass(slots=True)
class SoakHost:
    """A host, with the ways to it and from it."""

    process: HostProcess
    machine: StandinHost
    endpoint: HostEndpoint
    #: From callers to the host.
    callers: Proxy
    #: From other hosts to the host.
    links: Proxy
    #: From the host to the store.
    store: Proxy


class Installation:
    """Builds the parts of a run, and takes them down."""

    def __init__(self, settings: SoakSettings, folder: pathlib.Path) -> None:
        self.settings = settings
        self.chance = random.Random(settings.seed + 1)
        self.store = StoreStandin(page_size=PAGE_SIZE, rewrite=self._rewrite)
        self.records = TargetRecords()
        self.targets: list[SoakTarget] = []
        self.hosts: list[SoakHost] = []
        self.versions: list[Version] = []
        self.drained: list[OutOfService] = []
        #: Whether single requests go to the archive instead of the ledger.
        self.archived = False
        #: Whether queries go to the second index.
        self.recut = False
        self._folder = folder
        self._start: float = 0
        self._servers: list[HttpServer] = []
        self._links: dict[str, Address] = {}
        self._tasks: list[asyncio.Task[None]] = []
        pid = os.getpid()
        second = FIRST_NETWORK + pid % NETWORKS
        self._network = f'127.{second}.{pid // NETWORKS % NETWORKS}'

    @property
    def address(self) -> str:
        """The address of everything but the hosts."""
        return f'{self._network}.1'

    def now(self) -> timedelta:
        """Returns the time since the start of the run."""
        loop = asyncio.get_running_loop()
        return timedelta(seconds=loop.time() - self._start)

    async def start(self) -> None:
        """Starts the store, the targets and the hosts."""
        self._start = asyncio.get_running_loop().time()
        for place in list_places(self.settings):
            target = SoakTarget(
                place,
                self.store,
                self.records,
                random.Random(self.chance.random()),
                self.now,
            )
            await target.start(self.address)
            self.targets.append(target)
            self._tasks.append(asyncio.create_task(target.run()))
        self.configure()
        server = HttpServer(self.store.handle)
        self._servers.append(server)
        store = await server.start(self.address)
        for number in range(self.settings.hosts):
            self.hosts.append(await self._build_host(number, store))
        for host in self.hosts:
            self._tasks.append(asyncio.create_task(host.process.run()))

    async def close(self) -> None:
        """Ends everything that this run has started."""
        for host in self.hosts:
            host.process.close()
            for proxy in (host.callers, host.links, host.store):
                proxy.close()
        for target in self.targets:
            target.close()
        for server in self._servers:
            server.close()
        for task in self._tasks[: len(self.targets)]:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def configure(self) -> bool:
        """Writes the next version, if the store takes it."""
        if self.store.trouble in NO_WRITES:
            return False
        before = self.versions[-1].number if self.versions else 0
        number = before + self.chance.randint(1, 3)
        routes = build_routes(self)
        services = sorted({target.place.service for target in self.targets})
        self.store.put(
            KEYS.configuration,
            describe_configuration(
                number,
                routes,
                [
                    Service(one, CONNECTIONS, COLD_RATE, timedelta(seconds=3))
                    for one in services
                ],
            ),
        )
        self.versions.append(Version(number, self.now(), routes))
        return True

    def drain(self, name: str) -> bool:
        """Takes a data centre out, if the store takes it."""
        if self.store.trouble in NO_WRITES:
            return False
        self.store.put(f'{KEYS.drained_prefix}{name}', {})
        self.drained.append(OutOfService(name, self.now()))
        return True

    def take_back(self, name: str) -> None:
        """Takes a data centre back in."""
        self.store.remove(f'{KEYS.drained_prefix}{name}')
        self.drained = [
            OutOfService(one.name, one.since, self.now())
            if one.name == name and one.until is None
            else one
            for one in self.drained
        ]

    def reload(self, host: SoakHost) -> None:
        """Changes the settings file of a host and says so."""
        host.process.write_settings(describe_settings(host.machine))
        host.process.send(signal.SIGHUP)

    async def _build_host(self, number: int, store: Address) -> SoakHost:
        place = f'{self._network}.{FIRST_HOST + number}'
        name = f'host-{number}'
        callers = Proxy(Address(place, CALLER_PORT))
        links = Proxy(Address(place, LINK_PORT))
        to_store = Proxy(store)
        self._links[name] = await links.start(self.address)
        machine = StandinHost(
            name=name,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            host=place,
            caller_port=CALLER_PORT,
            readiness_port=READINESS_PORT,
            link_port=LINK_PORT,
            store=await to_store.start(self.address),
            bounds=read_bounds(self.settings.promises),
        )
        process = HostProcess(
            number,
            describe_settings(machine),
            self._folder,
            self.now,
        )
        endpoint = HostEndpoint(
            number,
            await callers.start(self.address),
            Address(place, READINESS_PORT),
            lambda: process.lifetime,
        )
        return SoakHost(process, machine, endpoint, callers, links, to_store)

    def _rewrite(self, key: str, content: bytes) -> bytes:
        """Leads links to a host over its proxy."""
        name = key.removeprefix(KEYS.host_prefix)
        address = self._links.get(name)
        if name == key or address is None:
            return content
        registered = json.loads(content)
        registered.update(host=address.host, port=address.port)
        return json.dumps(registered).encode()


def list_places(settings: SoakSettings) -> list[TargetPlace]:
    """Returns where targets run: two indexes, a ledger and an archive."""
    services = [
        service
        for shard in range(settings.shards)
        for service in (f'desk{shard}', f'board{shard}')[: 1 + shard % 2]
        for _ in range(TARGETS_PER_SHARD)
    ]
    services.extend('ledger' for _ in range(LEDGER_TARGETS))
    services.extend('archive' for _ in range(ARCHIVE_TARGETS))
    return [
        TargetPlace(
            number,
            service,
            DATA_CENTRES[number % len(DATA_CENTRES)],
            SLOTS,
        )
        for number, service in enumerate(services)
    ]


def build_routes(installation: Installation) -> tuple[Route, ...]:
    """Returns the routes as the operators want them now."""
    services = {target.place.service for target in installation.targets}
    index = 'board' if installation.recut else 'desk'
    shards = tuple(sorted(one for one in services if one.startswith(index)))
    single = 'archive' if installation.archived else 'ledger'
    return (
        _build_query('/all/', shards, top=20, share=0.75, timeout_ms=1500),
        _build_query('/few/', shards, top=5, share=0.5, timeout_ms=700),
        _build_single('/one/', {single: 1}, idempotent=True),
        _build_single('/split/', {'ledger': 3, 'archive': 1}, idempotent=True),
        _build_single('/order/', {'ledger': 1}, idempotent=False),
    )


def read_bounds(promises: Promises) -> StandinBounds:
    """Returns the bounds that hosts are told of."""
    return StandinBounds(
        in_force=promises.in_force,
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
