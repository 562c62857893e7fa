"""The clocks of the gateway."""

import time
from datetime import timedelta


class SuspendedClock:
    """A monotonic clock that counts the time in which the machine slept."""

    def now(self) -> timedelta:
        """Returns the time since the boot."""
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))


class MonotonicClock:
    """A monotonic clock, unaffected by changes of the system time."""

    def now(self) -> timedelta:
        """Returns the monotonic time."""
        return timedelta(seconds=time.monotonic())
