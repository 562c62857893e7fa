"""The monotonic clock of the gateway."""

import time
from datetime import timedelta


class MonotonicClock:
    """A monotonic clock, unaffected by changes of the system time."""

    def now(self) -> timedelta:
        """Returns the monotonic time."""
        return timedelta(seconds=time.monotonic())
