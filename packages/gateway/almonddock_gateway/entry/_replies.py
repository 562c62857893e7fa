"""Reads the replies of targets and builds the answers to callers."""

from almonddock_core.dispatch import (
    Answer,
    MergedAnswer,
    PassedAnswer,
    Refusal,
    RefusalReason,
    ReplyKind,
    TargetReply,
    merge_records,
)
from almonddock_core.routing import Route
from almonddock_gateway.http import Headers, HttpReply, drop_hop_headers
from almonddock_gateway.settings import HeaderNames

FIRST_SUCCESS = 200
FIRST_AFTER_SUCCESS = 300
MISDIRECTED = 421
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

RawAnswer = tuple[int, Headers, bytes]


def read_reply(
    reply: HttpReply,
    request_id: bytes,
    names: HeaderNames,
) -> TargetReply | None:
    """Returns what a target replied; None if it answers another request.

    A success counts only with a stamp and without a content coding, which
    callers never ask for.
    """
    echoed = reply.find(names.attempt_id)
    if echoed is not None and echoed != request_id:
        return None
    stamp = reply.find(names.stamp)
    return TargetReply(
        kind=_classify(reply, stamp, names),
        status=reply.status,
        headers=drop_hop_headers(reply.headers),
        body=reply.body,
        stamp=stamp,
    )


def build_answer(
    answer: Answer,
    route: Route,
    names: HeaderNames,
) -> RawAnswer:
    """Returns the status, headers and body for the caller."""
    if isinstance(answer, PassedAnswer):
        reply = answer.reply
        if reply.kind is ReplyKind.SUCCESS or reply.stamp is not None:
            return reply.status, reply.headers, reply.body
        return BAD_GATEWAY, (), b''
    if isinstance(answer, MergedAnswer):
        return _build_merged(answer, route, names)
    return build_refusal(answer)


def build_refusal(refusal: Refusal) -> RawAnswer:
    """Returns the answer to a request that this host gave up."""
    headers = []
    if refusal.retry_after is not None:
        seconds = f'{refusal.retry_after.total_seconds():.3f}'
        headers.append((b'retry-after', seconds.encode()))
    if refusal.not_run:
        return UNAVAILABLE, headers, b''
    if refusal.reason is RefusalReason.TIMED_OUT:
        return GATEWAY_TIMEOUT, headers, b''
    return BAD_GATEWAY, headers, b''


def _classify(
    reply: HttpReply,
    stamp: bytes | None,
    names: HeaderNames,
) -> ReplyKind:
    if reply.status == MISDIRECTED:
        return ReplyKind.MISDIRECTED
    if reply.find(names.not_executed) is not None:
        return ReplyKind.REFUSED
    succeeded = FIRST_SUCCESS <= reply.status < FIRST_AFTER_SUCCESS
    coded = reply.find(b'content-encoding') is not None
    if succeeded and stamp and not coded:
        return ReplyKind.SUCCESS
    return ReplyKind.FAILED


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
    bodies = (reply.body for reply in answer.replies)
    return FIRST_SUCCESS, headers, merge_records(bodies, route.top_records)
