"""Decides whether a request is answered now, and with what.

Shards whose targets are unreachable or slow would delay every answer until
the caller's deadline. An answer in time with a few shards missing, which it
names, is worth more to a caller than a complete one too late; a request that
cannot reach its smallest share of shards is refused at once.
"""

import math
from collections.abc import Sequence
from datetime import timedelta

from almonddock_core.dispatch._actions import (
    Answer,
    ForwardedAnswer,
    MergedAnswer,
    Refusal,
    RefusalReason,
)
from almonddock_core.dispatch._branch import Branch, BranchCounts
from almonddock_core.dispatch._requests import DispatchedRequest
from almonddock_core.dispatch._timing import DispatchTiming
from almonddock_core.routing import Route

#: When a caller may retry after a refusal: a target that restarts, or a full
#: queue, takes about this long to recover.
RETRY_AFTER_MS = 500
RETRY_AFTER = timedelta(milliseconds=RETRY_AFTER_MS)


#: Absorbs the rounding error of a share times a number of shards.
ROUNDING_TOLERANCE = 1e-9


def count_needed(route: Route) -> int:
    """Returns how many shards must answer, at least one."""
    exact = route.min_share * len(route.shards)
    return max(1, math.ceil(exact - ROUNDING_TOLERANCE))


def build_no_target_refusal(wait: timedelta) -> Refusal:
    """Returns the refusal of a request that no target can serve now.

    ``wait`` is how long the targets want no requests; zero if unknown.
    """
    return Refusal(
        RefusalReason.NO_TARGET,
        not_run=True,
        retry_after=max(wait, RETRY_AFTER),
    )


def build_answer(
    request: DispatchedRequest,
    timing: DispatchTiming,
    branches: Sequence[Branch],
    counts: BranchCounts,
    now: timedelta,
) -> Answer | None:
    """Returns the answer of a request, None while it waits."""
    if request.route.shards:
        return _build_merged(request, timing, branches, counts, now)
    return _build_single(timing, branches, now)


def _build_single(
    timing: DispatchTiming,
    branches: Sequence[Branch],
    now: timedelta,
) -> Answer | None:
    """Returns the answer of a request to one target, None while it waits."""
    branch = branches[0]
    if branch.reply is not None and branch.ended:
        return ForwardedAnswer(branch.reply)
    if now >= timing.give_up_at:
        return _build_timeout(branches)
    return _build_refusal(branches) if branch.ended else None


def _build_merged(
    request: DispatchedRequest,
    timing: DispatchTiming,
    branches: Sequence[Branch],
    counts: BranchCounts,
    now: timedelta,
) -> Answer | None:
    """Returns the answer of a request to all shards, None while it waits."""
    answered = counts.answered
    waiting = counts.waiting
    needed = count_needed(request.route)
    if answered + waiting < needed:
        return _build_refusal(branches)
    if answered >= needed:
        if not waiting or _is_partial_due(request, timing, now):
            return _merge(branches)
    elif now >= timing.give_up_at:
        return _build_timeout(branches)
    return None


def is_answer_due(
    request: DispatchedRequest, timing: DispatchTiming, now: timedelta
) -> bool:
    """Whether a request may be answered now although replies are missing."""
    if request.route.shards and _is_partial_due(request, timing, now):
        return True
    return now >= timing.give_up_at


def find_due(
    request: DispatchedRequest, timing: DispatchTiming, now: timedelta
) -> timedelta:
    """Returns from when an answer goes out although shards are missing."""
    goal = request.arrived + request.route.latency_goal
    return timing.partial_from if now < goal else timing.late_partial_from


def _is_partial_due(
    request: DispatchedRequest,
    timing: DispatchTiming,
    now: timedelta,
) -> bool:
    """Whether the answer no longer waits for missing shards."""
    return now >= find_due(request, timing, now)


def _merge(branches: Sequence[Branch]) -> MergedAnswer:
    return MergedAnswer(
        replies=tuple(
            branch.reply
            for branch in branches
            if branch.succeeded and branch.reply is not None
        ),
        missing=tuple(
            branch.service for branch in branches if not branch.succeeded
        ),
    )


def _build_timeout(branches: Sequence[Branch]) -> Refusal:
    """Returns the refusal at the timeout; what was sent may have run."""
    not_run = not any(branch.sent for branch in branches)
    reason = RefusalReason.TIMED_OUT
    return Refusal(RefusalReason.NO_TARGET if not_run else reason, not_run)


def _build_refusal(branches: Sequence[Branch]) -> Refusal:
    """Returns the refusal of a request without a target left to ask."""
    may_have_run = any(
        branch.may_have_run or branch.succeeded or branch.open
        for branch in branches
    )
    if may_have_run:
        return Refusal(RefusalReason.OUTCOME_UNKNOWN, not_run=False)
    refused = any(branch.refused for branch in branches)
    return Refusal(
        RefusalReason.TARGETS_FULL if refused else RefusalReason.NO_TARGET,
        not_run=True,
        retry_after=RETRY_AFTER,
    )
