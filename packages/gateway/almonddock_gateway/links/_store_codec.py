"""Encodes and decodes store queries and their replies."""

from datetime import timedelta
from typing import Any

from almonddock_core.model import join_revision, split_revision
from almonddock_gateway.links._columns import read_column
from almonddock_gateway.links._cost_codec import read_costs, write_costs
from almonddock_gateway.links._loan_codec import (
    read_offer,
    write_offer,
)
from almonddock_gateway.relays import StoreOutcome, StoreQuery, StoreReply
from almonddock_gateway.store import StoreItem, StoreView

US = timedelta(microseconds=1)


def write_store_query(frame: Any, message: StoreQuery) -> None:
    """Writes the query to a frame, with times in microseconds."""
    query = frame.init('storeQuery')
    query.number = message.number
    query.prefix = message.prefix
    query.changes = message.after is not None
    era, after = split_revision(message.after or 0)
    query.era = era
    query.after = after
    query.hasEra = message.knows_eras
    query.wait = message.wait // US
    write_costs(query, message.costs)
    write_offer(query, message.offer)


def read_store_query(query: Any) -> StoreQuery:
    """Returns the query; raises ValueError if its revision is not valid."""
    after = join_revision(query.era, query.after)
    return StoreQuery(
        number=query.number,
        prefix=query.prefix,
        after=after if query.changes else None,
        wait=query.wait * US,
        costs=read_costs(query),
        offer=read_offer(query),
        knows_eras=query.hasEra,
    )


def write_store_reply(frame: Any, message: StoreReply) -> None:
    """Writes the reply to a frame, one list for each item field."""
    reply = frame.init('storeReply')
    view = message.view
    reply.number = message.number
    reply.outcome = int(message.outcome)
    era, number = split_revision(view.revision)
    reply.era = era
    reply.revision = number
    reply.hasEra = message.knows_eras
    reply.hasMore = view.has_more
    reply.keys = [item.key for item in view.items]
    reply.contents = [item.content or b'' for item in view.items]
    reply.removed = [item.content is None for item in view.items]
    reply.revisions = [split_revision(item.revision)[1] for item in view.items]
    if message.view_age is not None:
        reply.isDated = True
        reply.viewAge = message.view_age // US
    write_costs(reply, message.costs)
    reply.clock = message.clock // US


def read_store_reply(reply: Any) -> StoreReply:
    """Returns the reply.

    Raises:
        ValueError: list lengths differ, or a revision is not valid.
    """
    era = reply.era
    columns = zip(
        read_column(reply.keys),
        read_column(reply.contents),
        read_column(reply.removed),
        read_column(reply.revisions),
        strict=True,
    )
    items = [
        StoreItem(
            key,
            None if removed else bytes(content),
            join_revision(era, revision),
        )
        for key, content, removed, revision in columns
    ]
    return StoreReply(
        number=reply.number,
        outcome=StoreOutcome(reply.outcome),
        view=StoreView(
            items, join_revision(era, reply.revision), reply.hasMore
        ),
        view_age=reply.viewAge * US if reply.isDated else None,
        costs=read_costs(reply),
        clock=reply.clock * US,
        knows_eras=reply.hasEra,
    )
