"""Planning a query anew when its snapshot is gone."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from almonddock_core.model import Plan, Query, ScatterResult
from almonddock_core.truth._answer import RAN_REASONS

#: With less time left a second scatter is not worth its load.
MIN_TIME_LEFT = timedelta(milliseconds=5)


def plan_again(
    query: Query,
    plan: Plan,
    result: ScatterResult,
    pin: Callable[[], Plan],
    now: timedelta,
) -> Plan | None:
    """Returns another snapshot to run the whole query on, or None.

    Nothing of the first scatter is kept, because an answer never mixes
    versions. A request that must not run twice is planned anew only if
    nothing of it has run.
    """
    if not result.stale or query.deadline - now < MIN_TIME_LEFT:
        return None
    if not query.idempotent and _has_run(result):
        return None
    fresh = pin()
    return None if fresh.version == plan.version else fresh


def choose_result(first: ScatterResult, second: ScatterResult) -> ScatterResult:
    """Returns the result of the second scatter with the work of both."""
    tries = len(first.replies) + len(first.missing) + first.extra_tries
    return replace(
        second,
        may_have_run=second.may_have_run or _has_run(first),
        extra_tries=second.extra_tries + tries,
    )


def _has_run(result: ScatterResult) -> bool:
    """Returns whether some target may have run something."""
    ran = not RAN_REASONS.isdisjoint(result.missing.values())
    return ran or result.may_have_run or bool(result.replies)
