"""Bounds the reads of the store that unknown keys cause.

Callers that guess keys must not buy calls to the store, nor fill the host with
requests that wait: one read serves all that wait, and there are pauses between
two of them.
"""

from datetime import timedelta

#: The pause between the starts of two reads.
CHECK_INTERVAL_MS = 500
CHECK_INTERVAL = timedelta(milliseconds=CHECK_INTERVAL_MS)

#: The most requests that wait for a read.
MAX_WAITING = 256


class KeyCheckSchedule:
    """When the next read is due, and whether to wait for it."""

    def __init__(self) -> None:
        #: No read starts before.
        self.next_at = timedelta()
        #: The requests that wait for the next read, or for one in progress.
        self.waiting = 0
        # Whether the last read brought an answer.
        self._answered = True

    def join(self, now: timedelta) -> bool:
        """Adds a request that waits; returns False if it is not to wait."""
        is_pointless = not self._answered and now < self.next_at
        if is_pointless or self.waiting >= MAX_WAITING:
            return False
        self.waiting += 1
        return True

    def leave(self) -> None:
        """Removes a request that has been decided on, or whose caller left."""
        self.waiting -= 1

    def start(self, now: timedelta) -> None:
        """Records that a read is sent."""
        self.next_at = now + CHECK_INTERVAL

    def finish(self, *, answered: bool) -> None:
        """Records whether the read brought an answer."""
        self._answered = answered
