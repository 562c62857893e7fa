"""The decisions for one request and their grounds, for the log."""

import enum
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.routing import KnownTarget


class AttemptReason(enum.Enum):
    """Why a target was asked."""

    FIRST = 'first'
    #: An earlier attempt took too long.
    HEDGE = 'hedge'
    #: An earlier attempt failed.
    RETRY = 'retry'


class AttemptOutcome(enum.Enum):
    """How an attempt ended."""

    OPEN = 'open'
    SUCCESS = 'success'
    FAILED = 'failed'
    REFUSED = 'refused'
    MISDIRECTED = 'misdirected'
    UNSENT = 'unsent'
    WITHDRAWN = 'withdrawn'
    LOST = 'lost'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class AttemptRecord:
    """One attempt, with what was known of its target when it was chosen."""

    target: KnownTarget
    reason: AttemptReason
    sent: timedelta
    slowness: float
    failure_share: float
    in_flight: int
    #: When the target was last reached; None if never.
    reached: timedelta | None
    outcome: AttemptOutcome = AttemptOutcome.OPEN
    ended: timedelta | None = None


@dataclass(frozen=True, slots=True)
class UnavailableService:
    """A service without a reachable target."""

    service: str
    #: Targets that may get new work, but cannot be connected to.
    unreachable: int


@dataclass(frozen=True, slots=True)
class GroupRecord:
    """One message of another host with outcomes of attempts."""

    received: timedelta
    #: The number of outcomes in it.
    outcomes: int
    #: The longest time that a target took, as the other host measured it.
    slowest: timedelta


@dataclass(slots=True)
class DecisionLog:
    """The decisions of one request, in order."""

    attempts: list[AttemptRecord] = field(default_factory=list)
    #: Services that had no reachable target when an attempt was due.
    unavailable: list[UnavailableService] = field(default_factory=list)
    #: Services whose hedge or retry the budget did not allow.
    over_budget: list[str] = field(default_factory=list)
    #: Services whose hedge was left out because hedges there stay unanswered.
    not_hedged: list[str] = field(default_factory=list)
    #: When the first attempts had been handed over; None before.
    handed_over: timedelta | None = None
    groups: list[GroupRecord] = field(default_factory=list)
    #: From when an answer with shards missing was due; None for other answers.
    due: timedelta | None = None

    def add_attempt(
        self,
        target: KnownTarget,
        reason: AttemptReason,
        now: timedelta,
    ) -> None:
        """Records an attempt before it counts as in flight."""
        health = target.health
        self.attempts.append(
            AttemptRecord(
                target,
                reason,
                now,
                health.slowness,
                health.failure_share,
                health.in_flight,
                health.reached,
            ),
        )

    def end_attempt(
        self,
        number: int,
        outcome: AttemptOutcome,
        now: timedelta,
    ) -> None:
        """Records how the attempt of this number ended."""
        record = self.attempts[number]
        record.outcome = outcome
        record.ended = now
