"""Pins one snapshot for each query."""

import dataclasses
from collections.abc import Callable

from almonddock_core.model import Answer, Plan, WorkloadId
from almonddock_daemon.filters._chain import Exchange, Filter, Handler

#: Returns the plan for a workload, built from the current views.
Pin = Callable[[WorkloadId], Plan]


def build_snapshot_filter(pin: Pin) -> Filter:
    """Returns a filter that adds the plan to the exchange."""

    async def pin_plan(exchange: Exchange, next_handler: Handler) -> Answer:
        plan = pin(exchange.query.workload)
        return await next_handler(dataclasses.replace(exchange, plan=plan))

    return pin_plan
