"""The health of one target, from replies and from what other hosts report."""

import math
from dataclasses import dataclass, field
from datetime import timedelta

#: The weight of a new observation in the averages of slowness and failures.
OBSERVATION_WEIGHT = 0.3

#: Time constant with which the averages decay while no request updates them,
#: in seconds: several times the interval at which a host of a large deployment
#: asks each target, which is about a second.
DECAY_SECONDS = 6

#: A request that is cancelled has waited for a part of its reply time only:
#: the whole is estimated as this many times the wait.
CANCELLED_WAIT_FACTOR = 2

#: Upper limit of one reply time, in typical latencies.
MAX_SLOWNESS = 12

#: How long a target is ejected after a connection failure: the time doubles
#: from the minimum to the maximum, so that a target back after a crash is found
#: quickly.
MIN_EJECTION_MS = 250
MIN_EJECTION = timedelta(milliseconds=MIN_EJECTION_MS)
MAX_EJECTION = timedelta(seconds=2)
MAX_DOUBLINGS = 3

#: The cost of a target that fails every request, in typical latencies.
FAILURE_COST = 6

#: Time constant with which another host's report decays, in seconds: reports
#: come with replies, and a host of a large deployment gets one in a second.
REPORT_DECAY_SECONDS = 3

#: Upper limit of a reported cost, in typical latencies: above the cost of a
#: sound target, below that of one that this host has found failing.
MAX_REPORTED_COST = 6

#: The wait from which an unrepeatable request is reported, in typical
#: latencies.
MIN_REPORTED_WAIT = 3


@dataclass(frozen=True, eq=False, slots=True)
class UnrepeatableRequest:
    """A request without a reply that must not be sent to another target.

    It is neither hedged nor cancelled, so only its wait tells how slow the
    target is.
    """

    started: timedelta
    #: The typical latency of its route.
    typical: timedelta

    def measure_wait(self, now: timedelta) -> float:
        """Returns the time since it was sent, in typical latencies."""
        return min((now - self.started) / self.typical, MAX_SLOWNESS)


@dataclass(slots=True)
class TargetHealth:
    """Running averages over requests to one target, and the last report."""

    #: Requests that the target works on at once.
    slots: int
    #: Requests of this host that the target has not answered yet.
    in_flight: int = 0
    #: Reply times relative to what is typical for their routes.
    slowness: float = 1
    #: The share of requests that failed.
    failure_share: float = 0
    #: Connection failures since the last success.
    connection_failures: int = 0
    #: No request goes to the target before this time while another target is
    #: left.
    ejected_until: timedelta = timedelta()
    #: Whether no connection could be opened; no request goes there until one
    #: is, because it would only wait.
    unreachable: bool = False
    #: When the target last answered or took a connection; None before.
    reached: timedelta | None = None
    #: When the averages last changed.
    updated: timedelta = timedelta()
    #: The cost of the target without its queue, in typical latencies, as other
    #: hosts last reported it.
    reported_cost: float = 1
    #: When it was reported.
    reported: timedelta = timedelta()
    #: The requests without a reply that must not be sent to another target, the
    #: oldest first; the others are hedged, and then cancelled, when late.
    unrepeatable: dict[UnrepeatableRequest, None] = field(default_factory=dict)

    def observe_reply(self, slowness: float, now: timedelta) -> None:
        """Records a success and its time relative to the typical one."""
        self._apply_decay(now)
        self.reached = now
        self.connection_failures = 0
        self.ejected_until = timedelta()
        self.slowness += OBSERVATION_WEIGHT * (
            min(slowness, MAX_SLOWNESS) - self.slowness
        )
        self.failure_share *= 1 - OBSERVATION_WEIGHT

    def observe_cancellation(self, slowness: float, now: timedelta) -> None:
        """Records a request that was cancelled before its reply came."""
        self._apply_decay(now)
        slowness *= CANCELLED_WAIT_FACTOR
        if slowness > self.slowness:
            self.slowness += OBSERVATION_WEIGHT * (
                min(slowness, MAX_SLOWNESS) - self.slowness
            )

    def observe_failure(self, now: timedelta) -> None:
        """Records a request that the target failed or refused."""
        self.reached = now
        self._add_failure(now)

    def observe_connection_failure(self, now: timedelta) -> None:
        """Records a connection that failed, or ended without a reply."""
        self._add_failure(now)
        doublings = min(self.connection_failures, MAX_DOUBLINGS)
        ejection = min(MIN_EJECTION * 2**doublings, MAX_EJECTION)
        self.connection_failures += 1
        self.ejected_until = now + ejection

    def observe_report(self, cost: float, now: timedelta) -> None:
        """Records the cost that another host has observed.

        A lower one does not replace what is left of a higher one: it may come
        from a host that asks the target less often.
        """
        bounded = min(cost, MAX_REPORTED_COST)
        self.reported_cost = max(self.decay_report(now), bounded)
        self.reported = now

    def estimate_cost(self, now: timedelta) -> float:
        """Returns the expected wait in typical latencies."""
        decay = self._compute_decay(now)
        slowness = max(1, 1 + (self.slowness - 1) * decay)
        if self.reported_cost > 1:
            slowness = max(slowness, self.decay_report(now))
        if self.unrepeatable:
            slowness = max(slowness, self._measure_wait(now))
        queue = 1 + self.in_flight / self.slots
        return slowness * queue + FAILURE_COST * self.failure_share * decay

    def may_cost(self, limit: float, now: timedelta) -> bool:
        """Whether the cost without the queue may reach a limit.

        Leaves the decay out, so it is cheap and errs towards True.
        """
        if self.unreachable or self.ejected_until > now:
            return True
        if self.unrepeatable:
            return True
        observed = self.slowness + FAILURE_COST * self.failure_share
        return max(observed, self.reported_cost) >= limit

    def measure_cost(self, now: timedelta) -> float:
        """Returns the cost by this host's own requests, without the queue."""
        if self.unreachable or self.ejected_until > now:
            return MAX_SLOWNESS
        decay = self._compute_decay(now)
        cost = (self.slowness - 1) + FAILURE_COST * self.failure_share
        observed = 1 + cost * decay
        waited = self._measure_wait(now)
        return observed if waited < MIN_REPORTED_WAIT else max(observed, waited)

    def estimate_shared_cost(self, now: timedelta) -> float:
        """Returns the cost by this host's requests and by reports."""
        return max(self.measure_cost(now), self.decay_report(now))

    def decay_report(self, now: timedelta) -> float:
        """Returns what is left of the cost that other hosts reported."""
        if self.reported_cost <= 1:
            return 1
        age = (now - self.reported).total_seconds()
        excess = self.reported_cost - 1
        return 1 + excess * math.exp(-age / REPORT_DECAY_SECONDS)

    def _measure_wait(self, now: timedelta) -> float:
        """Returns how long the target has let a request wait.

        A target is as slow as that at least. Without a reply, nothing else
        tells of a request that is neither hedged nor cancelled.
        """
        oldest = next(iter(self.unrepeatable), None)
        return 0 if oldest is None else oldest.measure_wait(now)

    def _add_failure(self, now: timedelta) -> None:
        self._apply_decay(now)
        self.failure_share += OBSERVATION_WEIGHT * (1 - self.failure_share)

    def _apply_decay(self, now: timedelta) -> None:
        decay = self._compute_decay(now)
        self.slowness = 1 + (self.slowness - 1) * decay
        self.failure_share *= decay
        self.updated = now

    def _compute_decay(self, now: timedelta) -> float:
        idle = (now - self.updated).total_seconds()
        return math.exp(-idle / DECAY_SECONDS)
