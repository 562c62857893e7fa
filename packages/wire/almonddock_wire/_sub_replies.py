"""Encodes and decodes batches of replies with the loads of targets."""

from datetime import timedelta
from types import MappingProxyType
from typing import Any

from almonddock_core.model import (
    IndexVersion,
    LoadReport,
    Reason,
    ReplyStatus,
    RequestId,
    ShardId,
    SubReply,
    TargetId,
    TargetLoad,
)
from almonddock_wire._attempts import (
    build_attempt_id,
    read_attempt_number,
)
from almonddock_wire._messages import SubReplyBatch
from almonddock_wire._times import count_microseconds, make_duration

#: The code of a member on the wire is its position, so new members are added at
#: the end of each enumeration.
STATUSES = tuple(ReplyStatus)
REASONS = tuple(Reason)
STATUS_CODES = MappingProxyType(
    {status: code for code, status in enumerate(STATUSES)},
)
REASON_CODES = MappingProxyType(
    {reason: code for code, reason in enumerate(REASONS)},
)

#: The code of an absent version or count.
ABSENT = -1


def write_sub_replies(
    frame: Any,
    batch: SubReplyBatch,
    now: timedelta,
) -> None:
    """Fills a frame with replies and loads, as one list for each field."""
    message = frame.init('subReplies')
    replies = batch.replies
    message.attempts = [read_attempt_number(one.attempt_id) for one in replies]
    message.requestIds = [one.request_id for one in replies]
    message.shards = [one.shard for one in replies]
    message.targets = [one.target for one in replies]
    message.statuses = [STATUS_CODES[one.status] for one in replies]
    message.reasons = [REASON_CODES[one.reason] for one in replies]
    message.versions = [_encode_optional(one.version) for one in replies]
    message.rows = [one.rows for one in replies]
    message.queued = [count_microseconds(one.queued) for one in replies]
    message.served = [count_microseconds(one.served) for one in replies]
    message.cold = [one.load_report.cold for one in replies]
    message.draining = [one.load_report.draining for one in replies]
    message.inFlight = [
        _encode_optional(one.load_report.in_flight) for one in replies
    ]
    if batch.loads:
        _write_loads(message.init('loads'), batch.loads)


def read_sub_replies(message: Any, now: timedelta) -> SubReplyBatch:
    """Returns the replies and loads."""
    columns = zip(
        message.attempts,
        message.requestIds,
        message.shards,
        message.targets,
        message.statuses,
        message.reasons,
        message.versions,
        message.rows,
        message.queued,
        message.served,
        _read_load_reports(message),
        strict=True,
    )
    return SubReplyBatch(
        replies=tuple(_build_reply(*column) for column in columns),
        loads=_read_loads(message.loads),
    )


def _build_reply(  # noqa: WPS211  one argument a column
    attempt: int,
    request_id: RequestId,
    shard: ShardId,
    target: TargetId,
    status: int,
    reason: int,
    version: int,
    rows: bytes,
    queued: int,
    served: int,
    load_report: LoadReport,
) -> SubReply:
    return SubReply(
        attempt_id=build_attempt_id(request_id, attempt),
        request_id=request_id,
        shard=shard,
        target=target,
        status=STATUSES[status],
        reason=REASONS[reason],
        version=None if version == ABSENT else IndexVersion(version),
        rows=bytes(rows),
        queued=make_duration(queued),
        served=make_duration(served),
        load_report=load_report,
    )


def _read_load_reports(message: Any) -> tuple[LoadReport, ...]:
    return tuple(
        LoadReport(cold, draining, None if count == ABSENT else count)
        for cold, draining, count in zip(
            message.cold,
            message.draining,
            message.inFlight,
            strict=True,
        )
    )


def _encode_optional(number: int | None) -> int:
    return ABSENT if number is None else number


def _write_loads(message: Any, loads: tuple[TargetLoad, ...]) -> None:
    message.targets = [one.target for one in loads]
    message.queued = [one.queued for one in loads]
    message.inFlight = [one.in_flight for one in loads]
    message.allowed = [one.allowed for one in loads]
    message.serviceTimes = [
        count_microseconds(one.service_time) for one in loads
    ]
    message.open = [one.open for one in loads]


def _read_loads(message: Any) -> tuple[TargetLoad, ...]:
    return tuple(
        TargetLoad(
            target=TargetId(target),
            queued=queued,
            in_flight=in_flight,
            allowed=allowed,
            service_time=make_duration(service_time),
            open=is_open,
        )
        for target, queued, in_flight, allowed, service_time, is_open in zip(
            message.targets,
            message.queued,
            message.inFlight,
            message.allowed,
            message.serviceTimes,
            message.open,
            strict=True,
        )
    )
