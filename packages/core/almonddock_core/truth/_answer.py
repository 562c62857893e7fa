"""Builds the answer to a query and its coverage."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.deployment import MergeRule
from almonddock_core.model import (
    Answer,
    Coverage,
    MissingShard,
    Outcome,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    ScatterResult,
    ShardId,
    SubReply,
)
from almonddock_core.truth._merge import check_rows, merge_rows
from almonddock_core.truth._rows import BadRowsError

#: Reasons that imply that a target ran or may have run the sub-query.
RAN_REASONS = frozenset((Reason.TARGET_FAILED, Reason.BAD_REPLY))


@dataclass(frozen=True, slots=True)
class _Collected:
    """The rows of accepted replies and the missing shards."""

    parts: Mapping[ShardId, bytes]
    missing: Mapping[ShardId, Reason]
    #: Whether a target may have run the sub-query of a missing shard.
    may_have_run: bool

    @property
    def coverage(self) -> Coverage:
        """The coverage of the pinned partition map."""
        return Coverage(
            total=len(self.parts) + len(self.missing),
            answered=len(self.parts),
            missing=tuple(
                MissingShard(shard, reason)
                for shard, reason in sorted(
                    self.missing.items(),
                    key=lambda pair: pair[0],
                )
            ),
        )


def build_answer(
    query: Query,
    plan: Plan,
    result: ScatterResult,
    rule: MergeRule,
    elapsed: timedelta,
) -> Answer:
    """Merges the replies and reports their coverage of the pinned map.

    A reply counts only if it answers this request for a shard of the plan
    at the pinned version with rows that merge; any other shard is missing.
    Below ``query.min_coverage`` the answer keeps its rows, is at best
    ``PARTIAL`` and has the reason ``LOW_COVERAGE``. The outcome is
    ``NOT_RUN`` only when no target can have run any sub-query. Without any
    answered shard, an idempotent query is still ``PARTIAL`` if a sub-query
    may have run.
    """
    collected = _collect(query, plan, result, rule)
    coverage = collected.coverage
    return Answer(
        request_id=query.request_id,
        outcome=_classify_outcome(query, collected),
        coverage=coverage,
        version=plan.version if collected.parts else None,
        rows=merge_rows(rule, collected.parts),
        reason=_choose_reason(query, coverage),
        elapsed=elapsed,
        extra_tries=result.extra_tries,
    )


def _collect(
    query: Query,
    plan: Plan,
    result: ScatterResult,
    rule: MergeRule,
) -> _Collected:
    parts: dict[ShardId, bytes] = {}
    missing: dict[ShardId, Reason] = {}
    for shard in plan.shards:
        reply = result.replies.get(shard)
        if reply is None:
            missing[shard] = _find_reason(shard, plan, result)
            continue
        fault = _find_fault(query, plan, shard, reply)
        fault = fault or _find_row_fault(rule, reply)
        if fault:
            missing[shard] = fault
        else:
            parts[shard] = reply.rows
    rejected = result.replies.keys() & missing.keys()
    ran = not RAN_REASONS.isdisjoint(missing.values())
    may_have_run = result.may_have_run or ran or bool(rejected)
    return _Collected(parts, missing, may_have_run)


def _find_reason(shard: ShardId, plan: Plan, result: ScatterResult) -> Reason:
    """Returns the reason that the scatter or the plan gives for a shard."""
    given = result.missing.get(shard) or plan.unavailable.get(shard)
    return given or Reason.TIMED_OUT


def _find_fault(
    query: Query,
    plan: Plan,
    shard: ShardId,
    reply: SubReply,
) -> Reason | None:
    crossed = reply.shard != shard or reply.request_id != query.request_id
    if crossed or reply.status is not ReplyStatus.OK:
        return Reason.BAD_REPLY
    if reply.version != plan.version:
        return Reason.WRONG_VERSION
    return None


def _find_row_fault(rule: MergeRule, reply: SubReply) -> Reason | None:
    try:
        check_rows(rule, reply.rows)
    except BadRowsError:
        return Reason.BAD_REPLY
    return None


def _classify_outcome(query: Query, collected: _Collected) -> Outcome:
    if not collected.missing and collected.parts:
        return Outcome.ANSWERED
    if collected.may_have_run and not query.idempotent:
        return Outcome.OUTCOME_UNKNOWN
    if collected.may_have_run or collected.parts:
        return Outcome.PARTIAL
    return Outcome.NOT_RUN


def _choose_reason(query: Query, coverage: Coverage) -> Reason:
    """Returns the reason of an answer, NONE if no shard is missing.

    It is ``NO_TARGET`` without any shard, else ``LOW_COVERAGE`` or the most
    frequent reason of the missing shards.
    """
    if not coverage.missing:
        return Reason.NONE if coverage.total else Reason.NO_TARGET
    if coverage.answered and coverage.share < query.min_coverage:
        return Reason.LOW_COVERAGE
    counted = Counter(one.reason for one in coverage.missing)
    return max(counted, key=lambda reason: (counted[reason], reason.value))
