"""When a request is hedged, answered with shards missing, and given up."""

from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.dispatch._requests import DispatchedRequest

#: A try that has no reply after this share of the latency goal is hedged
#: (trials of 2026-12-04: 0.3 gave more than 0.4 on both sites).
HEDGE_SHARE = 0.3

#: An answer with shards missing goes out at this share of the latency goal:
#: in time with some shards missing is worth more than whole and late.
PARTIAL_SHARE = 0.85

#: After the latency goal, shards that are missing are awaited until this
#: share of it: the answer is late in any case and may as well be broader.
LATE_SHARE = 1.5

#: Kept free before the caller's deadline for the answer's way back.
ANSWER_MARGIN_MS = 25
ANSWER_MARGIN = timedelta(milliseconds=ANSWER_MARGIN_MS)

#: Kept free before the route's timeout.
TIMEOUT_MARGIN = timedelta(milliseconds=10)


@dataclass(frozen=True, slots=True)
class DispatchTiming:
    """Points in time of one request."""

    #: How long after a try a second one is sent.
    hedge_after: timedelta
    #: From when an answer with shards missing may go out.
    partial_from: timedelta
    #: From when it may, if too few shards had answered by then.
    late_from: timedelta
    #: When the request ends whatever is missing.
    give_up: timedelta


def plan_timing(request: DispatchedRequest) -> DispatchTiming:
    """Returns the points in time of a request."""
    goal = request.route.latency_goal
    give_up = min(
        request.deadline - ANSWER_MARGIN,
        request.arrived + request.route.timeout - TIMEOUT_MARGIN,
    )
    return DispatchTiming(
        hedge_after=goal * HEDGE_SHARE,
        partial_from=min(request.arrived + goal * PARTIAL_SHARE, give_up),
        late_from=min(request.arrived + goal * LATE_SHARE, give_up),
        give_up=give_up,
    )
