"""Sends the sub-queries of each query and collects the replies."""

import dataclasses
from collections.abc import Callable
from functools import partial
from typing import Protocol

from almonddock_core.model import Answer, Clock, Plan, Query, ScatterResult
from almonddock_core.truth import combine_results, replan_query
from almonddock_daemon.filters._chain import Exchange, Filter, Handler
from almonddock_daemon.filters._snapshot import Pin

#: Each plan of a query numbers its attempts from a multiple of this.
ATTEMPTS_PER_PLAN = 65_536


class RunScatter(Protocol):
    """Runs the sub-queries of a plan until all replied or timed out."""

    async def __call__(
        self,
        query: Query,
        plan: Plan,
        first_attempt: int = 0,
    ) -> ScatterResult:
        """Returns the collected replies."""
        ...


def build_scatter_filter(
    run_scatter: RunScatter,
    pin: Pin,
    clock: Clock,
) -> Filter:
    """Returns a filter that adds the collected replies.

    If targets no longer hold the pinned version, the whole query is run once
    more on a new snapshot, provided that time is left and it may run twice.
    """

    async def scatter(exchange: Exchange, next_handler: Handler) -> Answer:
        assert exchange.plan is not None
        query = exchange.query
        result = await run_scatter(query, exchange.plan)
        pin_again: Callable[[], Plan] = partial(pin, query.workload)
        fresh = replan_query(
            query,
            exchange.plan,
            result,
            pin_again,
            clock.now(),
        )
        if fresh is not None:
            second = await run_scatter(query, fresh, ATTEMPTS_PER_PLAN)
            result = combine_results(result, second)
        return await next_handler(
            dataclasses.replace(
                exchange,
                plan=fresh or exchange.plan,
                result=result,
            ),
        )

    return scatter
