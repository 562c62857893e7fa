"""The adaptive concurrency limit of a target."""

from collections import deque
from datetime import timedelta

from almonddock_core.deployment import TargetEntry
from almonddock_core.owners._history import ServiceTimes
from almonddock_core.owners._settings import OwnerSettings

_MEDIAN = 0.5
_GROWTH_FACTOR = 2


class ConcurrencyLimit:
    """Raises the limit on successes and reduces it on signs of overload.

    The limit starts at the capacity of a cold target. It doubles after as
    many successes as it allows at a time. A reply that reports a cold start,
    or several slow replies within the window, reset it to the start; a
    refusal because of load halves it. Replies to work that was sent before
    the last reduction do not raise it, because they do not show the effect of
    the reduction.
    """

    def __init__(self, entry: TargetEntry, settings: OwnerSettings) -> None:
        self._settings = settings
        self._slots = entry.slots
        self._cold_slots = min(entry.cold_slots, entry.slots)
        self._allowed = self._cold_slots
        self._successes = 0
        self._reduced_at = timedelta.min
        self._slow: deque[bool] = deque(maxlen=settings.slow_window)
        self._times = ServiceTimes(settings.history_size)

    @property
    def allowed(self) -> int:
        """The most sub-queries that may run at a time now."""
        return self._allowed

    @property
    def cold_slots(self) -> int:
        """The most sub-queries that may run at a time on a cold target."""
        return self._cold_slots

    @property
    def times(self) -> ServiceTimes:
        """The service times of the last successes."""
        return self._times

    def reset(self, now: timedelta, allowed: int | None = None) -> None:
        """Resets the limit to ``allowed``, or to that of a cold target."""
        start = self._cold_slots if allowed is None else allowed
        self._reduce(min(start, self._slots), now)

    def halve(self, now: timedelta) -> None:
        """Halves the limit after the target refused work because of load."""
        self._reduce(max(self._cold_slots, self._allowed // 2), now)

    def record_success(
        self,
        served: timedelta,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        """Updates the limit on a success that reports no cold start."""
        slow = self._is_slow(served)
        self._slow.append(slow)
        self._times.add(served)
        if sum(self._slow) >= self._settings.slow_count:
            self.reset(now)
        elif sent_at >= self._reduced_at and not slow:
            self._grow()

    def _is_slow(self, served: timedelta) -> bool:
        usual = self._times.compute_quantile(_MEDIAN)
        known = len(self._times) >= self._settings.slow_window
        return known and served > usual * self._settings.slow_ratio

    def _grow(self) -> None:
        self._successes += 1
        if self._successes >= self._allowed:
            self._allowed = min(self._slots, self._allowed * _GROWTH_FACTOR)
            self._successes = 0

    def _reduce(self, allowed: int, now: timedelta) -> None:
        self._allowed = allowed
        self._successes = 0
        self._reduced_at = now
        self._slow.clear()
