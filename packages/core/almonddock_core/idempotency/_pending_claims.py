"""All claims of one log that wait for a decision."""

from datetime import timedelta

from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.idempotency._messages import Claim, Finish
from almonddock_core.idempotency._queue import ClaimQueue, PendingClaim


class PendingClaims:
    """Claims that wait for a read of the chain, for a write or for its end."""

    def __init__(self, claim_timeout: timedelta) -> None:
        #: Claims that wait for the chain to be read.
        self.undecided = ClaimQueue(claim_timeout, _get_request_id)
        #: Claims of free keys that wait to be written.
        self.queue = ClaimQueue(claim_timeout, _get_key)
        #: Claims in the ongoing write.
        self._writing = ClaimQueue(claim_timeout, _get_key)
        #: Claims in the ongoing write that were refused or withdrawn.
        self._abandoned: dict[KeyDigest, PendingClaim] = {}

    def __len__(self) -> int:
        """Returns the number of claims that need a decision."""
        return len(self.undecided) + len(self.queue) + len(self._writing)

    def find(self, key: KeyDigest) -> PendingClaim | None:
        """Returns the claim that holds the key until it is decided."""
        return self.queue.find(key) or self._writing.find(key)

    def is_abandoned(self, key: KeyDigest) -> bool:
        """Returns whether an abandoned claim on the key is being written."""
        return key in self._abandoned

    def begin_write(self, count: int) -> list[Claim]:
        """Moves the oldest queued claims into a write."""
        moved = self.queue.take(count)
        for pending in moved:
            self._writing.add(pending)
        return [pending.claim for pending in moved]

    def end_write(self) -> tuple[list[PendingClaim], list[PendingClaim]]:
        """Removes and returns a write's claims: pending and abandoned ones."""
        abandoned = list(self._abandoned.values())
        self._abandoned = {}
        return self._writing.take(), abandoned

    def postpone(self) -> None:
        """Moves queued claims back to wait for the next read of the chain."""
        for pending in self.queue.take():
            self.undecided.add(pending)

    def withdraw(self, finish: Finish) -> bool:
        """Removes the claim of a request that will not run.

        Returns whether there was such a claim.
        """
        pending = self.undecided.find(finish.request_id)
        if pending is not None:
            self.undecided.remove(pending.claim)
            return True
        pending = self.find(finish.key)
        if pending is None or pending.claim.request_id != finish.request_id:
            return False
        if self._writing.find(finish.key):
            self._abandoned[finish.key] = pending
            self._writing.remove(pending.claim)
        else:
            self.queue.remove(pending.claim)
        return True

    def take_overdue(self, now: timedelta) -> list[Claim]:
        """Removes and returns the claims that must be refused now."""
        in_write = self._writing.take_expired(now)
        for pending in in_write:
            self._abandoned[pending.claim.key] = pending
        overdue = [
            *self.undecided.take_expired(now),
            *self.queue.take_expired(now),
            *in_write,
        ]
        return [pending.claim for pending in overdue]

    def next_expiry(self) -> timedelta | None:
        """Returns a time before which no claim is overdue."""
        queues = (self.undecided, self.queue, self._writing)
        return min(
            (
                queue.next_expiry
                for queue in queues
                if queue.next_expiry is not None
            ),
            default=None,
        )


def _get_request_id(claim: Claim) -> str:
    return claim.request_id


def _get_key(claim: Claim) -> str:
    return claim.key
