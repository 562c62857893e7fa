"""The decisions for one request and their grounds, for the log."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.routing import KnownTarget


class TryReason(enum.Enum):
    """Why a target was asked."""

    FIRST = 'first'
    #: An earlier try took too long.
    HEDGE = 'hedge'
    #: An earlier try failed.
    RETRY = 'retry'


class TryOutcome(enum.Enum):
    """How a try ended."""

    OPEN = 'open'
    SUCCESS = 'success'
    FAILED = 'failed'
    REFUSED = 'refused'
    MISDIRECTED = 'misdirected'
    UNSENT = 'unsent'
    LOST = 'lost'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class TryRecord:
    """One try, with what was known of its target when it was chosen."""

    target: KnownTarget
    reason: TryReason
    sent: timedelta
    slowness: float
    failure_share: float
    in_flight: int
    #: When the target was last reached; None if never.
    reached: timedelta | None
    outcome: TryOutcome = TryOutcome.OPEN
    ended: timedelta | None = None


@dataclass(frozen=True, slots=True)
class UnavailableService:
    """A service without a reachable target."""

    service: str
    #: Targets that may get new work, but cannot be connected to.
    unreachable: int


@dataclass(slots=True)
class DecisionLog:
    """The decisions of one request, in order."""

    tries: list[TryRecord] = field(default_factory=list)
    #: Services that had no reachable target when a try was due.
    unavailable: list[UnavailableService] = field(default_factory=list)
    #: Services whose hedge or retry the budget did not allow.
    over_budget: list[str] = field(default_factory=list)

    def add_try(
        self,
        target: KnownTarget,
        reason: TryReason,
        now: timedelta,
    ) -> None:
        """Records a try before it counts as in flight."""
        health = target.health
        self.tries.append(
            TryRecord(
                target,
                reason,
                now,
                health.slowness,
                health.failure_share,
                health.in_flight,
                health.reached,
            ),
        )

    def end_try(
        self,
        number: int,
        outcome: TryOutcome,
        now: timedelta,
    ) -> None:
        """Records how the try of this number ended."""
        record = self.tries[number]
        record.outcome = outcome
        record.ended = now
