"""Limits the hedges and retries that hosts send to a service.

A service that turns slow or fails gets hedges and retries from every host at
once, and would get a multiple of its load just then. The limit holds for all
hosts together, so each uses the ratio of its own requests and its share of
the slack, less what it has lent. Beyond that it asks a watcher.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch._counter import SlidingWindowCounter
from almonddock_core.dispatch._loans import HostLoans

#: The share of the slack that hosts use. The rest covers a host that forgets
#: what it sent when it restarts, and an outdated number of hosts.
SAFE_SLACK_SHARE = 0.5

#: The share of the ratio that hosts use; it is larger than that of the slack,
#: because each host knows its own requests.
SAFE_RATIO_SHARE = 0.9


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
        #: When an extra attempt was last wanted.
        self._wanted_at: timedelta | None = None
        #: Hosts that share the slack.
        self.hosts = 1
        #: What this host has lent of its share.
        self.loans = HostLoans(limits.window)

    @property
    def share(self) -> float:
        """This host's share of the slack of each service."""
        return self._limits.slack * SAFE_SLACK_SHARE / self.hosts

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
        self._wanted_at = now
        extras = self._get_counter(self._extras, service)
        requests = sum(
            self._requests[route].count(now)
            for route in routes
            if route in self._requests
        )
        limits = self._limits
        allowed = limits.ratio * SAFE_RATIO_SHARE * requests
        allowed += max(0, self.share - self.loans.count_lent(now))
        if extras.count(now) + 1 > allowed:
            return False
        extras.add(now)
        return True

    def is_needed(self, now: timedelta) -> bool:
        """Whether an extra attempt was wanted in the last window."""
        wanted_at = self._wanted_at
        return wanted_at is not None and now - wanted_at <= self._limits.window

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
