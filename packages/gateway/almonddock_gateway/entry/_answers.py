"""Builds the answers to callers."""

from datetime import timedelta
from types import MappingProxyType

from almonddock_core.dispatch import (
    Answer,
    ForwardedAnswer,
    MergedAnswer,
    Refusal,
    RefusalReason,
    ReplyKind,
    TargetReply,
    merge_replies,
)
from almonddock_core.routing import Rejected, RejectionReason, Route
from almonddock_gateway.http import Headers
from almonddock_gateway.settings import HeaderNames

OK = 200
UNAUTHORIZED = 401
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

#: A caller takes these as the promise that its request has not run.
NOT_RUN_STATUSES = frozenset((408, 421, TOO_MANY_REQUESTS, UNAVAILABLE))

#: What callers that are not let in get.
REJECTION_STATUSES = MappingProxyType(
    {
        RejectionReason.UNKNOWN_KEY: UNAUTHORIZED,
        RejectionReason.UNPROVEN_KEY: UNAVAILABLE,
        RejectionReason.OVER_QUOTA: TOO_MANY_REQUESTS,
    },
)

FIRST_SUCCESS = 200
FIRST_AFTER_SUCCESS = 300

RawAnswer = tuple[int, Headers, bytes]


def build_answer(
    answer: Answer,
    route: Route,
    names: HeaderNames,
) -> RawAnswer:
    """Returns the status, headers and body for the caller."""
    if isinstance(answer, ForwardedAnswer):
        reply = answer.reply
        if _is_passed_on(reply):
            return reply.status, reply.headers, reply.body
        return BAD_GATEWAY, (), b''
    if isinstance(answer, MergedAnswer):
        return _build_merged(answer, route, names)
    return build_refusal(answer)


def count_bytes(answer: RawAnswer) -> int:
    """Returns the size of an answer, without the names of its headers."""
    _, headers, body = answer
    return len(body) + sum(len(content) for _, content in headers)


def _is_passed_on(reply: TargetReply) -> bool:
    """Whether a caller may rely on what the status of the reply says."""
    if reply.kind is ReplyKind.SUCCESS:
        return True
    is_spoilt = FIRST_SUCCESS <= reply.status < FIRST_AFTER_SUCCESS
    # A failed request may have run.
    is_promise = reply.status in NOT_RUN_STATUSES
    return reply.stamp is not None and not (is_spoilt or is_promise)


def build_refusal(refusal: Refusal) -> RawAnswer:
    """Returns the answer to a request that ended without a reply."""
    headers = []
    if refusal.retry_after is not None:
        headers.append(format_retry_after(refusal.retry_after))
    if refusal.not_run:
        return UNAVAILABLE, headers, b''
    if refusal.reason is RefusalReason.TIMED_OUT:
        return GATEWAY_TIMEOUT, headers, b''
    return BAD_GATEWAY, headers, b''


def build_rejection(rejected: Rejected, names: HeaderNames) -> RawAnswer:
    """Returns the answer to a caller that is not let in."""
    headers = []
    if rejected.retry_after is not None:
        headers.append(format_retry_after(rejected.retry_after))
    status = REJECTION_STATUSES[rejected.reason]
    if status == UNAUTHORIZED:
        headers.append((b'www-authenticate', names.key_scheme))
    return status, headers, b''


def format_retry_after(delay: timedelta) -> tuple[bytes, bytes]:
    """Returns the header that says when to retry."""
    return b'retry-after', f'{delay.total_seconds():.3f}'.encode()


def _build_merged(
    answer: MergedAnswer,
    route: Route,
    names: HeaderNames,
) -> RawAnswer:
    stamps = b', '.join(reply.stamp or b'' for reply in answer.replies)
    headers = (
        (b'content-type', b'application/octet-stream'),
        (names.part_stamps, stamps),
        (names.missing_parts, b'%d' % len(answer.missing)),
    )
    return OK, headers, merge_replies(answer.replies, route.top_records)
