"""Which version of a service a host sends a request to."""

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol, TypeVar

from almonddock_core.rollouts._counts import (
    CountTable,
    Group,
    HostCounts,
    Tally,
)
from almonddock_core.rollouts._history import CountHistory
from almonddock_core.rollouts._permits import Permits
from almonddock_core.rollouts._records import (
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    RolloutState,
)

#: How old what a host knows from the store may be for it to use a version that
#: is not completed.
MAX_AGE_S = 3.0
MAX_AGE = timedelta(seconds=MAX_AGE_S)

#: In a burst one request of so many goes to the old version, for comparison.
CONTROL_INTERVAL = 10

#: An answer is late at so many times the typical time of its route; a request
#: that was cancelled without an answer, at so many.
LATE_FACTOR = 3
LATE_CANCELLED_FACTOR = 2


class Versioned(Protocol):
    """The fields of a target's entry that are used here."""

    @property
    def service(self) -> str:
        """The service of the target."""
        ...

    @property
    def version(self) -> str:
        """The version that the target runs."""
        ...

    @property
    def data_centre(self) -> str:
        """Where the target is."""
        ...


class Candidate(Protocol):
    """A target that may get a request."""

    @property
    def entry(self) -> Versioned:
        """The entry of the target."""
        ...


CandidateT = TypeVar('CandidateT', bound=Candidate)


class Outcome(enum.Enum):
    """How a request to a target ended, if that tells of its version."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class ServiceRollout:
    """One order at one host."""

    order: RolloutOrder
    #: The record that answers the order; None before the first one.
    record: RolloutRecord | None = None
    #: Versions of earlier orders, which get nothing.
    barred: frozenset[str] = frozenset()
    #: Whether the store no longer holds the order.
    is_withdrawn: bool = False
    #: When this host saw the order.
    seen_at: timedelta = timedelta()
    #: When this host began to act on the stage.
    stage_at: timedelta = timedelta()
    permits: Permits | None = None
    requests: int = 0
    exposed: int = 0
    tallies: dict[Group, Tally] = field(default_factory=dict)
    history: CountHistory = field(default_factory=CountHistory)
    #: Why this host sends nothing to the new version; empty if it may.
    stopped: str = ''
    #: Whether as many requests went there as a bad version may get.
    is_full: bool = False

    @property
    def state(self) -> RolloutState:
        """The state, running before the first record."""
        return self.record.state if self.record else RolloutState.RUNNING

    @property
    def stage(self) -> RolloutStage:
        """The stage, blocked before the first record."""
        return self.record.stage if self.record else RolloutStage.BLOCKED

    @property
    def is_undecided(self) -> bool:
        """Whether the order, or its withdrawal, waits for a decision."""
        record = self.record
        if record is None or record.state is RolloutState.RUNNING:
            return True
        return not (self.is_withdrawn or record.answers(self.order))


class RolloutTable:
    """The roll-outs at one host, and what the host counts for them."""

    def __init__(self, host: str, run: int) -> None:
        """Takes the name of this host, and a number of this run of it."""
        self.counts = CountTable()
        #: When what the store holds was last known; None before.
        self.known_at: timedelta | None = None
        self.hosts: Sequence[str] = ()
        self._host = host
        self._run = run
        self._services: dict[str, ServiceRollout] = {}

    def __len__(self) -> int:
        """The number of services with an order."""
        return len(self._services)

    def list_running(self) -> list[ServiceRollout]:
        """Returns the roll-outs without a verdict."""
        return [
            rollout
            for rollout in self._services.values()
            if rollout.state is RolloutState.RUNNING
        ]

    def list_undecided(self) -> list[ServiceRollout]:
        """Returns the roll-outs that wait for a decision."""
        return [one for one in self._services.values() if one.is_undecided]

    def find(self, service: str) -> ServiceRollout | None:
        """Returns the roll-out of a service, None without an order."""
        return self._services.get(service)

    def apply(
        self,
        orders: Mapping[str, RolloutOrder],
        records: Mapping[str, RolloutRecord],
        now: timedelta,
    ) -> None:
        """Takes in the orders and records that the store holds."""
        services: dict[str, ServiceRollout] = {}
        for service, order in orders.items():
            known = self._services.get(service)
            if known is None or _is_replaced(known, order):
                known = ServiceRollout(order, seen_at=now)
            known.order = order
            known.is_withdrawn = False
            services[service] = known
        for service, record in records.items():
            if service not in services:
                known = self._services.get(service)
                services[service] = known or _restore(record, now)
                services[service].is_withdrawn = True
            self._apply_record(services[service], record, now)
        self._services = services
        self.counts.drop_others(
            {
                service: rollout.record.order_revision
                for service, rollout in services.items()
                if rollout.record is not None
            }
        )

    def is_allowed(self, entry: Versioned, now: timedelta) -> bool:
        """Whether a target may get any request, by its version."""
        rollout = self._services.get(entry.service)
        if rollout is None:
            return True
        if entry.version in rollout.barred:
            return False
        is_new = entry.version == rollout.order.version
        if rollout.state is RolloutState.COMPLETED:
            record = rollout.record
            return record is None or entry.version not in record.old_versions
        if not is_new:
            return True
        return self._is_open(rollout, now)

    def select(
        self,
        service: str,
        targets: list[CandidateT],
        now: timedelta,
        *,
        is_first: bool,
    ) -> list[CandidateT]:
        """Returns the candidates of one version for a request.

        ``is_first`` is false for a retry or a hedge.
        """
        rollout = self._services.get(service)
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            return targets
        version = rollout.order.version
        new = [one for one in targets if one.entry.version == version]
        old = [one for one in targets if one.entry.version != version]
        if rollout.stage is RolloutStage.MOVED:
            return new or old
        if new and is_first and self._takes_new(rollout, now):
            return new
        return old

    def record_request(self, service: str) -> None:
        """Counts a request to a service, without its retries."""
        rollout = self._services.get(service)
        if rollout is not None:
            rollout.requests += 1

    def record_sent(self, entry: Versioned) -> None:
        """Counts an attempt at a target."""
        rollout = self._services.get(entry.service)
        if rollout is None or entry.version != rollout.order.version:
            return
        rollout.exposed += 1
        if rollout.permits is not None:
            rollout.permits.use()

    def is_compared(self, entry: Versioned) -> bool:
        """Whether a target runs a version that is not in service yet."""
        rollout = self._services.get(entry.service)
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            return False
        return entry.version == rollout.order.version

    def record_answer(
        self,
        entry: Versioned,
        route: str,
        outcome: Outcome,
        slowness: float,
        *,
        is_cold: bool,
    ) -> None:
        """Counts how a request ended; ``slowness`` is in typical times."""
        rollout = self._services.get(entry.service)
        if rollout is None or rollout.state is not RolloutState.RUNNING:
            return
        is_cancelled = outcome is Outcome.CANCELLED
        limit = LATE_CANCELLED_FACTOR if is_cancelled else LATE_FACTOR
        is_late = slowness >= limit and not is_cold
        if is_cancelled and not is_late:
            return
        group = Group(
            entry.version == rollout.order.version, route, entry.data_centre
        )
        is_failed = outcome is Outcome.FAILED
        tally = Tally(1, int(is_failed), int(is_late and not is_failed))
        rollout.tallies[group] = rollout.tallies.get(group, Tally()) + tally

    def update(self, now: timedelta) -> None:
        """Adds this host's counts to all, and stops what looks bad."""
        for rollout in self.list_running():
            record = rollout.record
            if record is None:
                continue
            self.counts.record(self._build_row(rollout, record))
            counts = self.counts.sum(record.service, record.order_revision)
            rollout.history.add(counts, now)
            rollout.stopped = rollout.stopped or rollout.history.find_fault()
            rollout.is_full = counts.exposed >= record.allowance

    def _build_row(
        self, rollout: ServiceRollout, record: RolloutRecord
    ) -> HostCounts:
        return HostCounts(
            self._host,
            self._run,
            record.service,
            record.order_revision,
            record.stage_number,
            rollout.requests,
            rollout.exposed,
            dict(rollout.tallies),
        )

    def _apply_record(
        self, rollout: ServiceRollout, record: RolloutRecord, now: timedelta
    ) -> None:
        if not _is_in_force(rollout, record):
            rollout.barred = record.list_barred() - {rollout.order.version}
            return
        before = rollout.record
        rollout.record = record
        rollout.barred = record.barred_versions
        if before is not None and _is_same_stage(before, record):
            return
        rollout.stage_at = now
        rollout.permits = None
        if record.stage is RolloutStage.TRIAL:
            seed = f'{record.service} {record.order_revision}'
            rollout.permits = Permits(
                self._host, self.hosts, seed, record.trial_rate, now
            )

    def _is_open(self, rollout: ServiceRollout, now: timedelta) -> bool:
        """Whether the version of a running roll-out may get anything."""
        if rollout.state is RolloutState.ROLLED_BACK or rollout.stopped:
            return False
        if rollout.stage is RolloutStage.BLOCKED:
            return False
        return self.known_at is not None and now - self.known_at < MAX_AGE

    def _takes_new(self, rollout: ServiceRollout, now: timedelta) -> bool:
        if rollout.is_full or not self._is_open(rollout, now):
            return False
        if rollout.permits is not None:
            return rollout.permits.has_one(now)
        record = rollout.record
        if record is None or record.stage is not RolloutStage.BURST:
            return False
        if now - rollout.stage_at >= record.burst_time:
            return False
        return bool(rollout.requests % CONTROL_INTERVAL)


def _is_replaced(known: ServiceRollout, order: RolloutOrder) -> bool:
    """Whether an order starts a roll-out anew."""
    if known.order.version != order.version:
        return True
    if known.state is RolloutState.RUNNING:
        return False
    return known.record is None or not known.record.answers(order)


def _is_in_force(rollout: ServiceRollout, record: RolloutRecord) -> bool:
    """Whether a record is a decision on the order that holds."""
    if record.answers(rollout.order):
        return True
    # An order that repeats a running or completed one.
    return (
        record.version == rollout.order.version
        and record.state is not RolloutState.ROLLED_BACK
    )


def _is_same_stage(before: RolloutRecord, record: RolloutRecord) -> bool:
    return (before.order_revision, before.stage_number) == (
        record.order_revision,
        record.stage_number,
    )


def _restore(record: RolloutRecord, now: timedelta) -> ServiceRollout:
    """Returns a roll-out whose order the store no longer holds."""
    order = RolloutOrder(
        record.service, record.version, record.duration, record.order_revision
    )
    return ServiceRollout(order, seen_at=now)
