"""A sliding window of the service times of one target."""

import bisect
from collections import deque
from datetime import timedelta


class ServiceTimes:
    """Keeps the last service times sorted, to compute quantiles.

    >>> times = ServiceTimes(size=3)
    >>> times.add(timedelta(milliseconds=10))
    >>> times.compute_quantile(0.5)
    datetime.timedelta(microseconds=10000)
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._recent: deque[timedelta] = deque()
        self._sorted: list[timedelta] = []
        self._total = timedelta()

    def __len__(self) -> int:
        """Returns the number of service times kept."""
        return len(self._recent)

    @property
    def mean(self) -> timedelta:
        """The mean service time; zero without any."""
        if not self._recent:
            return timedelta()
        return self._total / len(self._recent)

    def add(self, served: timedelta) -> None:
        """Adds a service time and evicts the oldest beyond the size."""
        self._recent.append(served)
        bisect.insort(self._sorted, served)
        self._total += served
        if len(self._recent) > self._size:
            oldest = self._recent.popleft()
            self._sorted.pop(bisect.bisect_left(self._sorted, oldest))
            self._total -= oldest

    def compute_quantile(self, quantile: float) -> timedelta:
        """Returns a quantile of the kept times; zero without any."""
        if not self._sorted:
            return timedelta()
        last = len(self._sorted) - 1
        return self._sorted[round(last * quantile)]
