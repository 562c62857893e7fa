"""What this host knows of the requests of one organisation."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from almonddock_core.quotas._bucket import Allowance, Bucket

#: The longest Retry-After.
MAX_RETRY_AFTER = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class Ticket:
    """A request that waits for a grant."""

    number: int
    arrived: timedelta


@dataclass(frozen=True, slots=True)
class PendingQuery:
    """A query that has not been answered."""

    organisation: str
    grantor: str
    sent: timedelta


@dataclass(slots=True)
class Usage:
    """The requests of one organisation at this host."""

    #: What was let in without a grant and is not covered by one yet.
    own: Bucket
    waiting: deque[Ticket] = field(default_factory=deque)
    #: How many of those let in without a grant are to be covered.
    uncovered: int = 0
    #: The number of the query in progress; None if there is none.
    asking: int | None = None
    #: Until when each grantor is not asked.
    blocked: dict[str, timedelta] = field(default_factory=dict)
    #: When the last one that was refused may retry.
    last_retry: timedelta = field(default=timedelta())

    def cover(self, granted: int, allowance: Allowance) -> None:
        """Covers some of what was let in without a grant."""
        covered = min(granted, self.uncovered)
        self.uncovered -= covered
        self.own.give_back(covered, allowance)

    def is_blocked(self, grantor: str, now: timedelta) -> bool:
        """Whether a grantor is not to be asked now."""
        return self.blocked.get(grantor, now) > now

    def find_retry(
        self, grantors: Iterable[str], interval: timedelta, now: timedelta
    ) -> timedelta:
        """Returns when the next one that is refused may retry.

        They come back one after the other, ``interval`` apart.
        """
        ends = [self.blocked[one] for one in grantors if one in self.blocked]
        earliest = max(now, min(ends, default=now))
        turn = max(earliest, self.last_retry + interval)
        self.last_retry = min(turn, now + MAX_RETRY_AFTER)
        return self.last_retry - now

    def is_idle(self, allowance: Allowance, now: timedelta) -> bool:
        """Whether nothing is left to know."""
        if self.waiting or self.asking is not None or self.last_retry > now:
            return False
        if any(until > now for until in self.blocked.values()):
            return False
        return self.own.is_unused(allowance, now)
