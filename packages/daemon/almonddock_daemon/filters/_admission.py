"""Bounds the queries that the host runs at a time."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from almonddock_core.model import Answer, Clock, Query, Reason
from almonddock_daemon.filters._answers import refuse
from almonddock_daemon.filters._chain import Exchange, Filter, Handler
from almonddock_daemon.settings import LimitSettings


class RunningQueries:
    """Counts the accepted queries that have no answer yet."""

    def __init__(self) -> None:
        self.count = 0


@dataclass(frozen=True, slots=True)
class AdmissionPorts:
    """What the admission filter calls."""

    #: Waits for a place; returns NONE, or why there will be none.
    enter: Callable[[Query], Awaitable[Reason]]
    #: Frees the place of an admitted query.
    leave: Callable[[Query], None]
    #: Whether the host takes no new queries.
    is_stopping: Callable[[], bool]


def build_admission_filter(
    limits: LimitSettings,
    running: RunningQueries,
    ports: AdmissionPorts,
    clock: Clock,
) -> Filter:
    """Returns a filter that refuses queries above the limits."""

    async def admit(exchange: Exchange, following: Handler) -> Answer:
        if ports.is_stopping():
            return refuse(exchange, Reason.SHUTTING_DOWN, clock.now())
        if running.count >= limits.queries:
            return refuse(exchange, Reason.OVERLOADED, clock.now())
        running.count += 1
        try:
            return await enter(exchange, following)
        finally:
            running.count -= 1

    async def enter(exchange: Exchange, following: Handler) -> Answer:
        reason = await ports.enter(exchange.query)
        if reason is not Reason.NONE:
            return refuse(exchange, reason, clock.now())
        try:
            return await following(exchange)
        finally:
            ports.leave(exchange.query)

    return admit
