"""Encodes and decodes queries for credits and their replies."""

from datetime import timedelta
from typing import Any

from almonddock_core.quotas import CreditQuery, CreditReply

US = timedelta(microseconds=1)

#: The most credits in one message: more than a host asks for.
MAX_CREDITS = 0x10000


def write_credit_query(frame: Any, message: CreditQuery) -> None:
    """Writes the query to a frame, with times in microseconds."""
    query = frame.init('creditQuery')
    query.number = message.number
    query.organisation = message.organisation
    query.wanted = min(message.wanted, MAX_CREDITS)
    query.knownFor = message.known_for // US


def read_credit_query(query: Any) -> CreditQuery:
    """Returns the query."""
    return CreditQuery(
        number=query.number,
        organisation=str(query.organisation),
        wanted=min(query.wanted, MAX_CREDITS),
        known_for=query.knownFor * US,
    )


def write_credit_reply(frame: Any, message: CreditReply) -> None:
    """Writes the reply to a frame, with times in microseconds."""
    reply = frame.init('creditReply')
    reply.number = message.number
    reply.organisation = message.organisation
    reply.granted = message.granted
    reply.wait = message.wait // US
    reply.grants = message.grants


def read_credit_reply(reply: Any) -> CreditReply:
    """Returns the reply."""
    return CreditReply(
        number=reply.number,
        organisation=str(reply.organisation),
        granted=reply.granted,
        wait=reply.wait * US,
        grants=reply.grants,
    )
