"""The chain of filters that a query passes at its entry host."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from almonddock_core.model import Answer, Plan, Query, ScatterResult


@dataclass(frozen=True, slots=True)
class Exchange:
    """The state of one query; filters pass on changed copies."""

    query: Query
    #: When the query reached this host.
    arrived: timedelta
    #: The pinned snapshot; absent before the snapshot filter.
    plan: Plan | None = None
    #: The collected replies; absent before the scatter filter.
    result: ScatterResult | None = None
    #: The merged rows as JSON text; unused, as the last handler merges them.
    rows: bytes | None = None


#: Answers an exchange.
Handler = Callable[[Exchange], Awaitable[Answer]]

#: Answers an exchange itself or passes a changed copy to the next handler.
Filter = Callable[[Exchange, Handler], Awaitable[Answer]]


def build_chain(filters: Sequence[Filter], last: Handler) -> Handler:
    """Returns a handler that passes the filters in order, then ``last``."""
    handler = last
    for each in reversed(filters):
        handler = _bind(each, handler)
    return handler


def _bind(each: Filter, next_handler: Handler) -> Handler:
    def handle(exchange: Exchange) -> Awaitable[Answer]:
        return each(exchange, next_handler)

    return handle
