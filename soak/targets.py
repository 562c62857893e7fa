"""The targets of a run: their starts, heartbeats, leaves and crashes."""

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
    StoreStandin,
    StoreTrouble,
    WorkingTarget,
    describe_target,
)
from soak.observations import ColdSpan, OutOfService
from soak.proxy import Proxy

#: The pause between two heartbeats of a target, in seconds (users' pages).
HEARTBEAT_S = 1.2

#: Heartbeats without news after which an entry goes (users' pages).
SILENT_HEARTBEATS = 3

#: The middle of the times that a request takes, in seconds, and their spread.
WORK_S = 0.012
WORK_SPREAD = 0.4

#: The share of requests in which a target pauses, and for how long, seconds.
PAUSE_SHARE = 0.01
PAUSE_S = 0.12

#: How long a target serves after it said that it leaves, beyond the time
#: within which new work must end, in seconds.
LINGER_S = 1.0

#: How long a target that starts anew stays cold.
COLD_TIME = timedelta(seconds=2)

#: What a cold target bears, in requests a second.
COLD_RATE = 6.0

#: The share of requests that a faulty target fails.
FAULTY_SHARE = 0.5

#: States of the store in which nothing can be written.
NO_WRITES = frozenset((StoreTrouble.DOWN, StoreTrouble.SILENT))


@dataclass(slots=True)
class TargetRecords:
    """What the targets of a run have seen and done."""

    arrivals: list[Arrival] = field(default_factory=list)
    leaving: list[OutOfService] = field(default_factory=list)
    cold: list[ColdSpan] = field(default_factory=list)
    places: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class TargetPlace:
    """What stays the same from one incarnation to the next."""

    number: int
    service: str
    data_centre: str
    slots: int


class SoakTarget:
    """One target after the other at the same place."""

    def __init__(
        self,
        place: TargetPlace,
        store: StoreStandin,
        records: TargetRecords,
        chance: random.Random,
        now: Callable[[], timedelta],
    ) -> None:
        self.place = place
        self._store = store
        self._records = records
        self._chance = chance
        self._now = now
        self._incarnation = 0
        self._sequence = 0
        self._working: WorkingTarget | None = None
        self._server: HttpServer | None = None
        #: The way to this incarnation.
        self.proxy: Proxy | None = None
        self._entry: TargetEntry | None = None
        self._host = ''
        self._cold_until = timedelta()

    @property
    def working(self) -> WorkingTarget | None:
        """The incarnation that serves; None while none does."""
        return self._working

    async def start(self, host: str, cold: timedelta = timedelta()) -> None:
        """Starts a new incarnation."""
        self._host = host
        self._incarnation += 1
        place = self.place
        name = f't{place.number}-{self._incarnation}'
        self._working = WorkingTarget(
            target_id=name,
            service=place.service,
            slots=place.slots,
            draw_time=self._draw_time,
            note=self._records.arrivals.append,
            now=self._now,
        )
        self._server = HttpServer(self._working.handle)
        self.proxy = Proxy(await self._server.start(host))
        address = await self.proxy.start(host)
        self._records.places[name] = place.data_centre
        self._entry = TargetEntry(
            target_id=name,
            service=place.service,
            host=address.host,
            port=address.port,
            data_centre=place.data_centre,
            slots=place.slots,
            state=TargetState.READY,
            cold_for=timedelta(),
            born=self._incarnation,
        )
        if cold:
            self.turn_cold(cold)
        self.beat()

    async def run(self) -> None:
        """Sends heartbeats until cancelled."""
        await asyncio.sleep(self._chance.uniform(0, HEARTBEAT_S))
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    def beat(self) -> None:
        """Writes the entry, if the target lives and the store takes it."""
        entry = self._entry
        if entry is None or self._store.trouble in NO_WRITES:
            return
        self._sequence += 1
        left = max(timedelta(), self._cold_until - self._now())
        self._store.put(
            f'{KEYS.target_prefix}{entry.target_id}',
            describe_target(replace(entry, cold_for=left), self._sequence),
        )

    def lapse(self) -> None:
        """Removes the entry, which the next heartbeat brings back."""
        if self._entry is not None:
            self._store.remove(f'{KEYS.target_prefix}{self._entry.target_id}')

    def turn_cold(self, cold: timedelta) -> None:
        """Bears little for a while, and says so."""
        entry = self._entry
        if entry is None:
            return
        now = self._now()
        self._cold_until = now + cold
        span = ColdSpan(entry.target_id, now, self._cold_until, COLD_RATE)
        self._records.cold.append(span)

    async def crash(self, down: timedelta) -> None:
        """Ends without a word, and starts again later."""
        entry = self._end_serving()
        if entry is None:
            return
        silence = HEARTBEAT_S * SILENT_HEARTBEATS
        await asyncio.sleep(silence)
        self._store.remove(f'{KEYS.target_prefix}{entry.target_id}')
        await asyncio.sleep(max(0, down.total_seconds() - silence))
        await self.start(self._host, COLD_TIME)

    async def leave(self, drain: timedelta, *, silently: bool) -> None:
        """Says that it leaves, or only loses its entry; serves on a while."""
        entry = self._entry
        if entry is None or entry.state is TargetState.DRAINING:
            return
        self._entry = replace(entry, state=TargetState.DRAINING)
        if silently:
            self._entry = None
            self._store.remove(f'{KEYS.target_prefix}{entry.target_id}')
        else:
            self.beat()
        span = OutOfService(entry.target_id, self._now())
        self._records.leaving.append(span)
        await asyncio.sleep(drain.total_seconds() + LINGER_S)
        self._end_serving()
        self._store.remove(f'{KEYS.target_prefix}{entry.target_id}')
        await self.start(self._host, COLD_TIME)

    def close(self) -> None:
        """Ends for good."""
        self._end_serving()

    def draw_failure(self) -> bool:
        """Draws whether a request of a faulty target fails."""
        return self._chance.random() < FAULTY_SHARE

    def _draw_time(self) -> float:
        if self._chance.random() < PAUSE_SHARE:
            return PAUSE_S
        return self._chance.lognormvariate(0, WORK_SPREAD) * WORK_S

    def _end_serving(self) -> TargetEntry | None:
        entry = self._entry
        self._entry = None
        self._working = None
        if self.proxy is not None:
            self.proxy.close()
        if self._server is not None:
            self._server.close()
        return entry
