"""Limits the queries that the host runs concurrently."""

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

    #: Waits for admission; returns NONE, or the reason of a refusal.
    admit: Callable[[Query], Awaitable[Reason]]
    #: Frees the capacity that an admitted query holds.
    release: Callable[[Query], None]
    #: Whether the host accepts no new queries.
    is_stopping: Callable[[], bool]


def build_admission_filter(
    limits: LimitSettings,
    running: RunningQueries,
    ports: AdmissionPorts,
    clock: Clock,
) -> Filter:
    """Returns a filter that refuses queries above the limits."""

    async def admit(exchange: Exchange, next_handler: Handler) -> Answer:
        if ports.is_stopping():
            return refuse(exchange, Reason.SHUTTING_DOWN, clock.now())
        if running.count >= limits.queries:
            return refuse(exchange, Reason.OVERLOADED, clock.now())
        running.count += 1
        try:
            return await run_when_admitted(exchange, next_handler)
        finally:
            running.count -= 1

    async def run_when_admitted(
        exchange: Exchange, next_handler: Handler
    ) -> Answer:
        reason = await ports.admit(exchange.query)
        if reason is not Reason.NONE:
            return refuse(exchange, reason, clock.now())
        try:
            return await next_handler(exchange)
        finally:
            ports.release(exchange.query)

    return admit
