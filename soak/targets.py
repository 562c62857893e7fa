"""The targets of a run: start, heartbeats, leaving and crashes."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from almonddock_core.routing import TargetEntry, TargetState
from almonddock_platform.tests.standins import (
    KEYS,
    Arrival,
    HttpServer,
    RestRefusal,
    StoreFault,
    StoreStandin,
    WorkingTarget,
    describe_target,
)
from soak.observations import ColdSpan, OutOfService
from soak.proxy import Proxy
from soak.strangers import ID_PREFIX

#: The interval between two heartbeats of a target, in seconds, from the
#: users' requirements.
HEARTBEAT_S = 1.2

#: Missed heartbeats after which a target's entry is removed, from the users'
#: requirements.
MISSED_HEARTBEATS = 3

#: The median time that a request takes, in seconds, and the sigma of its
#: log-normal distribution.
MEDIAN_WORK_S = 0.012
WORK_SIGMA = 0.4

#: The share of requests during which the target pauses, and the time that such
#: a request takes, in seconds.
PAUSE_SHARE = 0.01
PAUSE_S = 0.12

#: How long a leaving target serves after its drain time, in seconds, so that
#: late work is observed.
LINGER_S = 1.0

#: The same for one whose replies alone say that it leaves: each host hears so
#: at another time.
UNLISTED_LINGER_S = 4.0

#: How long a restarted target stays cold.
COLD_TIME = timedelta(seconds=2)

#: The rate that a cold target accepts, in requests per second.
COLD_RATE = 6.0

#: The share of requests that fail at a faulty target.
FAULTY_SHARE = 0.5

#: States of the store in which writes fail.
NO_WRITES = frozenset((StoreFault.DOWN, StoreFault.SILENT))


#: Services that answer requests by themselves; the others answer in parts.
SINGLE_SERVICES = frozenset(('ledger', 'archive'))


@dataclass(slots=True)
class TargetRecords:
    """Records of the targets of a run."""

    arrivals: list[Arrival] = field(default_factory=list)
    leaving: list[OutOfService] = field(default_factory=list)
    cold: list[ColdSpan] = field(default_factory=list)
    #: Targets whose replies alone say that they leave.
    unlisted: list[OutOfService] = field(default_factory=list)
    rest_refusals: list[RestRefusal] = field(default_factory=list)
    data_centres: dict[str, str] = field(default_factory=dict)

    def add_arrival(self, arrival: Arrival) -> None:
        """Keeps an arrival, unless strangers have sent the request."""
        if not arrival.attempt_id.startswith(ID_PREFIX):
            self.arrivals.append(arrival)


@dataclass(frozen=True, slots=True)
class TargetSpec:
    """The properties that all incarnations of a target share."""

    number: int
    service: str
    data_centre: str
    #: The number of requests that it processes at a time.
    slots: int


class SoakTarget:
    """The successive incarnations of one target."""

    def __init__(
        self,
        spec: TargetSpec,
        store: StoreStandin,
        records: TargetRecords,
        rng: random.Random,
        now: Callable[[], timedelta],
    ) -> None:
        self.spec = spec
        self._store = store
        self._records = records
        self._rng = rng
        self._now = now
        self._incarnation = 0
        self._sequence = 0
        self._working: WorkingTarget | None = None
        self._server: HttpServer | None = None
        #: On the path from hosts to this incarnation.
        self.proxy: Proxy | None = None
        self._entry: TargetEntry | None = None
        self._host = ''
        self._cold_until = timedelta()

    @property
    def is_single(self) -> bool:
        """Whether it answers requests by itself, not in parts."""
        return self.spec.service in SINGLE_SERVICES

    @property
    def working(self) -> WorkingTarget | None:
        """The serving incarnation; None while the target is down."""
        return self._working

    async def start(self, host: str, cold: timedelta = timedelta()) -> None:
        """Starts a new incarnation."""
        self._host = host
        self._incarnation += 1
        spec = self.spec
        name = f't{spec.number}-{self._incarnation}'
        self._working = WorkingTarget(
            target_id=name,
            service=spec.service,
            slots=spec.slots,
            sample_service_time=self._sample_service_time,
            on_start=self._records.add_arrival,
            now=self._now,
            get_cold_time=self._get_cold_time,
            rest_refusals=self._records.rest_refusals,
        )
        self._server = HttpServer(self._working.handle)
        self.proxy = Proxy(await self._server.start(host))
        address = await self.proxy.start(host)
        self._records.data_centres[name] = spec.data_centre
        self._entry = TargetEntry(
            target_id=name,
            service=spec.service,
            host=address.host,
            port=address.port,
            data_centre=spec.data_centre,
            slots=spec.slots,
            state=TargetState.READY,
            cold_for=timedelta(),
            started_ms=self._incarnation,
        )
        if cold:
            self.turn_cold(cold)
        self.send_heartbeat()

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        await asyncio.sleep(self._rng.uniform(0, HEARTBEAT_S))
        while True:
            self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    def send_heartbeat(self) -> None:
        """Writes the entry, if there is one and the store accepts writes."""
        entry = self._entry
        if entry is None or self._store.fault in NO_WRITES:
            return
        self._sequence += 1
        left = self._get_cold_time()
        self._store.put(
            f'{KEYS.target_prefix}{entry.target_id}',
            describe_target(replace(entry, cold_for=left), self._sequence),
        )

    def reports(self, key: str) -> bool:
        """Whether an entry of the store is the one that it sends."""
        entry = self._entry
        return (
            entry is not None
            and key == f'{KEYS.target_prefix}{entry.target_id}'
        )

    def expire_entry(self) -> None:
        """Removes the entry, which the next heartbeat writes again."""
        if self._entry is not None:
            self._store.remove(f'{KEYS.target_prefix}{self._entry.target_id}')

    def turn_cold(self, cold: timedelta) -> None:
        """Makes the next heartbeats announce the target as cold for a time."""
        entry = self._entry
        if entry is None:
            return
        now = self._now()
        self._cold_until = now + cold
        span = ColdSpan(entry.target_id, now, self._cold_until, COLD_RATE)
        self._records.cold.append(span)

    async def crash(self, down: timedelta) -> None:
        """Stops without announcing it, and restarts later as cold."""
        entry = self._end_serving()
        if entry is None:
            return
        silence = HEARTBEAT_S * MISSED_HEARTBEATS
        await asyncio.sleep(silence)
        self._store.remove(f'{KEYS.target_prefix}{entry.target_id}')
        await asyncio.sleep(max(0, down.total_seconds() - silence))
        await self.start(self._host, COLD_TIME)

    async def leave(self, drain: timedelta, *, silently: bool) -> None:
        """Announces that it leaves, or only removes its entry if ``silently``.

        Serves beyond the drain time, then restarts as cold.
        """
        entry = self._entry
        if entry is None or entry.state is TargetState.DRAINING:
            return
        if self._working is not None and self._working.leaving:
            return
        self._entry = replace(entry, state=TargetState.DRAINING)
        if silently:
            self._entry = None
            self._store.remove(f'{KEYS.target_prefix}{entry.target_id}')
        else:
            self.send_heartbeat()
        span = OutOfService(entry.target_id, self._now())
        self._records.leaving.append(span)
        await asyncio.sleep(drain.total_seconds() + LINGER_S)
        self._end_serving()
        self._store.remove(f'{KEYS.target_prefix}{entry.target_id}')
        await self.start(self._host, COLD_TIME)

    async def leave_unlisted(self, drain: timedelta) -> None:
        """Leaves, and says so in its replies only; restarts as cold."""
        entry = self._entry
        working = self._working
        if entry is None or working is None:
            return
        if entry.state is TargetState.DRAINING or working.leaving:
            return
        working.leaving = True
        since = self._now()
        self._records.unlisted.append(OutOfService(entry.target_id, since))
        await asyncio.sleep(drain.total_seconds() + UNLISTED_LINGER_S)
        if self._working is not working:
            return
        self._end_serving()
        self._store.remove(f'{KEYS.target_prefix}{entry.target_id}')
        await self.start(self._host, COLD_TIME)

    def close(self) -> None:
        """Stops serving without a restart."""
        self._end_serving()

    def sample_failure(self) -> bool:
        """Samples whether a request of a faulty target fails."""
        return self._rng.random() < FAULTY_SHARE

    def _get_cold_time(self) -> timedelta:
        return max(timedelta(), self._cold_until - self._now())

    def _sample_service_time(self) -> float:
        if self._rng.random() < PAUSE_SHARE:
            return PAUSE_S
        return self._rng.lognormvariate(0, WORK_SIGMA) * MEDIAN_WORK_S

    def _end_serving(self) -> TargetEntry | None:
        entry = self._entry
        self._entry = None
        self._working = None
        if self.proxy is not None:
            self.proxy.close()
        if self._server is not None:
            self._server.close()
        return entry
