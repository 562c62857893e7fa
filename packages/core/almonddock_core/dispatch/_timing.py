"""When a request is hedged, answered with shards missing, and given up."""

from dataclasses import dataclass, replace
from datetime import timedelta

from almonddock_core.dispatch._requests import DispatchedRequest

#: An attempt without a reply after this share of the latency goal is hedged.
HEDGE_SHARE = 0.3

#: It is not hedged before this many typical latencies either.
LATE_ATTEMPT = 2

#: An answer with shards missing goes out at this share of the latency goal:
#: in time with some shards missing is worth more than complete and late.
PARTIAL_SHARE = 0.85

#: It never goes out before this share of the goal, because most hedges are
#: still open. A caller whose way takes longer is late in any case.
EARLIEST_PARTIAL_SHARE = 0.5

#: An answer that had too few shards at the latency goal waits for missing
#: ones until this share of it: it is late in any case, and more shards are
#: worth the wait.
LATE_PARTIAL_SHARE = 1.5

#: Time before the caller's deadline that is kept to send the answer back.
ANSWER_MARGIN_MS = 25
ANSWER_MARGIN = timedelta(milliseconds=ANSWER_MARGIN_MS)

#: Time before the route's timeout that is kept to send the answer back.
TIMEOUT_MARGIN = timedelta(milliseconds=10)


@dataclass(frozen=True, slots=True)
class DispatchTiming:
    """Points in time of one request."""

    #: How long after an attempt a second one is sent.
    hedge_after: timedelta
    #: From when an answer with shards missing may go out.
    partial_from: timedelta
    #: From when it may, if too few shards answered before the latency goal.
    late_partial_from: timedelta
    #: When the request ends whatever is missing.
    give_up_at: timedelta


def plan_timing(
    request: DispatchedRequest,
    sending_delay: timedelta = timedelta(),
    typical_latency: timedelta = timedelta(),
) -> DispatchTiming:
    """Returns the points in time of a request.

    ``sending_delay`` is the time that this host needs to send an answer,
    ``typical_latency`` the time in which targets answer it; zero if unknown.
    """
    goal = request.route.latency_goal
    give_up_at = min(
        request.deadline - ANSWER_MARGIN,
        request.arrived + request.route.timeout - TIMEOUT_MARGIN,
    )
    partial_after = _plan_partial(request, sending_delay)
    return DispatchTiming(
        hedge_after=_plan_hedge(goal, partial_after, typical_latency),
        partial_from=min(request.arrived + partial_after, give_up_at),
        late_partial_from=min(
            request.arrived + goal * LATE_PARTIAL_SHARE, give_up_at
        ),
        give_up_at=give_up_at,
    )


def _plan_hedge(
    goal: timedelta, partial_after: timedelta, typical_latency: timedelta
) -> timedelta:
    """Returns how long an attempt is late before it is hedged.

    Attempts that are not late are not hedged where targets take a large part
    of the goal, unless the hedge would be answered too late then.
    """
    latest = partial_after - typical_latency
    late = min(typical_latency * LATE_ATTEMPT, latest)
    return max(goal * HEDGE_SHARE, late)


def _plan_partial(
    request: DispatchedRequest, sending_delay: timedelta
) -> timedelta:
    """Returns how long a request may wait for the last shards.

    The latency goal includes the caller's way to this host and back.
    """
    goal = request.route.latency_goal
    left = goal - request.way - sending_delay
    if left < goal * EARLIEST_PARTIAL_SHARE:
        return goal * PARTIAL_SHARE
    return min(goal * PARTIAL_SHARE, left)


def end_timing(timing: DispatchTiming, now: timedelta) -> DispatchTiming:
    """Returns the points in time of a request that is answered now."""
    return replace(
        timing, partial_from=now, late_partial_from=now, give_up_at=now
    )
