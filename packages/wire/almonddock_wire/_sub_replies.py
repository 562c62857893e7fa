"""Encodes and decodes batches of replies with the loads of targets."""

from datetime import timedelta
from types import MappingProxyType
from typing import Any

from almonddock_core.model import (
    AttemptId,
    IndexVersion,
    LoadMark,
    Reason,
    ReplyStatus,
    RequestId,
    ShardId,
    SubReply,
    TargetId,
    TargetLoad,
)
from almonddock_wire._messages import SubReplyBatch
from almonddock_wire._times import count_microseconds, make_duration

#: Codes on the wire; new members are added at the end of each enumeration.
STATUSES = tuple(ReplyStatus)
REASONS = tuple(Reason)
STATUS_CODES = MappingProxyType(
    {status: code for code, status in enumerate(STATUSES)},
)
REASON_CODES = MappingProxyType(
    {reason: code for code, reason in enumerate(REASONS)},
)

#: Stands for an absent version or count.
ABSENT = -1


def write_sub_replies(
    frame: Any,
    batch: SubReplyBatch,
    now: timedelta,
) -> None:
    """Fills a frame with replies and loads."""
    message = frame.init('subReplies')
    replies = message.init('replies', len(batch.replies))
    for entry, reply in zip(replies, batch.replies, strict=True):
        _write_reply(entry, reply)
    loads = message.init('loads', len(batch.loads))
    for entry, load in zip(loads, batch.loads, strict=True):
        _write_load(entry, load)


def read_sub_replies(message: Any, now: timedelta) -> SubReplyBatch:
    """Returns the replies and loads."""
    return SubReplyBatch(
        replies=tuple(_read_reply(entry) for entry in message.replies),
        loads=tuple(_read_load(entry) for entry in message.loads),
    )


def _write_reply(entry: Any, reply: SubReply) -> None:
    entry.attempt = reply.attempt_id
    entry.requestId = reply.request_id
    entry.shard = reply.shard
    entry.target = reply.target
    entry.status = STATUS_CODES[reply.status]
    entry.reason = REASON_CODES[reply.reason]
    if reply.version is not None:
        entry.version = reply.version
    entry.rows = reply.rows
    entry.queued = count_microseconds(reply.queued)
    entry.served = count_microseconds(reply.served)
    entry.cold = reply.mark.cold
    entry.draining = reply.mark.draining
    if reply.mark.in_flight is not None:
        entry.inFlight = reply.mark.in_flight


def _read_reply(entry: Any) -> SubReply:
    version = entry.version
    in_flight = entry.inFlight
    return SubReply(
        attempt_id=AttemptId(entry.attempt),
        request_id=RequestId(entry.requestId),
        shard=ShardId(entry.shard),
        target=TargetId(entry.target),
        status=STATUSES[entry.status],
        reason=REASONS[entry.reason],
        version=None if version == ABSENT else IndexVersion(version),
        rows=bytes(entry.rows),
        queued=make_duration(entry.queued),
        served=make_duration(entry.served),
        mark=LoadMark(
            cold=entry.cold,
            draining=entry.draining,
            in_flight=None if in_flight == ABSENT else in_flight,
        ),
    )


def _write_load(entry: Any, load: TargetLoad) -> None:
    entry.target = load.target
    entry.queued = load.queued
    entry.inFlight = load.in_flight
    entry.allowed = load.allowed
    entry.serviceTime = count_microseconds(load.service_time)
    entry.open = load.open


def _read_load(entry: Any) -> TargetLoad:
    return TargetLoad(
        target=TargetId(entry.target),
        queued=entry.queued,
        in_flight=entry.inFlight,
        allowed=entry.allowed,
        service_time=make_duration(entry.serviceTime),
        open=entry.open,
    )
