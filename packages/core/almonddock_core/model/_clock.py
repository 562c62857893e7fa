"""The clock, passed in as an interface."""

from datetime import timedelta
from typing import Protocol


class Clock(Protocol):
    """Tells the time since the process started, which never goes back."""

    def now(self) -> timedelta:
        """Returns the time since the start, pauses of the host included."""
        ...


class ManualClock:
    """A clock that moves only when told, for tests and virtual time."""

    def __init__(self, start: timedelta = timedelta()) -> None:
        self._now = start

    def now(self) -> timedelta:
        """Returns the time that was set last."""
        return self._now

    def advance(self, step: timedelta) -> timedelta:
        """Moves the clock forward by ``step`` and returns the new time."""
        if step < timedelta():
            raise ValueError(f'a clock cannot go back by {step}')
        self._now += step
        return self._now
