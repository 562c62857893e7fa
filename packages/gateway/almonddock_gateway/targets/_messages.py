"""Formats requests to targets and interprets their replies."""

import re
from datetime import timedelta

from almonddock_core.dispatch import ReplyKind, TargetReply
from almonddock_gateway.http import (
    HttpReply,
    ReplyMatch,
    drop_hop_by_hop_headers,
)
from almonddock_gateway.settings import HeaderNames

FIRST_SUCCESS = 200
FIRST_AFTER_SUCCESS = 300
MISDIRECTED = 421

#: The shortest deadline that is sent, in milliseconds: never zero or less.
MIN_DEADLINE_MS = 1
MS = timedelta(milliseconds=1)

STATUS_LINE = re.compile(rb'HTTP/1\.[01] \d{3}')


def format_attempt(
    head: bytes,
    target_id: str,
    left: timedelta,
    names: HeaderNames,
) -> bytes:
    """Returns start line and headers for one target, with the empty line.

    ``head`` holds the start line and the headers common to all targets;
    ``left`` is the time until the request is given up.
    """
    return b'%b%b: %b\r\n%b: %d\r\n\r\n' % (
        head,
        names.expected_target,
        target_id.encode(),
        names.deadline,
        max(MIN_DEADLINE_MS, left // MS),
    )


def match_reply(
    reply: HttpReply,
    request_id: bytes,
    names: HeaderNames,
    *,
    needs_id: bool = False,
) -> ReplyMatch:
    """Returns whether a reply answers the request with this attempt id.

    Targets echo the id of a request that has one. A reply without it may be a
    late copy of the reply to a health check: with ``needs_id`` it counts as
    the reply to another request.
    """
    if _is_mixed(reply, names):
        return ReplyMatch.BROKEN
    echoed = reply.find(names.attempt_id)
    if echoed is None:
        return ReplyMatch.FOREIGN if needs_id else ReplyMatch.ACCEPTED
    return ReplyMatch.ACCEPTED if echoed == request_id else ReplyMatch.FOREIGN


def read_reply(reply: HttpReply, names: HeaderNames) -> TargetReply:
    """Returns the classified reply.

    A success counts only with a stamp and without a content coding, because
    callers never request one.
    """
    stamp = reply.find(names.stamp)
    return TargetReply(
        kind=_classify(reply, stamp, names),
        status=reply.status,
        headers=drop_hop_by_hop_headers(reply.headers),
        body=reply.body,
        stamp=stamp,
    )


def _is_mixed(reply: HttpReply, names: HeaderNames) -> bool:
    """Whether the head is made of the heads of several replies.

    A copy of a reply may break off in its head, and the next reply follow.
    """
    fields = [field for field, _ in reply.headers]
    if any(fields.count(name) > 1 for name in (names.attempt_id, names.stamp)):
        return True
    return any(STATUS_LINE.search(content) for _, content in reply.headers)


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
