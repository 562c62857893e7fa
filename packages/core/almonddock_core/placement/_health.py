"""The health of one target, from the replies to a host's own requests."""

import math
from dataclasses import dataclass
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

    def estimate_cost(self, now: timedelta) -> float:
        """Returns the expected wait in typical latencies."""
        decay = self._compute_decay(now)
        slowness = 1 + (self.slowness - 1) * decay
        queue = 1 + self.in_flight / self.slots
        return slowness * queue + FAILURE_COST * self.failure_share * decay

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
