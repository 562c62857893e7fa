"""Formats requests to targets and parses their replies."""

from datetime import timedelta

import orjson

from almonddock_core.model import (
    IndexVersion,
    LoadReport,
    Reason,
    ReplyStatus,
    SubQuery,
    SubReply,
)
from almonddock_core.owners import TargetHealth
from almonddock_daemon.adapters._http_connection import HttpResponse

STATUS_OK = 200
STATUS_CONFLICT = 409
STATUS_CANCELLED = 499
STATUS_UNAVAILABLE = 503

MILLISECOND = timedelta(milliseconds=1)

_REFUSALS = frozenset(
    (
        Reason.OVERLOADED,
        Reason.COLD,
        Reason.DRAINING,
        Reason.WRONG_VERSION,
    ),
)


def format_request(sub: SubQuery, address: str, now: timedelta) -> bytes:
    """Returns the bytes of the HTTP request for a sub-query."""
    remaining = max(0, (sub.deadline - now) // MILLISECOND)
    head = (
        'POST /v1/sub-query HTTP/1.1\r\n'
        f'host: {address}\r\n'
        f'x-request-id: {sub.request_id}\r\n'
        f'x-attempt-id: {sub.attempt_id}\r\n'
        f'x-shard: {sub.shard}\r\n'
        f'x-index-version: {sub.version}\r\n'
        f'x-remaining-ms: {remaining}\r\n'
        f'traceparent: {sub.traceparent}\r\n'
        'content-type: application/json\r\n'
        f'content-length: {len(sub.body)}\r\n\r\n'
    )
    return head.encode() + sub.body


def format_cancellation(attempt_id: str, address: str) -> bytes:
    """Returns the bytes of the HTTP request that cancels an attempt."""
    return (
        f'DELETE /v1/sub-query/{attempt_id} HTTP/1.1\r\n'
        f'host: {address}\r\ncontent-length: 0\r\n\r\n'
    ).encode()


def format_health_request(address: str) -> bytes:
    """Returns the bytes of the HTTP request for the target's health."""
    return (
        f'GET /v1/health HTTP/1.1\r\nhost: {address}\r\n'
        'content-length: 0\r\n\r\n'
    ).encode()


def parse_health(response: HttpResponse) -> TargetHealth | None:
    """Returns the health that a target reports; None if invalid."""
    try:
        return TargetHealth(orjson.loads(response.body)['state'])
    except (ValueError, KeyError, TypeError):
        return None


def parse_reply(sub: SubQuery, response: HttpResponse) -> SubReply:
    """Returns the reply to an attempt.

    A response that does not echo the attempt and the shard is not trusted:
    the status is UNKNOWN with reason BAD_REPLY.
    """
    headers = response.headers
    if not _is_echo(sub, response):
        return build_reply(sub, ReplyStatus.UNKNOWN, Reason.BAD_REPLY)
    status, reason = _classify(response)
    version = headers.get(b'x-index-version', b'')
    return SubReply(
        attempt_id=sub.attempt_id,
        request_id=sub.request_id,
        shard=sub.shard,
        target=sub.target,
        status=status,
        reason=reason,
        version=IndexVersion(int(version)) if version.isdigit() else None,
        rows=response.body if status is ReplyStatus.OK else b'',
        load_report=_parse_load_report(response),
    )


def build_reply(
    sub: SubQuery,
    status: ReplyStatus,
    reason: Reason,
) -> SubReply:
    """Returns a reply without rows."""
    return SubReply(
        attempt_id=sub.attempt_id,
        request_id=sub.request_id,
        shard=sub.shard,
        target=sub.target,
        status=status,
        reason=reason,
    )


def _is_echo(sub: SubQuery, response: HttpResponse) -> bool:
    headers = response.headers
    return (
        headers.get(b'x-attempt-id', b'') == sub.attempt_id.encode()
        and headers.get(b'x-shard', b'') == sub.shard.encode()
    )


def _classify(response: HttpResponse) -> tuple[ReplyStatus, Reason]:
    if response.status == STATUS_OK:
        return ReplyStatus.OK, Reason.NONE
    if response.status == STATUS_CANCELLED:
        return ReplyStatus.UNKNOWN, Reason.CANCELLED
    if response.status in {STATUS_UNAVAILABLE, STATUS_CONFLICT}:
        reason = _parse_refusal(response)
        if reason is not None:
            return ReplyStatus.NOT_RUN, reason
    return ReplyStatus.FAILED, Reason.TARGET_FAILED


def _parse_refusal(response: HttpResponse) -> Reason | None:
    text = response.headers.get(b'x-not-run', b'').decode('latin-1')
    for reason in _REFUSALS:
        if reason.value == text:
            return reason
    return None


def _parse_load_report(response: HttpResponse) -> LoadReport:
    headers = response.headers
    in_flight = headers.get(b'x-in-flight', b'')
    return LoadReport(
        cold=headers.get(b'x-cold') == b'1',
        draining=headers.get(b'x-draining') == b'1',
        in_flight=int(in_flight) if in_flight.isdigit() else None,
    )
