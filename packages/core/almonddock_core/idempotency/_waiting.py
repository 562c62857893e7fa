"""All claims of one log that have no decision yet."""

from datetime import timedelta

from almonddock_core.idempotency._keys import KeyDigest
from almonddock_core.idempotency._messages import Claim, Finish
from almonddock_core.idempotency._queue import ClaimQueue, Pending


class Waiting:
    """Claims before the chain is read, before and during their write."""

    def __init__(self, patience: timedelta) -> None:
        #: Claims that wait until the chain is read.
        self.undecided = ClaimQueue(patience, _name_request)
        #: Claims of free keys that wait to be written.
        self.queue = ClaimQueue(patience, _name_key)
        #: Claims in the write that is under way.
        self._writing = ClaimQueue(patience, _name_key)
        #: Claims in that write which were refused or withdrawn.
        self._abandoned: dict[KeyDigest, Pending] = {}

    def __len__(self) -> int:
        """Returns how many claims need a decision."""
        return len(self.undecided) + len(self.queue) + len(self._writing)

    def find(self, key: KeyDigest) -> Pending | None:
        """Returns the claim that holds the key for now."""
        return self.queue.find(key) or self._writing.find(key)

    def is_abandoned(self, key: KeyDigest) -> bool:
        """Returns whether a claim that is of no use any more is written."""
        return key in self._abandoned

    def begin_write(self, count: int) -> list[Claim]:
        """Moves the oldest claims of the queue into a write."""
        moved = self.queue.take(count)
        for pending in moved:
            self._writing.add(pending)
        return [pending.claim for pending in moved]

    def end_write(self) -> tuple[list[Pending], list[Pending]]:
        """Takes out the claims of the write: still wanted, abandoned."""
        abandoned = list(self._abandoned.values())
        self._abandoned = {}
        return self._writing.take(), abandoned

    def postpone(self) -> None:
        """Holds the claims of the queue until the chain is read again."""
        for pending in self.queue.take():
            self.undecided.add(pending)

    def withdraw(self, finish: Finish) -> bool:
        """Takes out the claim of a request that will not run."""
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
        """Takes out the claims that must be refused now."""
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


def _name_request(claim: Claim) -> str:
    return claim.request_id


def _name_key(claim: Claim) -> str:
    return claim.key
