"""Bounds the queries that the host runs at a time."""

from collections.abc import Callable

from almonddock_core.model import Answer, Clock, Reason
from almonddock_daemon.filters._answers import refuse
from almonddock_daemon.filters._chain import Exchange, Filter, Handler
from almonddock_daemon.settings import LimitSettings


class RunningQueries:
    """Counts the accepted queries that have no answer yet."""

    def __init__(self) -> None:
        self.count = 0


def build_admission_filter(
    limits: LimitSettings,
    running: RunningQueries,
    is_stopping: Callable[[], bool],
    clock: Clock,
) -> Filter:
    """Returns a filter that refuses queries above the limit."""

    async def admit(exchange: Exchange, following: Handler) -> Answer:
        if is_stopping():
            return refuse(exchange, Reason.SHUTTING_DOWN, clock.now())
        if running.count >= limits.queries:
            return refuse(exchange, Reason.OVERLOADED, clock.now())
        running.count += 1
        try:
            return await following(exchange)
        finally:
            running.count -= 1

    return admit
