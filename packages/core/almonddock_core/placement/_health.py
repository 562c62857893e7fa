"""What the replies to a host's own requests have shown of one target."""

import math
from dataclasses import dataclass
from datetime import timedelta

#: The weight of a new observation in the averages of slowness and failures.
OBSERVATION_WEIGHT = 0.3

#: How fast an old impression fades when no reply confirms it, in seconds: a
#: host of a large deployment asks each target about once a second.
FADE_SECONDS = 6

#: A request that was given up waited for a part of its time only: the whole is
#: taken as this many times what it waited (trials of 2026-12-04, decision 042).
UNFINISHED_FACTOR = 2

#: One very late reply counts at most this many times the typical latency.
MAX_SLOWNESS = 12

#: Waits before a target that broke off is tried again: they double from the
#: first to the last, so that a target back after a crash is found quickly.
FIRST_EJECTION_MS = 250
FIRST_EJECTION = timedelta(milliseconds=FIRST_EJECTION_MS)
LAST_EJECTION = timedelta(seconds=2)
MAX_DOUBLINGS = 3

#: The cost of a target that fails every request, in typical latencies.
FAILURE_COST = 6


@dataclass(slots=True)
class TargetHealth:
    """Running averages over the requests of this host to one target."""

    #: Requests that the target works on at once.
    slots: int
    #: Requests of this host that the target has not answered yet.
    in_flight: int = 0
    #: Reply times relative to what is typical for their routes.
    slowness: float = 1
    #: The share of requests that failed.
    failure_share: float = 0
    #: Failures to reach the target since it last answered.
    broken_in_a_row: int = 0
    #: No request goes to the target before this time, if another one is left.
    ejected_until: timedelta = timedelta()
    #: Whether no connection could be opened; no request goes there until one
    #: is, because it would only wait.
    unreachable: bool = False
    #: When the target last answered or took a connection; None before.
    reached: timedelta | None = None
    #: When the averages last changed.
    updated: timedelta = timedelta()

    def observe_reply(self, slowness: float, now: timedelta) -> None:
        """Takes a good reply and its time relative to the typical one."""
        self._fade(now)
        self.reached = now
        self.broken_in_a_row = 0
        self.ejected_until = timedelta()
        self.slowness += OBSERVATION_WEIGHT * (
            min(slowness, MAX_SLOWNESS) - self.slowness
        )
        self.failure_share *= 1 - OBSERVATION_WEIGHT

    def observe_wait(self, slowness: float, now: timedelta) -> None:
        """Takes a request that was given up before its reply came."""
        self._fade(now)
        slowness *= UNFINISHED_FACTOR
        if slowness > self.slowness:
            self.slowness += OBSERVATION_WEIGHT * (
                min(slowness, MAX_SLOWNESS) - self.slowness
            )

    def observe_failure(self, now: timedelta) -> None:
        """Takes a request that the target answered with a failure."""
        self.reached = now
        self._lower(now)

    def observe_break(self, now: timedelta) -> None:
        """Takes a connection that failed, or ended without a reply."""
        self._lower(now)
        doublings = min(self.broken_in_a_row, MAX_DOUBLINGS)
        wait = min(FIRST_EJECTION * 2**doublings, LAST_EJECTION)
        self.broken_in_a_row += 1
        self.ejected_until = now + wait

    def estimate_cost(self, now: timedelta) -> float:
        """Returns the expected wait in typical latencies."""
        fading = self._compute_fading(now)
        slowness = 1 + (self.slowness - 1) * fading
        queue = 1 + self.in_flight / self.slots
        return slowness * queue + FAILURE_COST * self.failure_share * fading

    def _lower(self, now: timedelta) -> None:
        self._fade(now)
        self.failure_share += OBSERVATION_WEIGHT * (1 - self.failure_share)

    def _fade(self, now: timedelta) -> None:
        fading = self._compute_fading(now)
        self.slowness = 1 + (self.slowness - 1) * fading
        self.failure_share *= fading
        self.updated = now

    def _compute_fading(self, now: timedelta) -> float:
        idle = (now - self.updated).total_seconds()
        return math.exp(-idle / FADE_SECONDS)
