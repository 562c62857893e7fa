"""One order as one host knows it."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol, TypeVar

from almonddock_core.model import split_revision
from almonddock_core.rollouts._counts import Group, Tally
from almonddock_core.rollouts._history import CountHistory
from almonddock_core.rollouts._permits import Permits
from almonddock_core.rollouts._records import (
    RolloutOrder,
    RolloutRecord,
    RolloutStage,
    RolloutState,
)


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


def is_replaced(known: ServiceRollout, order: RolloutOrder) -> bool:
    """Whether an order starts a roll-out anew."""
    if known.order.version != order.version:
        return True
    if known.state is RolloutState.RUNNING:
        return False
    return known.record is None or not known.record.answers(order)


def is_in_force(rollout: ServiceRollout, record: RolloutRecord) -> bool:
    """Whether a record is a decision on the order that holds."""
    if record.answers(rollout.order):
        return True
    # An order that repeats a running or completed one.
    return (
        record.version == rollout.order.version
        and record.state is not RolloutState.ROLLED_BACK
    )


def is_same_order(before: RolloutRecord, record: RolloutRecord) -> bool:
    """Whether two records of a version are on one order, also by eras."""
    _, number = split_revision(before.order_revision)
    return number == split_revision(record.order_revision)[1]


def is_same_stage(before: RolloutRecord, record: RolloutRecord) -> bool:
    is_same_number = before.stage_number == record.stage_number
    return is_same_number and is_same_order(before, record)


def restore_rollout(record: RolloutRecord, now: timedelta) -> ServiceRollout:
    """Returns a roll-out whose order the store no longer holds."""
    order = RolloutOrder(
        record.service, record.version, record.duration, record.order_revision
    )
    return ServiceRollout(order, seen_at=now)
