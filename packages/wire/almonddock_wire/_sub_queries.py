"""Encodes and decodes batches of sub-queries."""

import functools
from datetime import timedelta
from typing import Any

from almonddock_core.model import (
    AttemptId,
    IndexVersion,
    RequestId,
    ShardId,
    SubQuery,
    TargetId,
    Urgency,
)
from almonddock_wire._attempts import (
    build_attempt_id,
    read_attempt_number,
)
from almonddock_wire._messages import CancelBatch, SubQueryBatch
from almonddock_wire._times import count_microseconds, make_duration


def write_sub_queries(
    frame: Any,
    batch: SubQueryBatch,
    now: timedelta,
) -> None:
    """Fills a frame; values common to all sub-queries are written once."""
    first = batch.sub_queries[0]
    shared = frame.init('subQueries')
    shared.requestId = first.request_id
    shared.version = first.version
    shared.body = first.body
    shared.remaining = count_microseconds(first.deadline - now)
    shared.urgency = int(first.urgency)
    shared.worth = first.worth
    shared.idempotent = first.idempotent
    shared.traceparent = first.traceparent
    shared.attempts = [
        read_attempt_number(sub.attempt_id) for sub in batch.sub_queries
    ]
    shared.shards = [sub.shard for sub in batch.sub_queries]
    shared.targets = [sub.target for sub in batch.sub_queries]
    shared.hedges = [sub.hedge for sub in batch.sub_queries]


def read_sub_queries(shared: Any, now: timedelta) -> SubQueryBatch:
    """Returns the batch, with deadlines on the receiver's clock."""
    request_id = RequestId(shared.requestId)
    build = functools.partial(
        SubQuery,
        request_id=request_id,
        version=IndexVersion(shared.version),
        body=bytes(shared.body),
        deadline=now + make_duration(shared.remaining),
        urgency=Urgency(shared.urgency),
        worth=shared.worth,
        idempotent=shared.idempotent,
        traceparent=shared.traceparent,
    )
    return SubQueryBatch(
        tuple(
            build(
                attempt_id=build_attempt_id(request_id, attempt),
                shard=ShardId(shard),
                target=TargetId(target),
                hedge=hedge,
            )
            for attempt, shard, target, hedge in zip(
                shared.attempts,
                shared.shards,
                shared.targets,
                shared.hedges,
                strict=True,
            )
        ),
    )


def write_cancel(frame: Any, batch: CancelBatch, now: timedelta) -> None:
    """Fills a frame with the attempts to cancel."""
    frame.init('cancel').attempts = list(batch.attempts)


def read_cancel(cancel: Any, now: timedelta) -> CancelBatch:
    """Returns the attempts to cancel."""
    return CancelBatch(tuple(AttemptId(one) for one in cancel.attempts))
