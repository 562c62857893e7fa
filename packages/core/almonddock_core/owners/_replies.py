"""Builds replies that the owner sends without a reply of the target."""

from datetime import timedelta

from almonddock_core.model import Reason, ReplyStatus, SubQuery, SubReply
from almonddock_core.owners._actions import Reply


def build_refusal(
    sub: SubQuery,
    reason: Reason,
    queued: timedelta = timedelta(),
) -> Reply:
    """Builds the reply that the sub-query was not run."""
    return _build_reply(sub, ReplyStatus.NOT_RUN, reason, queued)


def build_timeout(sub: SubQuery, queued: timedelta) -> Reply:
    """Builds the reply that the sub-query timed out and may have run."""
    return _build_reply(sub, ReplyStatus.UNKNOWN, Reason.TIMED_OUT, queued)


def _build_reply(
    sub: SubQuery,
    status: ReplyStatus,
    reason: Reason,
    queued: timedelta,
) -> Reply:
    return Reply(
        SubReply(
            attempt_id=sub.attempt_id,
            request_id=sub.request_id,
            shard=sub.shard,
            target=sub.target,
            status=status,
            reason=reason,
            queued=queued,
        ),
    )
