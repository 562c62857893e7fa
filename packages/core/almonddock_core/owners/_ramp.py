"""How many sub-queries a target may run at a time."""

from collections import deque
from datetime import timedelta

from almonddock_core.deployment import TargetEntry
from almonddock_core.owners._history import ServiceTimes
from almonddock_core.owners._settings import OwnerSettings

_MEDIAN = 0.5
_GROWTH = 2


class Ramp:
    """Grows the allowance of a target on successes and shrinks it on trouble.

    The allowance starts at what the target bears in a cold start. It doubles
    after as many successes in a row as it allows at a time. A cold mark, or
    several slow replies close together, take it back to the start at once;
    a refusal for load halves it. Replies to work that was sent before the
    last step back prove nothing and let it grow no further.
    """

    def __init__(self, entry: TargetEntry, settings: OwnerSettings) -> None:
        self._settings = settings
        self._slots = entry.slots
        self._cold_slots = min(entry.cold_slots, entry.slots)
        self._allowed = self._cold_slots
        self._successes = 0
        self._changed_at = timedelta.min
        self._slow: deque[bool] = deque(maxlen=settings.slow_window)
        self._times = ServiceTimes(settings.history_size)

    @property
    def allowed(self) -> int:
        """Sub-queries that may run at a time now."""
        return self._allowed

    @property
    def cold_slots(self) -> int:
        """Sub-queries that the target bears at a time in a cold start."""
        return self._cold_slots

    @property
    def times(self) -> ServiceTimes:
        """The service times of the last successes."""
        return self._times

    def restart(self, now: timedelta, allowed: int | None = None) -> None:
        """Treats the target as cold, or as bearing what was handed over."""
        start = self._cold_slots if allowed is None else allowed
        self._step_back(min(start, self._slots), now)

    def shed(self, now: timedelta) -> None:
        """Learns that the target refused work because of its load."""
        self._step_back(max(self._cold_slots, self._allowed // 2), now)

    def succeed(
        self,
        served: timedelta,
        sent_at: timedelta,
        now: timedelta,
    ) -> None:
        """Learns from a reply without a cold mark."""
        slow = self._is_slow(served)
        self._slow.append(slow)
        self._times.add(served)
        if sum(self._slow) >= self._settings.slow_count:
            self.restart(now)
        elif sent_at >= self._changed_at and not slow:
            self._grow()

    def _is_slow(self, served: timedelta) -> bool:
        usual = self._times.compute_quantile(_MEDIAN)
        known = len(self._times) >= self._settings.slow_window
        return known and served > usual * self._settings.slow_ratio

    def _grow(self) -> None:
        self._successes += 1
        if self._successes >= self._allowed:
            self._allowed = min(self._slots, self._allowed * _GROWTH)
            self._successes = 0

    def _step_back(self, allowed: int, now: timedelta) -> None:
        self._allowed = allowed
        self._successes = 0
        self._changed_at = now
        self._slow.clear()
