"""Bounds what hosts send to a service beyond the first try of each request.

Load it answers: a service that turns slow or fails draws hedges and retries
from every host at once, and would get a multiple of its load just then.
The bound holds for all hosts together, so each takes its own requests and a
share of the fixed part.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

#: Counts are kept in steps of this many parts of the window.
STEPS = 20

#: The share of the bound that hosts use. The rest covers a host that forgets
#: what it sent when it restarts, and a stale number of hosts.
SAFE_SHARE = 0.5

#: The share of the ratio that hosts use; a host's own requests are known.
SAFE_RATIO = 0.9


class SlidingCount:
    """Counts events over a window that slides in steps."""

    def __init__(self, window: timedelta) -> None:
        self._step = window / STEPS
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
        oldest = now // self._step - STEPS
        while self._steps and self._steps[0][0] < oldest:
            self._total -= self._steps.popleft()[1]
        return self._total


@dataclass(frozen=True, slots=True)
class BudgetLimits:
    """The bound on extra arrivals, for all hosts together."""

    #: Extra arrivals for each request.
    ratio: float
    #: Extra arrivals beyond that.
    slack: float
    #: The time over which both are summed.
    window: timedelta


class RetryBudget:
    """Counts requests by route and extra arrivals by service."""

    def __init__(self, limits: BudgetLimits) -> None:
        self._limits = limits
        self._requests: dict[str, SlidingCount] = {}
        self._extras: dict[str, SlidingCount] = {}
        #: Hosts that share the fixed part.
        self.hosts = 1

    def change_limits(self, limits: BudgetLimits) -> None:
        """Puts new bounds in force; what was counted stays."""
        self._limits = limits

    def count_request(self, route: str, now: timedelta) -> None:
        """Counts a request on a route, for each of its services."""
        self._get(self._requests, route).add(now)

    def spend(
        self,
        service: str,
        routes: Iterable[str],
        now: timedelta,
    ) -> bool:
        """Takes one extra arrival at a service; returns whether it may go.

        ``routes`` are the names of the routes that lead to the service.
        """
        extras = self._get(self._extras, service)
        requests = sum(
            self._requests[route].count(now)
            for route in routes
            if route in self._requests
        )
        limits = self._limits
        allowed = limits.ratio * SAFE_RATIO * requests
        allowed += limits.slack * SAFE_SHARE / self.hosts
        if extras.count(now) + 1 > allowed:
            return False
        extras.add(now)
        return True

    def forget_idle(self, now: timedelta) -> None:
        """Drops counts of routes and services without any event left."""
        for counts in (self._requests, self._extras):
            idle = tuple(one for one in counts if not counts[one].count(now))
            for name in idle:
                del counts[name]

    def _get(
        self,
        counts: dict[str, SlidingCount],
        name: str,
    ) -> SlidingCount:
        found = counts.get(name)
        if found is None:
            found = SlidingCount(self._limits.window)
            counts[name] = found
        return found
