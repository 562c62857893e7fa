"""Encodes and decodes loans of the retry budget."""

from datetime import timedelta
from typing import Any

from almonddock_core.dispatch import LoanOffer
from almonddock_gateway.links._columns import read_column
from almonddock_gateway.relays import GrantQuery, GrantReply

US = timedelta(microseconds=1)

#: Amounts are sent as thousandths of attempts, rounded down.
AMOUNT_UNITS = 1000
MAX_UINT32 = 0xFFFFFFFF


def write_offer(query: Any, offer: LoanOffer) -> None:
    """Writes what a host lends."""
    query.lent = min(MAX_UINT32, int(offer.amount * AMOUNT_UNITS))
    query.asOf = offer.as_of // US


def read_offer(query: Any) -> LoanOffer:
    """Returns what a host lends; nothing from an earlier release."""
    return LoanOffer(query.lent / AMOUNT_UNITS, query.asOf * US)


def write_grant_query(frame: Any, message: GrantQuery) -> None:
    """Writes the query to a frame."""
    query = frame.init('grantQuery')
    query.number = message.number
    query.services = message.services


def read_grant_query(query: Any) -> GrantQuery:
    """Returns the query."""
    return GrantQuery(query.number, read_column(query.services))


def write_grant_reply(frame: Any, message: GrantReply) -> None:
    """Writes the reply to a frame."""
    reply = frame.init('grantReply')
    reply.number = message.number
    reply.granted = message.granted


def read_grant_reply(reply: Any) -> GrantReply:
    """Returns the reply."""
    return GrantReply(reply.number, read_column(reply.granted))
