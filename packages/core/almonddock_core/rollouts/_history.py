"""What has been counted in the last seconds of a roll-out."""

from collections import deque
from datetime import timedelta

from almonddock_core.rollouts._comparison import (
    DOUBT_CHANCE,
    FAULT_CHANCE,
    find_fault,
)
from almonddock_core.rollouts._counts import ServiceCounts

#: The time in which a version that turns bad is compared by itself: without it
#: the good answers of before would hide the bad ones for long.
RECENT_S = 4.0
RECENT = timedelta(seconds=RECENT_S)

#: The time between two samples that are kept.
SAMPLE_INTERVAL_MS = 400
SAMPLE_INTERVAL = timedelta(milliseconds=SAMPLE_INTERVAL_MS)


class CountHistory:
    """Samples of one roll-out's counts over the last seconds."""

    def __init__(self) -> None:
        self._samples: deque[tuple[timedelta, ServiceCounts]] = deque()
        self._newest = ServiceCounts()
        self._now = timedelta()

    def add(self, counts: ServiceCounts, now: timedelta) -> None:
        """Takes the counts of now, and drops samples that are too old."""
        self._newest = counts
        self._now = now
        samples = self._samples
        if not samples or now - samples[-1][0] >= SAMPLE_INTERVAL:
            samples.append((now, counts))
        while len(samples) > 1 and now - samples[1][0] >= RECENT:
            samples.popleft()

    def find_fault(self) -> str:
        """Returns why the new version is worse; empty if it is not."""
        return self._find(FAULT_CHANCE)

    def find_doubt(self) -> str:
        """Returns why the new version may be worse; empty if nothing shows."""
        return self._find(DOUBT_CHANCE)

    def measure_rate(self) -> float:
        """Returns the requests to the service in a second."""
        if not self._samples:
            return 0
        began, counts = self._samples[0]
        passed = (self._now - began).total_seconds()
        if passed <= 0:
            return 0
        return self._newest.subtract(counts).requests / passed

    def _find(self, max_chance: float) -> str:
        fault = find_fault(self._newest, max_chance)
        if fault or not self._samples:
            return fault
        recent = self._newest.subtract(self._samples[0][1])
        return find_fault(recent, max_chance)
