"""Builds sub-queries, checks their replies and charges the budgets."""

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
from almonddock_core.scatter._budget import AttemptBudget
from almonddock_core.scatter._settings import ScatterContext
from almonddock_core.scatter._shard import Attempt, ShardState

#: Refusals whose retry is free: the try was not run, and the refusal is no sign
#: of overload.
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
    """Returns whether request, shard and target match those of the try."""
    return (
        reply.request_id == request_id
        and reply.shard == attempt.shard
        and reply.target == attempt.candidate.target
    )


def mark_wrong_version(reply: SubReply) -> SubReply:
    """Marks a reply that was read from another version as failed."""
    return replace(
        reply,
        status=ReplyStatus.FAILED,
        reason=Reason.WRONG_VERSION,
    )


def build_lost_reply(attempt: Attempt, request_id: RequestId) -> SubReply:
    """Builds the reply for a try whose owner is disconnected."""
    return SubReply(
        attempt_id=attempt.attempt_id,
        request_id=request_id,
        shard=attempt.shard,
        target=attempt.candidate.target,
        status=ReplyStatus.UNKNOWN,
        reason=Reason.OWNER_UNREACHABLE,
    )


def charge_hedge(target: TargetId, context: ScatterContext) -> bool:
    """Returns whether a hedge may be sent to the target, and charges for it.

    In addition to the budget of the host, each target has a limit of its own,
    so that the hedges of all queries cannot gather at one busy target.
    """
    if not context.latencies.may_hedge(target) or not context.budget.spend():
        return False
    context.latencies.record_hedge(target)
    return True


def charge_retry(reply: SubReply, budget: AttemptBudget) -> bool:
    """Returns whether a retry may follow the reply, and charges for it.

    A retry of work that was not run is free if the reason is one of
    ``FREE_REFUSALS``. Otherwise, a retry after the link to an owner is lost
    is always allowed and charged, and the budget may become negative; any
    other needs a token.
    """
    if reply.status is ReplyStatus.NOT_RUN and reply.reason in FREE_REFUSALS:
        return True
    if reply.reason is Reason.OWNER_UNREACHABLE:
        budget.borrow()
        return True
    return budget.spend()
