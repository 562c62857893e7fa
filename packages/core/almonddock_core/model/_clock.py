"""The clock interface, and a manual clock."""

from datetime import timedelta
from typing import Protocol


class Clock(Protocol):
    """A monotonic clock that starts with the process."""

    def now(self) -> timedelta:
        """Returns the time since the start, pauses of the host included."""
        ...


class ManualClock:
    """A clock that moves only by calls, for tests and virtual time."""

    def __init__(self, start: timedelta = timedelta()) -> None:
        self._now = start

    def now(self) -> timedelta:
        """Returns the time that was set last."""
        return self._now

    def advance(self, step: timedelta) -> timedelta:
        """Moves the clock forward by ``step`` and returns the new time."""
        if step < timedelta():
            raise ValueError(f'clock cannot advance by a negative step: {step}')
        self._now += step
        return self._now
