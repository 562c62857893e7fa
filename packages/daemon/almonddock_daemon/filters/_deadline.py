"""Refuses queries whose deadline has passed or is too near."""

from datetime import timedelta

from almonddock_core.model import Answer, Clock, Reason
from almonddock_daemon.filters._answers import refuse
from almonddock_daemon.filters._chain import Exchange, Filter, Handler

#: The shortest time in which a target can receive a request and reply.
SHORTEST_DEADLINE = timedelta(milliseconds=1)


def build_deadline_filter(clock: Clock) -> Filter:
    """Returns a filter that refuses queries with too little time left."""

    async def check_deadline(
        exchange: Exchange, next_handler: Handler
    ) -> Answer:
        remaining = exchange.query.deadline - clock.now()
        if remaining < SHORTEST_DEADLINE:
            return refuse(exchange, Reason.TIMED_OUT, clock.now())
        return await next_handler(exchange)

    return check_deadline
