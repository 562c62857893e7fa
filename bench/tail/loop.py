"""An event loop in virtual time."""

import heapq
import itertools
from collections.abc import Callable
from datetime import timedelta

Call = Callable[[], None]


class VirtualLoop:
    """Makes each call at its time; calls due together run in FIFO order."""

    def __init__(self) -> None:
        self.now = timedelta()
        self._order = itertools.count()
        self._calls: list[tuple[timedelta, int, Call]] = []

    def call_at(self, when: timedelta, call: Call) -> None:
        """Makes the call at ``when``, or next if that has passed."""
        due = max(when, self.now)
        heapq.heappush(self._calls, (due, next(self._order), call))

    def call_after(self, delay: timedelta, call: Call) -> None:
        """Makes the call once ``delay`` has passed."""
        self.call_at(self.now + delay, call)

    def run(self) -> None:
        """Makes all calls until none is left."""
        while self._calls:
            when, _, call = heapq.heappop(self._calls)
            self.now = when
            call()
