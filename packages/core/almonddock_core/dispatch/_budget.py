"""Limits the hedges and retries that hosts send to a service.

A service that turns slow or fails gets hedges and retries from every host at
once, and would get a multiple of its load just then. The limit holds for all
hosts together, so each uses the ratio of its own requests and its share of
the slack.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

#: Number of steps into which a sliding window is divided.
WINDOW_STEPS = 20

#: The share of the slack that hosts use. The rest covers a host that forgets
#: what it sent when it restarts, and an outdated number of hosts.
SAFE_SLACK_SHARE = 0.5

#: The share of the ratio that hosts use; it is larger than that of the slack,
#: because each host knows its own requests.
SAFE_RATIO_SHARE = 0.9


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


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """Limits on extra attempts at a service, for all hosts together."""

    #: Extra attempts for each request.
    ratio: float
    #: Extra attempts beyond that.
    slack: float
    #: The time over which both are summed.
    window: timedelta


class RetryBudget:
    """Counts requests by route and extra attempts by service."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._requests: dict[str, SlidingWindowCounter] = {}
        self._extras: dict[str, SlidingWindowCounter] = {}
        #: Hosts that share the slack.
        self.hosts = 1

    def update_limits(self, limits: BudgetLimits) -> None:
        """Applies new limits and keeps the counts."""
        self._limits = limits

    def count_request(self, route: str, now: timedelta) -> None:
        """Counts a request on a route, for each of its services."""
        self._get_counter(self._requests, route).add(now)

    def try_spend(
        self,
        service: str,
        routes: Iterable[str],
        now: timedelta,
    ) -> bool:
        """Counts one extra attempt at a service, if it is allowed.

        Returns whether it is. ``routes`` are the names of the routes that
        lead to the service.
        """
        extras = self._get_counter(self._extras, service)
        requests = sum(
            self._requests[route].count(now)
            for route in routes
            if route in self._requests
        )
        limits = self._limits
        allowed = limits.ratio * SAFE_RATIO_SHARE * requests
        allowed += limits.slack * SAFE_SLACK_SHARE / self.hosts
        if extras.count(now) + 1 > allowed:
            return False
        extras.add(now)
        return True

    def drop_idle(self, now: timedelta) -> None:
        """Drops counts of routes and services without a recent event."""
        for counts in (self._requests, self._extras):
            idle = tuple(key for key in counts if not counts[key].count(now))
            for name in idle:
                del counts[name]

    def _get_counter(
        self,
        counts: dict[str, SlidingWindowCounter],
        name: str,
    ) -> SlidingWindowCounter:
        found = counts.get(name)
        if found is None:
            found = SlidingWindowCounter(self._limits.window)
            counts[name] = found
        return found
