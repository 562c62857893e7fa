"""Plans a query again when targets no longer hold its snapshot."""

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

from almonddock_core.model import Plan, Query, ScatterResult
from almonddock_core.truth._answer import RAN_REASONS

#: The time to the deadline below which a second scatter is not worth its load.
MIN_TIME_LEFT = timedelta(milliseconds=5)


def replan_query(
    query: Query,
    plan: Plan,
    result: ScatterResult,
    pin: Callable[[], Plan],
    now: timedelta,
) -> Plan | None:
    """Returns a plan on another version for the whole query, or None.

    The replies of the first scatter are discarded, because an answer never
    mixes versions. A request that is not idempotent is planned again only if
    no part of it can have run.
    """
    if not result.stale or query.deadline - now < MIN_TIME_LEFT:
        return None
    if not query.idempotent and _may_have_run(result):
        return None
    fresh = pin()
    return None if fresh.version == plan.version else fresh


def combine_results(
    first: ScatterResult, second: ScatterResult
) -> ScatterResult:
    """Returns the second result, including the tries of the first."""
    tries = len(first.replies) + len(first.missing) + first.extra_tries
    return replace(
        second,
        may_have_run=second.may_have_run or _may_have_run(first),
        extra_tries=second.extra_tries + tries,
    )


def _may_have_run(result: ScatterResult) -> bool:
    """Returns whether any target may have run a sub-query."""
    ran = not RAN_REASONS.isdisjoint(result.missing.values())
    return ran or result.may_have_run or bool(result.replies)
