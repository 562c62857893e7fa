"""Encodes and decodes batches of sub-queries."""

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
from almonddock_wire._messages import CancelBatch, SubQueryBatch
from almonddock_wire._times import count_microseconds, make_duration


def write_sub_queries(
    frame: Any,
    batch: SubQueryBatch,
    now: timedelta,
) -> None:
    """Fills a frame; what the sub-queries share is written once."""
    first = batch.subs[0]
    shared = frame.init('subQueries')
    shared.requestId = first.request_id
    shared.version = first.version
    shared.body = first.body
    shared.remaining = count_microseconds(first.deadline - now)
    shared.urgency = int(first.urgency)
    shared.worth = first.worth
    shared.idempotent = first.idempotent
    shared.traceparent = first.traceparent
    entries = shared.init('items', len(batch.subs))
    for entry, sub in zip(entries, batch.subs, strict=True):
        entry.attempt = int(sub.attempt_id.rpartition(':')[2])
        entry.shard = sub.shard
        entry.target = sub.target
        entry.hedge = sub.hedge


def read_sub_queries(shared: Any, now: timedelta) -> SubQueryBatch:
    """Returns the batch with deadlines on the receiver's clock."""
    request_id = RequestId(shared.requestId)
    version = IndexVersion(shared.version)
    body = bytes(shared.body)
    deadline = now + make_duration(shared.remaining)
    urgency = Urgency(shared.urgency)
    worth = shared.worth
    idempotent = shared.idempotent
    traceparent = shared.traceparent
    return SubQueryBatch(
        tuple(
            SubQuery(
                attempt_id=AttemptId(f'{request_id}:{entry.attempt}'),
                request_id=request_id,
                shard=ShardId(entry.shard),
                target=TargetId(entry.target),
                version=version,
                body=body,
                deadline=deadline,
                urgency=urgency,
                worth=worth,
                idempotent=idempotent,
                hedge=entry.hedge,
                traceparent=traceparent,
            )
            for entry in shared.items
        ),
    )


def write_cancel(frame: Any, batch: CancelBatch, now: timedelta) -> None:
    """Fills a frame with the tries to cancel."""
    frame.init('cancel').attempts = list(batch.attempts)


def read_cancel(cancel: Any, now: timedelta) -> CancelBatch:
    """Returns the tries to cancel."""
    return CancelBatch(tuple(AttemptId(one) for one in cancel.attempts))
