"""The sub-queries of a query and what their replies mean."""

from dataclasses import replace

from almonddock_core.model import (
    AttemptId,
    Plan,
    Query,
    Reason,
    ReplyStatus,
    RequestId,
    SubQuery,
    SubReply,
    TargetId,
)
from almonddock_core.scatter._budget import TryBudget
from almonddock_core.scatter._settings import ScatterContext
from almonddock_core.scatter._shard import Attempt, ShardState

#: Refusals after which a resend adds no work to any target.
FREE_REFUSALS = frozenset(
    (
        Reason.COLD,
        Reason.DRAINING,
        Reason.DATA_CENTRE_OUT,
        Reason.WRONG_VERSION,
        Reason.NOT_OWNER,
        Reason.OWNER_UNREACHABLE,
        Reason.TARGET_UNREACHABLE,
        Reason.SHUTTING_DOWN,
    ),
)


def build_sub_query(
    query: Query,
    plan: Plan,
    state: ShardState,
    target: TargetId,
    number: int,
) -> SubQuery:
    """Builds the next try of a shard."""
    return SubQuery(
        attempt_id=AttemptId(f'{query.request_id}:{number}'),
        request_id=query.request_id,
        shard=state.shard,
        target=target,
        version=plan.version,
        body=query.body,
        deadline=query.deadline,
        urgency=query.urgency,
        worth=query.worth / len(plan.shards),
        idempotent=query.idempotent,
        hedge=bool(state.running),
        traceparent=query.traceparent,
    )


def is_reply_to(
    attempt: Attempt,
    request_id: RequestId,
    reply: SubReply,
) -> bool:
    """Returns whether the reply names the same things as its try."""
    return (
        reply.request_id == request_id
        and reply.shard == attempt.shard
        and reply.target == attempt.candidate.target
    )


def mark_wrong_version(reply: SubReply) -> SubReply:
    """Turns a reply that read another version into one that ran in vain."""
    return replace(
        reply,
        status=ReplyStatus.FAILED,
        reason=Reason.WRONG_VERSION,
    )


def build_lost_reply(attempt: Attempt, request_id: RequestId) -> SubReply:
    """Stands for the reply of an owner whose link is gone."""
    return SubReply(
        attempt_id=attempt.attempt_id,
        request_id=request_id,
        shard=attempt.shard,
        target=attempt.candidate.target,
        status=ReplyStatus.UNKNOWN,
        reason=Reason.OWNER_UNREACHABLE,
    )


def pay_hedge(target: TargetId, context: ScatterContext) -> bool:
    """Returns whether a hedge may go to the target, and charges for it.

    Besides the budget of all tries each target has one of its own, so that
    the hedges of all queries cannot gather at one busy service.
    """
    if not context.latencies.may_hedge(target) or not context.budget.spend():
        return False
    context.latencies.note_hedge(target)
    return True


def pay_retry(reply: SubReply, budget: TryBudget) -> bool:
    """Returns whether the try that ended so may be followed by another.

    Work that was refused is sent again for free, unless the refusal came
    from load. What a lost owner held is sent again on credit.
    """
    if reply.status is ReplyStatus.NOT_RUN and reply.reason in FREE_REFUSALS:
        return True
    if reply.reason is Reason.OWNER_UNREACHABLE:
        budget.borrow()
        return True
    return budget.spend()
