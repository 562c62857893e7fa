"""Builds the result of a finished scatter."""

from collections.abc import Iterable, Mapping

from almonddock_core.model import (
    Plan,
    Reason,
    ScatterResult,
    ShardId,
    SubReply,
)
from almonddock_core.scatter._shard import ShardState


def build_result(
    plan: Plan,
    replies: Mapping[ShardId, SubReply],
    unanswered: Iterable[ShardState],
    extra_tries: int,
) -> ScatterResult:
    """Builds a result with each shard of the plan, answered or missing."""
    states = tuple(unanswered)
    missing = {
        shard: plan.unavailable.get(shard, Reason.NO_TARGET)
        for shard in plan.shards
        if shard not in replies
    }
    missing.update((one.shard, one.reason) for one in states)
    return ScatterResult(
        replies=replies,
        missing=missing,
        may_have_run=any(one.may_have_run or one.running for one in states),
        extra_tries=extra_tries,
        stale=tuple(sorted(one.shard for one in states if one.stale)),
    )
