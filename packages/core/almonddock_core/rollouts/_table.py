"""Which version of a service a host sends a request to."""

from collections.abc import Mapping, Sequence
from datetime import timedelta

from almonddock_core.model import split_revision
from almonddock_core.rollouts._counts import (
    CountTable,
    Group,
    HostCounts,
    Tally,
)
from almonddock_core.rollouts._permits import Permits
from almonddock_core.rollouts._records import (
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    RolloutState,
)
from almonddock_core.rollouts._service import (
    CandidateT,
    Outcome,
    ServiceRollout,
    Versioned,
    is_in_force,
    is_replaced,
    is_same_order,
    is_same_stage,
    restore_rollout,
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


class RolloutTable:
    """The roll-outs at one host, and what the host counts for them."""

    def __init__(self, host: str, run: int) -> None:
        """Takes the name of this host, and a number of this run of it."""
        self.counts = CountTable()
        #: When what the store holds was last known; None before.
        self.known_at: timedelta | None = None
        self.hosts: Sequence[str] = ()
        self._host = host
        #: The number of this run of the host.
        self.run = run
        self._services: dict[str, ServiceRollout] = {}

    def __len__(self) -> int:
        """The number of services with an order."""
        return len(self._services)

    def list_all(self) -> list[ServiceRollout]:
        """Returns the roll-outs of all services."""
        return list(self._services.values())

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
            if known is None or is_replaced(known, order):
                known = ServiceRollout(order, seen_at=now)
            known.order = order
            known.is_withdrawn = False
            services[service] = known
        for service, record in records.items():
            if service not in services:
                known = self._services.get(service)
                services[service] = known or restore_rollout(record, now)
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
            self.run,
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
        if not is_in_force(rollout, record):
            rollout.barred = record.list_barred() - {rollout.order.version}
            return
        before = rollout.record
        rollout.record = record
        rollout.barred = record.barred_versions
        if before is not None and is_same_order(before, record):
            self.counts.move(
                record.service, before.order_revision, record.order_revision
            )
            if is_same_stage(before, record):
                return
        rollout.stage_at = now
        rollout.permits = None
        if record.stage is RolloutStage.TRIAL:
            _, number = split_revision(record.order_revision)
            seed = f'{record.service} {number}'
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
