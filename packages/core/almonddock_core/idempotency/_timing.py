"""The batching delay of writes and the backoff after failures."""

from datetime import timedelta

from almonddock_core.idempotency._settings import LogSettings

#: The weight of a new sample in the exponential moving averages.
SMOOTHING_WEIGHT = 0.1

#: Consecutive failed calls after which the store is considered down.
DOWN_AFTER_FAILURES = 2


class WriteTiming:
    """Estimates the store's round trip and the interval between claims.

    A claim waits for others only if more are expected: infrequent claims are
    written immediately, and at a high rate one write batches the claims of
    about two round trips.
    """

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._round_trip: timedelta | None = None
        self._claim_interval = settings.max_linger
        self._last_claim: timedelta | None = None

    def record_claim(self, now: timedelta) -> None:
        """Updates the estimated interval between claims."""
        if self._last_claim is not None:
            interval = min(now - self._last_claim, self._settings.max_linger)
            self._claim_interval += SMOOTHING_WEIGHT * (
                interval - self._claim_interval
            )
        self._last_claim = now

    def record_write(self, elapsed: timedelta) -> None:
        """Updates the estimated round trip from a successful write."""
        if self._round_trip is None:
            self._round_trip = elapsed
        else:
            self._round_trip += SMOOTHING_WEIGHT * (elapsed - self._round_trip)

    @property
    def linger(self) -> timedelta:
        """How long the oldest claim waits for others before its write."""
        settings = self._settings
        if self._round_trip is None:
            return timedelta()
        longest = min(
            self._round_trip * settings.linger_round_trips,
            settings.max_linger,
        )
        return longest if self._claim_interval <= longest else timedelta()

    @property
    def deadline_margin(self) -> timedelta:
        """The minimum time between a write's start and a claim's deadline."""
        return (self._round_trip or timedelta()) * 2


class Backoff:
    """The exponential backoff between calls to a failing store."""

    def __init__(self, settings: LogSettings) -> None:
        self._settings = settings
        self._failures = 0
        self._until = timedelta()

    def succeed(self) -> None:
        """Resets the backoff."""
        self._failures = 0
        self._until = timedelta()

    def fail(self, now: timedelta) -> None:
        """Starts a pause that doubles with each consecutive failure."""
        self._failures += 1
        if self._failures >= DOWN_AFTER_FAILURES:
            doublings = min(self._failures - DOWN_AFTER_FAILURES, 10)
            pause = self._settings.min_backoff * (1 << doublings)
            self._until = now + min(pause, self._settings.max_backoff)

    @property
    def until(self) -> timedelta:
        """The earliest time of the next call."""
        return self._until

    def is_down(self, now: timedelta) -> bool:
        """Returns whether calls are paused."""
        return now < self._until
