"""Ends a query that cannot finish in time before anything is sent."""

from datetime import timedelta

from almonddock_core.model import Answer, Clock, Reason
from almonddock_daemon.filters._answers import refuse
from almonddock_daemon.filters._chain import Exchange, Filter, Handler

#: The least time in which any target can be asked and answer.
SHORTEST_DEADLINE = timedelta(milliseconds=1)


def build_deadline_filter(clock: Clock) -> Filter:
    """Returns a filter that refuses queries whose time is used up."""

    async def check_deadline(exchange: Exchange, following: Handler) -> Answer:
        remaining = exchange.query.deadline - clock.now()
        if remaining < SHORTEST_DEADLINE:
            return refuse(exchange, Reason.TIMED_OUT, clock.now())
        return await following(exchange)

    return check_deadline
