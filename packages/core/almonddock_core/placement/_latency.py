"""The typical time in which targets answer the requests of one route."""

from datetime import timedelta

#: How far one reply moves the estimate, as a share of the estimate.
STEP_SHARE = 0.05

#: The estimate before the first reply, as a share of the latency goal.
INITIAL_ESTIMATE_SHARE = 0.2

#: Fewer replies say little of the median.
MIN_REPLIES = 20

#: The least estimate, in seconds: other times are divided by it.
MIN_ESTIMATE_S = 0.0001


class TypicalLatency:
    """A running median: each reply moves it one step up or down."""

    def __init__(self, latency_goal: timedelta) -> None:
        initial = latency_goal.total_seconds() * INITIAL_ESTIMATE_SHARE
        self._estimate = max(MIN_ESTIMATE_S, initial)
        self._replies = 0

    @property
    def measured(self) -> timedelta:
        """The current estimate; zero until it rests on some replies."""
        if self._replies < MIN_REPLIES:
            return timedelta()
        return timedelta(seconds=self._estimate)

    @property
    def seconds(self) -> float:
        """The current estimate."""
        return self._estimate

    def observe(self, seconds: float) -> float:
        """Updates the estimate; returns the time relative to the old one."""
        self._replies += 1
        estimate = self._estimate
        step = estimate * STEP_SHARE
        moved = estimate + step if seconds > estimate else estimate - step
        self._estimate = max(MIN_ESTIMATE_S, moved)
        return seconds / estimate
