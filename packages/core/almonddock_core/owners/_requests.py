"""Numbers the messages of a lease holder and keeps their send times."""

from datetime import timedelta

from almonddock_core.model import TargetId


class RequestLog:
    """Tells when a request was sent and whether its reply is still valid.

    A reply is not valid once the holder has released the target, because the
    voter may have processed the release after it replied. ``retention`` is
    the duration of a lease.
    """

    def __init__(self, retention: timedelta) -> None:
        self._retention = retention
        self._last = 0
        self._sent: dict[int, timedelta] = {}
        self._released: dict[TargetId, int] = {}

    def number_request(self, now: timedelta) -> int:
        """Returns the number of a request that is sent now."""
        self._last += 1
        self._sent[self._last] = now
        return self._last

    def number_release(self, target: TargetId) -> int:
        """Returns the number of a release that is sent now."""
        self._last += 1
        self._released[target] = self._last
        return self._last

    def find_sent(self, number: int, target: TargetId) -> timedelta | None:
        """Returns when a request was sent; None if its reply is not valid."""
        if number < self._released.get(target, 0):
            return None
        return self._sent.get(number)

    def prune(self, now: timedelta) -> None:
        """Removes requests older than the retention."""
        self._sent = {
            number: sent_at
            for number, sent_at in self._sent.items()
            if sent_at > now - self._retention
        }
        oldest = min(self._sent, default=self._last)
        self._released = {
            target: number
            for target, number in self._released.items()
            if number > oldest
        }
