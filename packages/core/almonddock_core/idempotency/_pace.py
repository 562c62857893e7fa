"""When the log writes and how long it pauses after failures."""

from datetime import timedelta

from almonddock_core.idempotency._settings import LogSettings

#: The weight of a new sample in the smoothed estimates.
WEIGHT = 0.1

#: Failed calls in a row after which the store counts as down.
DOWN_AFTER = 2


class Pace:
    """Estimates the store's round trip and the time between claims.

    A claim waits for others only when some are expected: with rare claims
    each is written at once, with many one write carries those of about
    two round trips.
    """

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._round_trip: timedelta | None = None
        self._gap = settings.max_linger
        self._last_claim: timedelta | None = None

    def note_claim(self, now: timedelta) -> None:
        """Learns the time between claims."""
        if self._last_claim is not None:
            gap = min(now - self._last_claim, self._settings.max_linger)
            self._gap += WEIGHT * (gap - self._gap)
        self._last_claim = now

    def note_write(self, elapsed: timedelta) -> None:
        """Learns the store's round trip from a write that succeeded."""
        if self._round_trip is None:
            self._round_trip = elapsed
        else:
            self._round_trip += WEIGHT * (elapsed - self._round_trip)

    @property
    def linger(self) -> timedelta:
        """How long the oldest claim waits before it is written."""
        settings = self._settings
        if self._round_trip is None:
            return timedelta()
        longest = min(
            self._round_trip * settings.linger_round_trips,
            settings.max_linger,
        )
        return longest if self._gap <= longest else timedelta()

    @property
    def reserve(self) -> timedelta:
        """How long before a claim's deadline its write starts at latest."""
        return (self._round_trip or timedelta()) * 2


class Backoff:
    """Pauses between calls to a store that does not answer."""

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._failures = 0
        self._until = timedelta()

    def succeed(self) -> None:
        """Ends the pause."""
        self._failures = 0
        self._until = timedelta()

    def fail(self, now: timedelta) -> None:
        """Starts a pause that is longer with each failure in a row."""
        self._failures += 1
        if self._failures >= DOWN_AFTER:
            doublings = min(self._failures - DOWN_AFTER, 10)
            pause = self._settings.min_backoff * (1 << doublings)
            self._until = now + min(pause, self._settings.max_backoff)

    @property
    def until(self) -> timedelta:
        """When the next call may go out."""
        return self._until

    def is_down(self, now: timedelta) -> bool:
        """Returns whether calls are held back."""
        return now < self._until
