"""The typical time in which targets answer the requests of one route."""

from datetime import timedelta

#: How far one reply moves the estimate, as a share of the estimate.
STEP_SHARE = 0.05

#: The share of the latency goal that is assumed before the first reply.
FIRST_GUESS_SHARE = 0.2


class TypicalLatency:
    """A running median: each reply moves it one step up or down."""

    def __init__(self, latency_goal: timedelta) -> None:
        self._typical = latency_goal.total_seconds() * FIRST_GUESS_SHARE

    @property
    def seconds(self) -> float:
        """The current estimate."""
        return self._typical

    def observe(self, seconds: float) -> float:
        """Takes one reply's time; returns it relative to the estimate."""
        typical = self._typical
        step = typical * STEP_SHARE
        self._typical = typical + step if seconds > typical else typical - step
        return seconds / typical
