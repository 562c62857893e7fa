"""A tier of hosts that roll out a version, with a store and faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from datetime import timedelta

from almonddock_core.model import get_era, join_revision, split_revision
from almonddock_core.rollouts import (
    ClaimView,
    ConditionalWrite,
    CountTable,
    Fleet,
    HostCounts,
    Outcome,
    RolloutBounds,
    RolloutDecider,
    RolloutOrder,
    RolloutRecord,
    RolloutState,
    RolloutTable,
    StoredRollouts,
)

SERVICE = 'desk'
OLD = 'v1'
NEW = 'v2'
DATA_CENTRES = ('a', 'b', 'c')
STEP_S = 0.05
STEP = timedelta(seconds=STEP_S)
TICK_STEPS = 5

#: The share of requests on the first of two routes.
BROAD_SHARE = 0.7
BOUNDS = RolloutBounds(0.1, 50, timedelta(seconds=5))


@dataclass(frozen=True, slots=True)
class Entry:
    """What a roll-out reads of a target's entry."""

    version: str
    data_centre: str
    service: str = SERVICE


@dataclass(slots=True)
class Target:
    """A target of either version."""

    entry: Entry


@dataclass(frozen=True, slots=True)
class Work:
    """One request as its target sees it."""

    version: str
    route: str
    data_centre: str
    #: Seconds since the order.
    elapsed: float
    #: The share of the last requests that the new version got.
    load: float
    draws: random.Random


#: Returns whether a request fails, and its time in typical times.
Behave = Callable[[Work], tuple[bool, float]]


def happens(draws: random.Random, share: float) -> bool:
    """Draws an event that happens in this share of cases."""
    return draws.random() < share


def behave_well(work: Work) -> tuple[bool, float]:
    """A sound version: few failures, some long answers."""
    slowness = work.draws.lognormvariate(0, 0.5)
    if happens(work.draws, 0.01):
        slowness *= 6
    return happens(work.draws, 0.003), slowness


@dataclass(slots=True)
class FakeStore:
    """Applies conditional writes."""

    revision: int = 1
    claim: tuple[str, int] = ('', 0)
    records: dict[str, tuple[RolloutRecord, int]] = field(default_factory=dict)
    orders: dict[str, RolloutOrder] = field(default_factory=dict)
    #: Every record written, in order.
    written: list[RolloutRecord] = field(default_factory=list)
    #: When the last verdict was written, by the clock of the fleet.
    verdict_at: timedelta | None = None
    now: timedelta = timedelta()

    def order(self, version: str = NEW, duration_s: float = 20) -> None:
        """Writes an order."""
        self.revision += 1
        duration = timedelta(seconds=duration_s)
        self.orders[SERVICE] = RolloutOrder(
            SERVICE, version, duration, self.revision
        )

    def withdraw(self) -> None:
        """Removes the order."""
        self.revision += 1
        self.orders.pop(SERVICE, None)

    def take_copy(self) -> 'FakeStore':
        """Returns a copy to restore the store from."""
        return replace(
            self,
            records=dict(self.records),
            orders=dict(self.orders),
            written=[],
        )

    def restore(self, copy: 'FakeStore') -> None:
        """Replaces the content by that of a copy, in the next era."""
        era = get_era(self.revision) + 1

        def place(revision: int) -> int:
            return join_revision(era, split_revision(revision)[1])

        owner, revision = copy.claim
        self.revision = place(copy.revision)
        self.claim = (owner, place(revision) if revision else 0)
        self.records = {
            service: (record.place_in_era(era), place(revision))
            for service, (record, revision) in copy.records.items()
        }
        self.orders = {
            service: replace(order, revision=place(order.revision))
            for service, order in copy.orders.items()
        }

    def _find_order_revision(self, service: str) -> int:
        order = self.orders.get(service)
        return order.revision if order else 0

    def commit(self, write: ConditionalWrite, owner: str) -> int | None:
        """Returns the revision of a write, None if its condition fails."""
        if self.claim[1] != write.claim_revision:
            return None
        for record, expected in zip(
            write.records, write.record_revisions, strict=True
        ):
            if self.records.get(record.service, (None, 0))[1] != expected:
                return None
        for record, expected in zip(
            write.records, write.order_revisions, strict=True
        ):
            if self._find_order_revision(record.service) != expected:
                return None
        self.revision += 1
        self.claim = (owner, self.revision)
        for record in write.records:
            self.records[record.service] = (record, self.revision)
            self.written.append(record)
            if record.state is not RolloutState.RUNNING:
                self.verdict_at = self.now
        return self.revision


class FakeHost:
    """One host with the real decisions."""

    def __init__(self, name: str, run: int, bounds: RolloutBounds) -> None:
        self.name = name
        self.table = RolloutTable(name, run)
        self.claim = ClaimView(name, f'{name} {run}')
        self.stored = StoredRollouts(self.table)
        self.decider = RolloutDecider(
            self.table, self.claim, self.stored, bounds
        )
        self.is_alive = True
        self.is_cut = False
        self.frozen_until = timedelta()
        self.reads_at = timedelta()
        #: A write that is under way, and when it reaches the store.
        self.pending: tuple[timedelta, ConditionalWrite] | None = None

    def runs(self, now: timedelta) -> bool:
        """Whether the process runs now."""
        return self.is_alive and now >= self.frozen_until

    def read(self, store: FakeStore, hosts: list[str], now: timedelta) -> None:
        """Reads the whole store."""
        self.table.hosts = hosts
        self.table.known_at = now
        era = get_era(store.revision)
        if era > self.stored.era:
            self.claim.enter_era(era, now)
            self.stored.enter_era(era, now)
        self.claim.observe(*store.claim, now)
        self.stored.replace_orders(store.orders.values())
        for record, revision in store.records.values():
            self.stored.put_record(record, revision)
        self.stored.apply(now)


@dataclass(slots=True)
class RolloutFleet:
    """Hosts that serve requests while a version is rolled out."""

    size: int = 4
    seed: int = 0
    #: Requests to the service in a second.
    rate: float = 20
    bounds: RolloutBounds = BOUNDS
    behave_new: Behave = behave_well
    behave_old: Behave = behave_well
    #: Whether each host gets the counts of all, or only the one that decides.
    is_told: bool = True
    #: Whether an order comes with targets of the new version.
    has_new: bool = True
    now: timedelta = timedelta()
    store: FakeStore = field(default_factory=FakeStore)
    hosts: list[FakeHost] = field(default_factory=list)
    old: list[Target] = field(default_factory=list)
    new: list[Target] = field(default_factory=list)
    #: When each request was sent to the new version, and whether it was bad.
    exposed: list[tuple[timedelta, bool]] = field(default_factory=list)
    requests: int = 0
    #: Requests whose first attempt failed.
    failed: int = 0
    ordered_at: timedelta = timedelta()
    draws: random.Random = field(init=False)
    _board: CountTable = field(default_factory=CountTable)
    _told: list[tuple[timedelta, HostCounts]] = field(default_factory=list)
    _load: float = 0
    _steps: int = 0

    def __post_init__(self) -> None:
        """Starts the hosts and targets."""
        self.draws = random.Random(self.seed)
        self.old = [Target(Entry(OLD, place)) for place in DATA_CENTRES]
        for number in range(self.size):
            self.hosts.append(FakeHost(f'host-{number}', 1, self.bounds))

    @property
    def states(self) -> list[RolloutState]:
        """The states that were written, without repetitions."""
        states: list[RolloutState] = []
        for record in self.store.written:
            if not states or states[-1] is not record.state:
                states.append(record.state)
        return states

    def order(self, version: str = NEW, duration_s: float = 20) -> None:
        """Orders a roll-out now, and starts targets of the version."""
        if version == NEW and self.has_new and not self.new:
            self.new = [Target(Entry(NEW, place)) for place in DATA_CENTRES]
        self.ordered_at = self.now
        self.store.order(version, duration_s)

    def restart(self, host: FakeHost) -> None:
        """Replaces a host by a new run of it."""
        index = self.hosts.index(host)
        run = self._steps + 2
        self.hosts[index] = FakeHost(host.name, run, self.bounds)

    def find_verdict_time(self) -> timedelta:
        """Returns the time from the order to the verdict, or until now."""
        at = self.store.verdict_at or self.now
        return at - self.ordered_at

    def find_decider(self) -> FakeHost | None:
        """Returns the host that decides, by the store."""
        owner = self.store.claim[0]
        for host in self.hosts:
            if host.claim.owner == owner:
                return host
        return None

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        until = self.now + timedelta(seconds=seconds)
        while self.now < until:
            self.now += STEP
            self.store.now = self.now
            self._steps += 1
            self._serve()
            for index, host in enumerate(self.hosts):
                if host.runs(self.now):
                    self._advance(host, index)

    def _advance(self, host: FakeHost, index: int) -> None:
        self._send_pending(host)
        if not host.is_cut and self.now >= host.reads_at:
            names = [one.name for one in self.hosts]
            host.read(self.store, names, self.now)
            pause = self.draws.uniform(0.1, 0.5)
            host.reads_at = self.now + timedelta(seconds=pause)
        if (self._steps + index) % TICK_STEPS:
            return
        host.table.update(self.now)
        if not host.is_cut:
            self._tell(host)
        if host.pending is None:
            write = host.decider.plan_write(self._find_fleet, self.now)
            if write is not None:
                delay = timedelta(seconds=self.draws.uniform(0, 0.1))
                host.pending = (self.now + delay, write)

    def _send_pending(self, host: FakeHost) -> None:
        if host.pending is None or self.now < host.pending[0]:
            return
        write = host.pending[1]
        host.pending = None
        if host.is_cut:
            return
        revision = self.store.commit(write, host.claim.owner)
        if revision is None:
            host.decider.record_conflict(self.now)
        else:
            host.decider.record_written(write, revision, self.now)

    def _tell(self, host: FakeHost) -> None:
        """Passes counts on, with the delay of two hops."""
        for row in host.table.counts.list_all():
            if row.host == host.name:
                self._told.append((self.now, row))
        due = self.now - timedelta(seconds=1)
        while self._told and self._told[0][0] <= due:
            self._board.record(self._told.pop(0)[1])
        if self.is_told or host is self.find_decider():
            for row in self._board.list_all():
                host.table.counts.record(row)

    def _find_fleet(self, service: str) -> Fleet:
        versions = [one.entry.version for one in (*self.old, *self.new)]
        names = frozenset(one.name for one in self.hosts if one.is_alive)
        return Fleet(frozenset(versions), versions, names)

    def _serve(self) -> None:
        count = int(self.rate * STEP_S)
        count += happens(self.draws, self.rate * STEP_S - count)
        running = [host for host in self.hosts if host.runs(self.now)]
        for _ in range(count if running else 0):
            self._serve_one(self.draws.choice(running))

    def _serve_one(self, host: FakeHost) -> None:
        self.requests += 1
        route = 'broad' if happens(self.draws, BROAD_SHARE) else 'quick'
        host.table.record_request(SERVICE)
        if self._ask(host, route, is_first=True):
            self.failed += 1
            self._ask(host, route, is_first=False)

    def _ask(self, host: FakeHost, route: str, *, is_first: bool) -> bool:
        """Sends an attempt; returns whether it failed."""
        table = host.table
        allowed = [
            target
            for target in (*self.old, *self.new)
            if table.is_allowed(target.entry, self.now)
        ]
        candidates = table.select(SERVICE, allowed, self.now, is_first=is_first)
        if not candidates:
            return False
        entry = self.draws.choice(candidates).entry
        table.record_sent(entry)
        is_new = entry.version == NEW
        self._load += 0.05 * (is_new - self._load)
        elapsed = (self.now - self.ordered_at).total_seconds()
        behave = self.behave_new if is_new else self.behave_old
        failed, slowness = behave(
            Work(
                entry.version,
                route,
                entry.data_centre,
                elapsed,
                self._load,
                self.draws,
            )
        )
        outcome = Outcome.FAILED if failed else Outcome.SUCCEEDED
        if not failed and slowness > LATE:
            # A hedge at the old version answers first.
            outcome = Outcome.CANCELLED
        table.record_answer(entry, route, outcome, slowness, is_cold=False)
        if is_new:
            self.exposed.append((self.now, failed or slowness > LATE))
        return failed


#: A request this many times later than typical is hedged.
LATE = 3
