"""What the host that decides writes to the store, and under which condition."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.rollouts._claim import ClaimView
from almonddock_core.rollouts._decision import Fleet, decide
from almonddock_core.rollouts._records import RolloutBounds, RolloutRecord
from almonddock_core.rollouts._service import ServiceRollout
from almonddock_core.rollouts._stored import StoredRollouts
from almonddock_core.rollouts._table import MAX_AGE, RolloutTable

#: The most records in one write: the store takes 32 entries at once, a record
#: and the state that operators read are two, and the claim is one.
MAX_RECORDS = 10

#: Returns the targets of a service, and the hosts.
FindFleet = Callable[[str], Fleet]


@dataclass(frozen=True, slots=True)
class ConditionalWrite:
    """Records to write with the claim, unless one of them has changed."""

    #: The revision that the claim must have; 0 if it must not exist.
    claim_revision: int
    records: tuple[RolloutRecord, ...] = ()
    #: The revisions that the records must have, 0 for new ones.
    record_revisions: tuple[int, ...] = ()
    #: The revisions that the orders must have, 0 for those that are withdrawn.
    order_revisions: tuple[int, ...] = ()


@dataclass(slots=True)
class RolloutDecider:
    """Decides on the roll-outs if this host holds the claim to."""

    table: RolloutTable
    claim: ClaimView
    stored: StoredRollouts
    bounds: RolloutBounds
    #: Since when something waits for a decision; None if nothing does.
    _waiting_since: timedelta | None = None

    def plan_write(
        self, find_fleet: FindFleet, now: timedelta
    ) -> ConditionalWrite | None:
        """Returns what to write now, None if nothing is due."""
        if not self._list_due():
            self._waiting_since = None
            return None
        if self._waiting_since is None:
            self._waiting_since = now
        if not self._is_current(now):
            return None
        is_held = self.claim.is_held
        if not is_held and not self._may_take(now):
            return None
        due = self._list_due() if is_held else self._list_lost_verdicts()
        changed = self._decide_all(due, find_fleet, now)[:MAX_RECORDS]
        if is_held and not changed and not self.claim.is_renewal_due(now):
            return None
        return ConditionalWrite(
            self.claim.revision,
            tuple(changed),
            tuple(self.stored.revisions.get(one.service, 0) for one in changed),
            tuple(
                self.stored.find_order_revision(one.service) for one in changed
            ),
        )

    def record_written(
        self, write: ConditionalWrite, revision: int, now: timedelta
    ) -> None:
        """Records that the store has taken a write at a revision."""
        self.claim.record_write(revision, now)
        for record in write.records:
            self.stored.put_record(record, revision)
        self.stored.apply(now)

    def record_conflict(self, now: timedelta) -> None:
        """Records that the store has refused a write."""
        self.claim.give_up(now)

    def _list_due(self) -> list[ServiceRollout]:
        """Returns the roll-outs for which something is to be written.

        Without its order the record of a running one would say that the order
        was withdrawn.
        """
        undecided = [
            rollout
            for rollout in self.table.list_undecided()
            if not self.stored.is_held(rollout.order.service)
        ]
        return undecided + self._list_lost_verdicts()

    def _list_lost_verdicts(self) -> list[ServiceRollout]:
        lost = self.stored.list_lost()
        return [one for one in lost if not one.is_undecided]

    def _may_take(self, now: timedelta) -> bool:
        """Whether this host should take the claim.

        It does not wait for the host that decides if the store has lost a
        verdict: that one may not know it, and send requests to the version.
        """
        since = self._waiting_since or now
        is_urgent = bool(self._list_lost_verdicts())
        return self.claim.may_take(
            self.table.hosts, since, now, is_urgent=is_urgent
        )

    def _decide_all(
        self,
        rollouts: Iterable[ServiceRollout],
        find_fleet: FindFleet,
        now: timedelta,
    ) -> list[RolloutRecord]:
        """Returns the records that differ from those of the store."""
        lost = self.stored.list_lost()
        decided = [
            (
                None if rollout in lost else rollout.record,
                decide(
                    rollout,
                    find_fleet(rollout.order.service),
                    self.table.counts,
                    self.bounds,
                    now,
                ),
            )
            for rollout in rollouts
        ]
        return [record for before, record in decided if record != before]

    def _is_current(self, now: timedelta) -> bool:
        known_at = self.table.known_at
        return known_at is not None and now - known_at < MAX_AGE
