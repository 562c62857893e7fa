"""Orders of operators, and what the tier has decided on them."""

import enum
from dataclasses import dataclass, replace
from datetime import timedelta
from types import MappingProxyType

from almonddock_core.model import join_revision, split_revision


class RolloutState(enum.Enum):
    """How far a roll-out is; the last two are final for one order."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'


class RolloutStage(enum.Enum):
    """How much of a service's requests its new version gets."""

    #: Nothing: targets of the new version are not ready yet.
    BLOCKED = 'blocked'
    #: Single requests, dealt out over all hosts.
    TRIAL = 'trial'
    #: Nearly all requests, for a short time.
    BURST = 'burst'
    #: All requests.
    MOVED = 'moved'


#: A version that was rolled back is not completed by the same order.
_FINALITY = MappingProxyType(
    {
        RolloutState.RUNNING: 0,
        RolloutState.COMPLETED: 1,
        RolloutState.ROLLED_BACK: 2,
    }
)


@dataclass(frozen=True, slots=True)
class RolloutBounds:
    """What a bad version may get, from the deployment's settings."""

    #: The share of the service's requests until the deadline.
    exposure_share: float
    #: Requests on top of that share.
    exposure_slack: float
    #: The time from the 50th bad answer until the last request.
    rollback_time: timedelta


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An operator's order to move a service to a version."""

    service: str
    version: str
    duration: timedelta
    #: The revision of the store at which it was written.
    revision: int

    def place_in_era(self, era: int) -> 'RolloutOrder':
        """Returns the order with its number of the store in an era."""
        return replace(self, revision=_place_revision(self.revision, era))

    def is_repeated_by(self, other: 'RolloutOrder') -> bool:
        """Whether another order is the same but for its revision."""
        return self == replace(other, revision=self.revision)


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The decision in force on one order, as the store holds it."""

    service: str
    version: str
    #: The revision of the order that it answers.
    order_revision: int
    duration: timedelta
    state: RolloutState
    stage: RolloutStage
    #: Counts the changes of the stage, so that hosts can name the one they act
    #: on.
    stage_number: int
    #: The time from the order to the start of the stage.
    stage_began: timedelta
    #: Requests a second over all hosts in a trial.
    trial_rate: float = 0
    #: The most requests to the new version until the next stage.
    allowance: int = 0
    #: How long each host takes part in a burst.
    burst_time: timedelta = timedelta()
    #: Whether a burst has ended without a fault.
    was_loaded: bool = False
    #: The versions in service when the order came.
    old_versions: frozenset[str] = frozenset()
    #: Versions that earlier orders named or replaced, and that get nothing.
    barred_versions: frozenset[str] = frozenset()
    #: The revision of the newest order that this answers: one that repeats a
    #: running order changes nothing.
    answered_revision: int = 0
    #: Why the state or stage was chosen.
    reason: str = ''

    def end(self, state: RolloutState, reason: str) -> 'RolloutRecord':
        """Returns the record with a verdict."""
        return replace(self, state=state, reason=reason)

    def place_in_era(self, era: int) -> 'RolloutRecord':
        """Returns the record with the store's numbers of its order in an era.

        A copy of the store that holds a record also holds its order.
        """
        return replace(
            self,
            order_revision=_place_revision(self.order_revision, era),
            answered_revision=_place_revision(self.answered_revision, era),
        )

    def enter(
        self,
        stage: RolloutStage,
        elapsed: timedelta,
        reason: str,
    ) -> 'RolloutRecord':
        """Returns the record with the next stage."""
        return replace(
            self,
            stage=stage,
            stage_number=self.stage_number + 1,
            stage_began=elapsed,
            reason=reason,
        )

    def answers(self, order: RolloutOrder) -> bool:
        """Whether this is a decision on an order, not on an earlier one."""
        return (
            self.version == order.version
            and self.answered_revision >= order.revision
        )

    def is_ahead_of(self, other: 'RolloutRecord') -> bool:
        """Whether this decision was made after another on the same order."""
        return self._rank() > other._rank()

    def list_barred(self) -> frozenset[str]:
        """Returns the versions that get nothing once another is ordered."""
        if self.state is RolloutState.COMPLETED:
            return self.barred_versions | self.old_versions
        return self.barred_versions | {self.version}

    def _rank(self) -> tuple[int, int, int]:
        return (
            self.answered_revision,
            _FINALITY[self.state],
            self.stage_number,
        )


def start_record(
    order: RolloutOrder,
    listed: frozenset[str],
    barred: frozenset[str] = frozenset(),
) -> RolloutRecord:
    """Returns the first record of an order.

    ``listed`` are the versions that the service's targets run.
    """
    return RolloutRecord(
        service=order.service,
        version=order.version,
        order_revision=order.revision,
        duration=order.duration,
        state=RolloutState.RUNNING,
        stage=RolloutStage.BLOCKED,
        stage_number=0,
        stage_began=timedelta(),
        old_versions=listed - barred - {order.version},
        barred_versions=barred - {order.version},
        answered_revision=order.revision,
        reason='ordered',
    )


def _place_revision(revision: int, era: int) -> int:
    return join_revision(era, split_revision(revision)[1])
