"""A queue of claims without a decision."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.idempotency._messages import Claim


@dataclass(slots=True)
class PendingClaim:
    """A claim that waits for its decision."""

    claim: Claim
    since: timedelta
    #: Unused; ``PendingClaims`` tracks the abandoned claims of a write.
    abandoned: bool = False


class ClaimQueue:
    """Claims in order of arrival, indexed by what ``identify`` returns."""

    def __init__(
        self,
        claim_timeout: timedelta,
        identify: Callable[[Claim], str],
    ) -> None:
        self._claim_timeout = claim_timeout
        self._identify = identify
        self._waiting: dict[str, PendingClaim] = {}
        #: No waiting claim expires before this.
        self._next_expiry: timedelta | None = None

    def __len__(self) -> int:
        """Returns the number of waiting claims."""
        return len(self._waiting)

    def find(self, identifier: str) -> PendingClaim | None:
        """Returns the waiting claim with that identifier."""
        return self._waiting.get(identifier)

    def add(self, pending: PendingClaim) -> None:
        """Appends a claim."""
        self._waiting[self._identify(pending.claim)] = pending
        expiry = self.find_expiry(pending)
        if self._next_expiry is None or expiry < self._next_expiry:
            self._next_expiry = expiry

    def remove(self, claim: Claim) -> None:
        """Removes a claim without deciding it."""
        self._waiting.pop(self._identify(claim), None)

    def take(self, count: int | None = None) -> list[PendingClaim]:
        """Removes and returns the oldest claims, by default all."""
        taken = list(self._waiting.values())[:count]
        for pending in taken:
            self._waiting.pop(self._identify(pending.claim))
        return taken

    def take_expired(self, now: timedelta) -> list[PendingClaim]:
        """Removes and returns the claims that must be refused now."""
        if self._next_expiry is None or now < self._next_expiry:
            return []
        expired = [
            pending
            for pending in self._waiting.values()
            if now >= self.find_expiry(pending)
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
        """The arrival time of the oldest waiting claim."""
        first = next(iter(self._waiting.values()), None)
        return first.since if first else None

    @property
    def next_expiry(self) -> timedelta | None:
        """A time before which no waiting claim expires."""
        return self._next_expiry if self._waiting else None

    def find_expiry(self, pending: PendingClaim) -> timedelta:
        """Returns when the claim must be refused."""
        limit = pending.since + self._claim_timeout
        return min(pending.claim.deadline, limit)
