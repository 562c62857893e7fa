"""Sends the sub-queries of each query and collects the replies."""

import dataclasses
from collections.abc import Awaitable, Callable

from almonddock_core.model import Answer, Plan, Query, ScatterResult
from almonddock_daemon.filters._chain import Exchange, Filter, Handler

#: Runs the sub-queries of a plan until they are in or out of time.
RunScatter = Callable[[Query, Plan], Awaitable[ScatterResult]]


def build_scatter_filter(run_scatter: RunScatter) -> Filter:
    """Returns a filter that adds the collected replies."""

    async def scatter(exchange: Exchange, following: Handler) -> Answer:
        assert exchange.plan is not None
        result = await run_scatter(exchange.query, exchange.plan)
        return await following(dataclasses.replace(exchange, result=result))

    return scatter
