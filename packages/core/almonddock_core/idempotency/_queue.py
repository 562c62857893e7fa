"""Claims that have no decision yet."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._messages import Claim


@dataclass(slots=True)
class Pending:
    """A claim that waits."""

    claim: Claim
    since: timedelta
    #: Refused or withdrawn while its write was under way.
    abandoned: bool = False


class ClaimQueue:
    """Claims in order of arrival, found by what ``identify`` returns."""

    def __init__(
        self,
        patience: timedelta,
        identify: Callable[[Claim], str],
    ) -> None:
        self._patience = patience
        self._identify = identify
        self._waiting: dict[str, Pending] = {}
        #: No waiting claim expires before this.
        self._next_expiry: timedelta | None = None

    def __len__(self) -> int:
        """Returns how many claims wait."""
        return len(self._waiting)

    def find(self, name: str) -> Pending | None:
        """Returns the waiting claim of that name."""
        return self._waiting.get(name)

    def add(self, pending: Pending) -> None:
        """Adds a claim at the end."""
        self._waiting[self._identify(pending.claim)] = pending
        expiry = self.find_expiry(pending)
        if self._next_expiry is None or expiry < self._next_expiry:
            self._next_expiry = expiry

    def remove(self, claim: Claim) -> None:
        """Takes out a claim without a decision."""
        self._waiting.pop(self._identify(claim), None)

    def take(self, count: int | None = None) -> list[Pending]:
        """Takes out the oldest claims, all by default."""
        taken = list(self._waiting.values())[:count]
        for pending in taken:
            self._waiting.pop(self._identify(pending.claim))
        return taken

    def take_expired(self, now: timedelta) -> list[Pending]:
        """Takes out the claims that must be refused now."""
        if self._next_expiry is None or now < self._next_expiry:
            return []
        expired = [
            one
            for one in self._waiting.values()
            if now >= self.find_expiry(one)
        ]
        for pending in expired:
            self._waiting.pop(self._identify(pending.claim))
        self._next_expiry = min(
            map(self.find_expiry, self._waiting.values()),
            default=None,
        )
        return expired

    @property
    def oldest(self) -> timedelta | None:
        """When the oldest waiting claim came."""
        first = next(iter(self._waiting.values()), None)
        return first.since if first else None

    @property
    def next_expiry(self) -> timedelta | None:
        """A time before which no waiting claim expires."""
        return self._next_expiry if self._waiting else None

    def find_expiry(self, pending: Pending) -> timedelta:
        """Returns when the claim must be refused."""
        limit = pending.since + self._patience
        return min(pending.claim.deadline, limit)
