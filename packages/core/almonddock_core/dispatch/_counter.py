"""Counts events over a sliding window."""

from collections import deque
from datetime import timedelta

#: Number of steps into which a sliding window is divided.
WINDOW_STEPS = 20


class SlidingWindowCounter:
    """Counts events over a window that slides in steps."""

    def __init__(self, window: timedelta) -> None:
        self._step = window / WINDOW_STEPS
        self._total = 0
        self._steps: deque[tuple[int, int]] = deque()

    def add(self, now: timedelta) -> None:
        """Counts one event."""
        step = now // self._step
        self._total += 1
        if self._steps and self._steps[-1][0] == step:
            self._steps[-1] = (step, self._steps[-1][1] + 1)
        else:
            self._steps.append((step, 1))

    def count(self, now: timedelta) -> int:
        """Returns the events of the last window, rounded up to steps."""
        oldest = now // self._step - WINDOW_STEPS
        while self._steps and self._steps[0][0] < oldest:
            self._total -= self._steps.popleft()[1]
        return self._total
