"""The clock of the gateway."""

import time
from datetime import timedelta


class SteadyClock:
    """Tells the time since the machine's start; jumps of the day skip it."""

    def now(self) -> timedelta:
        """Returns the time of the steady clock."""
        return timedelta(seconds=time.monotonic())
