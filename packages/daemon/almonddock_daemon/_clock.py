"""The clock of the daemon."""

import time
from datetime import timedelta


class MonotonicClock:
    """Measures the time since its creation, including pauses of the process."""

    def __init__(self) -> None:
        self._start = time.monotonic()

    def now(self) -> timedelta:
        """Returns the time since the start."""
        return timedelta(seconds=time.monotonic() - self._start)
